"""Malformed lists in a watch: the last valid list stays in force, and one line is logged."""

from __future__ import annotations

import json
import socket
import struct

import pytest

from fordtrestle.proxy.membership import timing
from tests.loopback import App, Registry, Upstream, entry, listed, loopback, running, until

DEEP = 100_000
MALFORMED = {
    "no JSON": b"nonsense",
    "not UTF-8": b'{"index": 44, "endpoints": "\xff\xfe"}',
    "no object": b"[]",
    "a number": b"7",
    "nothing": b"null",
    "too deep": b"[" * DEEP + b"]" * DEEP,
    "no index": b'{"endpoints": []}',
    "no endpoints": b'{"index": 44}',
    "endpoints are a number": b'{"index": 44, "endpoints": 7}',
    "entries are numbers": b'{"index": 44, "endpoints": [7]}',
    "an endless index": b'{"index": 1e999, "endpoints": []}',
    "a long index": b'{"index": %b, "endpoints": []}' % (b"9" * 5000),
}
FIELDS = [
    {"name": None},
    {"name": ""},
    {"name": 7},
    {"name": ["s9"]},
    {"name": "s9\r\nX-Own: 1"},
    {"name": "\ud800"},
    {"address": "nowhere"},
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:-1"},
    {"address": {"host": "127.0.0.1"}},
    {"status": "asleep"},
    {"status": ["active"]},
    {"zone": ["west"]},
    {"group": "many"},
    {"group": float("inf")},
    {"since_ms": -1},
    {"since_ms": float("nan")},
    {"since_ms": 10**400},
    {"weight": "heavy"},
    {"weight": 10**400},
]
LINES = [*MALFORMED.values()]
LINES += [json.dumps(listed(44, entry("s8"), {**entry("s9"), **fields})).encode() for fields in FIELDS]


@pytest.mark.parametrize("line", LINES, ids=[*MALFORMED, *(ascii(fields)[:40] for fields in FIELDS)])
@loopback
async def test_a_malformed_list_changes_nothing_and_the_complete_list_is_requested(line, monkeypatch, capfd):
    monkeypatch.setattr(timing, "MIN_BACKOFF_S", 0.01)
    upstream, registry = await Upstream().start(), await Registry().start()
    async with running(upstream, registry=registry) as sidecar:
        await until(lambda: registry.watches)
        app = await App.connect(sidecar.address)
        assert (await app.ask()).start.startswith("HTTP/1.1 200 ")
        registry.write(line + b"\n")
        await until(lambda: len(registry.watches) == 2)
        assert registry.targets[1] == "/registry/instances?watch=1&from=0"
        assert list(sidecar.pool._servers) == ["s0"]
        assert (await app.ask()).start.startswith("HTTP/1.1 200 ")
        registry.send_update(45, entry("s0", upstream.address), entry("s1"), snapshot=True)
        await until(lambda: set(sidecar.pool._servers) == {"s0", "s1"})
        assert (await app.ask()).start.startswith("HTTP/1.1 200 ")
        app.close()
    logged = capfd.readouterr().err
    assert [row for row in logged.splitlines() if row.startswith("discovery: ")] == logged.splitlines()[:1]
    assert "fordtrestle/" not in logged  # no traceback of an uncaught error


@loopback
async def test_an_incomplete_list_and_a_reset_change_nothing(monkeypatch):
    monkeypatch.setattr(timing, "MIN_BACKOFF_S", 0.01)
    upstream, registry = await Upstream().start(), await Registry().start()
    async with running(upstream, registry=registry) as sidecar:
        await until(lambda: registry.watches)
        registry.write(json.dumps(listed(44, entry("s9"), snapshot=True)).encode())  # without the line end
        sock = registry.watches[0].get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        registry.watches[0].transport.abort()
        await until(lambda: len(registry.watches) == 2)
        assert registry.targets[1] == "/registry/instances?watch=1&from=41"
        assert list(sidecar.pool._servers) == ["s0"]


@loopback
async def test_a_complete_list_without_servers_is_accepted_and_so_is_the_next():
    """The protocol gives it no other meaning, and rejecting requests without servers is harmless."""
    upstream, registry = await Upstream().start(), await Registry().start()
    async with running(upstream, registry=registry) as sidecar:
        await until(lambda: registry.watches)
        app = await App.connect(sidecar.address)
        registry.send_update(44, snapshot=True)
        await until(lambda: not sidecar.pool._servers)
        assert (await app.ask()).start.startswith("HTTP/1.1 503 ")
        assert upstream.seen == []
        registry.send_update(45, entry("s0", upstream.address))
        await until(lambda: sidecar.pool._servers)
        assert (await app.ask()).start.startswith("HTTP/1.1 200 ")
        app.close()


@loopback
async def test_of_two_entries_with_one_name_the_last_applies():
    upstream, registry = await Upstream().start(), await Registry().start()
    async with running(upstream, registry=registry) as sidecar:
        await until(lambda: registry.watches)
        registry.send_update(44, entry("s0", "127.0.0.9:9", status="leaving"), entry("s0", upstream.address))
        await until(lambda: sidecar.discovery._version == 44)
        app = await App.connect(sidecar.address)
        for _ in range(5):
            assert (await app.ask()).start.startswith("HTTP/1.1 200 ")
        app.close()
