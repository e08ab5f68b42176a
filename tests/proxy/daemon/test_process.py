"""The program as it is deployed: start, stop, reload and invalid configurations."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from fordtrestle.proxy.engine.ports import Address
from tests.loopback import SETTINGS, App, Registry, Upstream, entry, hang, listed, loopback, until
from tests.proxy.daemon.polling import poll

ROOT = Path(__file__).resolve().parents[3]


def environment(tmp_path, **changes):
    """Write a configuration file; return the environment that names it."""
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"sockets": 1024},
        "known": listed(1),
        "settings": SETTINGS,
        **changes,
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps({name: value for name, value in raw.items() if value is not None}))
    kept = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
    return {**kept, "NODE_CONFIG": str(path)}


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"settings": {}}, "Profiles"),
        ({"settings": None}, "settings"),
        ({"settings": {**SETTINGS, "Rules": {"ColdFrom": 7}}}, "Rules.ColdFrom"),
        ({"listen": "nowhere"}, "expected an address as host:port, not 'nowhere'"),
        ({"known": {"index": 1}}, "endpoints"),
        ({"known": listed(1, entry("s0", status="asleep"))}, "asleep"),
        ({"known": []}, "configuration"),
    ],
)
def test_an_invalid_configuration_is_one_line_and_an_exit_code(tmp_path, changes, message):
    done = subprocess.run(
        [sys.executable, "-m", "fordtrestle"],
        env=environment(tmp_path, **changes),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1
    assert message in done.stderr


def test_a_missing_configuration_is_one_line_too(tmp_path):
    for path in ("", str(tmp_path / "missing.json")):
        env = {**environment(tmp_path), "NODE_CONFIG": path}
        done = subprocess.run(
            [sys.executable, "-m", "fordtrestle"],
            env=env,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert (done.returncode, len(done.stderr.splitlines())) == (2, 1)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Process:
    """The real program in a separate process."""

    @classmethod
    async def start(cls, tmp_path, *upstreams, limit="", words="", **changes):
        made = cls()
        made.address = Address("127.0.0.1", free_port())
        known = listed(1, *(entry(f"s{i}", upstream.address) for i, upstream in enumerate(upstreams)))
        env = environment(tmp_path, known=known, listen=f"{made.address.host}:{made.address.port}", **changes)
        made.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f'{limit} exec "$0" -m fordtrestle {words}', sys.executable, env=env, cwd=ROOT
        )
        while True:
            try:
                made.app = await App.connect(made.address)
                return made
            except ConnectionError:
                assert made.process.returncode is None
                await asyncio.sleep(0.01)


@loopback
async def test_after_sigterm_it_still_accepts_requests_then_completes_them_and_exits(tmp_path):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

    upstream = await Upstream([wait]).start()
    made = await Process.start(tmp_path, upstream)
    made.app.send()
    await until(lambda: upstream.seen)
    signalled_at = asyncio.get_running_loop().time()
    made.process.send_signal(signal.SIGTERM)
    late = await App.connect(made.address)  # new connections still arrive
    late.send()
    await until(lambda: len(upstream.seen) == 2)

    while True:
        try:
            (await App.connect(made.address)).close()
        except ConnectionError:
            break
        await asyncio.sleep(0.01)
    assert asyncio.get_running_loop().time() - signalled_at > 0.4
    release.set()
    for app in (made.app, late):
        answer = await app.answer()
        assert (answer.body, answer.headers["connection"]) == (b"done", "close")
    assert await made.process.wait() == 0
    upstream.stop()


@loopback
async def test_sighup_moves_discovery_and_changes_nothing_else(tmp_path):
    """Guards against the default action of the signal, which kills the process, in any of its states."""
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

    upstream, first, second = await Upstream([wait]).start(), await Registry().start(), Registry()
    named = f"export NODE_DISCOVERY={first.address};"
    made = await Process.start(tmp_path, upstream, limit=named)
    await until(lambda: first.watches)
    await second.start()
    second.listed = listed(1, entry("s0", upstream.address))
    made.app.send()
    await until(lambda: upstream.seen)

    path = tmp_path / "config.json"
    config = json.loads(path.read_text())
    path.write_text("{")  # can't be parsed: nothing changes
    made.process.send_signal(signal.SIGHUP)
    path.write_text(json.dumps({**config, "discovery": second.address}))
    for _ in range(3):
        made.process.send_signal(signal.SIGHUP)
    await until(lambda: second.watches)
    await until(lambda: first.watches[0].is_closing())
    made.process.terminate()
    made.process.send_signal(signal.SIGHUP)
    release.set()
    assert (await made.app.answer()).body == b"done"
    assert len(upstream.writers) == 1
    assert await made.process.wait() == 0
    for partner in (upstream, first, second):
        partner.stop()


@loopback
async def test_it_survives_running_out_of_descriptors(tmp_path):
    upstream = await Upstream([hang]).start()
    # Configured with more descriptors than the system grants: the smaller number must apply.
    made = await Process.start(tmp_path, upstream, limit="ulimit -n 64;")
    apps = [await App.connect(made.address) for _ in range(80)]
    for app in apps:
        app.send(X_Budget="400m")
    answers = await asyncio.gather(*(app.answer() for app in apps))
    statuses = [answer.start.split(" ")[1] for answer in answers if answer is not None]
    assert "503" in statuses  # rejected with a response, not disconnected
    for app in apps:
        app.close()
    upstream.replies = [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"]

    async def serves():
        app = await App.connect(made.address)
        answer = await app.ask()
        app.close()
        return answer is not None and answer.body == b"done"

    await poll(serves, interval_s=0.05)
    made.process.terminate()
    assert await made.process.wait() == 0
    upstream.stop()
