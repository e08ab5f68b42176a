"""Measures how callers of locks are answered: latencies and statuses, alone or beside busy processes.

    python -m benchmarks.lock_latency [--seconds 20] [--callers 20] [--load 0] [--checkout DIR]

Three control processes run on loopback. Each caller acquires a lock of its own at a random process, releases
it and waits a little. `--load` starts that many processes which only compute. `--checkout` measures another
checkout of the program.
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
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from rig.system.deployment import Deployment, Program

START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 1.0
PAUSE_S = 0.1  # mean time of a caller between a release and its next acquisition
HOLD_MS = 5000
MS_PER_S = 1000.0
OK, NO_ANSWER = 200, 0
BUSY_LOOP = "while True: pass"


@dataclass(slots=True)
class Measured:
    """Latencies of answered calls, in seconds, and the number of calls by status."""

    latencies_s: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)


class Callers:
    """Callers that acquire and release locks."""

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self.measured = Measured()
        self._addresses = [machine.address("control") for machine in deployment.of_role("control")]
        self._session = session

    async def until_served(self) -> None:
        """Wait until each process grants locks."""
        for number in range(len(self._addresses)):
            while await self._post(f"start-{number}/start", {"holder": "s", "hold_ms": HOLD_MS}) != OK:
                await asyncio.sleep(PAUSE_S)

    async def run(self, name: str, until: float) -> None:
        """Acquire and release a lock repeatedly until a time (s, monotonic clock)."""
        while time.monotonic() < until:
            fence = await self._measure(f"{name}/start", {"holder": name, "hold_ms": HOLD_MS})
            if fence:
                await self._measure(f"{name}/finish", {"holder": name, "fence": fence})
            await asyncio.sleep(random.expovariate(1 / PAUSE_S))

    async def _measure(self, path: str, body: dict[str, object]) -> int:
        began = time.monotonic()
        status, fence = await self._call(path, body)
        self.measured.statuses[status] += 1
        if status == OK:
            self.measured.latencies_s.append(time.monotonic() - began)
        return fence

    async def _post(self, path: str, body: dict[str, object]) -> int:
        return (await self._call(path, body))[0]

    async def _call(self, path: str, body: dict[str, object]) -> tuple[int, int]:
        url = f"http://{random.choice(self._addresses)}/v1/locks/{path}"
        try:
            async with self._session.post(url, json=body) as response:
                answer = await response.json()
                return response.status, answer.get("fence", 0)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return NO_ANSWER, 0


async def measure(folder: Path, seconds: float, callers: int, program: Program) -> Measured:
    """Run the callers on three control processes of a program."""
    deployment = Deployment(folder)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            for machine in deployment.of_role("control"):
                await machine.start(bootstrap=True, program=program)
            running = Callers(deployment, session)
            async with asyncio.timeout(START_TIMEOUT_S):
                await running.until_served()
            until = time.monotonic() + seconds
            await asyncio.gather(*(running.run(f"c{number}", until) for number in range(callers)))
        finally:
            await deployment.stop()
    return running.measured


def summarize(measured: Measured) -> str:
    """Return one line with the latencies and the statuses."""
    ordered = sorted(measured.latencies_s)
    p99_s = ordered[round(0.99 * (len(ordered) - 1))]
    statuses = ", ".join(f"{status}: {count}" for status, count in sorted(measured.statuses.items()))
    median_ms, p99_ms = MS_PER_S * statistics.median(ordered), MS_PER_S * p99_s
    return f"p50 {median_ms:.1f} ms, p99 {p99_ms:.1f} ms; {statuses}"


def main() -> int:
    """Measure and print one line."""
    parser = argparse.ArgumentParser(description="Measure the latency of locks on loopback.")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--callers", type=int, default=20)
    parser.add_argument("--load", type=int, default=0, help="busy processes beside it")
    parser.add_argument("--checkout", type=Path, help="of the program that is measured")
    options = parser.parse_args()
    program = Program(checkout=options.checkout)
    busy = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(options.load)]
    try:
        with tempfile.TemporaryDirectory() as folder:
            measured = asyncio.run(measure(Path(folder), options.seconds, options.callers, program))
    finally:
        for process in busy:
            process.kill()
    print(summarize(measured))
    return 0


if __name__ == "__main__":
    sys.exit(main())
