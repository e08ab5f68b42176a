"""A draining server gets no new request later than 0.5 s after the change counts as reported.

This must hold whichever part of discovery fails at that moment. The tests run the whole sidecar with
the real decision module in virtual time over real sockets, so that the measured times are the same on any
machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field

import pytest

from fordtrestle.proxy.config import platform_config
from fordtrestle.proxy.daemon.sidecar import Sidecar
from fordtrestle.proxy.engine.pressure import PressureRules
from tests.loopback import LEDGER_RULES, OK, SETTINGS, App, Upstream, entry, listed, read_message
from tests.proxy.daemon.polling import poll
from tests.proxy.membership.stand_ins import HEAD, chunk
from tests.virtual import virtual

GRACE_S = 0.5  # StopSendingWithin
SLACK_S = 0.05  # tolerance of each limit on sockets
# After the registry has the change and is reachable, or after a watch has gone silent.
REPORTED_WITHIN_S = 6.0
RELOADED_WITHIN_S = 4.0  # after SIGHUP
CLIENTS = 2
INTERVAL_S, FAULT_INTERVAL_S = 0.9, 0.1  # between two requests of a client: before the fault, and after it


class TimedUpstream(Upstream):
    """A server that records when each request was received."""

    def __init__(self):
        super().__init__([OK])
        self.at = []

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while await read_message(reader) is not None:
                self.at.append(asyncio.get_running_loop().time())
                writer.write(OK)
        writer.close()


@dataclass
class DrainRegistry:
    """A registry at one address.

    `how` is its behaviour: "well", "ends" (a watch ends without a list, a request for a list ends
    unanswered), "resets" or "mute". If `is_complete`, a watch starts with the complete list, in chunks and
    over several lines; otherwise it starts with the changes.
    """

    rows: list[dict]
    how: str = "well"
    is_complete: bool = True
    index: int = 50
    requests: list[str] = field(default_factory=list)
    open: list[asyncio.StreamWriter] = field(default_factory=list)
    silent: set[asyncio.StreamWriter] = field(default_factory=set)
    changed: list[dict] = field(default_factory=list)

    async def has_request(self):
        """Return whether any request was received."""
        return bool(self.requests)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        self.open.append(writer)
        message = await read_message(reader)
        if message is None:
            return
        target = message.start.split(" ")[1]
        self.requests.append(target)
        with contextlib.suppress(ConnectionError):
            await getattr(self, "_" + self.how)(reader, writer, "watch=1" in target)
        writer.transport.abort()

    def text(self, is_complete):
        rows = self.rows if is_complete else self.changed
        return json.dumps(
            listed(self.index, *rows, snapshot=is_complete), indent=1 if is_complete else None
        ).encode()

    async def _well(self, reader, writer, watch):
        if not watch:
            text = self.text(True)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
            return
        writer.write(HEAD)
        text = self.text(self.is_complete) + b"\n"
        for at in range(0, len(text), 29):
            writer.write(chunk(text[at : at + 29]))
            await writer.drain()
        while not reader.at_eof():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), 2.0)
            if writer not in self.silent:
                writer.write(chunk(b"\n"))

    async def _ends(self, reader, writer, watch):
        writer.write(HEAD + b"0\r\n\r\n" if watch else b"")
        await writer.drain()
        writer.write_eof()
        await reader.read()

    async def _resets(self, reader, writer, watch):
        pass

    async def _mute(self, reader, writer, watch):
        await reader.read()

    def report(self, *rows):
        """Report a change over all watches that are not silent."""
        self.index += 1
        self.changed = list(rows)
        for writer in self.open:
            if writer not in self.silent and not writer.is_closing():
                writer.write(chunk(self.text(False) + b"\n"))

    def go_silent(self):
        self.silent.update(self.open)

    def end(self, how):
        """End all open watches, without reporting anything."""
        self.go_silent()
        for writer in self.open:
            if how == "ends" and not writer.is_closing():
                writer.write(b"0\r\n\r\n")
            else:
                writer.transport.abort()

    def stop(self):
        self._server.close()
        for writer in self.open:
            writer.transport.abort()


class Load:
    """A sidecar under constant load of a few clients; `path` is the file that a reload reads."""

    def __init__(self, registry, servers, path, pushed):
        rows = [entry(f"s{i}", server.address) for i, server in enumerate(servers)]
        self.raw = {
            **{"name": "n0", "listen": "127.0.0.1:0", "discovery": registry.address, "seed": "1"},
            **{"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": listed(41, *rows)},
            "settings": {**SETTINGS, "Discovery": "automatic" if pushed else "subscribe"},
        }
        self.path = path
        self.interval_s = INTERVAL_S

    @contextlib.asynccontextmanager
    async def running(self):
        self.path.write_text(json.dumps(self.raw))
        env = {"NODE_CONFIG": str(self.path)}
        self.sidecar = Sidecar(asyncio.get_running_loop(), platform_config.load(env), env)
        self.sidecar.overload.pressure = PressureRules(LEDGER_RULES)
        address = await self.sidecar.start()
        clients = [asyncio.create_task(self._client(address)) for _ in range(CLIENTS)]
        try:
            yield self
        finally:
            for task in clients:
                task.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            self.sidecar.close()

    async def _client(self, address):
        app = await App.connect(address)
        while True:
            if await app.ask() is None:
                app = await App.connect(address)
            await asyncio.sleep(self.interval_s)

    def reload(self, address):
        """Reload with another address of the registry."""
        self.path.write_text(json.dumps({**self.raw, "discovery": address}))
        self.sidecar.reload()


async def partners():
    servers = [await TimedUpstream().start() for _ in range(3)]
    rows = [entry(f"s{i}", server.address) for i, server in enumerate(servers)]
    return servers, rows


def assert_no_late_requests(server, others, reported_at):
    """Assert that a server got no late request, while others got requests after that time."""
    last = max(server.at)
    assert last <= reported_at + GRACE_S + SLACK_S, (
        f"{last - reported_at:.3f} s after the change counts as reported"
    )
    assert max(at for other in others for at in other.at) > reported_at + 2.0


# The fault of the watch, its delay after the start, and how the next watch reports the drain.
FAULTS = [
    ("falls silent", 0.5, "left out"),
    ("falls silent", 13.0, "left out"),
    ("falls silent", 13.9, "leaving"),
    ("ends", 0.5, "left out"),
    ("ends", 13.0, "left"),
    ("resets", 0.5, "leaving"),
    ("resets", 13.0, "left out"),
]


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "requested"])
@pytest.mark.parametrize(("fault", "after_s", "reported_as"), FAULTS)
@virtual
async def test_a_drain_after_a_watch_fails_takes_effect_in_time(
    fault, after_s, reported_as, pushed, tmp_path
):
    """The watch goes silent, ends or is reset, early or late; a server drains right after that, and stays up.

    The next watch starts with the complete list or with the changes.
    """
    servers, rows = await partners()
    registry = await DrainRegistry(rows, is_complete=reported_as == "left out").start()
    loop = asyncio.get_running_loop()
    async with Load(registry, servers, tmp_path / "config.json", pushed).running() as load:
        await poll(registry.has_request, interval_s=0.05)
        await asyncio.sleep(after_s)
        load.interval_s = FAULT_INTERVAL_S
        if fault == "falls silent":
            registry.go_silent()
        else:
            registry.end(fault)
        failed_at = loop.time()
        registry.rows = rows[1:]
        registry.report({**rows[0], "status": "left" if reported_as == "left out" else reported_as})
        await asyncio.sleep(REPORTED_WITHIN_S + 4.0)
        assert_no_late_requests(servers[0], servers[1:], failed_at + REPORTED_WITHIN_S)
    registry.stop()
    for server in servers:
        server.stop()


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "requested"])
@pytest.mark.parametrize("how", ["ends", "resets", "mute"])
@virtual
async def test_a_drain_when_discovery_returns_takes_effect_in_time(how, pushed, tmp_path):
    """For 8 s each call to the registry fails; when it is back, a server has drained."""
    servers, rows = await partners()
    registry = await DrainRegistry(rows).start()
    loop = asyncio.get_running_loop()
    async with Load(registry, servers, tmp_path / "config.json", pushed).running() as load:
        await asyncio.sleep(3.0)
        load.interval_s = FAULT_INTERVAL_S
        registry.how = how
        registry.end("resets")
        await asyncio.sleep(8.0)
        registry.how, registry.rows = "well", rows[1:]
        back_at = loop.time()
        await asyncio.sleep(REPORTED_WITHIN_S + 4.0)
        assert_no_late_requests(servers[0], servers[1:], back_at + REPORTED_WITHIN_S)
    registry.stop()
    for server in servers:
        server.stop()


@pytest.mark.parametrize("is_complete", [True, False], ids=["complete list", "changes"])
@virtual
async def test_the_list_of_the_registry_applies_from_the_start_of_a_process(is_complete, tmp_path):
    """The known list has an active server that is draining by now; it gets no request after the grace."""
    servers, rows = await partners()
    registry = await DrainRegistry(
        rows[1:], is_complete=is_complete, changed=[{**rows[0], "status": "leaving"}]
    ).start()
    loop = asyncio.get_running_loop()
    async with Load(registry, servers, tmp_path / "config.json", True).running() as load:
        load.interval_s = FAULT_INTERVAL_S / 5.0
        started_at = loop.time()
        await asyncio.sleep(5.0)
        assert servers[0].at == [] or max(servers[0].at) <= started_at + GRACE_S + SLACK_S
        assert max(at for server in servers[1:] for at in server.at) > started_at + 4.0
    registry.stop()
    for server in servers:
        server.stop()


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "requested"])
@pytest.mark.parametrize("old", ["well", "silent", "closed"])
@virtual
async def test_a_reload_and_a_drain_at_the_same_time_both_take_effect(old, pushed, tmp_path):
    """A new configuration moves discovery while servers begin to drain.

    One server drains just before the reload, reported by the old registry alone; one at the reload and one
    0.3 s later, reported by the new registry.
    """
    servers, rows = await partners()
    servers.append(await TimedUpstream().start())
    rows.append(entry("s3", servers[3].address))
    first, second = (
        await DrainRegistry(rows, is_complete=False).start(),
        await DrainRegistry(rows[1:]).start(),
    )
    loop = asyncio.get_running_loop()
    async with Load(first, servers, tmp_path / "config.json", pushed).running() as load:
        load.interval_s = FAULT_INTERVAL_S
        await asyncio.sleep(4.0)
        assert all(server.at for server in servers[:3])
        first.report({**rows[0], "status": "leaving"})
        if old == "silent":
            first.go_silent()
        elif old == "closed":
            first.stop()
        second.rows = [{**rows[1], "status": "leaving"}, *rows[2:]]
        reloaded_at = loop.time()
        load.reload(second.address)
        await asyncio.sleep(0.3)
        second.rows = rows[3:]
        second.report({**rows[2], "status": "leaving"})
        await asyncio.sleep(RELOADED_WITHIN_S + 5.0)
        for server in servers[:3]:
            assert_no_late_requests(server, servers[3:], reloaded_at + RELOADED_WITHIN_S)
    first.stop()
    second.stop()
    for server in servers:
        server.stop()
