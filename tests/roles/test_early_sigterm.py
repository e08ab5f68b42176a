"""SIGTERM while a sidecar loads its libraries: it ends as asked, and clients that wait are answered."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import contextmanager

import pytest

from fordtrestle.settings.settings_file import PATH_VARIABLE
from rig.system.deployment import host_of
from tests.exchanges import request
from tests.guards import ROOT
from tests.settings.test_boot import BOOT

TIMEOUT_S = 20.0
CALL = request("POST", "/a/x", "hello", X_Request_Id="q1", X_Deadline_Ms="15000")
# Waits before it loads the role, as on a machine that is slow to read its disk.
LOADING = """
import sys
from tests.guards import take_out; take_out()
class Loading:
    def find_spec(self, name, path=None, target=None):
        if name == "fordtrestle.roles.sidecar":
            print("loading", flush=True)
            sys.stdin.readline()
sys.meta_path.insert(0, Loading())
from fordtrestle import cli
sys.exit(cli.main(["sidecar"]))
"""


@pytest.fixture
def front(tmp_path, monkeypatch):
    """The address of the front that the settings name."""
    host = host_of("west", 200)
    listen = {"front": f"{host}:8142", "readiness": f"{host}:8143"}
    settings = {**BOOT, "role": "sidecar", "ip": host, "listen": listen, "seeds": [f"{host}:8140"]}
    file = tmp_path / "boot.json"
    file.write_text(json.dumps(settings))
    monkeypatch.setenv(PATH_VARIABLE, str(file))
    return host, 8142


@contextmanager
def loading_sidecar():
    """Run a sidecar that waits for a line on its standard input before it loads its role."""
    with subprocess.Popen(
        [sys.executable, "-c", LOADING],
        cwd=ROOT,
        env=dict(os.environ),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout.readline() == "loading\n"
        try:
            yield process
        finally:
            process.kill()


def resume(process):
    """Let a sidecar load its role; its handlers of signals run only now."""
    process.stdin.write("\n")
    process.stdin.flush()


def receive_all(sock):
    sock.settimeout(TIMEOUT_S)
    parts = []
    while part := sock.recv(4096):
        parts.append(part)
    return b"".join(parts).decode()


def test_clients_that_wait_at_a_sidecar_that_gets_sigterm_as_it_loads_are_told_503(front):
    with (
        loading_sidecar() as process,
        socket.create_connection(front) as one,
        socket.create_connection(front) as two,
    ):
        for client in (one, two):
            client.sendall(CALL)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGTERM)
        resume(process)
        for client in (one, two):
            reply = receive_all(client)
            assert reply.startswith("HTTP/1.1 503")
            assert "Retry-After" in reply
            assert "X-Request-Id: q1" in reply
        assert process.wait(TIMEOUT_S) == 0
        assert "Traceback" not in process.stderr.read()


def test_a_client_that_waits_and_sends_nothing_does_not_hold_up_the_end(front):
    with loading_sidecar() as process, socket.create_connection(front) as client:
        process.send_signal(signal.SIGTERM)
        resume(process)
        assert receive_all(client) == ""
        assert process.wait(TIMEOUT_S) == 0


def test_clients_that_wait_at_a_sidecar_that_does_not_finish_loading_after_sigterm_are_told_503(front):
    """Found by the soak at a load of 22: their connections were reset 2.5 s after the signal."""
    with (
        loading_sidecar() as process,
        socket.create_connection(front) as one,
        socket.create_connection(front) as two,
        socket.create_connection(front) as silent,
    ):
        for client in (one, two):
            client.sendall(CALL)
        silent.sendall(CALL[:20])
        process.send_signal(signal.SIGTERM)
        for client in (one, two):
            reply = receive_all(client)
            assert reply.startswith("HTTP/1.1 503")
            assert "Retry-After: 0." in reply
            assert "X-Request-Id: q1\r\n" in reply
            assert reply.endswith("\r\n\r\n")
        assert receive_all(silent) == ""
        assert process.wait(TIMEOUT_S) == 0


def test_a_sidecar_that_does_not_finish_loading_after_sigterm_exits_with_code_0(front):
    with loading_sidecar() as process:
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
