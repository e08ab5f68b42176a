"""Errors that the routing package raises."""

from __future__ import annotations


class RoutingError(Exception):
    """Base class of all errors of this package."""


class JsonSyntaxError(RoutingError, ValueError):
    """A text is not a valid JSON object; the message contains the position of the error."""
