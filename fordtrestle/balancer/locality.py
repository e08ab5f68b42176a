"""Local preference: if crossing zones has a cost, requests stay in the local zone until it fails. Pure.

Requests spill over to remote zones when the local zone's extra failures and late answers cost more than a
crossing.
"""

from __future__ import annotations

from fordtrestle.balancer import model
from fordtrestle.balancer.servers import Server

MIN_CROSSING_PRICE = 0.05  # with a lower price, the queues that a local preference builds up cost more
CROSSING_MARGIN = 0.5  # less than 1, since a request that crosses also shortens the local queue
SPILL_GAIN = 0.15  # change of the remote share per outcome
REMOTE_FAILURE_GAIN = 1.0 - 0.9  # weight of the latest outcome; there are few outcomes of remote zones


class LocalPreference:
    """Adjusts which share of each class goes to remote zones.

    Attributes:
        is_on: Whether local servers are preferred at all.
    """

    def __init__(self, settings: model.Settings) -> None:
        self._remote_shares: list[float] = []  # by class
        self._remote_failures = 0.0  # exponentially weighted share
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings; the remote shares are kept."""
        price = settings.prices.get("CrossZone", 0.0)
        self.is_on = settings.zones > 1 and price >= MIN_CROSSING_PRICE
        self._zone = settings.locality
        # The cost of a crossing, as a share of the value of a request of each class.
        weights = [profile.worth for profile in settings.profiles]
        self._margins = [CROSSING_MARGIN * price * max(weights) / (weight or 1.0) for weight in weights]
        self._remote_shares += [0.0] * (len(weights) - len(self._remote_shares))

    def remote_share(self, traffic_class: int) -> float:
        """Return the share of a class that goes to remote zones."""
        return self._remote_shares[traffic_class]

    def record_outcome(self, server: Server, traffic_class: int, failed: bool) -> None:
        """Record an outcome; the caller counts a late answer as failed."""
        if not self.is_on:
            return
        failures = float(failed)
        if server.zone != self._zone:
            self._remote_failures += REMOTE_FAILURE_GAIN * (failures - self._remote_failures)
        else:
            step = SPILL_GAIN * (failures - self._remote_failures - self._margins[traffic_class])
            self._remote_shares[traffic_class] = min(1.0, max(0.0, self._remote_shares[traffic_class] + step))
