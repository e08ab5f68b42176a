"""Serves the internal endpoints of a process: readiness, directory, control API and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import eliot
from aiohttp import web

from fordtrestle.control_api.arrival_times import PollTimes
from fordtrestle.control_api.tracked_connection import TrackedConnection
from fordtrestle.listener.client_connection import ClientConnection
from fordtrestle.listener.client_listener import ClientListener, ListenerOptions
from fordtrestle.listener.client_quotas import ClientQuotas, ListenerBudget
from fordtrestle.roles import metrics
from fordtrestle.settings.records import Address, BootSettings

ENDPOINT_CLOSE_TIMEOUT_S = 0.2  # for one endpoint to close; aiohttp's default is 60 s
METRICS_WEIGHT = 0.1  # of the quotas that all listeners share


class _ClientSite(web.BaseSite):
    """A TCP site whose connections are accepted within a budget."""

    def __init__(
        self, runner: web.AppRunner, address: Address, budget: ListenerBudget, options: ListenerOptions
    ) -> None:
        super().__init__(runner)
        self._address = address
        self._budget = budget
        self._options = options

    @property
    def name(self) -> str:
        return f"http://{self._address}"

    async def start(self) -> None:
        await super().start()
        server = self._runner.server
        assert server is not None  # until the runner is cleaned up
        listener = ClientListener(server, self._budget, self._options)
        listener.listen(self._address.host, self._address.port)
        self._server = listener  # type: ignore[assignment]  # aiohttp uses `close` and `sockets`


def _tracking(poll_times: PollTimes) -> ListenerOptions:
    """Return the options of a listener whose connections record when data arrives."""

    def wrap(connection: ClientConnection, arrived_after: float | None) -> asyncio.Protocol:
        return TrackedConnection(connection, poll_times, arrived_after)

    return ListenerOptions(wrap=wrap)


async def serve_http(
    application: web.Application,
    address: Address,
    budget: ListenerBudget,
    poll_times: PollTimes | None = None,
) -> web.AppRunner:
    """Serve an application.

    Args:
        application: The application.
        address: Where to listen.
        budget: The quota shares of the connections.
        poll_times: The polls of the running loop, if the application has to know when requests arrived.

    Raises:
        OSError: The address cannot be bound.
    """
    runner = web.AppRunner(
        application, access_log=None, handle_signals=False, shutdown_timeout=ENDPOINT_CLOSE_TIMEOUT_S / 2
    )
    await runner.setup()
    options = ListenerOptions() if poll_times is None else _tracking(poll_times)
    await _ClientSite(runner, address, budget, options).start()
    return runner


async def serve_metrics(
    boot: BootSettings, quotas: ClientQuotas, figures: Callable[[], metrics.Figures]
) -> list[web.AppRunner]:
    """Serve metrics if the settings name an address for them.

    Args:
        boot: The settings.
        quotas: The quotas of the process.
        figures: Returns the current metrics; called once per request.

    Returns:
        The endpoint; empty if no address is named or it cannot be bound, which does not end the process.
    """
    if boot.metrics is None:
        return []
    endpoint = boot.metrics
    try:
        application = metrics.application(endpoint.path, figures)
        return [await serve_http(application, endpoint.address, quotas.budget("metrics", METRICS_WEIGHT))]
    except (OSError, ValueError) as error:
        eliot.log_message("metrics:not-served", reason=str(error))
        return []
