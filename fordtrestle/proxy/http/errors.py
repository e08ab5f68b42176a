"""Errors of HTTP connections: `HttpError` is the root of all of them."""

from __future__ import annotations


class HttpError(Exception):
    """What came over a connection can't be used."""


class BadRequestError(HttpError):
    """A client's request that is answered here with an error, and not passed on.

    Attributes:
        status: The status code of that answer.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class RemoteProtocolError(HttpError):
    """What a server sent is not HTTP/1.1, is cut short, or is larger than allowed."""
