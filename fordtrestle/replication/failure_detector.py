"""Failure detector for the primary: decides when a store suspects it and starts a pre-vote. Pure.

An unreliable, timeout-based detector as described by Chandra and Toueg (1996): a false suspicion costs time,
not safety.
"""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.replication.epochs import Epoch, Store

ELECTION_TIMEOUT_S = 1.2  # more than four heartbeats; after this long without one a store starts a pre-vote
RESTARTED_PRIMARY_RETRY_S = 0.2  # between pre-votes of a restarted primary: no other store is primary
ELECTION_RANK_DELAY_S = 0.4  # added for each backup ranked before the store, to avoid competing candidates
ELECTION_JITTER_S = 0.2  # maximum random delay added, for the same reason


class PrimaryFailureDetector:
    """Detects the loss of the primary, for one store. Times are in seconds of a monotonic clock.

    Attributes:
        last_heard_at: When the last heartbeat arrived, or when this process started.
        is_leaving: Whether this store is shutting down; it then starts a pre-vote only after the others.
        is_restarted_primary: Whether this store was primary of the newest epoch before it restarted, so that
            no other store is primary of that epoch.
    """

    def __init__(self, me: str, accepted_epoch: Epoch | None, draw: Callable[[], float], now: float) -> None:
        self.last_heard_at = now
        self.is_leaving = False
        self.is_restarted_primary = bool(accepted_epoch and accepted_epoch.primary == me)
        self._me = me
        self._draw = draw  # uniform in [0, 1)
        self._primary: Store | None = None
        self._lost_id = ""  # id of a primary that ended, or whose machine now holds another store
        self._election_at = now
        self.reset_timer(accepted_epoch, now)

    def on_heartbeat(self, primary: Store | None, now: float) -> None:
        """Record a heartbeat from the primary."""
        self.last_heard_at, self._primary, self._lost_id = now, primary, ""

    def on_elected(self) -> None:
        """Reset the detector: this store has become primary."""
        self._primary, self._lost_id, self.is_restarted_primary = None, "", False

    def reachable_primary(self, now: float) -> Store | None:
        """Return the primary if it was heard within the election timeout and is not lost, else None."""
        primary = self._primary
        if primary is None or primary.id == self._lost_id or now - self.last_heard_at > ELECTION_TIMEOUT_S:
            return None
        return primary

    def reset_timer(self, accepted_epoch: Epoch | None, now: float) -> None:
        """Restart the election timeout.

        Guards against competing candidates: each backup waits longer than the one ranked before it, plus a
        random delay.
        """
        rank = self._rank(accepted_epoch)
        timeout_s = ELECTION_TIMEOUT_S + ELECTION_RANK_DELAY_S * rank + ELECTION_JITTER_S * self._draw()
        self._election_at = now + (RESTARTED_PRIMARY_RETRY_S if self.is_restarted_primary else timeout_s)

    def is_election_due(self, now: float) -> bool:
        """Return whether the election timeout has passed, so that this store should start a pre-vote."""
        return now >= self._election_at

    def mark_lost(self, primary: str, now: float) -> None:
        """Mark the primary as lost, and bring the next pre-vote forward.

        Moves the timer only once per loss: each new attempt voids the grants of the one before it, so this
        store would otherwise void its own pre-vote.
        """
        if primary == self._lost_id:
            return
        self._lost_id = primary
        if not self.is_leaving:
            self._election_at = min(self._election_at, now + ELECTION_JITTER_S * self._draw())

    def suspects(self, accepted_epoch: Epoch | None, candidate: str, now: float) -> bool:
        """Return whether this store agrees with the candidate of a pre-vote that the primary is lost.

        A primary that requests a pre-vote has restarted and is no longer primary. A store always agrees with
        itself.
        """
        primary = accepted_epoch.primary if accepted_epoch else ""
        has_ended = bool(primary) and primary in (candidate, self._lost_id)
        return candidate == self._me or has_ended or now - self.last_heard_at > ELECTION_TIMEOUT_S

    def _rank(self, accepted_epoch: Epoch | None) -> int:
        """Return how many backups start a pre-vote before this store; one that is shutting down goes last."""
        if accepted_epoch is None:
            return 0
        backups = [store for store in accepted_epoch.replicas if store != accepted_epoch.primary]
        rank = backups.index(self._me) if self._me in backups else 0
        return rank + len(backups) if self.is_leaving else rank
