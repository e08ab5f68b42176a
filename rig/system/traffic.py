"""A stand-in operator and stand-in clients of a deployment."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from rig.system.deployment import REGIONS, Deployment

HOST = "assistant.example"
PATH = "/chat/"
OBJECTIVE_S = 0.8
ATTEMPTS = 2
TRY_S = 5.0


def configuration(generation: int) -> dict[str, object]:
    """One streaming route to one service."""
    route = {
        "name": "chat",
        "authority": HOST,
        "path_prefix": PATH,
        "route_type": "streaming",
        "timeout_ms": 5000,
        "target_latency_ms": OBJECTIVE_S * 1000,
        "priority": 0,
        "backend": "models",
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 400,
        "home_regions": [],
    }
    return {"generation": generation, "routes": [route], "services": [{"name": "models"}], "limits": {}}


async def put_configuration(
    session: aiohttp.ClientSession, deployment: Deployment, base: int, generation: int
) -> float:
    """Send a configuration to any control process until it is acknowledged; the seconds that it took."""
    began = time.monotonic()
    controls = [deployment.machine("control", region).address("control") for region in REGIONS]
    attempt = 0
    while True:
        url = f"http://{controls[attempt % len(controls)]}/v1/config/put"
        attempt += 1
        headers = {"X-Base-Version": str(base)}
        try:
            async with session.post(url, json=configuration(generation), headers=headers) as answer:
                if answer.status == 200:
                    return time.monotonic() - began
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        await asyncio.sleep(0.2)


@dataclass
class Second:
    """What clients saw of the requests that began in one second."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    lost: int = 0
    fronts: Counter[str] = field(default_factory=Counter)


class Clients:
    """Clients of one region: they ask the directory where to go, and try twice."""

    def __init__(self, deployment: Deployment, region: str, rng: random.Random) -> None:
        self._deployment = deployment
        self._region = region
        self._rng = rng
        self.seconds: dict[int, Second] = {}

    async def run(self, session: aiohttp.ClientSession, began: float, rate_s: float, lasts_s: float) -> None:
        """Send requests at a rate, whatever is still open."""
        async with asyncio.TaskGroup() as tasks:
            while (now := time.monotonic() - began) < lasts_s:
                second = self.seconds.setdefault(int(now), Second())
                tasks.create_task(self._request(session, second))
                await asyncio.sleep(self._rng.expovariate(rate_s))

    async def _request(self, session: aiohttp.ClientSession, second: Second) -> None:
        second.asked += 1
        began = time.monotonic()
        subject = self._rng.randrange(24)
        for _ in range(ATTEMPTS):
            try:
                async with asyncio.timeout(TRY_S):
                    first = await self._try(session, second, subject)
            except (aiohttp.ClientError, TimeoutError, OSError):
                first = None
            if first is not None:
                in_time = first - began <= OBJECTIVE_S
                second.in_time += in_time
                second.late += not in_time
                return
        second.lost += 1

    async def _try(self, session: aiohttp.ClientSession, second: Second, subject: int) -> float | None:
        front = await self._front(session)
        if front is None:
            return None
        second.fronts[front] += 1
        headers = {
            "Host": HOST,
            "X-Request-Id": f"{self._rng.getrandbits(64):016x}",
            "X-Model": "m",
            "X-Token-Count": "1600,40",
            "X-Prompt-Prefix": f"{subject % 4:x}a:800,{subject:x}b:600,{self._rng.getrandbits(32):x}:200",
            "X-Deadline-Ms": "5000",
        }
        async with session.post(f"http://{front}{PATH}", data=b"x" * 500, headers=headers) as answer:
            if answer.status != 200:
                await asyncio.sleep(float(answer.headers.get("Retry-After", "0.2")))
                return None
            await answer.content.readany()
            first = time.monotonic()
            await answer.read()
            return first

    async def _front(self, session: aiohttp.ClientSession) -> str | None:
        near = sorted(REGIONS, key=lambda region: region != self._region)
        for region in near:
            directory = self._deployment.machine("control", region).address("directory")
            query = {"name": HOST, "region": self._region, "zone": f"{self._region}-1"}
            try:
                async with (
                    asyncio.timeout(1.0),
                    session.get(f"http://{directory}/v1/resolve", params=query) as answer,
                ):
                    if answer.status == 200:
                        return str(self._rng.choice((await answer.json())["addresses"]))
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        return None
