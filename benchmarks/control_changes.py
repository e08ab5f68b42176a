"""Measures the cost of hundreds of changes in a control process.

Measures the latency of the first and of the last acknowledgements, the size of the log file, and the duration
of a start from it.

`python -m benchmarks.control_changes`: runs a single store on the disk of this machine, with the replicator,
log and command handler of the program. The configuration is about `--bytes` long. Times depend on this
machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

from fordtrestle.control_api.commands import CommandHandler
from fordtrestle.control_api.requests import CommandResult, CommandStatus, ConfigRequest, ConfigRequestKind
from fordtrestle.peer.codec import decode
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Hello
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Store
from fordtrestle.replication.node import Node
from fordtrestle.storage.log import RecordLog

MEDIAN_CHANGES = 50  # first and last changes whose medians are printed
MS_PER_S = 1000.0


READY_TIMEOUT_S = 5.0
RETRY_TIMEOUT_S, RETRY_DELAY_S = 15.0, 0.05


def _document(number: int, length: int) -> bytes:
    routes = []
    route = {
        "authority": "a.example",
        "route_type": "safe",
        "timeout_ms": 3000,
        "backend": "pool",
        "max_attempts": 2,
    }
    for index in range(max(1, length // 150)):
        routes.append({**route, "name": f"r-{index}", "path_prefix": f"/{index}/{number}/"})
    return json.dumps({"generation": number, "routes": routes, "services": [{"name": "pool"}]}).encode()


async def _change(commands: CommandHandler, number: int, body: bytes) -> CommandResult:
    """Make a change, and resend it unchanged while its store is not primary, as operators do.

    A store whose disk is slow, as on a busy machine, is not primary until its disk responds.
    """
    request = ConfigRequest(ConfigRequestKind.PUT, number - 1, body, lambda: True)
    deadline = time.perf_counter() + RETRY_TIMEOUT_S
    while True:
        result = await commands.change_config(request)
        is_final = result.status not in (CommandStatus.NOT_PRIMARY, CommandStatus.UNKNOWN)
        if is_final or time.perf_counter() > deadline:
            return result
        await asyncio.sleep(RETRY_DELAY_S)


async def changes(folder: Path, count: int, length: int) -> tuple[list[float], int]:
    """Make changes.

    Returns:
        The latency of each change (s) and the maximum size of the file (bytes).
    """
    log = RecordLog(folder)
    log.open()
    store = Store("s1", "127.0.0.1:1", "127.0.0.1:2", "z-1")
    now = asyncio.get_running_loop().time()
    draw = random.Random(1).random
    node = Node(
        store,
        Durable("s1", must_bootstrap=True),
        tolerated_failures=0,
        counts_for_quorum=True,
        draw=draw,
        now=now,
    )
    mesh = Mesh(Hello("core-1", "127.0.0.1:1"), lambda link, message: None, lambda link: None)
    replicator = Replicator(node, log, mesh, lambda peer: True, lambda: None)
    replicator_task = asyncio.create_task(replicator.run())
    if not await replicator.wait_until(lambda: node.is_ready, READY_TIMEOUT_S):
        raise RuntimeError("the store did not become ready in time")
    commands, latencies_s, max_bytes = CommandHandler(replicator), [], 0
    for number in range(1, count + 1):
        body = _document(number, length)
        began = time.perf_counter()
        result = await _change(commands, number, body)
        latencies_s.append(time.perf_counter() - began)
        max_bytes = max(max_bytes, log.size)
        if result.status is not CommandStatus.DONE:
            raise RuntimeError(f"expected change {number} to be done, got {result}")
    replicator_task.cancel()
    await asyncio.gather(replicator_task, return_exceptions=True)
    log.close()
    return latencies_s, max_bytes


def start(folder: Path) -> tuple[float, int]:
    """Restore the state from disk.

    Returns:
        The duration (s) and the sequence of the restored state.
    """
    began = time.perf_counter()
    log = RecordLog(folder)
    durable = Durable.restore(map(decode, log.open()))
    log.close()
    return time.perf_counter() - began, durable.state.sequence if durable else 0


def main(arguments: list[str] | None = None) -> int:
    """Print one row per length of the configuration.

    Returns:
        The exit code: 1 if changes are missing after the start, otherwise 0.
    """
    parser = argparse.ArgumentParser(description="Measure the cost of hundreds of changes.")
    parser.add_argument("--changes", type=int, default=3000)
    parser.add_argument("--bytes", type=int, nargs="+", default=[3_000, 100_000])
    options = parser.parse_args(arguments)
    print("   bytes  changes  acknowledged after, ms: first 50, last 50   file at most, MB   start, ms")
    is_complete = True
    for length in options.bytes:
        with tempfile.TemporaryDirectory() as folder:
            latencies_s, max_bytes = asyncio.run(changes(Path(folder), options.changes, length))
            start_s, sequence = start(Path(folder))
        is_complete = is_complete and sequence == options.changes
        first, last = (
            MS_PER_S * statistics.median(part)
            for part in (latencies_s[:MEDIAN_CHANGES], latencies_s[-MEDIAN_CHANGES:])
        )
        row = f"{length:8} {options.changes:8} {first:32.2f} {last:8.2f}"
        print(f"{row} {max_bytes / 1e6:18.2f} {MS_PER_S * start_s:11.1f}")
    return int(not is_complete)


if __name__ == "__main__":
    sys.exit(main())
