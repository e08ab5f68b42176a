"""Simulated operator and simulated clients of a deployment."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

from rig.system.deployment import REGIONS, Deployment

HOST = "assistant.example"
PATH = "/chat/"
TARGET_LATENCY_S = 0.8
MAX_ATTEMPTS = 2
ATTEMPT_TIMEOUT_S = 5.0


def configuration(generation: int) -> dict[str, object]:
    """Return a configuration with one streaming route to one service."""
    route = {
        "name": "chat",
        "authority": HOST,
        "path_prefix": PATH,
        "route_type": "streaming",
        "timeout_ms": 5000,
        "target_latency_ms": TARGET_LATENCY_S * 1000,
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
    session: aiohttp.ClientSession,
    deployment: Deployment,
    base: int,
    generation: int,
    make_configuration: Callable[[int], dict[str, object]] = configuration,
) -> float:
    """Send a configuration to the control processes in turn until one acknowledges it.

    Args:
        session: Sends the calls.
        deployment: Its control processes are called.
        base: The generation that the configuration is based on.
        generation: The generation of the configuration.
        make_configuration: Returns the configuration of a generation.

    Returns:
        The time that it took (s).
    """
    began = time.monotonic()
    controls = [deployment.machine("control", region).address("control") for region in REGIONS]
    attempt = 0
    while True:
        url = f"http://{controls[attempt % len(controls)]}/v1/config/put"
        attempt += 1
        headers = {"X-Base-Version": str(base)}
        try:
            async with session.post(url, json=make_configuration(generation), headers=headers) as response:
                if response.status == 200:
                    return time.monotonic() - began
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        await asyncio.sleep(0.2)


@dataclass
class SecondStats:
    """Results of the requests that clients began in one second."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    fronts: Counter[str] = field(default_factory=Counter)


class Clients:
    """Clients of one region that query the directory before each attempt and send a request twice at most."""

    def __init__(self, deployment: Deployment, region: str, rng: random.Random) -> None:
        self._deployment = deployment
        self._region = region
        self._rng = rng
        self.seconds: dict[int, SecondStats] = {}

    async def run(
        self, session: aiohttp.ClientSession, began: float, rate_s: float, duration_s: float
    ) -> None:
        """Send requests at a rate (1/s), however many are in flight."""
        async with asyncio.TaskGroup() as tasks:
            while (now := time.monotonic() - began) < duration_s:
                second = self.seconds.setdefault(int(now), SecondStats())
                tasks.create_task(self._request(session, second))
                await asyncio.sleep(self._rng.expovariate(rate_s))

    async def _request(self, session: aiohttp.ClientSession, second: SecondStats) -> None:
        second.sent += 1
        began = time.monotonic()
        subject = self._rng.randrange(24)
        for _ in range(MAX_ATTEMPTS):
            try:
                async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                    first_byte_at = await self._attempt(session, second, subject)
            except (aiohttp.ClientError, TimeoutError, OSError):
                first_byte_at = None
            if first_byte_at is not None:
                in_time = first_byte_at - began <= TARGET_LATENCY_S
                second.in_time += in_time
                second.late += not in_time
                return
        second.failed += 1

    async def _attempt(
        self, session: aiohttp.ClientSession, second: SecondStats, subject: int
    ) -> float | None:
        front = await self._resolve(session)
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
        async with session.post(f"http://{front}{PATH}", data=b"x" * 500, headers=headers) as response:
            if response.status != 200:
                await asyncio.sleep(float(response.headers.get("Retry-After", "0.2")))
                return None
            await response.content.readany()
            first_byte_at = time.monotonic()
            await response.read()
            return first_byte_at

    async def _resolve(self, session: aiohttp.ClientSession) -> str | None:
        regions_own_first = sorted(REGIONS, key=lambda region: region != self._region)
        for region in regions_own_first:
            directory = self._deployment.machine("control", region).address("directory")
            query = {"name": HOST, "region": self._region, "zone": f"{self._region}-1"}
            try:
                async with (
                    asyncio.timeout(1.0),
                    session.get(f"http://{directory}/v1/resolve", params=query) as response,
                ):
                    if response.status == 200:
                        return str(self._rng.choice((await response.json())["addresses"]))
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        return None
