"""What a store knows of the primary, and when it asks the others whether they miss it, too. Pure."""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.replication.epochs import Epoch, Store

ELECTION_TIMEOUT_S = 1.2  # without a heartbeat for so long a store asks whether others miss the primary, too
RETURN_RETRY_S = 0.2  # between the questions of a primary that has started anew
ELECTION_RANK_DELAY_S = 0.4  # later by so much for each backup before it, so that they do not collide
ELECTION_JITTER_S = 0.2


class PrimaryFailureDetector:
    """One store's view of the primary. Times are s of a steady clock."""

    def __init__(self, me: str, accepted_epoch: Epoch | None, draw: Callable[[], float], now: float) -> None:
        self.heard_at = now  # when the primary was heard last, or this process started
        self.is_leaving = False  # this store is about to end: others go first
        self._me = me
        self._draw = draw  # uniform in [0, 1)
        self._heard_from: Store | None = None
        self._lost = ""  # a primary that has ended, or whose machine holds another store by now
        # Whether this store was primary and has started anew: nobody else is primary of that epoch.
        self.is_returning = bool(accepted_epoch and accepted_epoch.primary == me)
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
        """Wait for the primary once more before anything is done about it."""
        backups = (
            [store for store in accepted_epoch.replicas if store != accepted_epoch.primary]
            if accepted_epoch
            else []
        )
        rank = backups.index(self._me) if self._me in backups else 0
        rank += self.is_leaving * len(backups)
        wait = ELECTION_TIMEOUT_S + ELECTION_RANK_DELAY_S * rank + ELECTION_JITTER_S * self._draw()
        self._ask_at = now + (RETURN_RETRY_S if self.is_returning else wait)

    def is_due(self, now: float) -> bool:
        """Whether the others are to be asked now."""
        return now >= self._ask_at

    def mark_lost(self, primary: str, now: float) -> None:
        """The primary has ended for sure: ask soon, and once, since each new question makes the answers to
        the last one void.
        """
        if primary == self._lost:
            return
        self._lost = primary
        if not self.is_leaving:
            self._ask_at = min(self._ask_at, now + ELECTION_JITTER_S * self._draw())

    def suspects(self, accepted_epoch: Epoch | None, asker: str, now: float) -> bool:
        """Whether this store misses the primary as well as the one that asks."""
        primary = accepted_epoch.primary if accepted_epoch else ""
        has_ended = bool(primary) and primary in (asker, self._lost)  # one that asks has started anew
        return asker == self._me or has_ended or now - self.heard_at > ELECTION_TIMEOUT_S
