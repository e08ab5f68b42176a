"""Brings applications' commands to the primary, from whichever control process they come to.

A command travels over the link that this process has to the primary's, once, with the time that its caller
still waits: a caller that were redirected would have to open a connection between regions first.
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

# For a primary to be found: a caller that is refused within a second asks elsewhere, by itself.
FIND_PRIMARY_TIMEOUT_S = 0.6
FIND_PRIMARY_RETRY_S = 0.05
MAX_FORWARDED = 1024  # commands under way to the primary; a caller beyond them is asked to come back
MS_PER_S = 1000.0

CallCommand = Callable[[Command, float], Awaitable[Answer]]
"""Has a command carried out before a deadline, as `CoordinationRouter.call` does."""


class CoordinationRouter:
    """Has the primary carry commands out, and carries out those that other control processes bring."""

    def __init__(self, service: CoordinationService, node: Node, mesh: Mesh) -> None:
        """Keep what it works on.

        Args:
            service: Carries commands out here.
            node: The replication of this store, for where the primary is.
            mesh: The links to other processes.
        """
        self._service = service
        self._node = node
        self._mesh = mesh
        self._tokens = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Answer]] = {}  # by token
        self._serving: set[asyncio.Task[None]] = set()

    async def call(self, command: Command, deadline: float) -> Answer:
        """Have a command carried out by whoever is primary.

        Args:
            command: The command.
            deadline: When its caller stops waiting, in s of the steady clock.
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
        """Carry out a command that another control process brings; the service bounds how many there are."""
        deadline = asyncio.get_running_loop().time() + call.timeout_ms / MS_PER_S
        task = asyncio.create_task(
            self._serve(link, call.token, self._service.execute(call.command, deadline))
        )
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    def on_reply(self, reply: CoordinationReply) -> None:
        """Hand an answer to the call that waits for it; one that comes too late is dropped."""
        waiting = self._replies.get(reply.token)
        if waiting and not waiting.done():
            waiting.set_result(reply.answer)

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
