"""Approved transcripts of the HTTP endpoints; `control_api` and `ingress` contain more."""

from __future__ import annotations

import json
import random
from typing import get_args

from fordtrestle.balancer.model import Cause, Fail, Refuse
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Availability, ControlView, MemberRecord, control_item, member_item
from fordtrestle.ingress.directory import Directory
from fordtrestle.ingress.readiness import Readiness
from fordtrestle.replication.events import Event, Events
from fordtrestle.roles import metrics
from tests.control_api.test_exchanges import CONFIG, HEARTBEAT, StandaloneControl, put
from tests.exchanges import Client, approved, loopback, request, serve
from tests.loopback import App, Scripted, running
from tests.virtual import virtual

REPLICATION_METRICS = {
    "replication_opening_began",
    "replication_opening_failed",
    "replication_epoch_opened",
    "replication_stepped_down",
    "replication_state_sent",
    "replication_write_late",
    "replication_waiting",
    "replication_stranger_met",
}


@loopback
async def test_listings_of_the_control_endpoint(tmp_path, snapshot):
    async with StandaloneControl(tmp_path) as stage, Client(stage.port) as client:
        await client.exchange(put(CONFIG))
        await client.exchange(request("POST", "/v1/instances/i-1/heartbeat", json.dumps(HEARTBEAT)))
        for listing in ("epoch", "members", "servers"):
            await client.exchange(request("GET", f"/v1/{listing}"))
        await client.exchange(request("POST", "/v1/instances/i-1/deregister"))
        await client.exchange(request("GET", "/v1/servers"))
        await client.exchange(request("GET", "/v1/no-such-thing"))
        await client.exchange(request("DELETE", "/v1/config/get"))
    assert approved(client) == snapshot


@loopback
async def test_answers_of_the_directory(snapshot):
    catalog = Catalog()
    directory = Directory(catalog, lambda: {"front-1"}, ("r-1",), 5.0, random.Random(1))
    runner, port = await serve(directory.application())
    async with Client(port) as client:
        await client.exchange(request("GET", "/v1/resolve?name=ficu95.example&region=r-1&zone=z-1"))
        record = MemberRecord(
            "front-1", "sidecar", "z-1", "r-1", "10.0.2.1:7000", "10.0.2.1:80", Availability.READY
        )
        catalog.merge([member_item(record, 1, 1)], 0.0)
        document = json.dumps(CONFIG).encode()
        catalog.merge([control_item(ControlView(1, 3, document, ()))], 0.0)
        directory.assume_settled()
        await client.exchange(request("GET", "/v1/resolve?name=ficu95.example&region=r-1&zone=z-1"))
        await client.exchange(request("GET", "/v1/resolve"))
        await client.exchange(request("GET", "/v1/no-such-thing"))
    await runner.cleanup()
    assert approved(client) == snapshot


@loopback
async def test_answers_of_the_readiness_endpoint(snapshot):
    states = iter((False, True))
    runner, port = await serve(Readiness(lambda: next(states)).application())
    async with Client(port) as client:
        await client.exchange(request("GET", "/v1/readiness"))
        await client.exchange(request("GET", "/v1/readiness"))
        await client.exchange(request("GET", "/v1/no-such-thing"))
    await runner.cleanup()
    assert approved(client) == snapshot


@loopback
async def test_answers_of_the_metrics_endpoint(snapshot):
    catalog = Catalog()
    runner, port = await serve(metrics.application("/metrics", lambda: metrics.of_catalog(catalog)))
    async with Client(port) as client:
        await client.exchange(request("GET", "/metrics"))
    await runner.cleanup()
    assert approved(client) == snapshot


def test_names_of_the_metrics_of_replication():
    """An event class may be renamed, but its metric keeps its name."""
    events = Events()
    for kind in get_args(Event):
        events.record(object.__new__(kind))
    assert set(metrics.of_events(events)) == REPLICATION_METRICS


@virtual
async def test_health_answers_of_the_program_in_service(snapshot):
    answers = [lambda number: Refuse(number, 0.0, Cause.COLD), lambda number: Fail(number, Cause.NO_TIME)]
    module = Scripted(request=lambda now, arrival: [answers.pop(0)(arrival.request)])
    responses = []
    async with running(balancer=module) as sidecar:
        for target in ("", "", "/health/ready", "/health/ready?counts"):
            app = await App.connect(sidecar.address)
            answer = await (app.ask("GET", target, X_Call_Id=None) if target else app.ask())
            responses.append((target, answer.start, sorted(answer.headers.items()), answer.body))
    assert responses == snapshot
