"""Histories of calls for locks, counters, keys and watches, and checks of their correctness."""
