"""Errors of client connections."""

from __future__ import annotations


class ListenerError(Exception):
    """Base class of all errors of this package."""


class RequestRefusedError(ListenerError):
    """The account of the process has no room for a request: its body is incomplete, and it must not run."""


class ConnectionRefusedBySelfError(OSError):
    """The quota of connections is used up, and none of them can be closed for another."""
