"""Start-up steps of a process of the system that come before its libraries are loaded."""

from __future__ import annotations

import os
import signal
import sys

EXIT_DONE = 0  # a process that is stopped while it starts has not failed


def install_early_signal_handlers() -> None:
    """Let SIGTERM end the process with code 0 while it starts, and ignore SIGHUP.

    By default either would end the process as if it had failed. SIGHUP asks for the settings to be read
    again, and a process that starts reads them anyway. The role replaces these handlers by its own.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(EXIT_DONE))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def disable_tls() -> None:
    """Make later imports of `ssl` fail, since the processes of the system speak plain HTTP.

    asyncio and aiohttp work without it. With it they read the system's certificates on import, which was
    the longest step of a sidecar's start (`benchmarks.restart`).
    """
    sys.modules["ssl"] = None  # type: ignore[assignment]
