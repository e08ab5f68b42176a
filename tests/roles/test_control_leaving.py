"""A control process that receives SIGTERM keeps running until its store is no longer needed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from fordtrestle.roles.control_process import ControlProcess
from tests.virtual import virtual

NEEDED_S = 2.0


@dataclass
class FakeControlProcess:
    """Stands in for the node and the replicator that `ControlProcess.leave` uses."""

    needed_until: float
    calls: list[str] = field(default_factory=list)

    @property
    def node(self):
        return self

    @property
    def replicator(self):
        return self

    def leave(self, now):
        self.calls.append("leave")

    def announce(self):
        self.calls.append("announce")

    def pump(self):
        self.calls.append("pump")

    def can_leave(self, now):
        return now >= self.needed_until


@virtual
async def test_a_leaving_process_announces_that_and_waits_until_others_hold_its_state():
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    process = FakeControlProcess(started_at + NEEDED_S)
    await ControlProcess.leave(process)
    assert process.calls == ["leave", "announce", "pump"]
    assert NEEDED_S <= loop.time() - started_at < NEEDED_S + 0.1
