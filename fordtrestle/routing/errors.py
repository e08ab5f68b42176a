"""Errors of this layer."""

from __future__ import annotations


class RoutingError(Exception):
    """Base of all errors of routing."""


class JsonSyntaxError(RoutingError, ValueError):
    """A text that is no JSON object; the message holds the position."""
