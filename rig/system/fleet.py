"""Creates the simulated model servers of a deployment and waits for its sidecars."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp

from rig.system.deployment import REGIONS, Deployment, Machine, host_of
from rig.system.model_server import SERVICE, TOKEN_INTERVAL_S, ModelServer, Run, ServerSettings
from rig.system.server_faults import NO_FAULTS, FaultSource

SERVERS_PER_REGION = 2
SERVERS_MACHINE_NUMBER = 250  # last number of their IP address in each region
FIRST_PORT = 9000
READY_POLL_INTERVAL_S = 0.02


def servers_of(
    deployment: Deployment,
    region: str,
    incarnation: int,
    on_run: Callable[[Run], None] = lambda run: None,
    faults: FaultSource = NO_FAULTS,
) -> list[ModelServer]:
    """Create the simulated model servers of a region.

    Args:
        deployment: The deployment whose control processes receive the heartbeats.
        region: The region of the servers.
        incarnation: Number of the incarnation, which is part of the instance names.
        on_run: Called with each request that a server begins to process.
        faults: Draws the faults of their requests.
    """
    return [
        make_server(deployment, region, number, f"{number}-{incarnation}", on_run, faults)
        for number in range(SERVERS_PER_REGION)
    ]


def make_server(
    deployment: Deployment,
    region: str,
    number: int,
    suffix: str,
    on_run: Callable[[Run], None],
    faults: FaultSource,
    service: str = SERVICE,
    token_interval_s: float = TOKEN_INTERVAL_S,
) -> ModelServer:
    """Create one simulated model server.

    Args:
        deployment: The deployment whose control processes receive the heartbeats.
        region: The region of the server.
        number: Its number in the region, from 0, which determines its address.
        suffix: The end of its instance name.
        on_run: Called with each request that the server begins to process.
        faults: Draws the faults of its requests.
        service: The service that it belongs to.
        token_interval_s: Seconds between two tokens of a running request.
    """
    regions_own_first = sorted(REGIONS, key=lambda other: other != region)
    controls = tuple(deployment.machine("control", other).address("control") for other in regions_own_first)
    settings = ServerSettings(
        f"i-{region}-{suffix}",
        service,
        host_of(region, SERVERS_MACHINE_NUMBER),
        FIRST_PORT + number,
        f"{region}-1",
        controls,
        token_interval_s=token_interval_s,
    )
    return ModelServer(settings, on_run, faults)


async def until_ready(session: aiohttp.ClientSession, machine: Machine) -> None:
    """Wait until a sidecar reports that it is ready."""
    url = f"http://{machine.address('readiness')}/v1/readiness"
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with session.get(url) as answer:
                if answer.status == 200:
                    return
        await asyncio.sleep(READY_POLL_INTERVAL_S)
