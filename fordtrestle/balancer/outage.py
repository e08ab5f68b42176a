"""Outage detection: nothing at all is accepted, and trial requests tell when it ends. Pure.

While it lasts the throttle's window holds nothing but failures and would tell nothing; a few trials are
sent in its place. All sidecars act alike, so each has its part of the trials that a server may be sent.
"""

from __future__ import annotations

OUTAGE_MS = 300.0  # without an accept: shorter is a blip that the ordinary path rides out
OUTAGE_FAILURES = 5  # and so many failures meanwhile: a quiet sidecar's next one may be served
MAX_UNANSWERED_TRIALS = (
    4.0  # that a server may hold from all sidecars together: more would fell it on return,
)
TRIALS_PER_S = 2.0  # and new ones that it may get besides, or servers that hang would never be tried


class OutageDetector:
    """Counts failures since the last accept.

    Attributes:
        is_ongoing: Whether an outage is on.
    """

    def __init__(self, now: float) -> None:
        self.is_ongoing = False
        self._failures = 0  # attempts since the last that the service took
        self._failing_since = now  # the first of them
        self._trial_at = now

    def begins(self, now: float) -> bool:
        """Whether an outage begins now; until it ends, it does not begin again."""
        if self.is_ongoing or self._failures < OUTAGE_FAILURES or now - self._failing_since < OUTAGE_MS:
            return False
        self.is_ongoing, self._trial_at = True, now
        return True

    def allows_trial(self, now: float, in_flight: int, servers_share: float, luck: float) -> bool:
        """Whether a trial may be sent: too many may be silent. Refused connections hold none back.

        Args:
            now: The time in ms.
            in_flight: Own attempts that are out.
            servers_share: The servers over the sidecars, which share them.
            luck: A random number from 0 to 1, for the part of a trial that is this sidecar's.
        """
        gained = (now - self._trial_at) * TRIALS_PER_S / 1000.0 * servers_share
        is_full = in_flight >= MAX_UNANSWERED_TRIALS * servers_share + luck
        if is_full and gained >= 1.0:
            self._trial_at = now
        return not is_full or gained >= 1.0

    def record_failure(self, now: float) -> None:
        """An attempt was not accepted."""
        if not self._failures:
            self._failing_since = now
        self._failures += 1

    def record_accept(self, now: float) -> float | None:
        """The service takes work.

        Returns:
            How many ms the outage lasted that ends with it, from its first failure; None where none was on.
        """
        self._failures = 0
        if not self.is_ongoing:
            return None
        self.is_ongoing = False
        return now - self._failing_since
