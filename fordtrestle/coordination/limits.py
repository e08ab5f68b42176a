"""Limits on what applications may store. Pure.

All of it is kept in memory and sent as a whole to a store that lags.
"""

from __future__ import annotations

MAX_NAME_CHARACTERS = 256  # of a lock, counter, key, group or holder
MAX_VALUE_CHARACTERS = 16 * 1024  # of a key's value
MAX_HOLD_MS = 60_000.0  # for which a lock may be held without a renewal
MAX_LOCKS = 10_000  # at a time; an expired one is evicted for a new one
MAX_COUNTERS = 20_000
MAX_STORED_CHARACTERS = 2 * 1024 * 1024  # of keys and values, including those in the history
MAX_WATCH_EVENTS = 500  # in one answer; the next call of the watch gets the rest

# For how much longer than `history_s`, the time within which a watch may resume, events of a group are kept:
# the store that sent the watch its revision may have lagged, and the watch resumes later.
HISTORY_MARGIN_S = 10.0
