"""Errors of the settings layer."""

from __future__ import annotations


class SettingsError(Exception):
    """Raised when a settings file cannot be read, or known fields are missing or have invalid values.

    Attributes:
        faults: all errors, one line each, so that an operator does not have to find them one by one.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
