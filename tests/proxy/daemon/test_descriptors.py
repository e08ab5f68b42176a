"""Idle clients use up the descriptors while the registry is unreachable."""

from __future__ import annotations

import asyncio
import json
import os
import signal

import pytest

from tests.loopback import App, Upstream, entry, listed, loopback, until
from tests.proxy.daemon.polling import poll
from tests.proxy.daemon.test_process import Process
from tests.proxy.membership.stand_ins import Outage


def count_descriptors(process):
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))


async def flood_with_clients(address, count, apps):
    """Keep `count` silent clients connected; rejected ones connect again."""
    while True:
        for app in [app for app in apps if app.reader.at_eof()]:
            app.close()
            apps.remove(app)
        while len(apps) < count:
            apps.append(await App.connect(address))
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("kind", ["hangs", "resets"])
@pytest.mark.parametrize("granted", [32, 64])
@loopback
async def test_clients_that_use_all_connections_block_neither_the_watch_nor_the_first_connect(
    granted, kind, tmp_path
):
    """Guards against a list that can't be fetched for lack of descriptors, while servers drain."""
    upstream, outage = await Upstream().start(), await Outage(kind).start()
    outage.complete_list = json.dumps(listed(50, entry("s9", upstream.address))).encode() + b"\n"
    made = await Process.start(tmp_path, limit=f"ulimit -n {granted};", discovery=outage.address)
    apps = [made.app]
    flood = asyncio.create_task(flood_with_clients(made.address, 2 * granted, apps))
    await until(lambda: len(apps) == 2 * granted)
    path = tmp_path / "config.json"
    config_text = path.read_text()
    path.write_text(config_text[: len(config_text) // 2])
    made.process.send_signal(signal.SIGHUP)  # the file can be opened but not parsed: nothing changes
    for _ in range(50):
        assert count_descriptors(made.process) < granted  # one stays free although all connections are in use
        await asyncio.sleep(0.01)
    await outage.end()

    async def served():
        """Return whether a call succeeds; the server is known from the fetched list only."""
        client = await App.connect(made.address)
        answer = await client.ask()
        client.close()
        return answer is not None and answer.body == b"done"

    await poll(served, interval_s=0.05)
    # A valid file moves the client, while all connections are still in use.
    second = await Outage("mute").start()
    path.write_text(json.dumps({**json.loads(config_text), "discovery": second.address}))
    made.process.send_signal(signal.SIGHUP)
    await until(lambda: second.requests)
    flood.cancel()
    made.process.terminate()
    assert await made.process.wait() == 0
    for app in apps:
        app.close()
    for partner in (upstream, outage, second):
        partner.stop()
