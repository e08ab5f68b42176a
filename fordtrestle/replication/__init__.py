"""Replication of control state. Pure: callers pass in the time, messages and what the disk has synced."""
