"""Order per key: requests of one key run one at a time, in the order taken. Pure."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fordtrestle.balancer import model
from fordtrestle.balancer.requests import Request

TURN_TIMER = "turn:"


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one key, in the order taken; the first one's turn it is."""

    waiting: deque[Request] = field(default_factory=deque)
    rest_until: float = -math.inf  # what was sent before may run until then
    is_advancing: bool = False


class KeyOrder:
    """Starts requests as their turn comes.

    Attributes:
        queues: By key; a key that rests has an empty one.
    """

    def __init__(self, actions: list[model.Action], start: Callable[[float, Request], None]) -> None:
        """No request waits.

        Args:
            actions: What is to be done is added here.
            start: Begins a request whose turn it is; it may end it at once.
        """
        self.queues: dict[int, KeyQueue] = {}
        self._actions = actions
        self._start = start

    def queue(self, key: int) -> KeyQueue:
        """The queue of a key."""
        found = self.queues.get(key)
        if found is None:
            found = self.queues[key] = KeyQueue()
        return found

    def rest(self, key: int, until: float) -> None:
        """A request of this key may be running still: none is begun until then."""
        self.queues[key].rest_until = until

    def extend_rests(self, longer_ms: float) -> None:
        """All keys rest for so much longer."""
        for queue in self.queues.values():
            queue.rest_until += longer_ms

    def may_send(self, now: float, request: Request) -> bool:
        """Whether it is a request's turn, and its key has rested from what was sent before it."""
        if request.key is None:
            return True
        queue = self.queues[request.key]
        return queue.waiting[0] is request and (now >= queue.rest_until or bool(request.attempts))

    def on_turn_timer(self, now: float, token: str) -> None:
        """A key has rested."""
        self.advance(now, int(token[len(TURN_TIMER) :]))

    def advance(self, now: float, key: int) -> None:
        """Start whose turn it is: all before it are over, and the key has rested from doubts."""
        queue = self.queues.get(key)
        if queue is None or queue.is_advancing:
            return
        queue.is_advancing = True  # a refusal ends a request, which would come here again
        waiting = queue.waiting
        while waiting:
            first = waiting[0]
            if first.is_done and first.in_flight == 0:
                waiting.popleft()
                continue
            if first.is_done or first.attempts:
                break
            if now < queue.rest_until:
                self._actions.append(model.Timer(queue.rest_until - now, f"{TURN_TIMER}{key}"))
                break
            self._start(now, first)
            if not first.is_done:
                break
        queue.is_advancing = False
        if not waiting:
            if now < queue.rest_until:
                self._actions.append(model.Timer(queue.rest_until - now, f"{TURN_TIMER}{key}"))
            else:
                del self.queues[key]
