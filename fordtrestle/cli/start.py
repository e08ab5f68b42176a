"""Start-up steps of a process that run before its libraries are imported."""

from __future__ import annotations

import os
import signal
import sys

EXIT_DONE = 0  # being stopped during start-up is not a failure


def install_early_signal_handlers() -> None:
    """Make SIGTERM exit with code 0 during start-up, and ignore SIGHUP.

    By default, either signal would end the process as if it had failed. SIGHUP requests a reload of the
    settings, which a starting process reads anyway. The role replaces these handlers with its own.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(EXIT_DONE))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def disable_tls() -> None:
    """Make later imports of `ssl` fail, since the processes of the system use plain HTTP.

    asyncio and aiohttp work without `ssl`. With it they load the system's certificates on import, which was
    the longest step of a sidecar's start (`benchmarks.restart`).
    """
    sys.modules["ssl"] = None  # type: ignore[assignment]
