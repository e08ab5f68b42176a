"""Outage detection: an outage begins when nothing is accepted, and ends when a trial is accepted. Pure.

During an outage the throttle's window contains only failures and gives no information, so a few trial
requests are sent instead. All sidecars act alike, so that each may send its share of a server's trials.
"""

from __future__ import annotations

OUTAGE_MS = 300.0  # minimum time without an accept; the ordinary path handles shorter interruptions
OUTAGE_FAILURES = 5  # minimum failures in that time: after fewer, the next request may well be served
# Trials in flight that a server may have from all sidecars together; more could overload it when it recovers.
MAX_UNANSWERED_TRIALS = 4.0
TRIALS_PER_S = 2.0  # further trials of a server, as hung servers would otherwise never be tried again


class OutageDetector:
    """Detects an outage by the failures since the last accept.

    Attributes:
        is_ongoing: Whether there is an outage.
    """

    def __init__(self, now: float) -> None:
        self.is_ongoing = False
        self._failures = 0  # since the last attempt that the service accepted
        self._failing_since = now  # time of the first of these failures
        self._trial_at = now

    def begins(self, now: float) -> bool:
        """Return whether an outage begins now, and remember it; False while one is ongoing."""
        if self.is_ongoing or self._failures < OUTAGE_FAILURES or now - self._failing_since < OUTAGE_MS:
            return False
        self.is_ongoing, self._trial_at = True, now
        return True

    def allows_trial(self, now: float, in_flight: int, servers_per_sidecar: float, sample: float) -> bool:
        """Return whether a trial may be sent, and count it if the bound on trials in flight is exceeded.

        Trials whose connections are refused end at once, so they do not delay further ones.

        Args:
            now: The time in ms.
            in_flight: This sidecar's attempts in flight.
            servers_per_sidecar: The number of servers divided by the number of sidecars.
            sample: A random number in [0, 1), which rounds this sidecar's share of the trials in flight.
        """
        earned_trials = (now - self._trial_at) * TRIALS_PER_S / 1000.0 * servers_per_sidecar
        is_full = in_flight >= MAX_UNANSWERED_TRIALS * servers_per_sidecar + sample
        if is_full and earned_trials >= 1.0:
            self._trial_at = now
        return not is_full or earned_trials >= 1.0

    def record_failure(self, now: float) -> None:
        """Record an attempt that was not accepted."""
        if not self._failures:
            self._failing_since = now
        self._failures += 1

    def record_accept(self, now: float) -> float | None:
        """Record that the service accepted work.

        Returns:
            The duration in ms of the outage that this ends, from its first failure; None if there was none.
        """
        self._failures = 0
        if not self.is_ongoing:
            return None
        self.is_ongoing = False
        return now - self._failing_since
