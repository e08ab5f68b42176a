"""Many corrupted requests and responses: no rule is broken, nothing raises, and everything is released.

The input is drawn from a seed: complete requests (responses) with bytes changed, removed, duplicated,
inserted from elsewhere or truncated, and a corpus of known attacks. Healthy clients send requests at the same
time.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from tests import loopback as partners
from tests.loopback import App, Upstream, read_message, request, running, until
from tests.virtual import virtual

CLASSES = ("/look", "/book", "/pay")
ATTACKS = (
    b"",
    b"\r\n\r\n",
    b"\x00" * 100,
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 40,
    b"GET /look HTTP/9.9\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /look HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
    b"POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"POST /pay HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
    b"POST /pay HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /pay",
    b"POST /pay HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
    b"GET /look HTTP/1.1\r\n X-Call-Id: a\r\n\r\n",
    b"GET /look HTTP/1.1\r\nX-Call-Id : a\r\n\r\n",
    b"GET /look\x00 HTTP/1.1\r\n\r\n",
    b"G" * 70_000,
    b"GET /" + b"a" * 70_000 + b" HTTP/1.1\r\n\r\n",
    b"GET /look HTTP/1.1\r\n" + b"a: b\r\n" * 20_000,
)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Load-Report: inflight=1,queue=0\r\n\r\ndone"
ANSWERS = (
    ANSWER,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad",
    b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER,
)


def corrupted(rng, whole, others):
    """Return the bytes after one to three small corruptions."""
    made = bytearray(whole)
    for _ in range(rng.randint(1, 3)):
        at = rng.randrange(len(made) + 1)
        corruption = rng.randrange(6)
        if corruption == 0 and at < len(made):
            made[at] = rng.randrange(256)
        elif corruption == 1:
            del made[at : at + rng.randint(1, 20)]
        elif corruption == 2:
            made[at:at] = made[at : at + rng.randint(1, 60)]
        elif corruption == 3:
            other = rng.choice(others)
            start = rng.randrange(len(other) + 1)
            made[at:at] = other[start : start + rng.randint(1, 40)]
        elif corruption == 4:
            made[at:at] = rng.choice((b"\r\n", b"\n", b"\r", b"\x00", b": ", b"\r\n\r\n", b"0\r\n\r\n"))
        else:
            del made[max(1, at) :]
    return bytes(made)


def a_request(rng):
    target = rng.choice(CLASSES)
    method = "GET" if target == "/look" else "POST"
    body = b"x" * rng.choice((0, 1, 40, 900)) if method == "POST" else b""
    return request(method, target + rng.choice(("", "/a", "?b=c")), body, X_Budget="900m")


class Echo(Upstream):
    """A server that answers with the call id."""

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        while (message := await read_message(reader)) is not None:
            self.seen.append(message)
            body = message.headers.get("x-call-id", "none").encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


async def healthy(address, number):
    """Run a client that sends requests and checks that each answer was made for it."""
    app = await App.connect(address)
    for turn in range(20):
        name = f"healthy-{number}-{turn}"
        answer = await app.ask(X_Call_Id=name)
        assert answer is not None
        assert answer.body == name.encode()
        await asyncio.sleep(0.02)
    app.close()


async def hostile(address, data):
    """Send bytes and read until the other side answers or closes; any result is accepted."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        async with asyncio.timeout(5.0):
            await reader.read(65536)
    except (ConnectionError, TimeoutError):
        pass
    finally:
        writer.transport.abort()


@pytest.mark.parametrize("seed", [1, 2])
@virtual
async def test_corrupted_requests_break_no_rule(seed, monkeypatch):
    monkeypatch.setattr(partners, "PATIENCE_S", 25.0)
    rng = random.Random(f"hostile/{seed}")
    upstream = await Echo().start()
    raised = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: raised.append(context))
    whole = [a_request(rng) for _ in range(40)]
    sent = [corrupted(rng, rng.choice(whole), whole) for _ in range(500)]
    sent += [attack + rng.choice(whole) for attack in ATTACKS] + list(ATTACKS)
    async with running(upstream) as sidecar:
        good = [asyncio.create_task(healthy(sidecar.address, number)) for number in range(5)]
        for start in range(0, len(sent), 200):
            await asyncio.gather(*(hostile(sidecar.address, data) for data in sent[start : start + 200]))
        await asyncio.gather(*good)
        await until(lambda: not len(sidecar.front.table))
        assert sidecar.limits.buffered.used == sidecar.limits.calls.used == 0
        assert sidecar.limits.descriptors.used == len(sidecar.pool._connections)
        assert sidecar.driver.is_idle
        assert not sidecar.front.intake.open_call_ids
    for message in upstream.seen:
        # A server receives only validated requests of existing classes.
        method, target, version = message.start.split(" ")
        assert version == "HTTP/1.1"
        assert method in ("GET", "POST")
        assert target.split("?")[0].split("/")[1] == message.headers["x-call-class"]
        assert "/" + message.headers["x-call-class"] in CLASSES
        assert "transfer-encoding" not in message.headers
    # Two corrupted requests may have the same call id one after the other, but never at the same time, and
    # that of a healthy client occurs only once.
    names = [message.headers["x-call-id"] for message in upstream.seen]
    assert all(names.count(name) == 1 for name in names if name.startswith("healthy"))
    assert [
        context for context in raised if "exception" in context and "StreamReader" not in str(context)
    ] == []


@pytest.mark.parametrize("seed", [1, 2])
@virtual
async def test_corrupted_answers_break_no_rule(seed):
    """An unsafe request is sent once, whatever comes back; a client gets a complete answer or none."""
    rng = random.Random(f"answers/{seed}")
    replies = [corrupted(rng, rng.choice(ANSWERS), ANSWERS) for _ in range(150)]

    def answer_with(data):
        async def write(reader, writer):
            writer.write(data)
            await asyncio.sleep(0.005)
            if rng.random() < 0.5:
                writer.close()

        return write

    for start in range(0, len(replies), 10):  # otherwise the throttle soon refuses most of them
        some = replies[start : start + 10]
        upstream = await Upstream([answer_with(data) for data in some] + [ANSWER]).start()
        async with running(upstream) as sidecar:
            app = await App.connect(sidecar.address)
            for number in range(10):
                name = f"unsafe-{start + number}"
                answer = await app.ask("POST", "/pay", b"now", X_Call_Id=name, X_Budget="150m")
                assert answer.start.split(" ")[1] in ("200", "502", "503", "504")
            names = [message.headers["x-call-id"] for message in upstream.seen]
            # Retried only after a rejection, in which case it never ran.
            rejections = sum(b"503" in data and b"X-Rejected: 1" in data for data in some)
            assert len(names) - len(set(names)) <= 2 * rejections
            assert names
            await until(lambda: sidecar.limits.calls.used == 0 and not sidecar.driver._requests)
            assert sidecar.limits.buffered.used == 0
            assert sidecar.limits.descriptors.used == 1 + len(sidecar.pool._connections)
