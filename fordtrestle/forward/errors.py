"""Errors that the forward package raises."""

from __future__ import annotations


class ForwardError(Exception):
    """Base class of all errors of this package."""


class EventTooLargeError(ForwardError):
    """A server-sent event exceeds the maximum size."""
