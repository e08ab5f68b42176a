"""Forwards applications' commands to the primary from whichever control process receives them.

A command is sent once over the existing link to the primary's process, together with the time that its caller
still waits. A redirected caller would first have to open a connection between regions.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from fordtrestle.control_api.coordination_service import CoordinationService
from fordtrestle.coordination.answers import Answer, NotPrimary, OutcomeUnknown, Overloaded, Unavailable
from fordtrestle.coordination.calls import CoordinationCall, CoordinationReply
from fordtrestle.coordination.commands import Command
from fordtrestle.peer.link import Link
from fordtrestle.peer.mesh import Mesh
from fordtrestle.replication.node import Node

# Time limit for finding a primary: a caller that is rejected within one second tries another process.
FIND_PRIMARY_TIMEOUT_S = 0.6
FIND_PRIMARY_RETRY_S = 0.05
MAX_FORWARDED = 1024  # forwarded commands in flight; further callers are asked to retry
MS_PER_S = 1000.0

CallCommand = Callable[[Command, float], Awaitable[Answer]]
"""Has the primary execute a command before a deadline, as `CoordinationRouter.call` does."""


class CoordinationRouter:
    """Has the primary execute commands, and executes those that other control processes forward."""

    def __init__(self, service: CoordinationService, node: Node, mesh: Mesh) -> None:
        """Create a router without commands in flight.

        Args:
            service: Executes commands on this store.
            node: The replication of this store, which knows the primary.
            mesh: The links to other processes.
        """
        self._service = service
        self._node = node
        self._mesh = mesh
        self._tokens = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Answer]] = {}  # by token
        self._serve_tasks: set[asyncio.Task[None]] = set()

    async def call(self, command: Command, deadline: float) -> Answer:
        """Have a command executed by the current primary.

        Args:
            command: The command.
            deadline: When the caller stops waiting, in seconds of the steady clock.

        Returns:
            The answer; `Unavailable` if no primary was found in time.
        """
        loop = asyncio.get_running_loop()
        give_up_at = min(deadline, loop.time() + FIND_PRIMARY_TIMEOUT_S)
        while True:
            answer = await self._attempt(command, deadline)
            if not isinstance(answer, NotPrimary):
                return answer
            if loop.time() + FIND_PRIMARY_RETRY_S >= give_up_at:
                return Unavailable()
            await asyncio.sleep(FIND_PRIMARY_RETRY_S)

    def on_call(self, link: Link, call: CoordinationCall) -> None:
        """Execute a command that another control process forwards; the service limits how many run."""
        deadline = asyncio.get_running_loop().time() + call.timeout_ms / MS_PER_S
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

    @staticmethod
    async def _serve(link: Link, token: int, execution: Awaitable[Answer]) -> None:
        link.send(CoordinationReply(token, await execution))

    async def _attempt(self, command: Command, deadline: float) -> Answer:
        if self._node.is_primary:
            return await self._service.execute(command, deadline)
        primary = self._node.reachable_primary(asyncio.get_running_loop().time())
        link = self._mesh.link_at(primary.address) if primary else None
        return await self._forward(link, command, deadline) if link else NotPrimary()

    async def _forward(self, link: Link, command: Command, deadline: float) -> Answer:
        loop = asyncio.get_running_loop()
        remaining_s = deadline - loop.time()
        if remaining_s <= 0:
            return Unavailable()
        if len(self._replies) >= MAX_FORWARDED:
            return Overloaded()
        token, reply = next(self._tokens), loop.create_future()
        self._replies[token] = reply
        try:
            if not link.send(CoordinationCall(token, command, remaining_s * MS_PER_S)):
                return NotPrimary()
            async with asyncio.timeout(remaining_s):
                answer: Answer = await reply
                return answer
        except TimeoutError:
            return OutcomeUnknown()
        finally:
            del self._replies[token]
