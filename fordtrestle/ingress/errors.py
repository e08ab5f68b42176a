"""Why a request is rejected before it is routed. `responses.rejection_for` has the response to each."""

from __future__ import annotations


class IngressError(Exception):
    """Base of all errors that this package raises."""


class BodyTooLargeError(IngressError):
    """The body is larger than the configuration allows."""


class BodyTimeoutError(IngressError):
    """The body did not come in time."""


class OverCapacityError(IngressError):
    """This sidecar holds as many requests, or as many bytes of them, as it may."""


class ShuttingDownError(IngressError):
    """This sidecar drains and takes no further request."""
