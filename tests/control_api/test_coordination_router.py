"""Commands are forwarded to the primary once, with the remaining time, and no outcome is assumed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from fordtrestle.control_api import coordination_router
from fordtrestle.control_api.coordination_router import FIND_PRIMARY_TIMEOUT_S, CoordinationRouter
from fordtrestle.coordination.answers import (
    NotPrimary,
    NumberIssued,
    OutcomeUnknown,
    Overloaded,
    Unavailable,
)
from fordtrestle.coordination.calls import CoordinationReply
from fordtrestle.coordination.commands import IssueNumber
from fordtrestle.replication.epochs import Store
from tests.virtual import virtual

COMMAND = IssueNumber("n")
PRIMARY = Store("s1", "10.0.0.1:1", "10.0.0.1:2", "z-1")
CALL_TIMEOUT_S = 0.9


@dataclass
class FakePeer:
    """Stands in for the node, the mesh and the link of a router whose process is not primary."""

    answers: list = field(default_factory=list)  # the primary's answers, in order; None for no answer
    accepts_messages: bool = True
    primary: Store | None = PRIMARY
    is_primary: bool = False
    sent: list = field(default_factory=list)

    def reachable_primary(self, now):
        return self.primary

    def link_at(self, address):
        return self

    def send(self, message):
        if not self.accepts_messages:
            return False
        self.sent.append(message)
        answer = self.answers.pop(0) if self.answers else None
        if answer is not None:
            reply = CoordinationReply(message.token, answer)
            asyncio.get_running_loop().call_later(0.05, self.router.on_reply, reply)
        return True


def router(peer):
    peer.router = CoordinationRouter(service=None, node=peer, mesh=peer)
    return peer.router


async def call(peer):
    """Send a command and return its answer and the seconds that it took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    return await router(peer).call(COMMAND, started_at + CALL_TIMEOUT_S), loop.time() - started_at


@virtual
async def test_a_command_is_sent_with_the_remaining_time_of_its_caller():
    peer = FakePeer([NumberIssued(7)])
    answer, _ = await call(peer)
    assert answer == NumberIssued(7)
    assert [(sent.command, round(sent.timeout_ms)) for sent in peer.sent] == [(COMMAND, 900)]


@virtual
async def test_a_primary_that_does_not_answer_leaves_the_outcome_unknown():
    answer, took_s = await call(FakePeer([None]))
    assert answer == OutcomeUnknown()
    assert CALL_TIMEOUT_S <= took_s < CALL_TIMEOUT_S + 0.1


@virtual
async def test_a_command_is_sent_again_after_an_answer_of_a_process_that_is_not_primary():
    peer = FakePeer([NotPrimary(), NotPrimary(), NumberIssued(7)])
    assert (await call(peer))[0] == NumberIssued(7)
    assert len({sent.token for sent in peer.sent}) == 3


@virtual
async def test_without_a_primary_the_command_is_rejected_within_a_second():
    for peer in (FakePeer(primary=None), FakePeer(accepts_messages=False)):
        answer, took_s = await call(peer)
        assert answer == Unavailable()
        assert took_s <= FIND_PRIMARY_TIMEOUT_S


@virtual
async def test_forwarded_commands_in_flight_are_bounded(monkeypatch):
    monkeypatch.setattr(coordination_router, "MAX_FORWARDED", 2)
    peer = FakePeer()
    shared_router, deadline = router(peer), asyncio.get_running_loop().time() + CALL_TIMEOUT_S
    waiting = [asyncio.create_task(shared_router.call(COMMAND, deadline)) for _ in range(2)]
    await asyncio.sleep(0)
    assert await shared_router.call(COMMAND, deadline) == Overloaded()
    assert {await task for task in waiting} == {OutcomeUnknown()}
