"""Locks with fencing tokens, counters, keys with revisions, and watches. Pure."""
