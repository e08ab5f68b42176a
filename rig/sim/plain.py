"""Baseline policy: fewest own requests in flight, and no rejection unless no server is left. Pure.

Its results show the load that the simulated servers can carry without load shedding.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Outcome

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED)


@dataclass(slots=True)
class Open:
    """An unanswered request: its deadline and the servers that it was sent to."""

    give_up_ms: float
    sent: list[str] = field(default_factory=list)


class Plain:
    """Balancer of one sidecar. Times are milliseconds; `max_attempts` bounds the sends of a request."""

    def __init__(self, max_attempts: int, seed: int) -> None:
        self._max_attempts = max_attempts
        self._rng = random.Random(seed)
        self._in_flight: dict[str, int] = {}  # own requests in flight by server
        self._usable: list[str] = []
        self._open: dict[int, Open] = {}

    def request(self, now: float, arrival: model.Arrival) -> list[model.Action]:
        """Send a request, or reject it if there is no server."""
        self._open[arrival.request] = Open(arrival.give_up_at)
        return self._send(now, arrival.request)

    def outcome(
        self,
        now: float,
        request_id: int,
        hop: int,
        status: int,
        spent: float = 0.0,
        last: bool = False,
        report: Mapping[str, float] | None = None,
    ) -> list[model.Action]:
        """Retry a request that never ran; end it otherwise."""
        pending = self._open[request_id]
        self._in_flight[pending.sent[hop]] -= 1
        if (
            not last
            and status in NEVER_RAN
            and len(pending.sent) < self._max_attempts
            and now < pending.give_up_ms
        ):
            return self._send(now, request_id)
        del self._open[request_id]
        return [] if last else [model.Fail(request_id)]

    def timer(self, now: float, token: str) -> list[model.Action]:
        """Do nothing: this policy sets no timers."""
        return []

    def server_list(self, now: float, form: str, entries: Iterable[model.Listing]) -> list[model.Action]:
        """Apply a whole server list or changes from discovery."""
        if form != "changes":
            self._usable = []
        for entry in entries:
            self._in_flight.setdefault(entry.server, 0)
            if entry.server in self._usable:
                self._usable.remove(entry.server)
            if entry.state == "active":
                self._usable.append(entry.server)
        return []

    def _send(self, now: float, request_id: int) -> list[model.Action]:
        pending = self._open[request_id]
        untried = [name for name in self._usable if name not in pending.sent]
        if not untried:
            del self._open[request_id]
            return [model.Fail(request_id) if pending.sent else model.Refuse(request_id, 0.0)]
        name = min(untried, key=lambda name: (self._in_flight[name], self._rng.random()))
        self._in_flight[name] += 1
        pending.sent.append(name)
        return [model.Send(request_id, name, pending.give_up_ms - now)]
