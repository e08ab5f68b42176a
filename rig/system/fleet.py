"""The stand-in model servers of a deployment, and waiting for its sidecars."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp

from rig.system.deployment import REGIONS, Deployment, Machine, host_of
from rig.system.model_server import ModelServer, Place, Run

SERVERS_EACH = 2
SERVERS_HOST = 250  # the last number of their address in each region
FIRST_PORT = 9000
READY_LOOK_S = 0.02


def servers_of(
    deployment: Deployment, region: str, life: int, note: Callable[[Run], None] = lambda run: None
) -> list[ModelServer]:
    """The stand-in model servers of a region, of one incarnation each."""
    near = sorted(REGIONS, key=lambda other: other != region)
    controls = tuple(deployment.machine("control", other).address("control") for other in near)
    return [
        ModelServer(
            Place(
                f"i-{region}-{number}-{life}",
                "models",
                host_of(region, SERVERS_HOST),
                FIRST_PORT + number,
                f"{region}-1",
                controls,
            ),
            note,
        )
        for number in range(SERVERS_EACH)
    ]


async def until_ready(session: aiohttp.ClientSession, machine: Machine) -> None:
    """Wait until a sidecar says that it is ready."""
    url = f"http://{machine.address('readiness')}/v1/readiness"
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with session.get(url) as answer:
                if answer.status == 200:
                    return
        await asyncio.sleep(READY_LOOK_S)
