"""Runs a role as a process: reads the settings, logs to standard error, and returns the exit code."""

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
    """Exit without the interpreter's shutdown, during which the watchdog no longer runs.

    There is nothing left to clean up: files have been synced, and sockets are closed with the process.
    """
    sys.stderr.flush()
    os._exit(code)


def run_role(
    run: Callable[[BootSettings], Coroutine[Any, Any, int]],
    loop_factory: Callable[[], asyncio.AbstractEventLoop] | None = None,
) -> int:
    """Read the settings and run a role.

    Args:
        run: The role, which returns the exit code.
        loop_factory: Creates the event loop; None for the usual one.

    Returns:
        The exit code if the role did not run: 2 if the settings are invalid, 1 if it could not start.
        Otherwise the process exits here, with the role's exit code.
    """
    eliot.to_file(sys.stderr)
    try:
        boot = read_settings()
    except SettingsError as error:
        for fault in error.faults:
            print(f"fordtrestle: {fault}", file=sys.stderr)
        return EXIT_BAD_INPUT
    try:
        with asyncio.Runner(loop_factory=loop_factory) as runner:
            _exit_at_once(runner.run(run(boot)))
    except OSError as error:  # at start-up, for example if an address is in use
        eliot.log_message("process:failed", reason=str(error))
    return EXIT_FAILED
