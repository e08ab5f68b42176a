"""Each path that callers are promised, asked of each role on real processes: who answers it, and what.

A path that nobody served was answered 404 by every process, which no test asked for: what was in force, and
what was tested, were lists of their own. This one is the list of what is in force.
"""

from __future__ import annotations

import json

from rig.system.fleet import until_ready
from tests.roles.test_processes import play

HOLD = {"holder": "a1", "hold_ms": 500}
HEARTBEAT = {"backend": "models", "address": "10.0.0.9:1", "zone": "west-1", "state": "ready", "sequence": 1}
CONTROL, DIRECTORY, READINESS = ("control", "control"), ("control", "directory"), ("sidecar", "readiness")

# Role and endpoint, call, body, and the statuses that are an answer; the primary's own, wherever it is asked.
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


async def ask(session, deployment, promised):
    """The statuses of a call at each process of a role."""
    (role, endpoint), call, body, _ = promised
    method, _, path = call.partition(" ")
    statuses = set()
    for machine in deployment.of_role(role):
        url = f"http://{machine.address(endpoint)}{path}"
        data = json.dumps(body) if body is not None else None
        for _ in range(20):
            async with session.request(method, url, data=data) as answer:
                await answer.read()
            if answer.status != 503:  # which asks to come back
                break
        statuses.add(answer.status)
    return statuses


def test_each_path_in_force_is_answered_by_each_process_of_its_role(tmp_path):
    async def steps(deployment, session):
        for machine in deployment.of_role("sidecar"):
            await until_ready(session, machine)
        answered = {call: await ask(session, deployment, row) for row in PROMISED for call in [row[1]]}
        unexpected = {
            call: answered[call] for _, call, _, expected in PROMISED if not answered[call] <= expected
        }
        assert not unexpected

    play(tmp_path, steps)
