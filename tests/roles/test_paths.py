"""Every promised path is answered, with an expected status, by each real process of its role.

Guards against a path that is promised but served by no process, which answers it with 404: no test noticed
while the promised paths and the tested paths were separate lists. `PROMISED` lists all promised paths.
"""

from __future__ import annotations

import json

from rig.system.fleet import until_ready
from tests.roles.test_processes import run_on_deployment

HOLD = {"holder": "a1", "hold_ms": 500}
HEARTBEAT = {"backend": "models", "address": "10.0.0.9:1", "zone": "west-1", "state": "ready", "sequence": 1}
CONTROL, DIRECTORY, READINESS = ("control", "control"), ("control", "directory"), ("sidecar", "readiness")

# Role and endpoint, call, body, and the expected statuses (the primary's, whichever process is called).
PROMISED = [
    (CONTROL, "GET /v1/config/get", None, {200}),
    (CONTROL, "POST /v1/config/put", {}, {400, 412}),
    (CONTROL, "POST /v1/config/patch", {}, {400, 412}),
    (CONTROL, "POST /v1/evacuations/west-1/start", None, {200}),
    (CONTROL, "POST /v1/evacuations/west-1/finish", None, {200}),
    (CONTROL, "POST /v1/instances/i-1/heartbeat", HEARTBEAT, {200}),
    (CONTROL, "POST /v1/instances/i-1/deregister", None, {200}),
    (CONTROL, "POST /v1/locks/l/start", HOLD, {200}),
    (CONTROL, "POST /v1/locks/l/heartbeat", {**HOLD, "fence": 0}, {409}),
    (CONTROL, "POST /v1/locks/l/finish", {"holder": "a1", "fence": 0}, {200}),
    (CONTROL, "POST /v1/numbers/n", {}, {200}),
    (CONTROL, "POST /v1/cells/g.k/put", {"value": "v1"}, {200}),
    (CONTROL, "GET /v1/cells/g.k/get", None, {200}),
    (CONTROL, "GET /v1/watch/g.?after=0", None, {200}),
    (DIRECTORY, "GET /v1/resolve?name=assistant.example&region=west&zone=west-1", None, {200}),
    (READINESS, "GET /v1/readiness", None, {200}),
]


async def statuses_of_call(session, deployment, promised):
    """Return the statuses of a call at each process of its role."""
    (role, endpoint), call, body, _ = promised
    method, _, path = call.partition(" ")
    statuses = set()
    for machine in deployment.of_role(role):
        url = f"http://{machine.address(endpoint)}{path}"
        data = json.dumps(body) if body is not None else None
        for _ in range(20):
            async with session.request(method, url, data=data) as answer:
                await answer.read()
            if answer.status != 503:  # which asks for a retry
                break
        statuses.add(answer.status)
    return statuses


def test_each_promised_path_is_answered_by_each_process_of_its_role(tmp_path):
    async def steps(deployment, session):
        for machine in deployment.of_role("sidecar"):
            await until_ready(session, machine)
        answered = {
            call: await statuses_of_call(session, deployment, row) for row in PROMISED for call in [row[1]]
        }
        unexpected = {
            call: answered[call] for _, call, _, expected in PROMISED if not answered[call] <= expected
        }
        assert not unexpected

    run_on_deployment(tmp_path, steps)
