"""Errors of the forwarding layer."""

from __future__ import annotations


class ForwardError(Exception):
    """Base of all errors that this package raises."""


class EventTooLargeError(ForwardError):
    """A server-sent event has not ended within the bytes that one may have."""
