"""Which stores lag behind the primary, and when each is sent the whole state. Pure.

State is sent outside of any epoch change, so that a store that lags can step in at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

CATCH_UP_DELAY_S = 0.4  # without getting further before the state is sent: a write may be on its way
MAX_CATCH_UP_BACKOFF_S = 8.0  # between two sends to one store; they double from `CATCH_UP_DELAY_S`


@dataclass(slots=True)
class _Lag:
    since: float
    sequence: int
    backoff_s: float = CATCH_UP_DELAY_S


@dataclass(slots=True)
class CatchUp:
    """The stores that lag. Times are s of a steady clock."""

    _lags: dict[str, _Lag] = field(default_factory=dict)

    def is_due(self, store: str, held: int, newest: int, now: float) -> bool:
        """Whether a store is to be sent the state now.

        Sends to a store that gets no further back off, so that a thin link or a slow disk is given time.

        Args:
            store: The store's id.
            held: The sequence that its state reaches.
            newest: The sequence that the primary's state reaches.
            now: The time.
        """
        if held >= newest:
            self._lags.pop(store, None)
            return False
        lag = self._lags.get(store)
        if lag is None or held > lag.sequence:
            self._lags[store] = _Lag(now, held)
            return False
        if now - lag.since < lag.backoff_s:
            return False
        lag.since, lag.backoff_s = now, min(MAX_CATCH_UP_BACKOFF_S, 2.0 * lag.backoff_s)
        return True
