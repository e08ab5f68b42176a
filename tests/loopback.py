"""Peers of the sidecar on loopback sockets for tests: upstream servers, discovery and the application."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import json
from dataclasses import dataclass, field

from fordtrestle.balancer.model import Send
from fordtrestle.proxy.config import platform_config
from fordtrestle.proxy.config.limits import DEFAULT_LIMITS
from fordtrestle.proxy.daemon.sidecar import Sidecar
from fordtrestle.proxy.engine.pressure import RULES, Monitor, PressureRules
from rig import balancers

PATIENCE_S = 60.0  # real time allowed for steps that take no time on an idle machine
BUDGET = "4000m"

# The settings of the rig with two tenants of small allowances, probes, messages among peers and two sidecars.
SETTINGS = {
    **balancers.SETTINGS,
    "Tenants": [{"Name": "acme", "AllowancePerS": 5.0}, {"Name": "globex", "AllowancePerS": 5.0}],
    "PolicyLimits": {**balancers.SETTINGS["PolicyLimits"], "MayProbe": True, "PeerMessages": True},
    "Balancers": 2,
}

# In tests, the pressure on a sidecar is derived from its ledgers only. The lag of the event loop, CPU and the
# accept queues depend on the load of the machine, and resident memory on earlier tests. A test of one of
# these monitors passes its own rules.
MACHINE_MONITORS = (Monitor.LAG, Monitor.CPU, Monitor.BACKLOG, Monitor.MEMORY)
LEDGER_RULES = tuple(rule for rule in RULES if rule.monitor not in MACHINE_MONITORS)

CALL_IDS = itertools.count(1)  # each request has a new id

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Load-Report: inflight=1,queue=0\r\n\r\ndone"


def loopback(test):
    """Run an async test in an event loop of its own, with a timeout of twice `PATIENCE_S`."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), 2 * PATIENCE_S))

    return run


async def until(condition):
    """Wait until a condition holds; raise TimeoutError after `PATIENCE_S`."""
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(0.002)


@dataclass
class Message:
    """An HTTP message as a peer read it; `connection` is the number of its connection."""

    start: str
    headers: dict[str, str]
    body: bytes
    connection: int = 0


async def read_message(reader):
    """Read one HTTP message with a Content-Length; return None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *rows = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(start, headers, body)


@dataclass
class Upstream:
    """An upstream server that records its requests.

    Attributes:
        replies: The replies to the requests in turn; the last one is repeated. A reply is the bytes to write,
            None to close the connection, or a coroutine function of reader and writer that returns either.
        seen: The requests.
        writers: The writers of its connections, in the order in which they were opened.
        address: Its address, as host and port.
    """

    replies: list = field(default_factory=lambda: [OK])
    seen: list[Message] = field(default_factory=list)
    writers: list = field(default_factory=list)
    address: str = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        number = len(self.writers)
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                message.connection = number
                self.seen.append(message)
                reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
                if callable(reply):
                    reply = await reply(reader, writer)
                if reply is None:
                    break
                writer.write(reply)
        writer.close()

    def stop(self):
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()


async def hang(reader, writer):
    """Send no reply, and wait until the sidecar closes the connection."""
    await reader.read()


async def break_off(reader, writer):
    """Reset the connection after the request."""
    writer.transport.abort()


class Registry:
    """Discovery service that records the targets of its calls; the test writes to its watches."""

    def __init__(self, listed=()):
        self.targets = []
        self.watches = []
        self.listed = listed

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        message = await read_message(reader)
        if message is None:
            return
        target = message.start.split(" ")[1]
        self.targets.append(target)
        if "watch=1" in target:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(writer)
            await reader.read()
        else:
            body = json.dumps(self.listed).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()

    def write(self, data):
        """Write one chunk to the newest watch."""
        self.watches[-1].write(b"%x\r\n%b\r\n" % (len(data), data))

    def send_update(self, index, *entries, snapshot=False):
        """Write one list or update to the newest watch, as a line."""
        self.write(json.dumps(listed(index, *entries, snapshot=snapshot)).encode() + b"\n")

    def stop(self):
        self._server.close()


def listed(index, *entries, snapshot=True):
    """Return a list, or an update of it, in discovery's form."""
    return {"index": index, "snapshot": snapshot, "endpoints": list(entries)}


def entry(name, address=None, **changes):
    """Return the entry of a server, by default at an address derived from its name."""
    address = address or f"127.0.0.{9 + sum(name.encode()) % 200}:9"
    row = {"name": name, "address": address, "zone": "west", "type": "small", "group": 3, "status": "active"}
    return {**row, "weight": 1.0, "since_ms": 0, **changes}


class Scripted:
    """Fake decision module that records events and answers each with the actions of a script.

    Scripts are given by the names of events. By default a request is sent to the server s0, and other events
    are answered with no actions.
    """

    def __init__(self, **scripts):
        self.events = []
        self.scripts = {"request": lambda now, arrival: [Send(arrival.request, "s0", 0.0)], **scripts}

    def __getattr__(self, name):
        def event(now, *args):
            self.events.append((name, *args))
            return self.scripts.get(name, lambda now, *args: [])(now, *args)

        return event

    def named(self, name):
        """Return the arguments of the events with this name."""
        return [arguments for event_name, *arguments in self.events if event_name == name]

    def outcomes(self):
        """Return attempt number, outcome and `last` of each outcome event."""
        return [(hop, status, last) for _, hop, status, _, last, _ in self.named("outcome")]


def make_platform_config(upstreams=(), registry="127.0.0.1:9", raw=None, limits=DEFAULT_LIMITS, **settings):
    """Return a configuration that lists these servers, with the names s0, s1 and so on."""
    endpoint_list = listed(41, *(entry(f"s{i}", upstream.address) for i, upstream in enumerate(upstreams)))
    base = balancers.config_for(endpoint_list, registry, 1024, **{**SETTINGS, **settings})
    return platform_config.parse({**base, **(raw or {})}, {}, limits)


@contextlib.asynccontextmanager
async def running(
    *upstreams, balancer=None, registry=None, raw=None, limits=DEFAULT_LIMITS, rules=LEDGER_RULES, **settings
):
    """Run a sidecar in this process, and stop it with its upstreams afterwards.

    Args:
        upstreams: The servers that its configuration lists.
        balancer: Replaces the decision module, if given.
        registry: The discovery service; by default one that is started here.
        raw: Top-level fields of the configuration that are replaced or added before it is parsed.
        limits: The limits of the configuration.
        rules: The pressure rules.
        settings: Settings that replace those of `SETTINGS`.
    """
    is_own_registry = registry is None
    registry = await Registry().start() if is_own_registry else registry
    sidecar = Sidecar(
        asyncio.get_running_loop(),
        make_platform_config(upstreams, registry=registry.address, raw=raw, limits=limits, **settings),
    )
    if balancer is not None:
        sidecar.driver._balancer = balancer
    sidecar.overload.pressure = PressureRules(rules)
    sidecar.address = await sidecar.start()
    try:
        yield sidecar
    finally:
        sidecar.close()
        if is_own_registry:
            registry.stop()
        for upstream in upstreams:
            upstream.stop()


class App:
    """The application, with one connection to its sidecar."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address):
        return cls(*await asyncio.open_connection(*address))

    def send(self, method="GET", target="/look", body=b"", **headers):
        self.writer.write(request(method, target, body, **headers))

    async def answer(self):
        async with asyncio.timeout(PATIENCE_S):
            return await read_message(self.reader)

    async def ask(self, *args, **headers):
        self.send(*args, **headers)
        return await self.answer()

    def close(self):
        self.writer.transport.abort()


def request(method="GET", target="/look", body=b"", **headers):
    """Return a request as the application sends it; headers with the value None are omitted."""
    all_headers = {
        "Host": "api.internal",
        "X-Call-Id": f"{next(CALL_IDS):016x}",
        "X-Call-Class": target.split("/")[1].split("?")[0],
        "X-Caller": "globex",
        "X-Budget": BUDGET,
        "Content-Length": str(len(body)) if body or method == "POST" else None,
        "Idempotency-Key": "k1" if target.startswith("/book") else None,
    }
    all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
    rows = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items() if value is not None)
    return f"{method} {target} HTTP/1.1\r\n{rows}\r\n".encode() + body
