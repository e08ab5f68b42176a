"""Budgets of the whole fleet, of which each sidecar acts on its part: second sends and cold servers. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from fordtrestle.dissemination.rendezvous import ranked

MARGIN = 0.7  # of the budget: views of who is live differ for a while
WINDOWS_MOST = 4096  # requests remembered a window


class RetryBudget:
    """Second sends of one callee: a ratio of its requests plus a part of the fleet's allowance."""

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def request(self, callee: str, now: float) -> None:
        """Count a client's request."""
        self._recent(self._requests, callee, now).append(now)

    def allows(self, callee: str, sidecars: int, now: float) -> bool:
        """Whether one more send beyond a request's first fits, and count it if so."""
        requests = len(self._recent(self._requests, callee, now))
        repeats = self._recent(self._repeats, callee, now)
        part = MARGIN * (self._ratio * requests + self._allowance / max(1, sidecars))
        if len(repeats) + 1 > part:
            return False
        repeats.append(now)
        return True

    def _recent(self, table: dict[str, deque[float]], callee: str, now: float) -> deque[float]:
        times = table.setdefault(callee, deque(maxlen=WINDOWS_MOST))
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times


class ColdBudget:
    """Requests to cold servers: each sidecar's part of the rate that one bears, summed over the fleet.

    Where there are more sidecars than the bound has room for, only as many as it has may send to a server:
    those that rendezvous hashing draws for it, which all agree on without being asked.
    """

    def __init__(self, overshoot: float, slack: float, me: str) -> None:
        self._overshoot = overshoot
        self._slack = slack
        self._me = me
        self._sent: dict[str, deque[float]] = {}

    def allows(self, instance: str, rate_s: float, sidecars: Collection[str], now: float) -> bool:
        """Whether one more request may be sent to this cold server within this second, and count it if so."""
        bound = MARGIN * (rate_s * self._overshoot + self._slack)
        senders = ranked(instance, {*sidecars, self._me})[: max(1, int(bound))]
        if self._me not in senders:
            return False
        sent = self._sent.setdefault(instance, deque())
        while sent and sent[0] <= now - 1.0:
            sent.popleft()
        if len(sent) + 1 > max(1, int(bound / len(senders))):
            return False
        sent.append(now)
        return True

    def forget(self, instances: Collection[str]) -> None:
        """Keep only these servers' counts."""
        for instance in set(self._sent) - set(instances):
            del self._sent[instance]
