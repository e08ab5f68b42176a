"""`make demo-system`: three regions on loopback, a region dropped and returned, told as it happens."""

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
from rig.system.traffic import Clients, Second, put_configuration

LASTS_S = 30.0
RATE_S = 8.0  # requests a region
DROPPED_AT_S, RETURNED_AT_S = 9.0, 18.0
DROPPED = REGIONS[0]  # where the first primary is
READY_S = 20.0


def say(began: float, text: str) -> None:
    """A line with the seconds since the beginning."""
    print(f"{time.monotonic() - began:6.1f} s  {text}", flush=True)


async def _events(
    began: float, session: aiohttp.ClientSession, deployment: Deployment, life: dict[str, list[ModelServer]]
) -> None:
    """What happens while clients ask."""
    await asyncio.sleep(DROPPED_AT_S)
    say(began, f"region {DROPPED} is dropped: its control process (the primary), its sidecar, its servers")
    for role in ("control", "sidecar"):
        await deployment.machine(role, DROPPED).kill()
    for server in life[DROPPED]:
        await server.crash()
    took = await put_configuration(session, deployment, 1, 2)
    say(began, f"a new configuration is acknowledged by the others, {took:.1f} s after it was first sent")
    await asyncio.sleep(max(0.0, began + RETURNED_AT_S - time.monotonic()))
    for role in ("control", "sidecar"):
        await deployment.machine(role, DROPPED).start()
    life[DROPPED] = servers_of(deployment, DROPPED, 2)
    for server in life[DROPPED]:
        await server.start()
    say(began, f"region {DROPPED} is back, with its disk")
    took = await put_configuration(session, deployment, 2, 3)
    say(began, f"another configuration is acknowledged after {took:.1f} s")


async def _tell(began: float, clients: list[Clients]) -> None:
    """A line a second on the requests that began four seconds before, as all is known of them by then."""
    for second in range(int(LASTS_S)):
        await asyncio.sleep(max(0.0, began + second + 4.0 - time.monotonic()))
        seen = [each.seconds.get(second, Second()) for each in clients]
        asked, in_time = sum(s.asked for s in seen), sum(s.in_time for s in seen)
        late, lost = sum(s.late for s in seen), sum(s.lost for s in seen)
        print(
            f"{second:6d} s  asked {asked:3d}  in time {in_time:3d}  late {late:3d}  not served {lost:3d}",
            flush=True,
        )


async def play(folder: Path) -> float:
    """Play it; the share of requests that was served."""
    deployment = Deployment(folder)
    life = {region: servers_of(deployment, region, 1) for region in REGIONS}
    timeout = aiohttp.ClientTimeout(total=6.0)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        try:
            began = time.monotonic()
            await deployment.start()
            for servers in life.values():
                for server in servers:
                    await server.start()
            took = await put_configuration(session, deployment, 0, 1)
            async with asyncio.timeout(READY_S):
                for machine in deployment.of_role("sidecar"):
                    await until_ready(session, machine)
            say(began, f"six processes serve; the first configuration was acknowledged after {took:.1f} s")
            began = time.monotonic()
            clients = [Clients(deployment, region, random.Random(region)) for region in REGIONS]
            async with asyncio.TaskGroup() as tasks:
                for each in clients:
                    tasks.create_task(each.run(session, began, RATE_S, LASTS_S))
                tasks.create_task(_events(began, session, deployment, life))
                tasks.create_task(_tell(began, clients))
        finally:
            await deployment.stop()
            for servers in life.values():
                for server in servers:
                    await server.crash()
    seen = [second for each in clients for second in each.seconds.values()]
    asked, lost = sum(s.asked for s in seen), sum(s.lost for s in seen)
    kept = sum(server.tokens_kept for servers in life.values() for server in servers)
    read = sum(server.tokens_read for servers in life.values() for server in servers)

    kept_share = kept / max(1, kept + read)
    print(f"\nserved {asked - lost} of {asked}; {kept_share:.0%} of the prompts' tokens were kept")
    return 1.0 - lost / max(1, asked)


def main() -> int:
    """Play the demonstration; 0 where nearly all was served."""
    with tempfile.TemporaryDirectory() as folder:
        served = asyncio.run(play(Path(folder)))
    return 0 if served > 0.9 else 1


if __name__ == "__main__":
    sys.exit(main())
