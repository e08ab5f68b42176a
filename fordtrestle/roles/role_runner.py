"""Runs a role as a process: reads the settings, logs to standard error, and gives the exit code."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn

import eliot

from fordtrestle.settings.boot import read_settings
from fordtrestle.settings.errors import SettingsError
from fordtrestle.settings.records import BootSettings

EXIT_FAILED, EXIT_BAD_INPUT = 1, 2


def _exit_at_once(code: int) -> NoReturn:
    """End the process without the interpreter's own shutdown, in which no watchdog runs any more.

    Nothing is left to do: what is on disk has been synced, and sockets are closed with the process.
    """
    sys.stderr.flush()
    os._exit(code)


def run_role(run: Callable[[BootSettings], Coroutine[Any, Any, int]]) -> int:
    """Read the settings and run a role.

    Args:
        run: The role; it gives the exit code.

    Returns:
        The exit code where the role did not run: 2 where the settings are wrong, 1 where it could not start.
        Otherwise the process ends here, with the role's.
    """
    eliot.to_file(sys.stderr)
    try:
        boot = read_settings()
    except SettingsError as error:
        for fault in error.faults:
            print(f"fordtrestle: {fault}", file=sys.stderr)
        return EXIT_BAD_INPUT
    try:
        _exit_at_once(asyncio.run(run(boot)))
    except OSError as error:  # as it starts: an address that is taken, for one
        eliot.log_message("process:failed", reason=str(error))
    return EXIT_FAILED
