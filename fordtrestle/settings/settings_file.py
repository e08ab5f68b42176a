"""Locates and reads the settings file of a process.

Imports only what a process needs at the very start.
"""

from __future__ import annotations

import os

PATH_VARIABLE = "FORDTRESTLE_CONFIG"  # the environment variable that names the file
DEFAULT_PATH = "/etc/fordtrestle/boot.json"


def settings_path() -> str:
    """Return the path that the environment names, or the default."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read_settings_bytes() -> bytes:
    """Return the current content of the settings file; empty if it cannot be read.

    Never raises: a running process reads the file to detect changes, and it is not an error if the file is
    being replaced at that moment.
    """
    try:
        with open(settings_path(), "rb") as file:
            return file.read()
    except OSError:
        return b""
