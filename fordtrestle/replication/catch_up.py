"""Tracks which stores lag behind the primary, and when to send each the whole state. Pure.

The state is sent outside of epoch changes, so that a witness can become a replica without a state transfer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

CATCH_UP_DELAY_S = 0.4  # without progress before the state is sent: a write may still be in flight
MAX_CATCH_UP_BACKOFF_S = 8.0  # per store; the interval doubles from `CATCH_UP_DELAY_S`


@dataclass(slots=True)
class _Lag:
    since: float
    sequence: int
    backoff_s: float = CATCH_UP_DELAY_S


@dataclass(slots=True)
class CatchUp:
    """Lagging stores by id, each with its own backoff. Times are in seconds of a monotonic clock."""

    _lags: dict[str, _Lag] = field(default_factory=dict)

    def is_due(self, store_id: str, held_sequence: int, newest_sequence: int, now: float) -> bool:
        """Return whether to send the state to a store now, and start its next backoff interval if so.

        Backs off exponentially for a store that makes no progress, to allow for a slow link or disk.

        Args:
            store_id: The id of the store.
            held_sequence: The sequence of the store's state.
            newest_sequence: The sequence of the primary's state.
            now: The current time.
        """
        if held_sequence >= newest_sequence:
            self._lags.pop(store_id, None)
            return False
        lag = self._lags.get(store_id)
        if lag is None or held_sequence > lag.sequence:
            self._lags[store_id] = _Lag(now, held_sequence)
            return False
        if now - lag.since < lag.backoff_s:
            return False
        lag.since, lag.backoff_s = now, min(MAX_CATCH_UP_BACKOFF_S, 2.0 * lag.backoff_s)
        return True
