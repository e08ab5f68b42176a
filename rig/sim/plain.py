"""The plainest policy: fewest own requests in flight, and no refusal but where no server is left. Pure.

What it serves of a modelled day tells what the day's servers can carry without any decision to refuse.
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
    """A request that is not answered: its deadline on the clock and the servers that it was sent to."""

    give_up_ms: float
    sent: list[str] = field(default_factory=list)


class Plain:
    """One sidecar. Times are milliseconds; `attempts_most` bounds the sends of a request."""

    def __init__(self, attempts_most: int, seed: int) -> None:
        self._most = attempts_most
        self._rng = random.Random(seed)
        self._held: dict[str, int] = {}  # own requests in flight by server
        self._usable: list[str] = []
        self._open: dict[int, Open] = {}

    def request(self, now: float, arrival: model.Arrival) -> list[model.Action]:
        """Send it; refuse where there is no server."""
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
        """Send again what never ran; all else has ended."""
        asked = self._open[request_id]
        self._held[asked.sent[hop]] -= 1
        if not last and status in NEVER_RAN and len(asked.sent) < self._most and now < asked.give_up_ms:
            return self._send(now, request_id)
        del self._open[request_id]
        return [] if last else [model.Fail(request_id)]

    def timer(self, now: float, token: str) -> list[model.Action]:
        """It sets none."""
        return []

    def server_list(self, now: float, form: str, entries: Iterable[model.Listing]) -> list[model.Action]:
        """Go by what discovery says: a whole list, or changes."""
        if form != "changes":
            self._usable = []
        for entry in entries:
            self._held.setdefault(entry.server, 0)
            if entry.server in self._usable:
                self._usable.remove(entry.server)
            if entry.state == "active":
                self._usable.append(entry.server)
        return []

    def _send(self, now: float, request_id: int) -> list[model.Action]:
        asked = self._open[request_id]
        fresh = [name for name in self._usable if name not in asked.sent]
        if not fresh:
            del self._open[request_id]
            return [model.Fail(request_id) if asked.sent else model.Refuse(request_id, 0.0)]
        name = min(fresh, key=lambda name: (self._held[name], self._rng.random()))
        self._held[name] += 1
        asked.sent.append(name)
        return [model.Send(request_id, name, asked.give_up_ms - now)]
