"""Local preference: where crossings cost, requests stay in the local zone until it fails. Pure.

Requests spill over as the local zone misses latency targets by more than a crossing costs.
"""

from __future__ import annotations

from fordtrestle.balancer import model
from fordtrestle.balancer.servers import Server

MIN_CROSSING_PRICE = 0.05  # below this the queue that a preference builds costs more
CROSSING_MARGIN = 0.5  # one request moved away also shortens the queue of those that stay
SPILL_GAIN = 0.15  # of the spilled share, per outcome
REMOTE_FAILURE_GAIN = 1.0 - 0.9  # weight of the newest: few outcomes of remote zones are seen


class LocalPreference:
    """Holds which part of each class goes to remote zones.

    Attributes:
        is_on: Whether local servers are preferred at all.
    """

    def __init__(self, settings: model.Settings) -> None:
        self._spill: list[float] = []  # part of each class that crosses
        self._remote_failures = 0.0  # fading share
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Go by these settings; what spills over stays."""
        price = settings.prices.get("CrossZone", 0.0)
        self.is_on = settings.zones > 1 and price >= MIN_CROSSING_PRICE
        self._zone = settings.locality
        # What a crossing costs, as a share of what a request of each class is worth.
        weights = [profile.worth for profile in settings.profiles]
        self._margins = [CROSSING_MARGIN * price * max(weights) / (weight or 1.0) for weight in weights]
        self._spill += [0.0] * (len(weights) - len(self._spill))

    def remote_share(self, traffic_class: int) -> float:
        """The part of a class that goes to remote zones."""
        return self._spill[traffic_class]

    def record_outcome(self, server: Server, traffic_class: int, failed: bool) -> None:
        """Take in an outcome; a late answer has failed, too."""
        if not self.is_on:
            return
        failures = float(failed)
        if server.zone != self._zone:
            self._remote_failures += REMOTE_FAILURE_GAIN * (failures - self._remote_failures)
        else:
            step = SPILL_GAIN * (failures - self._remote_failures - self._margins[traffic_class])
            self._spill[traffic_class] = min(1.0, max(0.0, self._spill[traffic_class] + step))
