"""The shutdown of a process: steps that hang are cancelled and logged, and the grace period is kept."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

import eliot
import pytest

from fordtrestle.roles.shutdown import EXIT_MARGIN_S, ShutdownBudget
from tests.exchanges import loopback
from tests.guards import ROOT

GRACE_S = 1.2


@pytest.fixture
def logged_steps():
    """The names and faults of the logged steps."""
    steps = []

    def record(message):
        if message.get("message_type") == "shutdown:step":
            steps.append((message["step"], message["fault"]))

    eliot.add_destinations(record)
    steps.clear()  # the first destination receives messages that other tests have logged before
    yield steps
    eliot.remove_destination(record)


async def fail():
    raise OSError("the port is gone")


@loopback
async def _run_steps():
    budget = ShutdownBudget(60.0)
    async with asyncio.timeout(5.0):
        completed = [
            await budget.run_step("one", asyncio.sleep(0), 1.0),
            await budget.run_step("hangs", asyncio.Event().wait(), 0.01),
            await budget.run_step("fails", fail(), 1.0),
            await budget.run_step("last", asyncio.sleep(0), 1.0),
        ]
    assert completed == [True, False, False, True]


def test_a_step_that_hangs_or_fails_is_logged_and_the_next_one_runs(logged_steps):
    _run_steps()
    assert logged_steps == [
        ("one", ""),
        ("hangs", "cut"),
        ("fails", "OSError('the port is gone')"),
        ("last", ""),
    ]


@loopback
async def test_all_steps_end_before_the_grace_period_does():
    budget = ShutdownBudget(EXIT_MARGIN_S + 0.05)
    await budget.run_step("hangs", asyncio.Event().wait(), 60.0)
    assert not await budget.run_step("hangs too", asyncio.Event().wait(), 60.0)
    assert budget.remaining_s() == 0.0


HANGS = {
    "the loop": "time.sleep(60)",
    "a thread that the loop waits for": "await asyncio.to_thread(time.sleep, 60)",
}


@pytest.mark.parametrize("where", HANGS)
def test_the_process_exits_with_code_0_before_its_grace_period_ends_whatever_hangs(where):
    program = f"""
import asyncio, json, time
from tests.guards import take_out
take_out()
from fordtrestle.roles.shutdown import ShutdownBudget

async def run():
    ShutdownBudget({GRACE_S}).start_watchdog()
    print(json.dumps(time.monotonic()), flush=True)
    {HANGS[where]}

asyncio.run(run())
"""
    clock = "import time; print(time.monotonic())"
    completed = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, timeout=10, check=False
    )
    ended_at = float(subprocess.run([sys.executable, "-c", clock], capture_output=True, text=True).stdout)
    assert completed.returncode == 0, completed.stderr
    assert ended_at - json.loads(completed.stdout) >= GRACE_S - EXIT_MARGIN_S
