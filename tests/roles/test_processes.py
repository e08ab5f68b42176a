"""Real processes of all roles over loopback: what was acknowledged outlives lost machines and disks."""

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

PATIENCE_S = 60.0


async def read_back(session, deployment):
    """The configuration as any control process gives it in the end."""
    while True:
        for region in REGIONS:
            url = f"http://{deployment.machine('control', region).address('control')}/v1/config/get"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return json.loads(await answer.read())
        await asyncio.sleep(0.05)


def play(folder, steps):
    async def run():
        deployment = Deployment(folder)
        timeout = aiohttp.ClientTimeout(total=3.0)
        try:
            async with asyncio.timeout(PATIENCE_S), aiohttp.ClientSession(timeout=timeout) as session:
                await deployment.start()
                await put_configuration(session, deployment, 0, 1)
                await steps(deployment, session)
        finally:
            await deployment.stop()

    asyncio.run(run())


@pytest.mark.parametrize("wiped", [False, True])
def test_the_primary_is_lost_and_comes_back(tmp_path, wiped):
    async def steps(deployment, session):
        await until_ready(session, deployment.machine("sidecar", "east"))
        primary = deployment.machine("control", "west")  # the first seed, which founded
        await primary.kill()
        if wiped:
            shutil.rmtree(primary.folder / "data")
        await put_configuration(session, deployment, 1, 2)
        await primary.start()
        await put_configuration(session, deployment, 2, 3)
        assert await read_back(session, deployment) == configuration(3)

    play(tmp_path, steps)


def test_all_are_killed_at_once_and_come_back(tmp_path):
    async def steps(deployment, session):
        for machine in deployment.machines:
            await machine.kill()
        for machine in reversed(deployment.machines):
            await machine.start()
        assert await read_back(session, deployment) == configuration(1)
        await put_configuration(session, deployment, 1, 2)
        for region in REGIONS:
            await until_ready(session, deployment.machine("sidecar", region))

    play(tmp_path, steps)


def test_a_process_ends_by_sigterm_with_nothing_on_its_log_but_events(tmp_path):
    async def steps(deployment, session):
        for region in REGIONS:
            await until_ready(session, deployment.machine("sidecar", region))
        await deployment.stop()
        for machine in deployment.machines:
            for line in (machine.folder / "log").read_text().splitlines():
                assert "message_type" in json.loads(line), line

    play(tmp_path, steps)
