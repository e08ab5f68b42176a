"""Exceptions of the load generator; the command line prints their text as it is. Pure."""

from __future__ import annotations

from collections.abc import Sequence


class LoadError(Exception):
    """Base class for errors of this package: a load can't be read, prepared or sent."""


class SpecError(LoadError):
    """Raised when a load file is not valid, or can't be read.

    Attributes:
        lines: All errors of the file, one line each.
    """

    def __init__(self, lines: Sequence[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = list(lines)


class TraceError(LoadError):
    """Raised when a file is not a complete trace; the text is one line that names file, line and field."""


class GeneratorError(LoadError):
    """Raised when a load can't be sent, or written as a trace; nothing was sent, and the text says why."""


class ResponseError(LoadError):
    """Raised when received bytes are not a valid response to the request that was sent."""


class MissingLibraryError(LoadError):
    """Raised when an optional library is not installed; the text names it and says how to install it."""
