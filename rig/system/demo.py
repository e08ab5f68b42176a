"""`make demo-system`: three regions on loopback, one of which is dropped and restored.

Events and the results of requests are printed as they occur.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from rig.system.deployment import REGIONS, Deployment
from rig.system.fleet import servers_of, until_ready
from rig.system.model_server import ModelServer
from rig.system.traffic import Clients, SecondStats, put_configuration

DURATION_S = 30.0
REQUESTS_PER_S = 8.0  # of each region
DROP_AT_S, RETURN_AT_S = 9.0, 18.0
DROPPED_REGION = REGIONS[0]  # the region of the first primary
READY_TIMEOUT_S = 20.0


def print_event(began: float, text: str) -> None:
    """Print a line with the seconds since the start."""
    print(f"{time.monotonic() - began:6.1f} s  {text}", flush=True)


async def _drop_and_restore_region(
    began: float,
    session: aiohttp.ClientSession,
    deployment: Deployment,
    servers_by_region: dict[str, list[ModelServer]],
) -> None:
    """Drop a region and restore it while clients send requests."""
    await asyncio.sleep(DROP_AT_S)
    print_event(
        began,
        f"region {DROPPED_REGION} is dropped: its control process (the primary), its sidecar, its servers",
    )
    for role in ("control", "sidecar"):
        await deployment.machine(role, DROPPED_REGION).kill()
    for server in servers_by_region[DROPPED_REGION]:
        await server.crash()
    took_s = await put_configuration(session, deployment, 1, 2)
    print_event(
        began, f"a new configuration is acknowledged by the others, {took_s:.1f} s after it was first sent"
    )
    await asyncio.sleep(max(0.0, began + RETURN_AT_S - time.monotonic()))
    for role in ("control", "sidecar"):
        await deployment.machine(role, DROPPED_REGION).start()
    servers_by_region[DROPPED_REGION] = servers_of(deployment, DROPPED_REGION, 2)
    for server in servers_by_region[DROPPED_REGION]:
        await server.start()
    print_event(began, f"region {DROPPED_REGION} is back, with its disk")
    took_s = await put_configuration(session, deployment, 2, 3)
    print_event(began, f"another configuration is acknowledged after {took_s:.1f} s")


async def _print_seconds(began: float, clients: list[Clients]) -> None:
    """Print one line a second on the requests sent four seconds before, whose results are known by then."""
    for second in range(int(DURATION_S)):
        await asyncio.sleep(max(0.0, began + second + 4.0 - time.monotonic()))
        stats = [client.seconds.get(second, SecondStats()) for client in clients]
        sent, in_time = sum(s.sent for s in stats), sum(s.in_time for s in stats)
        late, failed = sum(s.late for s in stats), sum(s.failed for s in stats)
        print(
            f"{second:6d} s  asked {sent:3d}  in time {in_time:3d}  late {late:3d}  not served {failed:3d}",
            flush=True,
        )


async def play(folder: Path) -> float:
    """Play the demonstration.

    Returns:
        The share of requests that was served.
    """
    deployment = Deployment(folder)
    servers_by_region = {region: servers_of(deployment, region, 1) for region in REGIONS}
    timeout = aiohttp.ClientTimeout(total=6.0)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        try:
            began = time.monotonic()
            await deployment.start()
            for servers in servers_by_region.values():
                for server in servers:
                    await server.start()
            took_s = await put_configuration(session, deployment, 0, 1)
            async with asyncio.timeout(READY_TIMEOUT_S):
                for machine in deployment.of_role("sidecar"):
                    await until_ready(session, machine)
            print_event(
                began, f"six processes serve; the first configuration was acknowledged after {took_s:.1f} s"
            )
            began = time.monotonic()
            clients = [Clients(deployment, region, random.Random(region)) for region in REGIONS]
            async with asyncio.TaskGroup() as tasks:
                for client in clients:
                    tasks.create_task(client.run(session, began, REQUESTS_PER_S, DURATION_S))
                tasks.create_task(_drop_and_restore_region(began, session, deployment, servers_by_region))
                tasks.create_task(_print_seconds(began, clients))
        finally:
            await deployment.stop()
            for servers in servers_by_region.values():
                for server in servers:
                    await server.crash()
    stats = [second for client in clients for second in client.seconds.values()]
    sent, failed = sum(s.sent for s in stats), sum(s.failed for s in stats)
    cached_tokens = sum(server.cached_tokens for servers in servers_by_region.values() for server in servers)
    prefilled_tokens = sum(
        server.prefilled_tokens for servers in servers_by_region.values() for server in servers
    )

    cached_share = cached_tokens / max(1, cached_tokens + prefilled_tokens)
    print(f"\nserved {sent - failed} of {sent}; {cached_share:.0%} of the prompts' tokens were kept")
    return 1.0 - failed / max(1, sent)


def main() -> int:
    """Play the demonstration.

    Returns:
        The exit code: 0 if more than 90 % of the requests were served, otherwise 1.
    """
    with tempfile.TemporaryDirectory() as folder:
        served = asyncio.run(play(Path(folder)))
    return 0 if served > 0.9 else 1


if __name__ == "__main__":
    sys.exit(main())
