"""The end of a process out of its grace: steps that hang are cut and told, and nothing outlasts the grace."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

import eliot
import pytest

from fordtrestle.roles.ending import MARGIN_S, Ending
from tests.exchanges import loopback
from tests.guards import ROOT

GRACE_S = 1.2


@pytest.fixture
def told():
    """The steps that are logged: name and fault."""
    steps = []

    def take(message):
        if message.get("message_type") == "ending:step":
            steps.append((message["step"], message["fault"]))

    eliot.add_destinations(take)
    yield steps
    eliot.remove_destination(take)


async def fails():
    raise OSError("the port is gone")


@loopback
async def _run_steps():
    ending = Ending(60.0)
    async with asyncio.timeout(5.0):
        done = [
            await ending.step("one", asyncio.sleep(0), 1.0),
            await ending.step("hangs", asyncio.Event().wait(), 0.01),
            await ending.step("fails", fails(), 1.0),
            await ending.step("last", asyncio.sleep(0), 1.0),
        ]
    assert done == [True, False, False, True]


def test_a_step_that_hangs_or_fails_is_told_and_the_next_one_is_done(told):
    _run_steps()
    assert told == [("one", ""), ("hangs", "cut"), ("fails", "OSError('the port is gone')"), ("last", "")]


@loopback
async def test_all_steps_together_end_a_margin_before_the_grace():
    ending = Ending(MARGIN_S + 0.05)
    await ending.step("hangs", asyncio.Event().wait(), 60.0)
    assert not await ending.step("hangs too", asyncio.Event().wait(), 60.0)
    assert ending.left_s() == 0.0


HANGS = {
    "the loop": "time.sleep(60)",
    "a thread that the loop waits for": "await asyncio.to_thread(time.sleep, 60)",
}


@pytest.mark.parametrize("where", HANGS)
def test_the_process_ends_with_code_0_before_its_grace_whatever_hangs(where):
    program = f"""
import asyncio, json, time
from tests.guards import take_out
take_out()
from fordtrestle.roles.ending import Ending

async def run():
    Ending({GRACE_S}).exit_at_last()
    print(json.dumps(time.monotonic()), flush=True)
    {HANGS[where]}

asyncio.run(run())
"""
    clock = "import time; print(time.monotonic())"
    ran = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, timeout=10, check=False
    )
    ended = float(subprocess.run([sys.executable, "-c", clock], capture_output=True, text=True).stdout)
    assert ran.returncode == 0, ran.stderr
    assert ended - json.loads(ran.stdout) >= GRACE_S - MARGIN_S
