"""The warm-up budget: how many requests the fleet may send to a server that is warming up. Pure.

Source: Envoy's slow start mode, here as a bound on the rate in place of a growing weight.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from fordtrestle.admission.constants import BUDGET_MARGIN
from fordtrestle.dissemination.rendezvous import ranked

WINDOW_S = 1.0  # rates of servers that warm up are configured in requests a second


class WarmUpBudget:
    """Bounds this sidecar's requests to each warming server to its part of the rate that the server bears.

    Where there are more sidecars than the bound has requests, only as many may send to a server as it has:
    those that rendezvous hashing draws for it. All sidecars agree on them without asking each other, so that
    many that start at one moment do not overload a server together.
    """

    def __init__(self, overshoot: float, slack: float, node: str) -> None:
        """Begin without requests sent.

        Args:
            overshoot: Factor by which the rate of a warming server may be exceeded.
            slack: Requests a second that it may get on top of that.
            node: The name of this sidecar.
        """
        self._overshoot = overshoot
        self._slack = slack
        self._node = node
        self._sent: dict[str, deque[float]] = {}

    def try_acquire(self, instance: str, rate_per_s: float, sidecars: Collection[str], now: float) -> bool:
        """Take one request to a warming server out of the budget.

        Args:
            instance: The server.
            rate_per_s: Requests a second that it bears while it warms up.
            sidecars: The names of all sidecars that may send to it.
            now: Seconds of a monotonic clock.

        Returns:
            Whether the budget had room within the last second; only then the request is counted.
        """
        bound = BUDGET_MARGIN * (rate_per_s * self._overshoot + self._slack)
        senders = ranked(instance, {*sidecars, self._node})[: max(1, int(bound))]
        if self._node not in senders:
            return False
        sent = self._sent.setdefault(instance, deque())
        while sent and sent[0] <= now - WINDOW_S:
            sent.popleft()
        if len(sent) + 1 > max(1, int(bound / len(senders))):
            return False
        sent.append(now)
        return True

    def retain(self, instances: Collection[str]) -> None:
        """Drop the counts of all servers but these."""
        for instance in set(self._sent) - set(instances):
            del self._sent[instance]
