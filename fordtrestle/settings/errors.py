"""Errors of this layer."""

from __future__ import annotations


class SettingsError(Exception):
    """A settings file that cannot be read, or whose known fields hold values that are not allowed.

    Attributes:
        faults: all that is wrong, one line a fault, so that an operator need not find them one by one.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
