"""The share of a callee's requests that goes to other regions because the local one is slower. Pure.

Source: locality-aware load balancing (Envoy's locality-weighted load balancing), with weights learned from
latency. Each sidecar moves its share by small steps on what it sees of both sides, so that the sidecars of a
region converge on a share without being told of one another. Crossing costs a round trip, which is part of
the delay that is seen, so that nothing has to be configured for it.
"""

from __future__ import annotations

GAIN = 0.1  # weight of the newest answer in the mean delay: some ten answers make up the mean
STEP = 0.03  # by which one answer moves the share: the whole range takes some twenty answers
MAX_SHARE = 0.6  # the local region keeps enough requests to be seen recovering
SLOW_DELAY = 0.25  # of the latency target: answers that begin sooner have no reason to cross
MIN_ADVANTAGE = 0.05  # of the latency target, that the other regions have to be quicker by: against flapping
# Part of the remote delay that is forgotten with each local answer: few answers come from there, and without
# this one slow answer would keep requests from being tried there again.
REMOTE_DECAY = 0.003


class CrossRegionShare:
    """Learns which share of one callee's requests should leave the region.

    Delays are from the send to the beginning of the answer, in shares of the route's latency target.

    Attributes:
        share: The share of requests to send to other regions, from 0 to `MAX_SHARE`.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self._local_delay = 0.0
        self._remote_delay = 0.0

    def record_local_delay(self, delay: float) -> None:
        """Take an answer of a server of this region into account."""
        self._local_delay += GAIN * (delay - self._local_delay)
        self._remote_delay -= REMOTE_DECAY * self._remote_delay
        self._adjust()

    def record_remote_delay(self, delay: float) -> None:
        """Take an answer of a server of another region into account."""
        self._remote_delay += GAIN * (delay - self._remote_delay)
        self._adjust()

    def _adjust(self) -> None:
        is_slow = self._local_delay > SLOW_DELAY
        is_slower = self._local_delay > self._remote_delay + MIN_ADVANTAGE
        step = STEP if is_slow and is_slower else -STEP
        self.share = min(MAX_SHARE, max(0.0, self.share + step))
