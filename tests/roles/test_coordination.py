"""Locks and counters are answered by every control process, and survive the loss of all processes.

Guards against control processes without routes for `/v1/locks`, `/v1/numbers`, `/v1/cells` and `/v1/watch`:
each of them answered `404: Not Found` at once, at any time, which is no decision on a lock or a number, so
applications received none even seconds after the last fault.
"""

from __future__ import annotations

import asyncio

import pytest

from rig.system.deployment import REGIONS
from tests.roles.test_processes import run_on_deployment

OK = 200
RETRY_S = 0.1
HELD = 409  # after a restart a lock is held for its whole hold time again
NO_DECISION = (404, 405, HELD, 500, 502, 503, 504)  # retried, as an application does


async def call(session, deployment, path, body):
    """Send a call to one control process after the other, and return the first decision."""
    while True:
        for region in REGIONS:
            url = f"http://{deployment.machine('control', region).address('control')}{path}"
            try:
                async with session.post(url, json=body) as answer:
                    if answer.status not in NO_DECISION:
                        return answer.status, await answer.json()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(RETRY_S)


async def call_in_time(session, deployment, path, body, timeout_s=10.0):
    """Return the result of `call`, which has to arrive within `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        return await call(session, deployment, path, body)


@pytest.mark.parametrize("all_processes_restart", [False, True])
def test_fences_and_numbers_increase_also_after_a_restart_of_all_processes(tmp_path, all_processes_restart):
    async def steps(deployment, session):
        hold = {"holder": "a1", "hold_ms": 500}
        status, granted = await call_in_time(session, deployment, "/v1/locks/dispute/start", hold)
        assert status == OK
        status, issued = await call_in_time(session, deployment, "/v1/numbers/dossier", {})
        assert status == OK
        if all_processes_restart:
            for machine in deployment.machines:
                await machine.kill()
            for machine in deployment.machines:
                await machine.start()
        await asyncio.sleep(0.6)
        status, issued_next = await call_in_time(session, deployment, "/v1/numbers/dossier", {})
        assert (status, issued_next["value"] > issued["value"]) == (OK, True)
        hold = {"holder": "b2", "hold_ms": 500}
        status, granted_next = await call_in_time(session, deployment, "/v1/locks/dispute/start", hold)
        assert (status, granted_next["fence"] > granted["fence"]) == (OK, True)

    run_on_deployment(tmp_path, steps)
