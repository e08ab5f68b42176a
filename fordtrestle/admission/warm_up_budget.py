"""The warm-up budget: how many requests the fleet may send to a server that is warming up. Pure.

Source: Envoy's slow start mode, here as a bound on the rate in place of a growing weight.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from fordtrestle.admission.constants import BUDGET_MARGIN
from fordtrestle.dissemination.rendezvous import ranked

WINDOW_S = 1.0  # the rates of warming servers are configured in requests per second


class WarmUpBudget:
    """Bounds this sidecar's requests to each warming server to its share of the server's rate.

    If there are more sidecars than the bound allows requests, only as many sidecars as requests may send to a
    server; rendezvous hashing selects them. All sidecars agree on the selection without communicating, so
    that many sidecars that start at the same moment do not overload a server together.
    """

    def __init__(self, overshoot: float, slack: float, node: str) -> None:
        """Start without requests.

        Args:
            overshoot: The factor by which the rate of a warming server may be exceeded.
            slack: Requests per second that a server may get on top of that.
            node: The name of this sidecar.
        """
        self._overshoot = overshoot
        self._slack = slack
        self._node = node
        self._sent: dict[str, deque[float]] = {}

    def try_acquire(self, instance: str, rate_per_s: float, sidecars: Collection[str], now: float) -> bool:
        """Take one request to a warming server from the budget if it allows one.

        Args:
            instance: The server.
            rate_per_s: The requests per second that the server can handle while it warms up.
            sidecars: The names of all sidecars that may send to it.
            now: The time in seconds of a monotonic clock.

        Returns:
            Whether the request may be sent; only then is it counted.
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
        """Drop the counts of all other servers."""
        for instance in set(self._sent) - set(instances):
            del self._sent[instance]
