"""Counts of refusals and failures: on request and in the log at shutdown."""

from __future__ import annotations

import asyncio
import json

from fordtrestle.balancer.model import Cause, Fail, Refuse, Send
from tests.loopback import OK, SETTINGS, App, Scripted, Upstream, hang, running, until
from tests.virtual import virtual

COUNTS = "/health/ready?counts"


async def counts(sidecar):
    answer = await (await App.connect(sidecar.address)).ask("GET", COUNTS, X_Call_Id=None)
    assert answer.start.split(" ")[1] == "200"
    body = json.loads(answer.body)
    return body["service"]["sidecar"], body["front"]["sidecar"]


async def ask_expecting(sidecar, status, *args, **headers):
    answer = await (await App.connect(sidecar.address)).ask(*args, **headers)
    assert int(answer.start.split(" ")[1]) == status


def answering(kind):
    return lambda now, arrival: [kind(arrival.request)]


@virtual
async def test_answers_of_the_module_are_counted_by_class_kind_and_cause():
    answers = [
        lambda number: Refuse(number, 0.0, Cause.COLD),
        lambda number: Refuse(number, 0.0, Cause.COLD),
        lambda number: Refuse(number, 0.0, Cause.SHED),
        lambda number: Fail(number, Cause.NO_TIME),
    ]
    module = Scripted(request=lambda now, arrival: [answers.pop(0)(arrival.request)])
    async with running(balancer=module) as sidecar:
        for status in (503, 503, 503, 502):
            await ask_expecting(sidecar, status)
        service, front = await counts(sidecar)
    assert service == {"look": {"refused": {"cold": 2, "shed": 1}, "failed": {"no_time": 1}}}
    assert front == {}


@virtual
async def test_a_readiness_check_returns_no_counts():
    async with running(balancer=Scripted(request=answering(lambda n: Refuse(n, 0.0, Cause.COLD)))) as sidecar:
        await ask_expecting(sidecar, 503)
        for method, target in (("GET", "/health/ready"), ("GET", "/health/ready?x=1"), ("HEAD", COUNTS)):
            app = await App.connect(sidecar.address)
            app.send(method, target, X_Call_Id=None)
            head = await app.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert b"Content-Length: 0\r\n" in head


@virtual
async def test_requests_answered_without_the_module_have_separate_causes():
    upstream = await Upstream([hang]).start()
    limits = {**SETTINGS["PolicyLimits"], "MaxOpen": 1}
    async with running(upstream, PolicyLimits=limits) as sidecar:
        held = await App.connect(sidecar.address)
        held.send(X_Call_Id="abc")
        await until(lambda: upstream.seen)
        await ask_expecting(sidecar, 503)
        await ask_expecting(sidecar, 409, X_Call_Id="abc")
        await ask_expecting(sidecar, 400, X_Caller="nobody")
        await ask_expecting(sidecar, 431, X_Long="x" * 20_000)
        service, front = await counts(sidecar)
        held.close()
    assert service == {"look": {"refused": {"max_open": 1}}}
    assert front == {"-": {"rejected": {"bad_request": 3}}}


@virtual
async def test_the_server_refuses_calls_without_capacity_and_calls_during_shutdown():
    upstream = await Upstream([hang]).start()
    async with running(upstream) as sidecar:
        sidecar.limits.calls.resize(1)
        busy = await App.connect(sidecar.address)
        busy.send("POST", "/pay")
        await until(lambda: upstream.seen)
        await ask_expecting(sidecar, 503)
        sidecar.front.evictor.claim_descriptor = lambda connection: False
        await ask_expecting(sidecar, 503)
        sidecar.front.intake.accept_until_ms = 0.0
        await ask_expecting(sidecar, 503)
        await ask_expecting(sidecar, 503, "POST", "/pay")
        service, front = await counts(sidecar)
        busy.close()
    assert service == {}
    assert len(upstream.seen) == 1
    assert front["look"] == {"refused": {"no_room": 1, "no_descriptor": 1, "ending": 1}}
    assert front["pay"] == {"refused": {"ending": 1}}


@virtual
async def test_a_call_before_a_rejection_is_cut_short_and_an_incomplete_one_is_unfinished(monkeypatch):
    monkeypatch.setattr("fordtrestle.proxy.http.client_connection.REJECTION_TIMEOUT_S", 0.01)
    monkeypatch.setattr("fordtrestle.proxy.http.client_connection.REQUEST_TIMEOUT_S", 0.01)
    upstream = await Upstream([hang]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: upstream.seen)
        app.writer.write(b"no request at all\r\n\r\n")
        assert (await app.answer()).start.split(" ")[1] == "502"
        half = await App.connect(sidecar.address)
        half.writer.write(b"GET /look HTTP/1.1\r\nHost: x\r\n")
        assert (await half.answer()).start.split(" ")[1] == "408"
        service, front = await counts(sidecar)
    assert service == {}
    assert front["look"] == {"failed": {"cut_short": 1}}
    assert front["-"] == {"rejected": {"bad_request": 1, "unfinished": 1}}


@virtual
async def test_counts_are_logged_at_shutdown(capsys):
    module = Scripted(request=answering(lambda n: Refuse(n, 0.0, Cause.THROTTLE)))
    async with running(balancer=module) as sidecar:
        await ask_expecting(sidecar, 503)
        await ask_expecting(sidecar, 503)
        await ask_expecting(sidecar, 400, X_Caller="nobody")
        await sidecar.drain(asyncio.get_running_loop().time())
    said = capsys.readouterr().err.splitlines()
    assert "service sidecar: class look: 2 refused: throttle 2" in said
    assert "front sidecar: class -: 1 rejected: bad_request 1" in said


@virtual
async def test_no_counts_are_logged_if_nothing_was_refused(capsys):
    upstream = await Upstream([OK]).start()
    module = Scripted(request=lambda now, arrival: [Send(arrival.request, "s0", 0.0)])
    async with running(upstream, balancer=module) as sidecar:
        await ask_expecting(sidecar, 200)
        await sidecar.drain(asyncio.get_running_loop().time())
    assert "class" not in capsys.readouterr().err
