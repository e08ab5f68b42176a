"""The event loop with virtual time: it skips idle time, and its clock advances while a task never waits."""

from __future__ import annotations

import asyncio
import time

from tests.virtual import ITERATION_S, VirtualLoop, virtual


def test_idle_time_is_skipped():
    started_at = time.monotonic()
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        start = runner.get_loop().time()
        runner.run(asyncio.sleep(3600.0))
        assert 3600.0 <= runner.get_loop().time() - start < 3600.1
    assert time.monotonic() - started_at < 60.0


@virtual
async def test_the_clock_advances_while_a_task_never_waits():
    """Guards against a test that never ends, and against answers that take no time at all."""
    loop = asyncio.get_running_loop()
    end, iterations = loop.time() + 100 * ITERATION_S, 0
    while loop.time() < end and iterations < 1000:
        iterations += 1
        await asyncio.sleep(0)
    assert 90 <= iterations <= 110


@virtual
async def test_a_stall_advances_the_time_without_running_timers():
    loop = asyncio.get_running_loop()
    sleep, started_at = asyncio.ensure_future(asyncio.sleep(0.1)), loop.time()
    await asyncio.sleep(0)  # starts it
    loop.stall(0.4)
    assert loop.time() - started_at >= 0.4
    assert not sleep.done()
    await sleep
    assert loop.time() - started_at < 0.41
