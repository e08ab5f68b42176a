"""Measures the time from the start of a sidecar process until it is ready, under traffic: medians and p99.

    python -m benchmarks.restart [--restarts 30]

Three regions run on loopback. The sidecar of one region is stopped and started repeatedly while clients of
all regions send requests. The steps of the interpreter are timed separately, each in its own process.
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

REQUESTS_PER_S = 5.0  # of each region
READY_TIMEOUT_S = 20.0
MS_PER_S = 1000.0
NO_TLS = "import sys; sys.modules['ssl'] = None"
LIBRARIES = "import aiohttp.web, eliot, marshmallow, returns.result, cbor2"
STEPS = {
    "interpreter": "pass",
    "libraries": f"{NO_TLS}; {LIBRARIES}",
    "libraries, with TLS": LIBRARIES,
    "all imports": f"{NO_TLS}; import fordtrestle.roles.sidecar",
}


def _format_row(name: str, times_s: list[float]) -> str:
    sorted_s = sorted(times_s)
    p99_s = sorted_s[min(len(sorted_s) - 1, round(0.99 * (len(sorted_s) - 1)))]
    return (
        f"{name:<24} {MS_PER_S * statistics.median(sorted_s):8.0f} {MS_PER_S * p99_s:8.0f}   {len(sorted_s)}"
    )


def _time_step(program: str) -> float:
    began = time.monotonic()
    subprocess.run([sys.executable, "-c", program], check=True)
    return time.monotonic() - began


async def _measure(folder: Path, restarts: int) -> tuple[list[float], list[float]]:
    deployment = Deployment(folder)
    stop_times_s, start_times_s = [], []
    servers = [server for region in REGIONS for server in servers_of(deployment, region, 1)]
    timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            await deployment.start()
            await put_configuration(session, deployment, 0, 1)
            for server in servers:
                await server.start()
            traffic = [
                asyncio.create_task(
                    Clients(deployment, region, random.Random(index)).run(
                        session, time.monotonic(), REQUESTS_PER_S, float("inf")
                    )
                )
                for index, region in enumerate(REGIONS)
            ]
            machine = deployment.machine("sidecar", REGIONS[-1])
            await until_ready(session, machine)
            for _ in range(restarts):
                began = time.monotonic()
                await machine.stop()
                stop_times_s.append(time.monotonic() - began)
                began = time.monotonic()
                await machine.start()
                await asyncio.wait_for(until_ready(session, machine), READY_TIMEOUT_S)
                start_times_s.append(time.monotonic() - began)
            for task in traffic:
                task.cancel()
            await asyncio.gather(*traffic, return_exceptions=True)
        finally:
            await deployment.stop()
            for server in servers:
                await server.crash()
    return stop_times_s, start_times_s


def main() -> int:
    """Measure and print a table.

    Returns:
        The exit code 0.
    """
    parser = argparse.ArgumentParser(description="Measure how long a sidecar restart takes.")
    parser.add_argument("--restarts", type=int, default=30)
    options = parser.parse_args()
    print(f"{'ms':<24} {'median':>8} {'p99':>8}   of")
    for name, program in STEPS.items():
        print(_format_row(name, [_time_step(program) for _ in range(options.restarts)]))
    with tempfile.TemporaryDirectory() as folder:
        stop_times_s, start_times_s = asyncio.run(_measure(Path(folder), options.restarts))
    print(_format_row("exec to ready", start_times_s))
    print(_format_row("SIGTERM to the end", stop_times_s))
    return 0


if __name__ == "__main__":
    sys.exit(main())
