"""Order per key: requests of one key run one at a time, in the order of arrival. Pure."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fordtrestle.balancer import model
from fordtrestle.balancer.requests import Request

TURN_TIMER = "turn:"  # token prefix: the time for which a key was blocked is over


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one key in the order of arrival; only the first one may run."""

    waiting: deque[Request] = field(default_factory=deque)
    blocked_until: float = -math.inf  # until then, a request that was sent before may still be running
    is_advancing: bool = False


class KeyOrder:
    """Starts each queued request when all earlier ones of its key have ended.

    Attributes:
        queues: The queue of each key; that of a blocked key may be empty.
    """

    def __init__(self, actions: list[model.Action], start: Callable[[float, Request], None]) -> None:
        """Start without queued requests.

        Args:
            actions: The list that actions are appended to.
            start: Starts a request whose turn it is; this may end the request at once.
        """
        self.queues: dict[int, KeyQueue] = {}
        self._actions = actions
        self._start = start

    def queue(self, key: int) -> KeyQueue:
        """Return the queue of a key, which is created if there is none."""
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = KeyQueue()
        return queue

    def block_until(self, key: int, until: float) -> None:
        """Start no request of this key until then, since an earlier one may still be running."""
        self.queues[key].blocked_until = until

    def extend_blocks(self, extension_ms: float) -> None:
        """Block every key for this much longer."""
        for queue in self.queues.values():
            queue.blocked_until += extension_ms

    def may_send(self, now: float, request: Request) -> bool:
        """Return whether a request is the first of its key, and its key is not blocked by an earlier one."""
        if request.key is None:
            return True
        queue = self.queues[request.key]
        return queue.waiting[0] is request and (now >= queue.blocked_until or bool(request.attempts))

    def on_turn_timer(self, now: float, token: str) -> None:
        """Start the next request of a key that is no longer blocked."""
        self.advance(now, int(token[len(TURN_TIMER) :]))

    def advance(self, now: float, key: int) -> None:
        """Start the first request of a key if all earlier ones have ended and the key is not blocked."""
        queue = self.queues.get(key)
        if queue is None or queue.is_advancing:
            return
        queue.is_advancing = True  # a refusal ends a request, which would call this method again
        waiting = queue.waiting
        while waiting:
            first = waiting[0]
            if first.is_done and first.in_flight == 0:
                waiting.popleft()
                continue
            if first.is_done or first.attempts:
                break
            if now < queue.blocked_until:
                self._actions.append(model.Timer(queue.blocked_until - now, f"{TURN_TIMER}{key}"))
                break
            self._start(now, first)
            if not first.is_done:
                break
        queue.is_advancing = False
        if not waiting:
            if now < queue.blocked_until:
                self._actions.append(model.Timer(queue.blocked_until - now, f"{TURN_TIMER}{key}"))
            else:
                del self.queues[key]
