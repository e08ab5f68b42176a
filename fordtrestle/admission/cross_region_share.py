"""The share of a callee's requests that goes to other regions because the local one is slower. Pure.

Source: locality-aware load balancing (Envoy's locality-weighted load balancing), with weights learned from
latency. Each sidecar adjusts its share in small steps by the delays that it measures in both, so that the
sidecars of a region converge on a share without communicating. Crossing costs a round trip, which is part of
the measured delay, so that it need not be configured.
"""

from __future__ import annotations

GAIN = 0.1  # weight of the latest answer in the mean delay, which covers about ten answers
STEP = 0.03  # change of the share per answer: about twenty answers for the whole range
MAX_SHARE = 0.6  # the local region keeps enough requests to detect its recovery
SLOW_DELAY = 0.25  # of the latency target; with a shorter local delay, the share decreases
MIN_ADVANTAGE = 0.05  # of the latency target, by which the other regions must be faster; prevents flapping
# The share of the remote delay that is forgotten with each local answer: remote answers are few, and a single
# slow one would otherwise prevent further requests to other regions.
REMOTE_DECAY = 0.003


class CrossRegionShare:
    """Learns which share of one callee's requests to send to other regions.

    Delays last from the send to the beginning of the answer, as a share of the route's latency target.

    Attributes:
        share: The share of requests to send to other regions, from 0 to `MAX_SHARE`.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self._local_delay = 0.0
        self._remote_delay = 0.0

    def record_local_delay(self, delay: float) -> None:
        """Record the delay of an answer from this region, and adjust the share."""
        self._local_delay += GAIN * (delay - self._local_delay)
        self._remote_delay -= REMOTE_DECAY * self._remote_delay
        self._adjust()

    def record_remote_delay(self, delay: float) -> None:
        """Record the delay of an answer from another region, and adjust the share."""
        self._remote_delay += GAIN * (delay - self._remote_delay)
        self._adjust()

    def _adjust(self) -> None:
        is_slow = self._local_delay > SLOW_DELAY
        is_slower = self._local_delay > self._remote_delay + MIN_ADVANTAGE
        step = STEP if is_slow and is_slower else -STEP
        self.share = min(MAX_SHARE, max(0.0, self.share + step))
