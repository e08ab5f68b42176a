"""Forwards applications' commands to the primary from whichever control process receives them.

A command is sent once over the existing link to the primary's process, together with the time at which its
caller stops waiting, on the clock of that process. A redirected caller would first have to open a connection
between regions.
"""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Awaitable
from typing import Protocol

from fordtrestle.control_api.coordination_service import CoordinationService
from fordtrestle.control_api.requests import IsCallerWaiting
from fordtrestle.coordination.answers import Answer, NotPrimary, OutcomeUnknown, Overloaded, Unavailable
from fordtrestle.coordination.calls import CoordinationCall, CoordinationReply
from fordtrestle.coordination.commands import Command
from fordtrestle.peer.handshake import DEADLINE_VERSION
from fordtrestle.peer.link import Link
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.remote_clock import ClockReading, RemoteClock
from fordtrestle.replication.node import Node

# Time limit for finding a primary: a caller that is rejected within one second tries another process.
FIND_PRIMARY_TIMEOUT_S = 0.6
FIND_PRIMARY_RETRY_S = 0.05
MAX_FORWARDED = 1024  # forwarded commands in flight; further callers are asked to retry
MAX_REMOTE_CLOCKS = 64  # of other control processes; the oldest one is forgotten beyond that
CLOCK_ID_BYTES = 8  # random, so that two processes never have the same one
MS_PER_S = 1000.0


class CallCommand(Protocol):
    """Has the primary execute a command before a deadline, as `CoordinationRouter.call` does."""

    def __call__(
        self, command: Command, deadline: float, is_caller_waiting: IsCallerWaiting = ...
    ) -> Awaitable[Answer]:
        """Execute a command; the deadline is in seconds of the steady clock."""


class CoordinationRouter:
    """Has the primary execute commands, and executes those that other control processes forward.

    Attributes:
        expired_count: How many commands were not forwarded since their callers had given them up.
    """

    def __init__(self, service: CoordinationService, node: Node, mesh: Mesh) -> None:
        """Create a router without commands in flight.

        Args:
            service: Executes commands on this store.
            node: The replication of this store, which knows the primary.
            mesh: The links to other processes.
        """
        self.expired_count = 0
        self._service = service
        self._node = node
        self._mesh = mesh
        self._tokens = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Answer]] = {}  # by token
        self._serve_tasks: set[asyncio.Task[None]] = set()
        self._clock = secrets.token_hex(CLOCK_ID_BYTES)
        self._remote_clocks: dict[str, RemoteClock] = {}  # by node, the one heard of last is the last

    async def call(
        self, command: Command, deadline: float, is_caller_waiting: IsCallerWaiting = lambda: True
    ) -> Answer:
        """Have a command executed by the current primary.

        Args:
            command: The command.
            deadline: When the caller stops waiting, in seconds of the steady clock.
            is_caller_waiting: Whether the caller is still connected.

        Returns:
            The answer; `Unavailable` if no primary was found in time.
        """
        loop = asyncio.get_running_loop()
        give_up_at = min(deadline, loop.time() + FIND_PRIMARY_TIMEOUT_S)
        while True:
            answer = await self._attempt(command, deadline, is_caller_waiting)
            if not isinstance(answer, NotPrimary):
                return answer
            if loop.time() + FIND_PRIMARY_RETRY_S >= give_up_at:
                return Unavailable()
            await asyncio.sleep(FIND_PRIMARY_RETRY_S)

    def on_call(self, link: Link, call: CoordinationCall) -> None:
        """Execute a command that another control process forwards; the service limits how many run."""
        deadline = self._deadline_of(call)
        if deadline is None:
            link.send(CoordinationReply(call.token, NotPrimary()))
            return
        task = asyncio.create_task(
            self._serve(link, call.token, self._service.execute(call.command, deadline))
        )
        self._serve_tasks.add(task)
        task.add_done_callback(self._serve_tasks.discard)

    def on_reply(self, reply: CoordinationReply) -> None:
        """Pass an answer to the call that waits for it; a late answer is dropped."""
        pending = self._replies.get(reply.token)
        if pending and not pending.done():
            pending.set_result(reply.answer)

    def send_clock_reading(self, link: Link) -> None:
        """Tell another control process what the steady clock of this one shows."""
        if link.version >= DEADLINE_VERSION:
            link.send(ClockReading(self._clock, asyncio.get_running_loop().time()))

    def on_clock_reading(self, link: Link, reading: ClockReading) -> None:
        """Take a reading of another control process's clock into account."""
        now = asyncio.get_running_loop().time()
        known = self._remote_clocks.pop(link.node, None)
        if known is None or known.clock != reading.clock:
            known = RemoteClock(reading, now)
        else:
            known.on_reading(reading, now)
        self._remote_clocks[link.node] = known
        if len(self._remote_clocks) > MAX_REMOTE_CLOCKS:
            del self._remote_clocks[next(iter(self._remote_clocks))]

    def _deadline_of(self, call: CoordinationCall) -> float | None:
        """Return the deadline of a forwarded command; None if it is on the clock of another process."""
        if not call.clock:
            return asyncio.get_running_loop().time() + call.timeout_ms / MS_PER_S
        return call.deadline if call.clock == self._clock else None

    @staticmethod
    async def _serve(link: Link, token: int, execution: Awaitable[Answer]) -> None:
        link.send(CoordinationReply(token, await execution))

    async def _attempt(self, command: Command, deadline: float, is_caller_waiting: IsCallerWaiting) -> Answer:
        if self._node.is_primary:
            return await self._service.execute(command, deadline, is_caller_waiting)
        if asyncio.get_running_loop().time() >= deadline or not is_caller_waiting():
            self.expired_count += 1
            return Unavailable()
        primary = self._node.reachable_primary(asyncio.get_running_loop().time())
        link = self._mesh.link_at(primary.address) if primary else None
        return await self._forward(link, command, deadline) if link else NotPrimary()

    async def _forward(self, link: Link, command: Command, deadline: float) -> Answer:
        loop = asyncio.get_running_loop()
        if len(self._replies) >= MAX_FORWARDED:
            return Overloaded()
        token, reply = next(self._tokens), loop.create_future()
        call = self._make_call(link, token, command, deadline)
        if call is None:
            return NotPrimary()
        self._replies[token] = reply
        try:
            if not link.send(call):
                return NotPrimary()
            async with asyncio.timeout_at(deadline):
                answer: Answer = await reply
                return answer
        except TimeoutError:
            return OutcomeUnknown()
        finally:
            del self._replies[token]

    def _make_call(
        self, link: Link, token: int, command: Command, deadline: float
    ) -> CoordinationCall | None:
        """Return the message that forwards a command; None while the receiver's clock is unknown."""
        timeout_ms = (deadline - asyncio.get_running_loop().time()) * MS_PER_S
        if link.version < DEADLINE_VERSION:
            return CoordinationCall(token, command, timeout_ms)
        clock = self._remote_clocks.get(link.node)
        if clock is None:
            return None
        return CoordinationCall(token, command, timeout_ms, clock.clock, clock.earliest(deadline))
