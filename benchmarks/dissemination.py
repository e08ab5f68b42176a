"""Measures the cost and the duration of spreading an item to all processes, for growing numbers of processes.

    python -m benchmarks.dissemination [--sizes 30,68,100,200,300] [--routes 510]

Runs the dissemination of the program in virtual time (`rig.system.gossip_network`), without sockets or
processes. Bytes are those of frames. At a start, all processes announce within 0.3 s that they are ready. A
change alters one route of a configuration.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
from dataclasses import dataclass

from fordtrestle.dissemination.items import CONTROL_KEY, ControlView, Item, control_item
from rig.system.gossip_network import Location, Network

CONTROLS = 5
LOCATIONS = [Location(f"zone-{number}", f"region-{number % 3}") for number in range(6)]
SETTLE_S = 5.0
CHANGES = 10
TIME_STEP_S = 0.01
BYTES_PER_KB = 1000.0


@dataclass(frozen=True, slots=True)
class Row:
    """Results for one number of processes. Bytes are per process."""

    processes: int
    links: int
    start_kb: float
    copies: float  # of a change, per process
    change_kb: float  # includes the digests sent meanwhile
    max_spread_s: float  # longest time until all processes have a change


def configuration(sequence: int, routes: int) -> Item:
    """Return the configuration item of a sequence. One route has the sequence as its timeout."""
    rng = random.Random(1)
    rows = [
        {"name": f"r-{number}", "path_prefix": f"/{rng.getrandbits(48):x}/", "timeout_ms": 3000}
        for number in range(routes)
    ]
    rows[sequence % routes]["timeout_ms"] = sequence
    document = json.dumps({"generation": sequence, "routes": rows}).encode()
    return control_item(ControlView(sequence, sequence, document, ()))


def measure(processes: int, routes: int) -> Row:
    """Start `processes` processes and change the configuration `CHANGES` times."""
    network = Network(CONTROLS, processes - CONTROLS, LOCATIONS, seed=1, count_bytes=True)
    network.announce_all(within_s=0.3)
    network.run(SETTLE_S)
    start_bytes = network.bytes.total()
    network.publish("core-0", configuration(1, routes))
    network.run(SETTLE_S)
    network.copies.clear()
    network.bytes.clear()
    max_spread_s = 0.0
    for sequence in range(2, 2 + CHANGES):
        item = configuration(sequence, routes)
        began = network.now
        network.publish(f"core-{sequence % CONTROLS}", item)
        while network.count_reached(item) < processes:
            network.run(TIME_STEP_S)
        max_spread_s = max(max_spread_s, network.now - began)
        network.run(1.0)
    copies = sum(count for (key, _), count in network.copies.items() if key == CONTROL_KEY)
    per_change = CHANGES * processes
    links = sum(len(peer.peers) for peer in network.peers.values()) // 2
    change_kb = network.bytes.total() / per_change / BYTES_PER_KB
    return Row(
        processes, links, start_bytes / processes / BYTES_PER_KB, copies / per_change, change_kb, max_spread_s
    )


def main(arguments: list[str]) -> int:
    """Print the table.

    Returns:
        The exit code 0.
    """
    parser = argparse.ArgumentParser(prog="benchmarks.dissemination", description=__doc__)
    parser.add_argument("--sizes", default="30,68,100,200,300")
    parser.add_argument("--routes", type=int, default=510)
    options = parser.parse_args(arguments)
    print("processes  links  start KB  copies  change KB  to the last s")
    for size in map(int, options.sizes.split(",")):
        row = measure(size, options.routes)
        print(
            f"{row.processes:9d} {row.links:6d} {row.start_kb:9.1f} {row.copies:7.2f}"
            f" {row.change_kb:10.2f} {row.max_spread_s:14.2f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
