"""Errors of the disk of a control process. Pure."""

from __future__ import annotations


class StorageError(Exception):
    """The disk did not take or give what was asked. The cause, an `OSError`, is chained."""


class UnknownFormatError(StorageError):
    """The file was written by a version of the program whose format this one does not read.

    It is no fault of the disk, so trying again does not help, and nothing is chained.
    """
