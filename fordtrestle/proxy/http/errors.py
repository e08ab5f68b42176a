"""Errors of HTTP connections, with `HttpError` as their base class."""

from __future__ import annotations


class HttpError(Exception):
    """The bytes received on a connection can't be used."""


class BadRequestError(HttpError):
    """A request of a client is answered here with an error and not passed on.

    Attributes:
        status: The status code of the response.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class RemoteProtocolError(HttpError):
    """A response of a server is not HTTP/1.1, is truncated, or is larger than allowed."""
