"""Errors of the membership package. Pure."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of the errors of this package."""


class ListError(MembershipError):
    """A text that is no list of the registry's format, or can't be one."""


class ResponseError(MembershipError):
    """A response of the registry that is no HTTP, refuses the request, or whose body is rejected."""


class FetchError(MembershipError):
    """A request for the complete list that failed, or whose list can't be used."""
