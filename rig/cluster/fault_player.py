"""Plays the faults of links at their times."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Iterable, Sequence
from typing import Protocol

from rig.cluster.schedules import Link


class Changes(Protocol):
    """Anything whose faults begin and end: a `Relay` or `Relays`."""

    def prepare(self, faults: Sequence[Link], /) -> Awaitable[None] | None:
        """Announce faults to come."""

    def change(self, rows: Sequence[tuple[bool, Link]], /) -> Awaitable[None] | None:
        """Begin (True) and end faults in the given order."""


async def _done(asked: Awaitable[None] | None) -> None:
    if asked is not None:
        await asked


class Player:
    """Begins and ends the faults of links at their times, by the loop's clock."""

    def __init__(self, relay: Changes, faults: Iterable[Link]) -> None:
        self._relay = relay
        self._faults = list(faults)
        self._due = deque(
            sorted(
                [(fault.at_ms, True, fault) for fault in self._faults]
                + [(fault.at_ms + fault.lasts_ms, False, fault) for fault in self._faults],
                key=lambda row: (row[0], row[1]),
            )
        )
        self.late_ms = 0.0  # largest delay of a change

    async def run(self) -> None:
        """Play all faults. Times count from now, and changes that are due together are applied together."""
        loop = asyncio.get_running_loop()
        await _done(self._relay.prepare(self._faults))
        began = loop.time()
        while self._due:
            at_ms = self._due[0][0]
            await asyncio.sleep(max(0.0, began + at_ms / 1000.0 - loop.time()))
            now_ms = (loop.time() - began) * 1000.0
            rows = []
            while self._due and self._due[0][0] <= max(at_ms, now_ms):
                _, begins, fault = self._due.popleft()
                rows.append((begins, fault))
            await _done(self._relay.change(rows))
            self.late_ms = max(self.late_ms, (loop.time() - began) * 1000.0 - at_ms)
