"""The operator's orders, carried out by the primary: one write at a time, each on what is known to be
newest.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
from dataclasses import dataclass
from enum import Enum, auto

from returns.result import Failure, Success

from fordtrestle.control_api.configuration import check_generation, read_patch, read_put
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.state import Change, ConfigChange, ControlState, Evacuation

COMMIT_S = 5.0  # for a write to reach all replicas, a change of the epoch included
CONFIRM_S = 2.0
DIGEST_BYTES = 16


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


class Orders:
    """Carries out orders on this store as far as it is the primary."""

    def __init__(self, replicator: Replicator) -> None:
        self._replicator = replicator
        self._node = replicator.node
        self._one_write = asyncio.Lock()

    async def change_config(self, kind: str, base: int, body: bytes) -> Outcome:
        """Put a configuration (`put`) or change named items of it (`patch`)."""
        if not self._node.is_primary:
            return Outcome(Verdict.ELSEWHERE)
        digest = digest_of(kind, base, body)
        async with self._one_write:
            state = await self._state()
            if state is None:
                return self._unable()
            if digest in state.taken:
                return Outcome(Verdict.DONE)
            if base != state.generation:
                return Outcome(Verdict.STALE) if await self._newest() else self._unable()
            read = read_put(body) if kind == "put" else read_patch(body, state.document)
            checked = read.bind(lambda raw: check_generation(raw, state.generation).map(lambda _: raw))
            match checked:
                case Failure(invalid):
                    return Outcome(Verdict.INVALID, invalid.faults)
                case Success(raw):
                    document = json.dumps(raw, separators=(",", ":")).encode()
                    change = ConfigChange(digest, int(raw["generation"]), document)
                    return await self._write(change)
        raise AssertionError("unreachable")

    async def evacuate(self, zone: str, active: bool) -> Outcome:
        """Empty a zone or take it back."""
        if not self._node.is_primary:
            return Outcome(Verdict.ELSEWHERE)
        async with self._one_write:
            state = await self._state()
            if state is None:
                return self._unable()
            if (zone in state.evacuated) == active:
                return Outcome(Verdict.DONE) if await self._newest() else self._unable()
            return await self._write(Evacuation(zone, active))

    async def current(self) -> Outcome:
        """The newest configuration, known to be that by a majority after the call came."""
        if not self._node.is_primary:
            return Outcome(Verdict.ELSEWHERE)
        if not await self._newest():
            return self._unable()
        state = await self._state()
        return Outcome(Verdict.DONE, document=state.document) if state else self._unable()

    async def _state(self) -> ControlState | None:
        """The state, once all of it is on all replicas."""
        node = self._node

        def settled() -> bool:
            return not node.is_primary or (node.committed_state is not None and node.is_ready)

        await self._replicator.until(settled, COMMIT_S)
        return node.committed_state if node.is_ready else None

    async def _newest(self) -> bool:
        """Whether a majority of witnesses, asked now, knows of no newer epoch."""
        node = self._node
        asked = node.ask_round(self._replicator.now())
        self._replicator.pump()
        await self._replicator.until(lambda: node.confirmed(asked) or not node.is_primary, CONFIRM_S)
        return node.confirmed(asked)

    async def _write(self, change: Change) -> Outcome:
        node = self._node
        ticket = node.propose(change, self._replicator.now())
        if ticket is None:
            return self._unable()
        self._replicator.pump()

        def done() -> bool:
            state = node.committed_state
            return state is not None and state.sequence >= ticket.sequence

        if await self._replicator.until(lambda: done() or not node.is_primary, COMMIT_S) and done():
            state = node.committed_state
            if state and _holds(state, change):
                return Outcome(Verdict.DONE)
        return self._unable()

    def _unable(self) -> Outcome:
        return Outcome(Verdict.UNCLEAR if self._node.is_primary else Verdict.ELSEWHERE)


def _holds(state: ControlState, change: Change) -> bool:
    if isinstance(change, ConfigChange):
        return change.digest in state.taken
    return (change.zone in state.evacuated) == change.active
