"""Configurations that are unreadable, half written or invalid, at the start and at SIGHUP."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys

import pytest

from fordtrestle.proxy.config import platform_config
from fordtrestle.proxy.config.errors import PlatformConfigError
from fordtrestle.proxy.daemon.sidecar import Sidecar
from tests.loopback import SETTINGS, App, Registry, Upstream, entry, listed, loopback, until
from tests.proxy.daemon.test_process import ROOT, Process, environment
from tests.virtual import virtual

GOOD = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "1",
    "limits": {"sockets": 1024, "cores": 1.0, "memory_mb": 192},
    "peers": ["127.0.0.1:10"],
    "known": listed(1, entry("s0")),
    "settings": SETTINGS,
}
TEXT = json.dumps(GOOD).encode()
INVALID = {
    "empty": b"",
    "half written": TEXT[: len(TEXT) // 2],
    "all but its last byte": TEXT[:-1],
    "twice": TEXT + TEXT,
    "no text": b"\xff\xfe\x00",
    "zeros": b"\x00" * 4096,
    "too deep": b"[" * 100_000,
    "a long number": b'{"settings": ' + b"1" * 5000 + b"}",
    "a list": b"[]",
    "a number": b"7",
    "nothing": b"null",
    "no settings": json.dumps({**GOOD, "settings": None}).encode(),
    "settings of a wrong type": json.dumps({**GOOD, "settings": [SETTINGS]}).encode(),
    "classes of a wrong type": json.dumps({**GOOD, "settings": {**SETTINGS, "Profiles": {"a": 1}}}).encode(),
    "a class of a wrong type": json.dumps({**GOOD, "settings": {**SETTINGS, "Profiles": [7]}}).encode(),
    "no discovery": json.dumps({**GOOD, "discovery": None}).encode(),
    "no address": json.dumps({**GOOD, "discovery": "here\nand there"}).encode(),
    "no port": json.dumps({**GOOD, "discovery": "127.0.0.1:65536"}).encode(),
    "limits of a wrong type": json.dumps({**GOOD, "limits": {"sockets": "many"}}).encode(),
    "peers of a wrong type": json.dumps({**GOOD, "peers": [7]}).encode(),
    "a bad list": json.dumps({**GOOD, "known": listed(1, entry("s0", status="asleep"))}).encode(),
}


@pytest.mark.parametrize("text", INVALID.values(), ids=INVALID)
def test_a_fault_of_a_file_is_reported_in_one_line(text, tmp_path):
    path = tmp_path / "config.json"
    path.write_bytes(text)
    with pytest.raises(PlatformConfigError) as raised:
        platform_config.load({"NODE_CONFIG": str(path)})
    assert str(raised.value).startswith("configuration: ")
    assert len(str(raised.value).splitlines()) == 1


def test_a_truncated_file_is_rejected(tmp_path):
    path = tmp_path / "config.json"
    for size in range(0, len(TEXT), 13):
        path.write_bytes(TEXT[:size])
        with pytest.raises(PlatformConfigError):
            platform_config.load({"NODE_CONFIG": str(path)})


@pytest.mark.parametrize("case", ["half written", "no settings", "no address"])
def test_a_start_with_an_invalid_file_is_one_line_and_exit_code_2(case, tmp_path):
    env = environment(tmp_path)
    (tmp_path / "config.json").write_bytes(INVALID[case])
    done = subprocess.run(
        [sys.executable, "-m", "fordtrestle"], env=env, cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert (done.returncode, len(done.stderr.splitlines())) == (2, 1)


@virtual
async def test_reloads_of_invalid_files_change_nothing_and_a_valid_one_still_applies(tmp_path, capfd):
    upstream, old, new = await Upstream().start(), await Registry().start(), await Registry(listed(3)).start()
    path = tmp_path / "config.json"
    raw = {**GOOD, "discovery": old.address, "known": listed(1, entry("s0", upstream.address))}
    path.write_text(json.dumps(raw))
    env = {"NODE_CONFIG": str(path)}
    sidecar = Sidecar(asyncio.get_running_loop(), platform_config.load(env), env)
    address = await sidecar.start()
    app = await App.connect(address)

    async def served():
        return (await app.ask()).start.startswith("HTTP/1.1 200 ")

    await until(lambda: old.watches)
    for text in INVALID.values():
        path.write_bytes(text)
        sidecar.reload()
        assert await served()
    path.unlink()
    sidecar.reload()
    path.mkdir()
    sidecar.reload()
    path.rmdir()
    assert await served()
    assert len(old.targets) == 1
    assert not old.watches[0].is_closing()
    # A process that was busy for 0.2 s may also log lines about pressure.
    logged = [row for row in capfd.readouterr().err.splitlines() if not row.startswith("pressure: ")]
    assert len(logged) == len(INVALID) + 2
    assert all(row.endswith("; nothing changes") for row in logged)
    # With settings other than at the start, only discovery moves; the classes stay.
    new.listed = listed(3, entry("s0", upstream.address))
    other = {**SETTINGS, "Profiles": [{**SETTINGS["Profiles"][0], "Name": "other"}], "Tenants": []}
    path.write_text(json.dumps({**raw, "discovery": new.address, "settings": other, "listen": "127.0.0.1:1"}))
    sidecar.reload()
    await until(lambda: new.watches)
    assert await served()
    assert (await app.ask(target="/other")).start.startswith("HTTP/1.1 400 ")
    app.close()
    sidecar.close()
    await until(lambda: not sidecar.limits.unreleased())
    for partner in (upstream, old, new):
        partner.stop()


@loopback
async def test_the_program_survives_sighup_with_an_invalid_file(tmp_path):
    upstream, old, new = await Upstream().start(), await Registry().start(), await Registry(listed(3)).start()
    sidecar = await Process.start(tmp_path, upstream, discovery=old.address)
    path = tmp_path / "config.json"
    raw = json.loads(path.read_text())
    new.listed = raw["known"]
    try:
        await until(lambda: old.watches)
        for text in (b"", TEXT[:100], b"[" * 100_000):
            path.write_bytes(text)
            os.kill(sidecar.process.pid, signal.SIGHUP)
            assert (await sidecar.app.ask()).start.startswith("HTTP/1.1 200 ")
        path.write_text(json.dumps({**raw, "discovery": new.address}))
        os.kill(sidecar.process.pid, signal.SIGHUP)
        await until(lambda: new.watches)
        assert (await sidecar.app.ask()).start.startswith("HTTP/1.1 200 ")
        sidecar.process.terminate()
        assert await sidecar.process.wait() == 0
    finally:
        if sidecar.process.returncode is None:
            sidecar.process.kill()
    for partner in (upstream, old, new):
        partner.stop()
