"""`python -m rig.cluster.relayhost --seed N`: one process of `rig.cluster.relays`, with a relay of its own.

It reads one JSON line per command and answers each with one line. It exits when its owner closes the pipe or
dies. The times that it reports are seconds of CLOCK_MONOTONIC, which all processes of a machine share.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import sys
import time
from collections.abc import Sequence
from dataclasses import fields
from typing import Any

import msgspec

from rig.cluster.link_types import Address, Counts, TcpLink, UdpLink
from rig.cluster.links import Relay
from rig.cluster.schedules import Link
from rig.helper import obey_until_hung_up, prepare, say

LINKS = msgspec.json.Decoder(list[TcpLink | UdpLink])
CHANGES = msgspec.json.Decoder(list[tuple[bool, int | Link]])
FAULTS = msgspec.json.Decoder(list[Link])
FIELDS = [field.name for field in fields(Counts)]


class Host:
    """Relay and the commands that control it."""

    def __init__(self, seed: int) -> None:
        self._relay = Relay(seed)
        self._known: list[Link] = []  # faults that a change may name by number

    async def run(self) -> None:
        """Relay until the owner hangs up."""
        self._relay.start()
        say({"ready": True})
        try:
            await obey_until_hung_up(self.obey)
        finally:
            await self._relay.stop()

    def obey(self, do: str, **command: Any) -> Any:
        """Run one command and return its answer; `refused` in the answer says what was wrong with it.

        Raises:
            ValueError: There is no such command.
        """
        try:
            match do:
                case "make":
                    return self._make(LINKS.decode(command["links"]))
                case "change":
                    return self._change(CHANGES.decode(command["rows"]))
                case "know":
                    return self._know(FAULTS.decode(command["faults"]), command["first"])
                case "forget":
                    return self._relay.forget_lag()
                case "report":
                    return self._report()
        except (msgspec.DecodeError, ValueError) as error:
            return {"refused": str(error)}
        raise ValueError(f"unknown command {do!r}")

    def _make(self, links: Sequence[TcpLink | UdpLink]) -> list[Address]:
        addresses = []
        for link in links:
            try:
                addresses.append(self._relay.make(link))
            except (OSError, ValueError, OverflowError) as error:
                raise ValueError(f"link of {' and '.join(link.ends)}: {error}") from error
        return addresses

    def _know(self, faults: list[Link], first: int) -> None:
        """Store faults that changes then name by number, from `first` on; those stored there are replaced."""
        self._known[first:] = faults

    def _change(self, rows: Sequence[tuple[bool, int | Link]]) -> float:
        """Apply a change; return when it had taken effect."""
        known = self._known
        self._relay.change(
            [(begins, known[fault] if isinstance(fault, int) else fault) for begins, fault in rows]
        )
        return time.monotonic()

    def _report(self) -> dict[str, Any]:
        rows = [
            [src, dst, *(getattr(counts, name) for name in FIELDS)]
            for (src, dst), counts in self._relay.counts().items()
            if counts.taken
        ]
        return {
            "counts": rows,
            "lag_p99_ms": self._relay.lag_p99_ms,
            "cpu_s": time.process_time(),
            "unsound": self._relay.unsound,
        }


def main(arguments: Sequence[str] | None = None) -> int:
    """Relay until standard input ends; return the exit code."""
    command_line = argparse.ArgumentParser(prog="python -m rig.cluster.relayhost", description=__doc__)
    command_line.add_argument("--seed", type=int, required=True)
    given = command_line.parse_args(arguments)
    prepare()
    # Collections over all links would pause the relay, which would look like delays of the network.
    gc.set_threshold(50_000, 50, 1000)

    async def run() -> None:
        await Host(given.seed).run()

    asyncio.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
