"""Requests and responses in all forms that the protocol allows, complete and in pieces of any size."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from fordtrestle.balancer.model import Fail, Outcome
from fordtrestle.proxy.engine import driver
from fordtrestle.proxy.http import client_connection
from tests.loopback import OK, App, Scripted, Upstream, request, running, until
from tests.virtual import virtual

IDS = itertools.count()
KEY = b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
HEAD = b"Host: api.internal\r\nX-Call-Id: %b\r\nX-Caller: globex\r\n"


def form(start, *rows, body=b"", budget=b"4000m"):
    """Return a request with a placeholder for its call id; its class is the first part of its path."""
    name = start.split(b"/")[1].split(b"?")[0].split(b" ")[0]
    lines = [b"X-Call-Class: " + name, b"X-Budget: " + budget, *rows]
    return start + b" HTTP/1.1\r\n" + HEAD + b"\r\n".join(lines) + b"\r\n\r\n" + body


KEYED = b"Idempotency-Key: " + KEY
CHUNKS = b"3\r\nabc\r\n1;name=value\r\nd\r\n0\r\n\r\n"
FORMS = {
    "safe": form(b"GET /look"),
    "a longer path and a query": form(b"GET /look/a/b?c=d&e=f%20g"),
    "microseconds": form(b"GET /look", budget=b"4000000u"),
    "a fraction": form(b"GET /look", budget=b"3999.9999999999995m"),
    "no user among cookies": form(b"GET /look", b"Cookie: theme=dark"),
    "a user among cookies": form(b"GET /look", b"Cookie: theme=dark; user=7f3a9c21e0b4d655; last=1"),
    "a retry": form(b"GET /look", b"X-Again: 1"),
    "a guess at the work and figures": form(b"GET /look", b"X-Call-Cost: 1250.5", b"X-Call-Info: a=1,b=0.5"),
    "a length of 0": form(b"GET /look", b"Content-Length: 0"),
    "kept open in words": form(b"GET /look", b"Connection: keep-alive"),
    "small letters": form(b"GET /look").replace(b"X-C", b"x-c").replace(b"X-B", b"x-b"),
    "capitals": form(b"GET /look").replace(b"X-Budget", b"X-BUDGET").replace(b"Host", b"HOST"),
    "no space behind the colon": form(b"GET /look").replace(b": ", b":"),
    "spaces and tabs round values": form(b"GET /look").replace(b": ", b": \t ").replace(b"m\r", b"m \t\r"),
    "an empty line before it": b"\r\n" + form(b"GET /look"),
    "fields that nobody knows": form(b"GET /look", b"X-Other: 1", b"X-Other: 2", b"Accept: */*"),
    "keyed": form(b"POST /book/1", KEYED, b"Content-Length: 5", body=b"hello"),
    "keyed, in chunks": form(b"POST /book", KEYED, b"Transfer-Encoding: chunked", body=CHUNKS),
    "keyed, no body": form(b"POST /book", KEYED, b"Content-Length: 0"),
    "unsafe": form(b"POST /pay", b"Content-Length: 4", body=b"\r\n\r\n"),
    "unsafe, in chunks": form(b"POST /pay", b"transfer-encoding: Chunked", body=CHUNKS),
    "unsafe, in chunks with a trailer": form(
        b"POST /pay", b"Transfer-Encoding: chunked", body=CHUNKS[:-2] + b"X-Sum: 1\r\n\r\n"
    ),
    "the largest body": form(b"POST /pay", b"Content-Length: 65536", body=b"x" * 65536),
}


def whole_body(raw):
    """Return the body that has to reach the server."""
    body = raw.lstrip().partition(b"\r\n\r\n")[2]
    return b"abcd" if b"hunked\r\n" in raw else body


async def send_in(writer, pieces):
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0)


def cut(raw, size):
    return [raw[at : at + size] for at in range(0, len(raw), size)]


@pytest.mark.parametrize("what", FORMS)
@virtual
async def test_a_request_of_any_form_in_any_pieces_is_forwarded_unchanged_and_answered(what):
    raw = FORMS[what]
    upstream = await Upstream([OK]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        app = await App.connect(sidecar.address)
        small = len(raw) < 1000
        ways = [[len(raw)], *([[1], [2], [7]] if small else [[1000]])]
        halves = [[at, len(raw)] for at in range(1, len(raw), 3)] if small else []
        for sizes in ways + halves:
            name = b"%016x" % next(IDS)
            encoded = raw.replace(b"%b", name)
            pieces = cut(encoded, sizes[0]) if len(sizes) == 1 else [encoded[: sizes[0]], encoded[sizes[0] :]]
            await send_in(app.writer, pieces)
            answer = await app.answer()
            assert answer is not None
            assert (answer.start[9:12], answer.body) == ("200", b"done"), answer
            seen = upstream.seen[-1]
            assert seen.headers["x-call-id"] == name.decode()
            assert seen.start.encode() == raw.lstrip().partition(b"\r\n")[0]
            assert seen.headers.get("idempotency-key") == (KEY.decode() if KEY in raw else None)
            assert seen.body == whole_body(raw)
            assert 0 < int(seen.headers["x-budget"].removesuffix("u")) <= 4_000_000
        assert len(upstream.seen) == len(ways + halves)
        app.close()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWERS = {
    "a length": OK,
    "chunks": CHUNKED + b"4\r\ndone\r\n0\r\n\r\n",
    "chunks of one byte": CHUNKED + b"1\r\nd\r\n1\r\no\r\n1\r\nn\r\n1\r\ne\r\n0\r\n\r\n",
    "chunks with extensions and a trailer": CHUNKED + b"4;a=b\r\ndone\r\n0\r\nX-Sum: 1\r\n\r\n",
    "chunks in capitals": CHUNKED.replace(b"chunked", b"Chunked") + b"4\r\ndone\r\n0\r\n\r\n",
    "names in small letters": OK.lower().replace(b"http/1.1 200 ok", b"HTTP/1.1 200 OK"),
    "no words behind the status": OK.replace(b" OK", b" "),
    "closed behind it": OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
    "interim answers ahead": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK,
    "spaces round values": OK.replace(b": ", b": \t ").replace(b"4\r\n", b"4 \t\r\n"),
}
REJECTED = b"HTTP/1.1 %d Full\r\nx-rejected: 1%b\r\nContent-Length: 4\r\n\r\nfull"
REJECTIONS = {
    f"{status}, {blank!r} behind the value": REJECTED % (status, blank.encode())
    for status in (503, 504)
    for blank in ("", " \t")
}


def in_pieces(raw, size):
    async def reply(reader, writer):
        await send_in(writer, cut(raw, size))
        return b""

    return reply


@pytest.mark.parametrize("size", [1, 3, 1000])
@pytest.mark.parametrize("what", ANSWERS)
@virtual
async def test_an_answer_of_any_form_in_any_pieces_is_served_unchanged(what, size):
    upstream = await Upstream([in_pieces(ANSWERS[what], size)]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(3):
            answer = await app.ask()
            assert answer is not None
            assert (answer.start[9:12], answer.body) == ("200", b"done"), answer
        app.close()


@pytest.mark.parametrize("size", [1, 3, 1000])
@pytest.mark.parametrize("what", REJECTIONS)
@virtual
async def test_a_rejection_in_any_pieces_is_recognised(what, size):
    """An unsafe request may be retried only if its rejection is recognised."""
    upstream = await Upstream([in_pieces(REJECTIONS[what], size)]).start()
    module = Scripted(outcome=lambda now, number, *rest: [Fail(number)])
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", b"now")
        await until(lambda: module.outcomes())
        assert module.outcomes()[0][1] == Outcome.FULL
        app.close()


@pytest.mark.parametrize("first", [True, False], ids=["first", "later"])
@virtual
async def test_the_budget_of_a_slowly_written_request_runs_from_its_last_byte(first):
    """It is written as slowly as allowed: the rest has to arrive within 2 s."""
    upstream, module, loop = await Upstream([OK]).start(), Scripted(), asyncio.get_running_loop()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        if not first:
            await app.ask()
        raw = request("POST", "/pay", b"x" * 60, X_Budget="500m")
        for piece in cut(raw, len(raw) // 18):
            app.writer.write(piece)
            await asyncio.sleep(0.1)
        whole_at = (loop.time() - 0.1) * 1000.0 + sidecar.driver._clock._offset
        answer = await app.answer()
        assert (answer.start[9:12], answer.body) == ("200", b"done")
        (arrival,) = module.named("request")[-1]
        assert arrival.give_up_at == pytest.approx(whole_at + 500.0 - driver.DEADLINE_MARGIN_MS, abs=5.0)
        app.close()


@pytest.mark.parametrize("target", ["/look", "/pay"])
@virtual
async def test_a_flood_of_pipelined_requests_is_answered_in_order_and_closed_gracefully(target):
    """Of 300 pipelined requests those that are read get their answers in order, then an end and no reset.

    None of the others is forwarded, so their client may retry them.
    """
    upstream = await Upstream([OK]).start()
    raised = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: raised.append(context))
    async with running(upstream, balancer=Scripted()) as sidecar:
        app = await App.connect(sidecar.address)
        method = "GET" if target == "/look" else "POST"
        names = [f"flood-{number}" for number in range(300)]
        app.writer.write(b"".join(request(method, target, X_Call_Id=name) for name in names))
        answers = []
        while (answer := await app.answer()) is not None:
            answers.append(answer)
        assert app.reader.exception() is None  # an end
        taken = [seen.headers["x-call-id"] for seen in upstream.seen]
        assert taken == names[: len(answers)]
        assert len(answers) == client_connection.MAX_PIPELINED_REQUESTS + 1
        assert [answer.body for answer in answers] == [b"done"] * len(answers)
        assert answers[-1].headers["connection"] == "close"
        again = await App.connect(sidecar.address)
        assert (await again.ask()).body == b"done"
        for one in (app, again):
            one.close()
    assert [
        context for context in raised if not isinstance(context.get("exception"), asyncio.CancelledError)
    ] == []
