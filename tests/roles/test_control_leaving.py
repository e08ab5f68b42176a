"""A control process that is told to end stays until its store is not needed any more."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from fordtrestle.roles.control import Control
from tests.virtual import virtual

NEEDED_S = 2.0


@dataclass
class Parts:
    """What of a control process its leaving touches: its node and its replicator."""

    needed_until: float
    said: list[str] = field(default_factory=list)

    @property
    def node(self):
        return self

    @property
    def replicator(self):
        return self

    def leave(self, now):
        self.said.append("leave")

    def announce(self):
        self.said.append("announce")

    def pump(self):
        self.said.append("pump")

    def can_leave(self, now):
        return now >= self.needed_until


@virtual
async def test_it_says_so_and_waits_until_others_hold_its_state():
    loop = asyncio.get_running_loop()
    began = loop.time()
    parts = Parts(began + NEEDED_S)
    await Control.leave(parts)
    assert parts.said == ["leave", "announce", "pump"]
    assert NEEDED_S <= loop.time() - began < NEEDED_S + 0.1
