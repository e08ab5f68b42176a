"""Errors that reject a request before it is routed; `responses.rejection_for` maps them to responses."""

from __future__ import annotations


class IngressError(Exception):
    """Base class of all errors of this package."""


class BodyTooLargeError(IngressError):
    """The body exceeds the limit of the configuration."""


class BodyTimeoutError(IngressError):
    """The body was not received in time."""


class OverCapacityError(IngressError):
    """This sidecar has reached its limit of open requests or of bytes held for clients."""


class ShuttingDownError(IngressError):
    """This sidecar is draining and accepts no further requests."""
