"""Errors of the membership package. Pure."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of the errors of this package."""


class ListError(MembershipError):
    """A text that is not a list in the registry's format, or exceeds its limits."""


class ResponseError(MembershipError):
    """A response of the registry that is not HTTP, has an error status, or has a body that is rejected."""


class FetchError(MembershipError):
    """A failed request for the complete list, or one whose list can't be used."""
