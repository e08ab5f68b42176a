"""For roles that speak plain HTTP only: a start without the libraries of TLS.

asyncio and aiohttp do without `ssl` where it cannot be imported. With it they read the system's certificates
as they are loaded, which was the largest step of a sidecar's start (`benchmarks.restart`).
"""

from __future__ import annotations

import sys


def do_without_tls() -> None:
    """Let what is imported from here on, in this process, find no `ssl`."""
    sys.modules["ssl"] = None  # type: ignore[assignment]
