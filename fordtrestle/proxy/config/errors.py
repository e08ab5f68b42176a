"""Errors of the configuration package. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # the platform's sidecar does not load the reader of operator files
    from fordtrestle.proxy.engine.schema import SchemaError


class ConfigError(Exception):
    """Base class of the errors of this package."""


class PlatformConfigError(ConfigError):
    """A configuration of the platform that can't be used; the message is one line."""


class OperatorFileError(ConfigError):
    """An operator file that can't be used.

    Attributes:
        file: The path of the file.
        faults: All faults of the file.
    """

    def __init__(self, file: str, faults: Iterable[SchemaError]) -> None:
        self.file = file
        self.faults = tuple(faults)
        super().__init__("\n".join(self.lines))

    @property
    def lines(self) -> list[str]:
        """One line for each fault, as `FILE: table.key: reason`."""
        return [": ".join(part for part in (self.file, *fault) if part) for fault in self.faults]
