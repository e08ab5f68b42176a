"""Errors of the state package. Pure.

Disk failures are reported as `OSError` with the system's errno. The classes here are for content that can't
be used.
"""

from __future__ import annotations


class StateError(Exception):
    """Base class of the errors of this package."""


class SnapshotError(StateError):
    """A stored file that can't be used; the message is one line."""
