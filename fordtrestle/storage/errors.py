"""Errors of the record log of a control process. Pure."""

from __future__ import annotations


class StorageError(Exception):
    """A disk operation failed. The `OSError` that caused it is chained."""


class UnknownFormatError(StorageError):
    """The file has a format that this version of the program cannot read.

    This is not a disk error: a retry does not help, and no cause is chained.
    """
