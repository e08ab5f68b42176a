"""Idle clients that fill the descriptors, while discovery is away."""

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


def held(process):
    """The descriptors that a process holds."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))


async def crowd(address, count, apps):
    """So many clients that say nothing; whoever is turned away comes again."""
    while True:
        for app in [app for app in apps if app.reader.at_eof()]:
            app.close()
            apps.remove(app)
        while len(apps) < count:
            apps.append(await App.connect(address))
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("how", ["hangs", "resets"])
@pytest.mark.parametrize("granted", [32, 64])
@loopback
async def test_clients_that_fill_all_places_keep_neither_the_watch_nor_a_first_dial_from_coming_up(
    granted, how, tmp_path
):
    """Guards against a list that can't be taken in just when servers drain."""
    upstream, outage = await Upstream().start(), await Outage(how).start()
    outage.complete_list = json.dumps(listed(50, entry("s9", upstream.address))).encode() + b"\n"
    made = await Process.start(tmp_path, limit=f"ulimit -n {granted};", discovery=outage.address)
    apps = [made.app]
    crowding = asyncio.create_task(crowd(made.address, 2 * granted, apps))
    await until(lambda: len(apps) == 2 * granted)
    path = tmp_path / "config.json"
    told = path.read_text()
    path.write_text(told[: len(told) // 2])
    made.process.send_signal(signal.SIGHUP)  # its file is opened and can't be read: nothing changes
    for _ in range(50):
        assert held(made.process) < granted  # one is left also while each place is taken
        await asyncio.sleep(0.01)
    await outage.end()

    async def served():
        """Its server is known from that list alone."""
        client = await App.connect(made.address)
        answer = await client.ask()
        client.close()
        return answer is not None and answer.body == b"done"

    await poll(served, interval_s=0.05)
    # A file that can be read moves it, with all places taken still.
    second = await Outage("mute").start()
    path.write_text(json.dumps({**json.loads(told), "discovery": second.address}))
    made.process.send_signal(signal.SIGHUP)
    await until(lambda: second.requests)
    crowding.cancel()
    made.process.terminate()
    assert await made.process.wait() == 0
    for app in apps:
        app.close()
    for partner in (upstream, outage, second):
        partner.stop()
