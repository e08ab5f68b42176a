"""Histories of calls for locks, numbers, keys and watches, and what must not stand in them."""
