"""Where the settings file of a process lies. Loads nothing that its first moments do not need."""

from __future__ import annotations

import os

VARIABLE = "FORDTRESTLE_CONFIG"
DEFAULT_PATH = "/etc/fordtrestle/boot.json"


def settings_path() -> str:
    """The path that the environment names, or else the default."""
    return os.environ.get(VARIABLE, DEFAULT_PATH)


def file_bytes() -> bytes:
    """The settings file as it stands; empty where it cannot be read."""
    try:
        with open(settings_path(), "rb") as file:
            return file.read()
    except OSError:
        return b""
