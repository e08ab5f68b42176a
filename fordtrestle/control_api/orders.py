"""The operator's orders, carried out by the primary: one write at a time, each on what is known to be
newest, and each only while its caller waits for it.

No order is answered before a majority of witnesses, asked after the call came, has confirmed that this store
is primary: acknowledgements, refusals and reads alike.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto

from returns.result import Failure, Success

from fordtrestle.control_api.configuration import check_generation, read_patch, read_put
from fordtrestle.dissemination.items import MAX_DOCUMENT_BYTES
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.state import Change, ConfigChange, ControlState, Evacuation

COMMIT_S = 5.0  # for a write to reach all replicas, a change of the epoch included
CONFIRM_S = 2.0
# Callers go elsewhere after a second of silence (PROTOCOL: the operator's API). What an evacuation does rests
# on no version, so one that has waited for longer might undo what came after it.
EVACUATION_WAITS_S = 0.9
WAITING_MOST = 64  # orders at a time; a caller beyond them is told to come back
INLINE_MOST = 64 * 1024  # bytes of documents that are checked without a thread
DIGEST_BYTES = 16

IsWaiting = Callable[[], bool]  # whether an order's caller is still there


class Verdict(Enum):
    """What became of an order."""

    DONE = auto()
    STALE = auto()  # built on another version than the current one
    INVALID = auto()
    ELSEWHERE = auto()  # another store is primary
    UNCLEAR = auto()  # it may or may not be in force: to be sent again


@dataclass(frozen=True, slots=True)
class Outcome:
    """The verdict, why, and for reads the document."""

    verdict: Verdict
    faults: tuple[str, ...] = ()
    document: bytes = b""


def digest_of(kind: str, base: int, body: bytes) -> bytes:
    """What tells a call sent again from another one."""
    head = f"{kind} {base}\n".encode()
    return hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


def judge(kind: str, base: int, body: bytes, state: ControlState) -> Outcome | ConfigChange:
    """What a call comes to on a state that is known to be newest: its answer, or the change that it is."""
    digest = digest_of(kind, base, body)
    if state.has_applied(digest):
        return Outcome(Verdict.DONE)
    if base != state.generation:
        # A call that was taken is never refused, also once it is too long ago to be told from another.
        return Outcome(Verdict.UNCLEAR if state.may_have_applied(digest, base) else Verdict.STALE)
    read = read_put(body, state.document) if kind == "put" else read_patch(body, state.document)
    match read.bind(lambda raw: check_generation(raw, state.generation).map(lambda _: raw)):
        case Success(raw):
            document = json.dumps(raw, separators=(",", ":")).encode()
            if len(document) > MAX_DOCUMENT_BYTES:
                return Outcome(
                    Verdict.INVALID, (f"the configuration has more than {MAX_DOCUMENT_BYTES} bytes",)
                )
            return ConfigChange(digest, int(raw["generation"]), document)
        case Failure(invalid):
            return Outcome(Verdict.INVALID, invalid.faults)
    raise AssertionError("unreachable")


class Orders:
    """Carries out orders on this store as far as it is the primary."""

    def __init__(self, replicator: Replicator) -> None:
        self._replicator = replicator
        self._node = replicator.node
        self._one_write = asyncio.Lock()
        self._waiting = 0

    async def change_config(self, kind: str, base: int, body: bytes, is_waiting: IsWaiting) -> Outcome:
        """Put a configuration (`put`) or change named items of it (`patch`)."""

        async def act(state: ControlState) -> Outcome:
            if len(body) + len(state.document) > INLINE_MOST:
                # Checking a long document takes longer than a primary may be silent.
                judged = await asyncio.to_thread(judge, kind, base, body, state)
            else:
                judged = judge(kind, base, body, state)
            if isinstance(judged, ConfigChange):
                return await self._write(judged, state) if is_waiting() else self._unable()
            return judged if await self._newest() else self._unable()

        return await self._in_turn(act, is_waiting)

    async def evacuate(self, zone: str, active: bool, is_waiting: IsWaiting) -> Outcome:
        """Empty a zone or take it back."""
        last = self._replicator.now() + EVACUATION_WAITS_S

        async def act(state: ControlState) -> Outcome:
            # Also before a write: a process that stood still reads its caller's leave during this round trip.
            if not await self._newest():
                return self._unable()
            if (zone in state.evacuated) == active:
                return Outcome(Verdict.DONE)
            if not is_waiting() or self._replicator.now() > last:
                return self._unable()
            return await self._write(Evacuation(zone, active), state)

        return await self._in_turn(act, is_waiting)

    async def current(self) -> Outcome:
        """The newest configuration, known to be that by a majority after the call came."""
        if not self._node.is_primary:
            return Outcome(Verdict.ELSEWHERE)
        if not await self._newest():
            return self._unable()
        state = await self._state()
        return Outcome(Verdict.DONE, document=state.document) if state else self._unable()

    async def _in_turn(
        self, act: Callable[[ControlState], Awaitable[Outcome]], is_waiting: IsWaiting
    ) -> Outcome:
        """Act on the newest state once all orders before this one are through."""
        if not self._node.is_primary:
            return Outcome(Verdict.ELSEWHERE)
        if self._waiting >= WAITING_MOST:
            return Outcome(Verdict.UNCLEAR)
        self._waiting += 1
        try:
            async with asyncio.timeout(COMMIT_S):
                await self._one_write.acquire()
            try:
                state = await self._state() if is_waiting() else None
                return await act(state) if state else self._unable()
            finally:
                self._one_write.release()
        except TimeoutError:
            return Outcome(Verdict.UNCLEAR)
        finally:
            self._waiting -= 1

    async def _state(self) -> ControlState | None:
        """The state, once all of it is on all replicas."""
        node = self._node

        def settled() -> bool:
            return not node.is_primary or (node.committed_state is not None and node.is_ready)

        await self._replicator.wait_until(settled, COMMIT_S)
        return node.committed_state if node.is_ready else None

    async def _newest(self) -> bool:
        """Whether a majority of witnesses, asked now, knows of no newer epoch."""
        node = self._node
        asked = node.begin_confirmation(self._replicator.now())
        self._replicator.pump()
        await self._replicator.wait_until(lambda: node.is_confirmed(asked) or not node.is_primary, CONFIRM_S)
        return node.is_confirmed(asked)

    async def _write(self, change: Change, judged_on: ControlState) -> Outcome:
        """Write a change that was judged on a state, if that is the state still."""
        node = self._node
        if node.committed_state is not judged_on:
            return self._unable()
        ticket = node.propose(change, self._replicator.now())
        if ticket is None:
            return self._unable()
        self._replicator.pump()

        def done() -> bool:
            state = node.committed_state
            return state is not None and state.sequence >= ticket.sequence

        if await self._replicator.wait_until(lambda: done() or not node.is_primary, COMMIT_S) and done():
            state = node.committed_state
            if state and _holds(state, change):
                return Outcome(Verdict.DONE)
        return self._unable()

    def _unable(self) -> Outcome:
        return Outcome(Verdict.UNCLEAR if self._node.is_primary else Verdict.ELSEWHERE)


def _holds(state: ControlState, change: Change) -> bool:
    if isinstance(change, ConfigChange):
        return state.has_applied(change.digest)
    return (change.zone in state.evacuated) == change.active
