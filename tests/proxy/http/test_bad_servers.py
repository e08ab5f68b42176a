"""Misbehaving servers beside good ones: one final answer per request, no rule broken, everything released."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from fordtrestle.balancer.model import Fail, Refuse, Send
from fordtrestle.proxy.engine import driver
from tests.judged import REJECTED, STRAY, Site, hang, ok, reject, reset, serve
from tests.loopback import SETTINGS, App, Scripted, running, until
from tests.virtual import virtual

OWN = {**SETTINGS, "PolicyLimits": {**SETTINGS["PolicyLimits"], "ParallelTries": False}}
OWN["Profiles"] = [
    {**kind, "Objective": 400.0, "Deadline": 900.0, **({"KeyTtl": 300.0} if "KeyTtl" in kind else {})}
    for kind in SETTINGS["Profiles"]
]
BUDGET_S = 0.9
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def endless(head, part, pause=0.01):
    """Answer with `head` and then with `part` repeatedly until the sidecar closes."""

    async def behave(reader, writer, got):
        writer.write(head)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing() and not reader.at_eof():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause)
        writer.close()

    return behave


def cut(answer, how):
    """Answer with an incomplete response and end the connection."""

    async def behave(reader, writer, got):
        got.ended = True
        writer.write(answer % got.server.body(got) if b"%b" in answer else answer)
        await asyncio.sleep(0.01)
        _end(writer, how)

    return behave


def _end(writer, how):
    if how == "reset":
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    else:
        writer.close()


def followed(by, after_s):
    """Answer correctly and send more bytes immediately or after a delay."""

    async def behave(reader, writer, got):
        await serve(reader, writer, got)
        if after_s is None:
            writer.write(by)
            return
        asyncio.get_running_loop().call_later(after_s, writer.write, by)

    return behave


def rejected(by):
    """Answer with a rejection and extra bytes: it is malformed, so the request may have run."""

    async def behave(reader, writer, got):
        got.ended = True
        writer.write(REJECTED + by)

    return behave


def at_connection(how):
    async def behave(reader, writer, got):
        raise AssertionError("no request is read")

    async def closed(reader, writer):
        _end(writer, how)

    behave.at_connection = closed
    return behave


def later(seconds, behave):
    async def late(reader, writer, got):
        await asyncio.sleep(seconds)
        await behave(reader, writer, got)

    return late


INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
BEHAVIOURS = {
    "a body that trickles": endless(HEAD + b"Content-Length: 60000\r\n\r\n", b"x"),
    "chunks that trickle": endless(CHUNKED, b"1\r\nx\r\n"),
    "chunks in a flood": endless(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"400\r\n%b\r\n" % (b"x" * 1024), 0
    ),
    "a chunk extension without end": endless(HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", b"e" * 1000, 0),
    "trailers without end": endless(CHUNKED + b"1\r\nx\r\n0\r\n", b"X-T: t\r\n", 0.001),
    "a trailer without end": endless(CHUNKED + b"1\r\nx\r\n0\r\nX-T: ", b"t" * 65536, 0.0),
    "a body without a length that trickles": endless(HEAD + b"\r\n", b"x"),
    "headers without end": endless(HEAD, b"X-Pad: p\r\n"),
    "a header value without end": endless(HEAD + b"X-Pad: ", b"p"),
    "a flood of headers": endless(HEAD, b"X-Pad: pppppppp\r\n" * 50, 0),
    "interim answers without end": endless(b"", INTERIM),
    "blank lines without end": endless(b"", b"\r\n"),
    "half a status line": endless(b"HTTP/1.1 20", b"", 0.05),
    "a second answer at once": followed(ok(STRAY), None),
    # A complete one that comes later is a known mix-up until the first sign of one (docs/ROADMAP.md).
    "half a second answer later": followed(ok(STRAY)[:20], 0.02),
    "garbage on an idle connection": followed(b"\x00\x01garbage\r\n\r\n", 0.03),
    "a blank line on an idle connection": followed(b"\r\n", 0.03),
    "an interim answer on an idle connection": followed(INTERIM, 0.03),
    "a short body and an end": cut(HEAD + b"Content-Length: 99\r\n\r\n%b", "end"),
    "a short body and a reset": cut(HEAD + b"Content-Length: 99\r\n\r\n%b", "reset"),
    "no length and an end": cut(HEAD + b"\r\n%b", "end"),
    "no length and a reset": cut(HEAD + b"\r\n%b", "reset"),
    "no length, a close and a reset": cut(HEAD + b"Connection: close\r\n\r\n%b", "reset"),
    "another coding and a reset": cut(HEAD + b"Transfer-Encoding: gzip\r\n\r\n%b", "reset"),
    "chunks cut short": cut(CHUNKED + b"4\r\nhalf\r\n", "end"),
    "a rejection and a second answer": rejected(ok(STRAY)),
    "a rejection and garbage": rejected(b"\x00garbage"),
    "closed as it comes up": at_connection("end"),
    "reset as it comes up": at_connection("reset"),
    "reset at the last byte": reset,
    "reset long after": later(0.3, reset),
    "silent": hang,
    "rejecting": reject,
    "rejecting late": later(0.1, reject),
}


@contextlib.asynccontextmanager
async def judged(settings, *servers, **changes):
    """Run a sidecar with servers (name, behaviour, fields of the list), then check the history."""
    site = Site(settings)
    for name, behave, listed in servers:
        await site.add(name, behave, **listed)
    raised = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: raised.append(context))
    watching = asyncio.create_task(site.lag.watch())
    try:
        raw = {"known": site.known(), **changes}
        async with running(raw=raw, **settings) as sidecar:
            # Servers and clients load this core as well, which would count as overload of the sidecar.
            sidecar.front.wake = sidecar.front.lag.wake
            yield site, sidecar
            await until(lambda: sidecar.driver.is_idle and not sidecar.front.intake.open_call_ids)
            await until(lambda: not len(sidecar.front.table))
        await until(lambda: not sidecar.limits.unreleased())
    finally:
        watching.cancel()
        site.stop()
    assert site.violations() == []
    assert [
        context for context in raised if "exception" in context and "StreamReader" not in str(context)
    ] == []


async def in_turn(site, address, kind, count):
    """Send requests of one class one after the other on one connection."""
    app = await App.connect(address)
    for _ in range(count):
        await site.ask(address, kind, BUDGET_S, app)
        if app.reader.at_eof():
            app = await App.connect(address)
    app.close()


@pytest.mark.parametrize("what", BEHAVIOURS)
@virtual
async def test_a_misbehaving_server_breaks_no_rule_and_harms_no_other_request(what):
    servers = [
        ("s0", BEHAVIOURS[what], {"zone": "east"}),
        ("s1", serve, {"zone": "east"}),
        ("s2", serve, {"zone": "west"}),
    ]
    async with judged(OWN, *servers) as (site, sidecar):
        clients = [kind for kind in OWN["Profiles"] for _ in range(3)]
        await asyncio.gather(*(in_turn(site, sidecar.address, kind, 4) for kind in clients))
    assert len(site.calls) == 36
    assert site.servers[0].connections  # it received attempts
    affected = {got.call for got in site.attempts if got.server.name == "s0"}
    others = [row.status for row in site.calls if row.call not in affected and site.attempts_of(row.call)]
    assert others
    assert others.count(200) > len(others) // 2


# --- the judge itself ---------------------------------------------------------------


def again(server, seconds=0.0):
    """Return scripts that retry on `server` after an attempt ended or timed out after `seconds`."""

    def outcome(now, number, hop, status, spent, last, report):
        return [] if last else [Send(number, server, 0.0)] if hop == 0 else [Fail(number)]

    return {
        "request": lambda now, arrival: [Send(arrival.request, "s0", seconds * 1000.0)],
        "outcome": outcome,
    }


def refusing(now, number, hop, status, spent, last, report):
    return [] if last else [Refuse(number, 0.0)]


def both(now, arrival):
    return [Send(arrival.request, "s0", 0.0), Send(arrival.request, "s1", 0.0)]


# The index of the class, the behaviour of s0, the faulty scripts of the module, and what the judge reports.
FAULTS = [
    (2, reset, again("s1"), "sent again though it may have run"),
    (1, reset, again("s2"), "of another group"),
    (1, hang, again("s1", 0.5), "sent again after"),
    (1, reset, {"outcome": refusing}, "refused (503) though it may have run"),
    (2, reset, {"outcome": refusing}, "refused (503) though it may have run"),
    (0, later(0.1, serve), {"request": both}, "two attempts in flight at a time"),
    (0, serve, {"request": lambda now, arrival: []}, "answered 504"),
]


@pytest.mark.parametrize(("traffic_class", "behave", "scripts", "fault"), FAULTS)
@virtual
async def test_the_judge_finds_each_fault(traffic_class, behave, scripts, fault, monkeypatch):
    """Checks that the judge reports a module that breaks a rule, with the servers and clients from above."""
    monkeypatch.setattr(driver, "GUARD_MS", 1500.0)  # so that an unanswered request is lost
    site = Site(OWN)
    await site.add("s0", behave, zone="east")
    await site.add("s1", later(0.1, serve), zone="east")
    await site.add("s2", serve, zone="west")
    async with running(raw={"known": site.known()}, balancer=Scripted(**scripts), **OWN) as sidecar:
        await site.ask(sidecar.address, OWN["Profiles"][traffic_class], BUDGET_S)
    site.stop()
    assert [line for line in site.violations() if fault in line], site.violations()


@virtual
async def test_the_judge_finds_a_body_that_no_server_made_for_the_call():
    async def mixed(reader, writer, got):
        writer.write(ok(STRAY))
        got.ended = True

    site = Site(OWN)
    await site.add("s0", mixed)
    async with running(raw={"known": site.known()}, **OWN) as sidecar:
        await site.ask(sidecar.address, OWN["Profiles"][0], BUDGET_S)
    site.stop()
    assert "served a body that no server made for it" in site.violations()[0]
