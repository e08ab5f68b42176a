"""Serves the internal endpoints of a process: readiness, directory, control API and metrics."""

from __future__ import annotations

from collections.abc import Callable

import eliot
from aiohttp import web

from fordtrestle.roles import metrics
from fordtrestle.settings.records import Address, BootSettings

ENDPOINT_CLOSE_TIMEOUT_S = 0.2  # for one endpoint to close; aiohttp's default is 60 s
LISTEN_BACKLOG = 512  # connections that are waiting to be accepted


async def serve_http(application: web.Application, address: Address) -> web.AppRunner:
    """Serve an application.

    Raises:
        OSError: The address cannot be bound.
    """
    runner = web.AppRunner(
        application, access_log=None, handle_signals=False, shutdown_timeout=ENDPOINT_CLOSE_TIMEOUT_S / 2
    )
    await runner.setup()
    site = web.TCPSite(runner, address.host, address.port, backlog=LISTEN_BACKLOG)
    await site.start()
    return runner


async def serve_metrics(boot: BootSettings, figures: Callable[[], metrics.Figures]) -> list[web.AppRunner]:
    """Serve metrics if the settings name an address for them.

    Args:
        boot: The settings.
        figures: Returns the current metrics; called once per request.

    Returns:
        The endpoint; empty if no address is named or it cannot be bound, which does not end the process.
    """
    if boot.metrics is None:
        return []
    endpoint = boot.metrics
    try:
        return [await serve_http(metrics.application(endpoint.path, figures), endpoint.address)]
    except (OSError, ValueError) as error:
        eliot.log_message("metrics:not-served", reason=str(error))
        return []
