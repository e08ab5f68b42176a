"""Clients that connect while a sidecar loads its libraries are served, or rejected after their deadline."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys

import pytest

from fordtrestle.ingress import adopted_connections
from fordtrestle.ingress.early_listener import MAX_PENDING_CONNECTIONS, EarlyListener, listen_early
from fordtrestle.settings.records import Address
from fordtrestle.settings.settings_file import PATH_VARIABLE
from tests.exchanges import loopback, request
from tests.guards import ROOT
from tests.ingress.stage import FakeServer, IngressHarness, ok, route

PROCESS_TIMEOUT_S = 20.0
LONGER_THAN_DEADLINE_S = 60.0  # longer than the deadline of any request
CALL = request("POST", "/a/x", "hello", X_Request_Id="q1")
STARTUP_SCRIPT = """
import sys, types
from tests.guards import take_out; take_out()
role = types.ModuleType("role")
role.main = lambda early, early_sigterm: int(early is None or "aiohttp" in sys.modules)
import fordtrestle.roles
sys.modules["fordtrestle.roles.sidecar"] = fordtrestle.roles.sidecar = role
from fordtrestle.cli import sidecar
sys.exit(sidecar.run(None))
"""


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@pytest.fixture
def settings(tmp_path, monkeypatch):
    """Return a function that writes the settings file that the environment specifies."""
    path = tmp_path / "boot.json"
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    return path.write_text


@pytest.fixture
def early(settings):
    """A listener in its state before the libraries are loaded."""
    settings(json.dumps({"listen": {"front": f"127.0.0.1:{free_port()}"}}))
    listener = listen_early("front")
    assert listener is not None
    yield listener
    listener.socket.close()


class EarlyIngressHarness(IngressHarness):
    """An ingress server that takes over from an early listener."""

    def __init__(self, early: EarlyListener, address: Address | None = None) -> None:
        super().__init__(route())
        self.early, self.address = early, address or Address(*early.address)

    async def __aenter__(self) -> EarlyIngressHarness:
        await self.ingress.listen(self.address, self.early)
        self.port = self.ingress.port
        return self


def connect_client(early: EarlyListener, data: bytes = b"") -> socket.socket:
    sock = socket.create_connection(early.address)
    sock.sendall(data)
    sock.setblocking(False)
    return sock


async def receive(sock: socket.socket) -> str:
    """Receive the first bytes of a response, which include the status line."""
    return (await asyncio.get_running_loop().sock_recv(sock, 4096)).decode()


@loopback
async def test_clients_that_waited_and_clients_that_come_later_are_served(early):
    waited = connect_client(early, CALL)
    async with FakeServer(ok("q1")) as server, EarlyIngressHarness(early) as harness:
        harness.add(server)
        assert (await receive(waited)).startswith("HTTP/1.1 200")
        later = connect_client(early, CALL)
        assert (await receive(later)).startswith("HTTP/1.1 200")


@loopback
async def test_a_client_that_waited_beyond_its_deadline_is_rejected_at_once(early):
    waited = connect_client(early, CALL)
    early.listening_since -= LONGER_THAN_DEADLINE_S
    async with FakeServer(ok("q1")) as server, EarlyIngressHarness(early) as harness:
        harness.add(server)
        rejection = await receive(waited)
        assert rejection.startswith("HTTP/1.1 503")
        assert "Retry-After" in rejection
        assert server.requests == []
        await asyncio.get_running_loop().sock_sendall(waited, CALL)
        assert (await receive(waited)).startswith("HTTP/1.1 200"), "the second request has not waited"


@loopback
async def test_a_request_that_is_sent_after_the_adoption_has_not_waited(early, monkeypatch):
    monkeypatch.setattr(adopted_connections, "ADOPTION_WINDOW_S", 0.0)
    waited = connect_client(early)
    early.listening_since -= LONGER_THAN_DEADLINE_S
    async with FakeServer(ok("q1")) as server, EarlyIngressHarness(early) as harness:
        harness.add(server)
        while not harness.ingress._adopted.is_empty:
            await asyncio.sleep(0)
        await asyncio.get_running_loop().sock_sendall(waited, CALL)
        assert (await receive(waited)).startswith("HTTP/1.1 200")


@loopback
async def test_a_client_that_left_while_it_waited_leaves_no_open_request(early):
    connect_client(early, CALL).close()
    async with FakeServer(ok("q1")) as server, EarlyIngressHarness(early) as harness:
        harness.add(server)
        other = connect_client(early, CALL)
        assert (await receive(other)).startswith("HTTP/1.1 200")
        assert len(server.requests) <= 2
        assert harness.ingress.open_requests == 0


@loopback
async def test_a_connection_that_cannot_be_adopted_is_closed_and_the_others_are_served(early, monkeypatch):
    loop = asyncio.get_running_loop()
    connect_accepted = loop.connect_accepted_socket
    failed = []

    async def fail_first(factory, sock):
        if not failed:
            failed.append(sock)
            raise OSError("the connection was reset")
        return await connect_accepted(factory, sock)

    monkeypatch.setattr(loop, "connect_accepted_socket", fail_first)
    connect_client(early, CALL)
    waited = connect_client(early, CALL)
    async with FakeServer(ok("q1")) as server, EarlyIngressHarness(early) as harness:
        harness.add(server)
        assert (await receive(waited)).startswith("HTTP/1.1 200")
        assert failed[0].fileno() == -1


class FakeListeningSocket:
    """A listening socket that returns connections and raises errors in a given order."""

    def __init__(self, *accepts):
        self.accepts = list(accepts)

    def accept(self):
        next_accept = self.accepts.pop(0) if self.accepts else BlockingIOError()
        if isinstance(next_accept, Exception):
            raise next_accept
        return next_accept, ("192.0.2.1", 1)


def test_a_connection_that_was_reset_in_the_queue_does_not_prevent_accepting_others():
    with socket.socket() as one, socket.socket() as other:
        early = EarlyListener(FakeListeningSocket(one, ConnectionAbortedError(), other), ("127.0.0.1", 1))
        assert early.accept_all() == [one, other]


def test_no_more_connections_are_accepted_than_may_wait():
    with socket.socket() as one:
        early = EarlyListener(FakeListeningSocket(*[one] * (2 * MAX_PENDING_CONNECTIONS)), ("127.0.0.1", 1))
        assert len(early.accept_all()) == MAX_PENDING_CONNECTIONS


@loopback
async def test_a_listener_at_another_address_than_the_validated_settings_is_closed(early):
    other = Address("127.0.0.1", free_port())
    async with EarlyIngressHarness(early, other) as harness:
        assert harness.port == other.port
        assert early.socket.fileno() == -1


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("", id="empty"),
        pytest.param("[]", id="not an object"),
        pytest.param("{}", id="no endpoints"),
        pytest.param('{"listen": {"control": "127.0.0.1:1"}}', id="another endpoint"),
        pytest.param('{"listen": {"front": 7}}', id="no address"),
        pytest.param('{"listen": {"front": "127.0.0.1"}}', id="no port"),
        pytest.param('{"listen": {"front": "127.0.0.1:70000"}}', id="a port out of range"),
        pytest.param('{"listen": {"front": "192.0.2.1:80"}}', id="an address of another machine"),
    ],
)
def test_settings_without_a_usable_address_give_no_listener(settings, text):
    settings(text)
    assert listen_early("front") is None


def test_an_address_in_use_gives_no_listener(early):
    assert listen_early("front") is None


def test_a_sidecar_listens_before_it_loads_its_libraries(settings):
    settings(json.dumps({"listen": {"front": f"127.0.0.1:{free_port()}"}}))
    completed = subprocess.run(
        [sys.executable, "-c", STARTUP_SCRIPT],
        cwd=ROOT,
        env=dict(os.environ),
        timeout=PROCESS_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0
