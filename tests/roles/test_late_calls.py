"""A call that waited in a process that stood still is not executed once its caller has given it up.

Guards against a second holder of a lock: a release that had waited for 3 s was executed after its sender had
acquired the lock again at another process.
"""

from __future__ import annotations

import asyncio
import json
import signal

import aiohttp
import pytest

from rig.system.deployment import Deployment

TEST_TIMEOUT_S = 60.0
FREEZE_S = 3.0
SHORT_FREEZE_S = 0.4  # less than a caller waits
DEAD_CALLERS = 5
SETTLE_S = 1.5  # after which a call that was read late has been executed, if it ever is
RETRY_S = 0.1
HOLD_MS = 30_000
LOCK = "/v1/locks/dispute"
NUMBER = "/v1/numbers/dossier"
OK, HELD = 200, 409


class Core:
    """The control processes of a deployment, and calls to them."""

    def __init__(self, folder, session):
        self.deployment = Deployment(folder)
        self.machines = self.deployment.of_role("control")
        self.session = session

    async def post(self, machine, path, body):
        """Send a call once; the status is 0 without an answer."""
        try:
            async with self.session.post(f"http://{machine.address('control')}{path}", json=body) as answer:
                return answer.status, json.loads(await answer.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    async def until_done(self, path, body, machines=None):
        """Send a call to one process after another until it is done, and return the answer."""
        while True:
            for machine in machines or self.machines:
                status, answer = await self.post(machine, path, body)
                if status == OK:
                    return answer
            await asyncio.sleep(RETRY_S)

    async def primary_and_others(self):
        """Return the machine of the primary, and the others."""
        while True:
            url = f"http://{self.machines[0].address('control')}/v1/epoch"
            async with self.session.get(url) as answer:
                rows = (await answer.json())["rows"]
            found = [row["control"] for row in rows if row["role"] == "primary"]
            if found and len(rows) == len(self.machines):
                primary = next(m for m in self.machines if m.address("control") == found[0])
                return primary, [machine for machine in self.machines if machine is not primary]
            await asyncio.sleep(RETRY_S)


async def send_without_waiting(machine, path, body):
    """Send a call and leave the connection open, as a caller does that is slow to close it."""
    host, _, port = machine.address("control").partition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    content = json.dumps(body).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: core\r\nContent-Type: application/json\r\n"
    writer.write(f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content)
    return writer


async def play(core, frozen_of, asked_of):
    """Freeze processes, send calls to one of them, and check that none of them is executed."""
    primary, others = await core.primary_and_others()
    frozen, asked = frozen_of(primary, others), asked_of(primary, others)
    awake = [machine for machine in core.machines if machine not in frozen]
    fence = (await core.until_done(f"{LOCK}/start", {"holder": "a", "hold_ms": HOLD_MS}))["fence"]
    number = (await core.until_done(NUMBER, {}))["value"]
    await asyncio.sleep(1.0)
    for machine in frozen:
        machine.process.send_signal(signal.SIGSTOP)
    thaw = asyncio.get_running_loop().time() + FREEZE_S
    late_calls = [
        await send_without_waiting(asked, f"{LOCK}/finish", {"holder": "a", "fence": fence}),
        await send_without_waiting(asked, NUMBER, {}),
    ]
    await asyncio.sleep(1.0)
    again = asyncio.create_task(core.until_done(f"{LOCK}/start", {"holder": "a", "hold_ms": HOLD_MS}, awake))
    await asyncio.sleep(thaw - asyncio.get_running_loop().time())
    for machine in frozen:
        machine.process.send_signal(signal.SIGCONT)
    assert (await again)["fence"] > fence
    await asyncio.sleep(SETTLE_S)
    assert (await core.until_done(NUMBER, {}))["value"] == number + 1, "a late call was executed"
    rival = {"holder": "b", "hold_ms": HOLD_MS}
    assert {(await core.post(machine, f"{LOCK}/start", rival))[0] for machine in core.machines} == {HELD}
    for writer in late_calls:
        writer.close()


FROZEN = {
    "the process that is asked": (lambda primary, others: others[:1], lambda primary, others: others[0]),
    "the primary, which is asked": (lambda primary, others: [primary], lambda primary, others: primary),
    "the primary": (lambda primary, others: [primary], lambda primary, others: others[0]),
    "both": (lambda primary, others: [primary, others[0]], lambda primary, others: others[0]),
}


def run_on_core(folder, steps):
    """Run `steps` on three control processes that serve, and stop them afterwards."""

    async def run():
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            core = Core(folder, session)
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    for machine in core.machines:
                        await machine.start(bootstrap=True)
                    await core.until_done(NUMBER, {})
                    await steps(core)
            finally:
                for machine in core.machines:
                    if machine.process and machine.process.returncode is None:
                        machine.process.send_signal(signal.SIGCONT)
                await core.deployment.stop()

    asyncio.run(run())


@pytest.mark.parametrize("name", FROZEN)
def test_a_call_that_waited_while_a_process_stood_still_is_not_executed(tmp_path, name):
    run_on_core(tmp_path, lambda core: play(core, *FROZEN[name]))


@pytest.mark.parametrize("is_primary_asked", [True, False])
def test_a_call_of_a_caller_that_died_while_a_process_stood_still_is_not_executed(tmp_path, is_primary_asked):
    # Within its second: the age of the call alone would let it act, after the caller has come back.
    async def steps(core):
        primary, others = await core.primary_and_others()
        asked = primary if is_primary_asked else others[0]
        number = (await core.until_done(NUMBER, {}))["value"]
        await asyncio.sleep(1.0)
        asked.process.send_signal(signal.SIGSTOP)
        late_calls = [await send_without_waiting(asked, NUMBER, {}) for _ in range(DEAD_CALLERS)]
        for writer in late_calls:
            writer.close()
        await asyncio.sleep(SHORT_FREEZE_S)
        asked.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(SETTLE_S)
        assert (await core.until_done(NUMBER, {}))["value"] == number + 1, "a late call was executed"

    run_on_core(tmp_path, steps)
