"""Where the settings file of a process lies.

Loads nothing that a process does not need in its first moments.
"""

from __future__ import annotations

import os

PATH_VARIABLE = "FORDTRESTLE_CONFIG"  # the environment variable that names the file
DEFAULT_PATH = "/etc/fordtrestle/boot.json"


def settings_path() -> str:
    """Return the path that the environment names, or else the default."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read_settings_bytes() -> bytes:
    """Return the settings file as it stands; empty where it cannot be read.

    Never raises: it is read while a process runs, to see whether the file has changed, and a file that is
    being replaced at that moment is no fault.
    """
    try:
        with open(settings_path(), "rb") as file:
            return file.read()
    except OSError:
        return b""
