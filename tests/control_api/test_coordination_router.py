"""Commands are forwarded to the primary once, with the remaining time, and no outcome is assumed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from fordtrestle.control_api import coordination_router
from fordtrestle.control_api.coordination_router import FIND_PRIMARY_TIMEOUT_S, CoordinationRouter
from fordtrestle.coordination.answers import (
    NotPrimary,
    NumberIssued,
    OutcomeUnknown,
    Overloaded,
    Unavailable,
)
from fordtrestle.coordination.calls import CoordinationCall, CoordinationReply
from fordtrestle.coordination.commands import IssueNumber
from fordtrestle.peer.handshake import DEADLINE_VERSION
from fordtrestle.peer.remote_clock import ClockReading
from fordtrestle.replication.epochs import Store
from tests.virtual import virtual

COMMAND = IssueNumber("n")
PRIMARY = Store("s1", "10.0.0.1:1", "10.0.0.1:2", "z-1")
CALL_TIMEOUT_S = 0.9
PEER_CLOCK = "clock of core-1"


@dataclass
class FakePeer:
    """Stands in for the node, the mesh and the link of a router whose process is not primary."""

    answers: list = field(default_factory=list)  # the primary's answers, in order; None for no answer
    accepts_messages: bool = True
    primary: Store | None = PRIMARY
    is_primary: bool = False
    version: int = DEADLINE_VERSION
    node: str = "core-1"
    clock_ahead_s: float = 0.0  # by which the peer's steady clock shows more than that of the router
    sent: list = field(default_factory=list)

    def now(self):
        return asyncio.get_running_loop().time() + self.clock_ahead_s

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


def router(peer, service=None):
    """Return a router that has just received a reading of the peer's clock."""
    peer.router = CoordinationRouter(service, node=peer, mesh=peer)
    peer.router.on_clock_reading(peer, ClockReading(PEER_CLOCK, peer.now()))
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
async def test_the_deadline_of_a_command_is_on_the_clock_of_the_primary():
    peer = FakePeer([NumberIssued(7)], clock_ahead_s=5000.0)
    deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
    await router(peer).call(COMMAND, deadline)
    (sent,) = peer.sent
    assert sent.clock == PEER_CLOCK
    assert deadline + 5000.0 - 0.01 < sent.deadline <= deadline + 5000.0


@virtual
async def test_a_command_waits_for_a_reading_of_the_clock_of_a_primary_that_sends_them():
    peer = FakePeer([NumberIssued(7)])
    without_reading = peer.router = CoordinationRouter(service=None, node=peer, mesh=peer)
    call = asyncio.create_task(without_reading.call(COMMAND, peer.now() + CALL_TIMEOUT_S))
    await asyncio.sleep(0.2)
    assert not peer.sent
    without_reading.on_clock_reading(peer, ClockReading(PEER_CLOCK, peer.now()))
    assert await call == NumberIssued(7)


@virtual
async def test_a_primary_of_an_earlier_version_gets_the_remaining_time():
    peer = FakePeer([NumberIssued(7)], version=DEADLINE_VERSION - 1)
    peer.router = CoordinationRouter(service=None, node=peer, mesh=peer)
    await peer.router.call(COMMAND, peer.now() + CALL_TIMEOUT_S)
    (sent,) = peer.sent
    assert (sent.clock, round(sent.timeout_ms)) == ("", 900)


@dataclass
class FakeService:
    """Records until when each command may be executed, and executes it."""

    deadlines: list = field(default_factory=list)

    async def execute(self, command, deadline, is_caller_waiting=lambda: True):
        self.deadlines.append(deadline)
        return NumberIssued(1)


async def serve(call, **fields):
    """Have a router serve a forwarded call, and return its service and the peer that gets the reply."""
    peer, service = FakePeer(**fields), FakeService()
    router(peer, service).on_call(peer, call)
    await asyncio.sleep(0.01)
    return service, peer


@virtual
async def test_a_forwarded_command_keeps_its_deadline_however_long_it_was_on_its_way():
    # A release that was on its way over a slow link was executed after its sender had the lock again.
    peer = FakePeer()
    clock = readings_of(router(peer))[0].clock
    for delay_s in (0.3, 1.0, 4.0):
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        service = FakeService()
        peer.router = CoordinationRouter(service, node=peer, mesh=peer)
        clock = readings_of(peer.router)[0].clock
        await asyncio.sleep(delay_s)
        peer.router.on_call(peer, CoordinationCall(1, COMMAND, 900.0, clock, deadline))
        await asyncio.sleep(0.01)
        assert service.deadlines == [deadline]


def readings_of(sender):
    """Return the clock readings that a router sends over a link."""
    link = FakePeer()
    sender.send_clock_reading(link)
    return link.sent


@virtual
async def test_a_deadline_on_the_clock_of_an_earlier_process_is_not_executed():
    service, peer = await serve(CoordinationCall(1, COMMAND, 900.0, "an earlier process", 1e9))
    assert service.deadlines == []
    assert peer.sent == [CoordinationReply(1, NotPrimary())]


@virtual
async def test_a_command_of_an_earlier_version_counts_from_its_arrival():
    service, _ = await serve(CoordinationCall(1, COMMAND, 900.0))
    (deadline,) = service.deadlines
    assert deadline == pytest.approx(asyncio.get_running_loop().time() + 0.9, abs=0.02)


@virtual
async def test_no_reading_is_sent_to_a_process_of_an_earlier_version():
    link = FakePeer(version=DEADLINE_VERSION - 1)
    router(FakePeer()).send_clock_reading(link)
    assert link.sent == []


@virtual
async def test_a_process_that_restarts_has_another_clock():
    peer = FakePeer([NumberIssued(7)])
    own_router = router(peer)
    own_router.on_clock_reading(peer, ClockReading("its next clock", 1.0))
    await own_router.call(COMMAND, peer.now() + CALL_TIMEOUT_S)
    (sent,) = peer.sent
    assert sent.clock == "its next clock"
    assert sent.deadline < 2.0


@virtual
async def test_a_command_whose_caller_has_disconnected_is_not_forwarded():
    peer = FakePeer([NumberIssued(7)])
    answer = await router(peer).call(COMMAND, peer.now() + CALL_TIMEOUT_S, lambda: False)
    assert answer == Unavailable()
    assert peer.sent == []


@virtual
async def test_the_clocks_that_are_remembered_are_bounded(monkeypatch):
    monkeypatch.setattr(coordination_router, "MAX_REMOTE_CLOCKS", 2)
    own_router = router(FakePeer())
    for number in range(2, 5):
        own_router.on_clock_reading(FakePeer(node=f"core-{number}"), ClockReading(f"c{number}", 1.0))
    peer = FakePeer()  # of core-1, whose clock was forgotten
    peer.router = own_router
    assert await own_router.call(COMMAND, peer.now() + CALL_TIMEOUT_S) == Unavailable()


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
