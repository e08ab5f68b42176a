"""Bounds of what applications may store: it lies in memory, and travels whole to a store that lags. Pure."""

from __future__ import annotations

MAX_NAME_CHARACTERS = 256  # of a lock, counter, key, group or holder
MAX_VALUE_CHARACTERS = 16 * 1024  # of a key's value
MAX_HOLD_MS = 60_000.0  # that a lock may be held without a renewal
MAX_LOCKS = 10_000  # held at a time; one whose time is over gives way to another
MAX_COUNTERS = 20_000
MAX_STORED_CHARACTERS = 2 * 1024 * 1024  # of keys and values, those in the history included
MAX_WATCH_EVENTS = 500  # in one answer: the next call of the watch gets the others

# For which the events of a group outlive the time that a watch may resume after (`history_s`): a watch is
# sent a revision by a store that may lag, and asks again later.
HISTORY_MARGIN_S = 10.0
