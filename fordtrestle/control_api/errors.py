"""Errors of the control API. Pure."""

from __future__ import annotations


class ControlApiError(Exception):
    """Base of all errors that this package raises."""


class UnreachableError(ControlApiError):
    """No control process gave a conclusive answer in time. The message has the last address and answer."""
