"""Serves the internal endpoints of a process: readiness, directory, control API and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import eliot
from aiohttp import web

from fordtrestle.control_api.arrival_times import PollTimes
from fordtrestle.control_api.tracked_connection import TrackedConnection
from fordtrestle.roles import metrics
from fordtrestle.settings.records import Address, BootSettings

ENDPOINT_CLOSE_TIMEOUT_S = 0.2  # for one endpoint to close; aiohttp's default is 60 s
LISTEN_BACKLOG = 512  # connections that are waiting to be accepted


class _TrackedSite(web.BaseSite):
    """A TCP site whose connections record when data arrives."""

    def __init__(self, runner: web.AppRunner, address: Address, poll_times: PollTimes) -> None:
        super().__init__(runner, backlog=LISTEN_BACKLOG)
        self._address = address
        self._poll_times = poll_times

    @property
    def name(self) -> str:
        return f"http://{self._address}"

    async def start(self) -> None:
        await super().start()
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, self._address.host, self._address.port, backlog=LISTEN_BACKLOG
        )

    def _make_protocol(self) -> TrackedConnection:
        server = self._runner.server
        assert server is not None  # until the runner is cleaned up, which closes the listener first
        return TrackedConnection(server(), self._poll_times)


async def serve_http(
    application: web.Application, address: Address, poll_times: PollTimes | None = None
) -> web.AppRunner:
    """Serve an application.

    Args:
        application: The application.
        address: Where to listen.
        poll_times: The polls of the running loop, if the application has to know when requests arrived.

    Raises:
        OSError: The address cannot be bound.
    """
    runner = web.AppRunner(
        application, access_log=None, handle_signals=False, shutdown_timeout=ENDPOINT_CLOSE_TIMEOUT_S / 2
    )
    await runner.setup()
    site: web.BaseSite
    if poll_times is None:
        site = web.TCPSite(runner, address.host, address.port, backlog=LISTEN_BACKLOG)
    else:
        site = _TrackedSite(runner, address, poll_times)
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
