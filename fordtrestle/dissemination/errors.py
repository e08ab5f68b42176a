"""Errors of the dissemination layer."""

from __future__ import annotations


class DisseminationError(Exception):
    """Base class of all dissemination errors."""


class DeltaError(DisseminationError):
    """Raised when a delta cannot be applied: another base, too large, or a checksum mismatch."""
