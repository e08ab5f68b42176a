"""Reads the settings file that a process of the system is started with (DEPLOY: settings of a process)."""

from __future__ import annotations

import json
from pathlib import Path

from fordtrestle.settings.errors import SettingsError
from fordtrestle.settings.records import BootSettings
from fordtrestle.settings.schema import load_settings
from fordtrestle.settings.settings_file import settings_path


def parse_settings(text: str) -> BootSettings:
    """Parse the text of a settings file.

    Raises:
        SettingsError: the text is not a JSON object, or a known field is missing or has an invalid value.
    """
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError((f"not JSON: {error}",)) from error
    if not isinstance(raw, dict):
        raise SettingsError(("expected a JSON object",))
    return load_settings(raw)


def read_settings(path: Path | None = None) -> BootSettings:
    """Read the settings file at a path, by default the one that the environment names.

    Raises:
        SettingsError: the file cannot be read or is invalid; each line begins with the path.
    """
    path = path or Path(settings_path())
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: {error}",)) from error
    try:
        return parse_settings(text)
    except SettingsError as error:
        raise SettingsError(tuple(f"{path}: {fault}" for fault in error.faults)) from error
