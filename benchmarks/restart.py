"""From the start of a sidecar's process until it is ready, beside traffic: step by step, as medians and p99.

    python -m benchmarks.restart [--restarts 30]

Three regions on loopback; the sidecar of one is told to end and started again, while clients of all regions
send. The steps of the interpreter are timed apart, in processes of their own.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from rig.system.deployment import REGIONS, Deployment
from rig.system.fleet import servers_of, until_ready
from rig.system.traffic import Clients, put_configuration

RATE_S = 5.0  # requests of each region
PATIENCE_S = 20.0
MS_PER_S = 1000.0
NO_TLS = "import sys; sys.modules['ssl'] = None"
LIBRARIES = "import aiohttp.web, eliot, marshmallow, returns.result, cbor2"
STEPS = {
    "interpreter": "pass",
    "libraries": f"{NO_TLS}; {LIBRARIES}",
    "libraries, with TLS": LIBRARIES,
    "all imports": f"{NO_TLS}; import fordtrestle.roles.sidecar",
}


def _told(name: str, times_s: list[float]) -> str:
    ordered = sorted(times_s)
    last = ordered[min(len(ordered) - 1, round(0.99 * (len(ordered) - 1)))]
    return f"{name:<24} {MS_PER_S * statistics.median(ordered):8.0f} {MS_PER_S * last:8.0f}   {len(ordered)}"


def _step(program: str) -> float:
    began = time.monotonic()
    subprocess.run([sys.executable, "-c", program], check=True)
    return time.monotonic() - began


async def _measure(folder: Path, restarts: int) -> tuple[list[float], list[float]]:
    deployment = Deployment(folder)
    ends, starts = [], []
    servers = [server for region in REGIONS for server in servers_of(deployment, region, 1)]
    timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            await deployment.start()
            await put_configuration(session, deployment, 0, 1)
            for server in servers:
                await server.start()
            traffic = [
                asyncio.create_task(
                    Clients(deployment, region, random.Random(index)).run(
                        session, time.monotonic(), RATE_S, float("inf")
                    )
                )
                for index, region in enumerate(REGIONS)
            ]
            machine = deployment.machine("sidecar", REGIONS[-1])
            await until_ready(session, machine)
            for _ in range(restarts):
                began = time.monotonic()
                await machine.stop()
                ends.append(time.monotonic() - began)
                began = time.monotonic()
                await machine.start()
                await asyncio.wait_for(until_ready(session, machine), PATIENCE_S)
                starts.append(time.monotonic() - began)
            for task in traffic:
                task.cancel()
            await asyncio.gather(*traffic, return_exceptions=True)
        finally:
            await deployment.stop()
            for server in servers:
                await server.crash()
    return ends, starts


def main() -> int:
    """Measure, and print a table; the exit code."""
    parser = argparse.ArgumentParser(description="How long a sidecar is away.")
    parser.add_argument("--restarts", type=int, default=30)
    given = parser.parse_args()
    print(f"{'ms':<24} {'median':>8} {'p99':>8}   of")
    for name, program in STEPS.items():
        print(_told(name, [_step(program) for _ in range(given.restarts)]))
    with tempfile.TemporaryDirectory() as folder:
        ends, starts = asyncio.run(_measure(Path(folder), given.restarts))
    print(_told("exec to ready", starts))
    print(_told("SIGTERM to the end", ends))
    return 0


if __name__ == "__main__":
    sys.exit(main())
