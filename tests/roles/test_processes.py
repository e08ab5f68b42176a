"""Real processes of all roles over loopback: acknowledged writes survive the loss of machines and disks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil

import aiohttp
import pytest

from rig.system.deployment import REGIONS, Deployment
from rig.system.fleet import until_ready
from rig.system.traffic import configuration, put_configuration

TEST_TIMEOUT_S = 60.0


async def read_configuration(session, deployment):
    """Return the configuration from the first control process that answers, retrying until one does."""
    while True:
        for region in REGIONS:
            url = f"http://{deployment.machine('control', region).address('control')}/v1/config/get"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return json.loads(await answer.read())
        await asyncio.sleep(0.05)


def run_on_deployment(folder, steps):
    """Run `steps` on a deployment with a configuration, and stop the deployment afterwards."""

    async def run():
        deployment = Deployment(folder)
        timeout = aiohttp.ClientTimeout(total=3.0)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S), aiohttp.ClientSession(timeout=timeout) as session:
                await deployment.start()
                await put_configuration(session, deployment, 0, 1)
                await steps(deployment, session)
        finally:
            await deployment.stop()

    asyncio.run(run())


@pytest.mark.parametrize("wiped", [False, True])
def test_the_configuration_survives_a_restart_of_the_primary(tmp_path, wiped):
    async def steps(deployment, session):
        await until_ready(session, deployment.machine("sidecar", "east"))
        primary = deployment.machine("control", "west")  # the first seed, which bootstrapped the core
        await primary.kill()
        if wiped:
            shutil.rmtree(primary.folder / "data")
        await put_configuration(session, deployment, 1, 2)
        await primary.start()
        await put_configuration(session, deployment, 2, 3)
        assert await read_configuration(session, deployment) == configuration(3)

    run_on_deployment(tmp_path, steps)


def test_the_configuration_survives_a_restart_of_all_processes(tmp_path):
    async def steps(deployment, session):
        for machine in deployment.machines:
            await machine.kill()
        for machine in reversed(deployment.machines):
            await machine.start()
        assert await read_configuration(session, deployment) == configuration(1)
        await put_configuration(session, deployment, 1, 2)
        for region in REGIONS:
            await until_ready(session, deployment.machine("sidecar", region))

    run_on_deployment(tmp_path, steps)


def test_a_process_that_sigterm_stops_logs_only_events(tmp_path):
    async def steps(deployment, session):
        for region in REGIONS:
            await until_ready(session, deployment.machine("sidecar", region))
        await deployment.stop()
        for machine in deployment.machines:
            for line in (machine.folder / "log").read_text().splitlines():
                assert "message_type" in json.loads(line), line

    run_on_deployment(tmp_path, steps)
