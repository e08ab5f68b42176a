"""The first moments of a role's process, before its libraries are loaded."""

from __future__ import annotations

import os
import signal
import sys

EXIT_DONE = 0


def take_signals() -> None:
    """Let SIGTERM end the process with code 0 while it starts, and SIGHUP do nothing: all is read anyway.

    Left to itself, either would end it as if it had failed. The role's own handlers follow.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(EXIT_DONE))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def do_without_tls() -> None:
    """Let what is imported from here on find no `ssl`: the roles speak plain HTTP.

    asyncio and aiohttp do without it. With it they read the system's certificates as they are loaded, which
    was the largest step of a sidecar's start (`benchmarks.restart`).
    """
    sys.modules["ssl"] = None  # type: ignore[assignment]
