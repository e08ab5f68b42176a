"""Errors of the load generator. Each one's text is what the command line prints. Pure."""

from __future__ import annotations

from collections.abc import Sequence


class LoadError(Exception):
    """A load that can't be read, prepared or sent; the root of this package's errors."""


class SpecError(LoadError):
    """A load file that is not valid.

    Attributes:
        lines: All that is wrong with it, one line each.
    """

    def __init__(self, lines: Sequence[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = list(lines)


class TraceError(LoadError):
    """A file that is no complete trace; the text is one line that names file, line and field."""


class GeneratorError(LoadError):
    """Nothing was sent; the text says why."""


class ResponseError(LoadError):
    """Received bytes that are no response to the request that was sent."""


class MissingLibraryError(LoadError):
    """A library of an extra is not installed; the text says which one and how to install it."""
