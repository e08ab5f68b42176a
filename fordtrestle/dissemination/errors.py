"""Errors of this layer."""

from __future__ import annotations


class DisseminationError(Exception):
    """Base of all errors of the dissemination."""


class DeltaError(DisseminationError):
    """A delta that does not fit the document that it is applied to."""
