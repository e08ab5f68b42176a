"""When a server drains, nothing new reaches it from half a second after the change counts as reported.

That holds whatever of discovery fails just then.

The whole sidecar with the real module, in virtual time over real sockets: what is measured is the same on any
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
SLACK_S = 0.05  # each limit is wider on sockets
COUNTS_S = 6.0  # after discovery had it and could be reached, or after a watch fell silent
RELOADED_S = 4.0  # after SIGHUP
CLIENTS = 2
REST_S, PAUSE_S = 0.9, 0.1  # between requests of a client: before the fault, and from then on


class Timed(Upstream):
    """A server that notes when each request has come."""

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
class Place:
    """Discovery at one address.

    `how` is what it does with a call: "well", "ends" (a watch ends and has told nothing, a list call ends
    unanswered), "resets", "mute". `whole`: a watch begins with the complete list, in pieces and over
    several lines, and else with what changed.
    """

    rows: list[dict]
    how: str = "well"
    whole: bool = True
    index: int = 50
    asked: list[str] = field(default_factory=list)
    open: list[asyncio.StreamWriter] = field(default_factory=list)
    silent: set[asyncio.StreamWriter] = field(default_factory=set)
    changed: list[dict] = field(default_factory=list)

    async def was_asked(self):
        """Whether anything was asked for."""
        return bool(self.asked)

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
        self.asked.append(target)
        with contextlib.suppress(ConnectionError):
            await getattr(self, "_" + self.how)(reader, writer, "watch=1" in target)
        writer.transport.abort()

    def text(self, whole):
        rows = self.rows if whole else self.changed
        return json.dumps(listed(self.index, *rows, snapshot=whole), indent=1 if whole else None).encode()

    async def _well(self, reader, writer, watch):
        if not watch:
            text = self.text(True)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
            return
        writer.write(HEAD)
        text = self.text(self.whole) + b"\n"
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

    def tell(self, *rows):
        """A change: who has no row any more is left out of whole lists from now on."""
        self.index += 1
        self.changed = list(rows)
        for writer in self.open:
            if writer not in self.silent and not writer.is_closing():
                writer.write(chunk(self.text(False) + b"\n"))

    def fall_silent(self):
        self.silent.update(self.open)

    def end(self, how):
        """All open watches end, and none of them has told."""
        self.fall_silent()
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
    """A sidecar that a few clients ask all the time, with the file that a reload reads at `path`."""

    def __init__(self, place, servers, path, pushed):
        rows = [entry(f"s{i}", server.address) for i, server in enumerate(servers)]
        self.raw = {
            **{"name": "n0", "listen": "127.0.0.1:0", "discovery": place.address, "seed": "1"},
            **{"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": listed(41, *rows)},
            "settings": {**SETTINGS, "Discovery": "automatic" if pushed else "subscribe"},
        }
        self.path = path
        self.pause_s = REST_S

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
            await asyncio.sleep(self.pause_s)

    def reload(self, address):
        """Discovery is at another place from now on."""
        self.path.write_text(json.dumps({**self.raw, "discovery": address}))
        self.sidecar.reload()


async def partners():
    servers = [await Timed().start() for _ in range(3)]
    rows = [entry(f"s{i}", server.address) for i, server in enumerate(servers)]
    return servers, rows


def nothing_new_after(server, others, told_at):
    """The rule, and that there was something to break it with."""
    last = max(server.at)
    assert last <= told_at + GRACE_S + SLACK_S, f"{last - told_at:.3f} s after it counted as told"
    assert max(at for other in others for at in other.at) > told_at + 2.0


# What becomes of the watch, how long after it was opened, and how the next one tells of the drain.
FAULTS = [
    ("falls silent", 0.5, "left out"),
    ("falls silent", 13.0, "left out"),
    ("falls silent", 13.9, "leaving"),
    ("ends", 0.5, "left out"),
    ("ends", 13.0, "left"),
    ("resets", 0.5, "leaving"),
    ("resets", 13.0, "left out"),
]


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize(("fault", "after_s", "told_as"), FAULTS)
@virtual
async def test_a_drain_behind_a_watch_that_fails_is_kept_to_in_time(
    fault, after_s, told_as, pushed, tmp_path
):
    """The watch falls silent, ends or is reset, soon or late; a server drains right after, and stays up.

    The next watch begins with the complete list or with what changed.
    """
    servers, rows = await partners()
    place = await Place(rows, whole=told_as == "left out").start()
    loop = asyncio.get_running_loop()
    async with Load(place, servers, tmp_path / "config.json", pushed).running() as load:
        await poll(place.was_asked, interval_s=0.05)
        await asyncio.sleep(after_s)
        load.pause_s = PAUSE_S
        if fault == "falls silent":
            place.fall_silent()
        else:
            place.end(fault)
        failed_at = loop.time()
        place.rows = rows[1:]
        place.tell({**rows[0], "status": "left" if told_as == "left out" else told_as})
        await asyncio.sleep(COUNTS_S + 4.0)
        nothing_new_after(servers[0], servers[1:], failed_at + COUNTS_S)
    place.stop()
    for server in servers:
        server.stop()


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("how", ["ends", "resets", "mute"])
@virtual
async def test_a_drain_at_the_return_of_discovery_is_kept_to_in_time(how, pushed, tmp_path):
    """For 8 s each call fails in one way; as it is back a server has drained."""
    servers, rows = await partners()
    place = await Place(rows).start()
    loop = asyncio.get_running_loop()
    async with Load(place, servers, tmp_path / "config.json", pushed).running() as load:
        await asyncio.sleep(3.0)
        load.pause_s = PAUSE_S
        place.how = how
        place.end("resets")
        await asyncio.sleep(8.0)
        place.how, place.rows = "well", rows[1:]
        back_at = loop.time()
        await asyncio.sleep(COUNTS_S + 4.0)
        nothing_new_after(servers[0], servers[1:], back_at + COUNTS_S)
    place.stop()
    for server in servers:
        server.stop()


@pytest.mark.parametrize("whole", [True, False], ids=["the whole list", "what changed"])
@virtual
async def test_what_the_agent_has_holds_from_the_first_moment_of_a_process(whole, tmp_path):
    """Its file knows a server that drains by now: nothing of it is sent there past the grace."""
    servers, rows = await partners()
    place = await Place(rows[1:], whole=whole, changed=[{**rows[0], "status": "leaving"}]).start()
    loop = asyncio.get_running_loop()
    async with Load(place, servers, tmp_path / "config.json", True).running() as load:
        load.pause_s = PAUSE_S / 5.0
        started_at = loop.time()
        await asyncio.sleep(5.0)
        assert servers[0].at == [] or max(servers[0].at) <= started_at + GRACE_S + SLACK_S
        assert max(at for server in servers[1:] for at in server.at) > started_at + 4.0
    place.stop()
    for server in servers:
        server.stop()


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("old", ["well", "silent", "closed"])
@virtual
async def test_a_reload_and_a_drain_at_the_same_time_are_both_kept_to(old, pushed, tmp_path):
    """A new configuration moves discovery as servers begin to drain.

    One does just before, reported by the old place alone, one just then and one 0.3 s later, reported by
    the new place.
    """
    servers, rows = await partners()
    servers.append(await Timed().start())
    rows.append(entry("s3", servers[3].address))
    first, second = await Place(rows, whole=False).start(), await Place(rows[1:]).start()
    loop = asyncio.get_running_loop()
    async with Load(first, servers, tmp_path / "config.json", pushed).running() as load:
        load.pause_s = PAUSE_S
        await asyncio.sleep(4.0)
        assert all(server.at for server in servers[:3])
        first.tell({**rows[0], "status": "leaving"})
        if old == "silent":
            first.fall_silent()
        elif old == "closed":
            first.stop()
        second.rows = [{**rows[1], "status": "leaving"}, *rows[2:]]
        reloaded_at = loop.time()
        load.reload(second.address)
        await asyncio.sleep(0.3)
        second.rows = rows[3:]
        second.tell({**rows[2], "status": "leaving"})
        await asyncio.sleep(RELOADED_S + 5.0)
        for server in servers[:3]:
            nothing_new_after(server, servers[3:], reloaded_at + RELOADED_S)
    first.stop()
    second.stop()
    for server in servers:
        server.stop()
