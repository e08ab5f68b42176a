"""What a store knows of the primary, and when it asks the others whether they suspect it, too. Pure.

A time-out detector in the sense of Chandra and Toueg (1996): it may be wrong, and only costs time then.
"""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.replication.epochs import Epoch, Store

ELECTION_TIMEOUT_S = 1.2  # four heartbeats and more: without one for so long a store asks for pre-votes
RETURN_RETRY_S = 0.2  # between the pre-votes of a primary that has started anew: nobody else is primary
ELECTION_RANK_DELAY_S = 0.4  # later by so much for each backup before it, so that they do not collide
ELECTION_JITTER_S = 0.2  # drawn on top, for the same reason


class PrimaryFailureDetector:
    """One store's view of the primary. Times are s of a steady clock.

    Attributes:
        heard_at: When the primary was heard last, or this process started.
        is_leaving: Whether this store shuts down: others go first.
        is_returning: Whether this store was primary and has started anew, so that nobody else is primary of
            that epoch.
    """

    def __init__(self, me: str, accepted_epoch: Epoch | None, draw: Callable[[], float], now: float) -> None:
        self.heard_at = now
        self.is_leaving = False
        self.is_returning = bool(accepted_epoch and accepted_epoch.primary == me)
        self._me = me
        self._draw = draw  # uniform in [0, 1)
        self._heard_from: Store | None = None
        self._lost = ""  # id of a primary that has ended, or whose machine holds another store by now
        self._ask_at = now
        self.reset_timer(accepted_epoch, now)

    def on_heartbeat(self, primary: Store | None, now: float) -> None:
        """The primary has sent a heartbeat."""
        self.heard_at, self._heard_from, self._lost = now, primary, ""

    def on_leading(self) -> None:
        """This store is primary itself."""
        self._heard_from, self._lost, self.is_returning = None, "", False

    def reachable_primary(self, now: float) -> Store | None:
        """The primary, where it was heard lately and has not said that it ends."""
        primary = self._heard_from
        if primary is None or primary.id == self._lost or now - self.heard_at > ELECTION_TIMEOUT_S:
            return None
        return primary

    def reset_timer(self, accepted_epoch: Epoch | None, now: float) -> None:
        """Start the election time-out anew.

        Guards against candidates that collide: each backup waits longer than the one before it, and by a
        draw.
        """
        rank = self._rank(accepted_epoch)
        timeout_s = ELECTION_TIMEOUT_S + ELECTION_RANK_DELAY_S * rank + ELECTION_JITTER_S * self._draw()
        self._ask_at = now + (RETURN_RETRY_S if self.is_returning else timeout_s)

    def is_due(self, now: float) -> bool:
        """Whether the election time-out has passed, so that the others are to be asked."""
        return now >= self._ask_at

    def mark_lost(self, primary: str, now: float) -> None:
        """Take the primary for ended: ask soon.

        Guards against voiding the own pre-vote: the timer is moved once for each loss, since each new attempt
        makes the grants of the one before void.
        """
        if primary == self._lost:
            return
        self._lost = primary
        if not self.is_leaving:
            self._ask_at = min(self._ask_at, now + ELECTION_JITTER_S * self._draw())

    def suspects(self, accepted_epoch: Epoch | None, asker: str, now: float) -> bool:
        """Whether this store suspects the primary as well as the one that asks.

        A primary that asks has started anew, and is none any more; a store always agrees with itself.
        """
        primary = accepted_epoch.primary if accepted_epoch else ""
        has_ended = bool(primary) and primary in (asker, self._lost)
        return asker == self._me or has_ended or now - self.heard_at > ELECTION_TIMEOUT_S

    def _rank(self, accepted_epoch: Epoch | None) -> int:
        """How many backups ask before this store; one that shuts down goes behind all."""
        if accepted_epoch is None:
            return 0
        backups = [store for store in accepted_epoch.replicas if store != accepted_epoch.primary]
        rank = backups.index(self._me) if self._me in backups else 0
        return rank + len(backups) if self.is_leaving else rank
