"""The loop of virtual time: what it skips, and that its time can't stand still for ever."""

from __future__ import annotations

import asyncio
import time

from tests.virtual import TURN_S, VirtualLoop, virtual


def test_seconds_with_nothing_to_do_are_skipped():
    began = time.monotonic()
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        start = runner.get_loop().time()
        runner.run(asyncio.sleep(3600.0))
        assert 3600.0 <= runner.get_loop().time() - start < 3600.1
    assert time.monotonic() - began < 60.0


@virtual
async def test_who_never_rests_does_not_stop_the_clock():
    """Guards against a test without end, and against answers that take no time at all."""
    loop = asyncio.get_running_loop()
    end, turns = loop.time() + 100 * TURN_S, 0
    while loop.time() < end and turns < 1000:
        turns += 1
        await asyncio.sleep(0)
    assert 90 <= turns <= 110


@virtual
async def test_a_stall_passes_while_nothing_is_done():
    loop = asyncio.get_running_loop()
    due, before = asyncio.ensure_future(asyncio.sleep(0.1)), loop.time()
    await asyncio.sleep(0)  # it is under way
    loop.stall(0.4)
    assert loop.time() - before >= 0.4
    assert not due.done()
    await due
    assert loop.time() - before < 0.41
