"""Complete exchanges of operators, servers and applications with a single control process.

The process tolerates no failures, so it is the only witness. Stored transcripts are found by the names of
their tests.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random

import aiohttp
from yarl import URL

from fordtrestle.control_api import http as control_http
from fordtrestle.control_api.commands import CommandHandler
from fordtrestle.control_api.coordination_http import CoordinationApi
from fordtrestle.control_api.coordination_router import CoordinationRouter
from fordtrestle.control_api.coordination_schema import MAX_BODY_BYTES
from fordtrestle.control_api.coordination_service import CoordinationService
from fordtrestle.control_api.heartbeats import HeartbeatMonitor
from fordtrestle.control_api.http import ControlApi
from fordtrestle.control_api.read_index import SharedReadIndex
from fordtrestle.control_api.watches import WatchService
from fordtrestle.control_api.withdrawals import WithdrawalConfirmer
from fordtrestle.coordination.observation_clock import ObservationClock
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import SERVER_PREFIX, Availability, MemberRecord, Phase
from fordtrestle.peer.codec import decode
from fordtrestle.peer.gossip import Gossip
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Hello
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Epoch, Store, Term
from fordtrestle.replication.failure_detector import ELECTION_TIMEOUT_S
from fordtrestle.replication.messages import Heartbeat, Resign
from fordtrestle.replication.node import Node
from fordtrestle.storage.log import RecordLog
from tests.exchanges import Client, approved, loopback, request, serve

ROUTE = {
    "name": "r-1",
    "authority": "ficu95.example",
    "path_prefix": "/a/",
    "route_type": "safe",
    "timeout_ms": 3000,
    "backend": "pool",
    "max_attempts": 2,
}
CONFIG = {"generation": 3, "routes": [ROUTE], "services": [{"name": "pool", "new_field": 1}], "limits": {}}
HEARTBEAT = {
    "backend": "pool",
    "address": "10.0.0.9:8080",
    "zone": "z-1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
}


class StandaloneControl:
    """A single control process with its disk, its replication and its endpoint."""

    def __init__(self, folder, is_founder=True):
        self.log = RecordLog(folder)
        self.log.open()
        store = Store("s1", "127.0.0.1:1", "127.0.0.1:2", "z-1")
        self.node = Node(
            store,
            Durable("s1", must_bootstrap=is_founder),
            tolerated_failures=0,
            counts_for_quorum=True,
            draw=random.Random(1).random,
            now=asyncio.get_running_loop().time(),
        )
        self.mesh = mesh = Mesh(Hello("core-1", "127.0.0.1:1"), lambda link, message: None, lambda link: None)
        me = MemberRecord("core-1", "control", "z-1", "r-1", "127.0.0.1:1", "", Availability.READY)
        self.gossip = Gossip(Catalog(), mesh, me, 1, lambda items: None)
        self.replicator = Replicator(self.node, self.log, mesh, lambda peer: True, self._on_progress)

    def _on_progress(self):
        if hasattr(self, "watches"):
            self.watches.on_progress()

    async def __aenter__(self):
        self._replicator_task = asyncio.create_task(self.replicator.run())
        if self.node.durable.is_founder:
            assert await self.replicator.wait_until(lambda: self.node.is_ready, 5.0)
        api = ControlApi(
            CommandHandler(self.replicator),
            HeartbeatMonitor("core-1", 1.0),
            WithdrawalConfirmer(self.node.me, self.mesh, self.gossip, lambda: self.node.newest_epoch),
            self._coordination(),
            self.gossip,
            frozenset(("z-1", "z-2")),
            self.node,
        )
        self._runner, self.port = await serve(api.application())
        return self

    def _coordination(self):
        clock = ObservationClock(retention_s=30.0)
        service = CoordinationService(self.replicator, clock, lambda: True)
        router = CoordinationRouter(service, self.node, self.mesh)
        read_index = SharedReadIndex(router.call, self.replicator.now)
        self.watches = WatchService(self.replicator, read_index)
        return CoordinationApi(router.call, self.watches)

    async def __aexit__(self, *_):
        self._replicator_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._replicator_task
        await self._runner.cleanup()
        self.log.close()


def put(document, base=0, kind="put"):
    return request("POST", f"/v1/config/{kind}", json.dumps(document), X_Base_Version=str(base))


@loopback
async def test_a_configuration_is_taken_read_back_patched_and_taken_again(tmp_path, snapshot):
    async with StandaloneControl(tmp_path) as control, Client(control.port) as client:
        await client.exchange(request("GET", "/v1/config/get"))
        await client.exchange(put(CONFIG))
        await client.exchange(request("GET", "/v1/config/get"))
        patch = {
            "generation": 5,
            "upsert": {"routes": [{**ROUTE, "timeout_ms": 2000}], "services": [{"name": "other"}]},
            "delete": {"routes": ["never-there"]},
        }
        await client.exchange(put(patch, base=3, kind="patch"))
        await client.exchange(request("GET", "/v1/config/get"))
        # A change whose acknowledgement was lost is acknowledged again, even after newer changes.
        await client.exchange(put(CONFIG))
        assert approved(client) == snapshot


@loopback
async def test_orders_that_cannot_be_taken_are_refused_with_all_that_is_wrong(tmp_path, snapshot):
    invalid = {
        **CONFIG,
        "generation": 9,
        "routes": [
            {**ROUTE, "timeout_ms": 0},
            {**ROUTE, "name": "r-2", "backend": "nowhere"},
            {**ROUTE, "name": "r-3", "weighted_backends": [{"backend": "pool", "weight": 0}]},
        ],
    }
    async with StandaloneControl(tmp_path) as control, Client(control.port) as client:
        await client.exchange(put(CONFIG))
        await client.exchange(put({**CONFIG, "generation": 4}, base=1))
        same_generation = CONFIG | {"limits": {"max_body_bytes": 1}}
        await client.exchange(put(same_generation, base=3))
        await client.exchange(put(invalid, base=3))
        duplicate_routes = {**CONFIG, "generation": 9, "routes": [ROUTE, {**ROUTE, "name": "r-2"}]}
        await client.exchange(put(duplicate_routes, base=3))
        unknown = {**CONFIG, "generation": 9, "routes": [{**ROUTE, "backend": "nowhere"}]}
        await client.exchange(put(unknown, base=3))
        truncated = json.dumps(CONFIG)[:40]
        await client.exchange(request("POST", "/v1/config/put", truncated, X_Base_Version="3"))
        await client.exchange(request("POST", "/v1/config/put", "{}", X_Base_Version="-1"))
        await client.exchange(request("POST", "/v1/config/patch", "[]", X_Base_Version="3"))
        await client.exchange(request("POST", "/v1/config/burn", "{}"))
        await client.exchange(request("GET", "/v1/config/get"))
        assert approved(client) == snapshot


@loopback
async def test_a_zone_is_emptied_and_taken_back_any_number_of_times(tmp_path, snapshot):
    async with StandaloneControl(tmp_path) as control, Client(control.port) as client:
        for step in ("start", "start", "finish", "finish"):
            await client.exchange(request("POST", f"/v1/evacuations/z-1/{step}"))
        await client.exchange(request("POST", "/v1/evacuations/nowhere/start"))
        assert approved(client) == snapshot
        assert control.node.durable.state.sequence == 2


@loopback
async def test_a_heartbeat_that_was_read_too_late_is_not_recorded(tmp_path, monkeypatch):
    # Its server may have withdrawn at another process since.
    monkeypatch.setattr(control_http, "deadline_of", lambda call: asyncio.get_running_loop().time() - 0.1)
    async with StandaloneControl(tmp_path) as control, Client(control.port) as client:
        await client.exchange(request("POST", "/v1/instances/i-1/heartbeat", json.dumps(HEARTBEAT)))
        assert "HTTP/1.1 503" in "".join(client.transcript)
        assert control.gossip.catalog.get(SERVER_PREFIX + "i-1") is None


@loopback
async def test_heartbeats_are_taken_and_bad_ones_told_why(tmp_path, snapshot):
    async with StandaloneControl(tmp_path) as control, Client(control.port) as client:
        path = "/v1/instances/i-1/heartbeat"
        await client.exchange(request("POST", path, json.dumps(HEARTBEAT)))
        await client.exchange(
            request("POST", path, json.dumps({**HEARTBEAT, "state": "draining", "sequence": 5}))
        )
        outdated = {**HEARTBEAT, "sequence": 3}
        await client.exchange(request("POST", path, json.dumps(outdated)))
        await client.exchange(request("POST", path, json.dumps({"state": "asleep", "address": "nowhere"})))
        await client.exchange(request("POST", path, "{"))
        await client.exchange(request("POST", path, "x" * 5000))
        record, _ = next(control.gossip.catalog.servers())
        assert record.phase is Phase.DRAINING
        await client.exchange(request("POST", "/v1/instances/i-1/deregister"))
        await client.exchange(request("POST", "/v1/instances/never-heard-of/deregister"))
        record, _ = next(control.gossip.catalog.servers())
        assert record.phase is Phase.DEPARTED
        assert approved(client) == snapshot


OTHER = Store("s2", "127.0.0.2:1", "127.0.0.2:8146", "z-2")
OTHER_EPOCH = Epoch(Term(4, "s2"), "s2", ("s2",), (OTHER,))


@loopback
async def test_who_is_not_primary_sends_callers_there_or_away(tmp_path, snapshot):
    async with StandaloneControl(tmp_path, is_founder=False) as control, Client(control.port) as client:
        await client.exchange(put(CONFIG))
        control.node.receive("s2", Heartbeat(OTHER_EPOCH, 1), control.replicator.now())
        await client.exchange(put(CONFIG))
        await client.exchange(request("GET", "/v1/config/get"))
        await client.exchange(request("POST", "/v1/evacuations/z-1/start"))
        assert approved(client) == snapshot


@loopback
async def test_no_caller_is_redirected_to_a_primary_that_fell_silent_or_resigned(tmp_path):
    async with StandaloneControl(tmp_path, is_founder=False) as control, Client(control.port) as client:
        now = control.replicator.now()
        control.node.receive("s2", Heartbeat(OTHER_EPOCH, 1), now - ELECTION_TIMEOUT_S - 0.1)
        assert (await client.exchange(put(CONFIG))).startswith("HTTP/1.1 503")
        control.node.receive("s2", Heartbeat(OTHER_EPOCH, 2), now + 60.0)
        assert (await client.exchange(put(CONFIG))).startswith("HTTP/1.1 307")
        control.node.receive("s2", Resign(OTHER_EPOCH.term), now + 60.0)
        assert (await client.exchange(put(CONFIG))).startswith("HTTP/1.1 503")


@loopback
async def test_a_primary_that_resigned_redirects_no_caller_to_itself(tmp_path):
    async with StandaloneControl(tmp_path) as control, Client(control.port) as client:
        assert (await client.exchange(put(CONFIG))).startswith("HTTP/1.1 200")
        control.node.leave(control.replicator.now())
        for call in (put(CONFIG), request("GET", "/v1/config/get")):
            answer = await client.exchange(call)
            assert answer.startswith("HTTP/1.1 503")
            assert "Retry-After" in answer


@loopback
async def test_an_acknowledged_configuration_is_on_disk(tmp_path):
    async with StandaloneControl(tmp_path) as control, Client(control.port) as client:
        assert (await client.exchange(put(CONFIG))).startswith("HTTP/1.1 200")
    log = RecordLog(tmp_path)
    restored = Durable.restore(map(decode, log.open()))
    assert json.loads(restored.state.document) == CONFIG
    log.close()


def post(path, **body):
    return request("POST", f"/v1/{path}", json.dumps(body))


@loopback
async def test_applications_take_locks_numbers_and_keys_and_watch(tmp_path, snapshot):
    async with StandaloneControl(tmp_path) as control, Client(control.port) as client:
        await client.exchange(post("locks/l-1/start", holder="a1", hold_ms=60_000))
        await client.exchange(post("locks/l-1/start", holder="b2", hold_ms=60_000))
        await client.exchange(post("locks/l-1/heartbeat", holder="a1", fence=1, hold_ms=60_000))
        await client.exchange(post("locks/l-1/heartbeat", holder="a1", fence=9, hold_ms=60_000))
        await client.exchange(post("locks/l-1/finish", holder="a1", fence=1))
        await client.exchange(post("locks/l-1/finish", holder="a1", fence=1))
        await client.exchange(post("numbers/n-1"))
        await client.exchange(request("POST", "/v1/numbers/n-1"))
        await client.exchange(post("cells/g.k/put", value="v1", if_revision=0))
        await client.exchange(post("cells/g.k/put", value="v2", if_revision=0))
        await client.exchange(post("cells/g.k/put", value="v2", if_revision=1))
        await client.exchange(post("cells/g.k/put", value="v1", if_revision=0))
        await client.exchange(request("GET", "/v1/cells/g.k/get"))
        await client.exchange(request("GET", "/v1/cells/g.none/get"))
        await client.exchange(request("GET", "/v1/watch/g.?after=0"))
        await client.exchange(request("GET", "/v1/watch/g.?after=1&wait_ms=2000"))
        await client.exchange(request("GET", "/v1/watch/g.?after=2&wait_ms=20"))
    assert approved(client) == snapshot


@loopback
async def test_calls_of_applications_that_cannot_be_read_are_refused_with_all_that_is_wrong(
    tmp_path, snapshot
):
    async with StandaloneControl(tmp_path) as control, Client(control.port) as client:
        await client.exchange(request("POST", "/v1/locks/l-1/start", "{"))
        await client.exchange(request("POST", "/v1/locks/l-1/start", "[]"))
        await client.exchange(post("locks/l-1/start", holder="", hold_ms=0))
        await client.exchange(post("locks/l-1/heartbeat", holder="a1", fence="one", hold_ms=10**9))
        await client.exchange(post("cells/g.k/put", value=5, if_revision=-1))
        await client.exchange(request("GET", f"/v1/cells/{'k' * 300}/get"))
        await client.exchange(request("GET", "/v1/watch/g.?after=x&wait_ms=-1"))
    assert approved(client) == snapshot


@loopback
async def test_who_knows_no_primary_promises_that_nothing_was_done(tmp_path, snapshot):
    async with StandaloneControl(tmp_path, is_founder=False) as control, Client(control.port) as client:
        await client.exchange(post("locks/l-1/start", holder="a1", hold_ms=1000))
        await client.exchange(request("GET", "/v1/watch/g.?after=0"))
    assert approved(client) == snapshot


@loopback
async def test_an_application_call_that_is_too_long_is_rejected(tmp_path):
    async with StandaloneControl(tmp_path) as control, aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{control.port}/v1/cells/g.k/put"
        async with session.post(url, json={"value": "x" * MAX_BODY_BYTES}) as answer:
            assert answer.status == 413


@loopback
async def test_text_that_cannot_be_stored_is_rejected_and_the_process_keeps_serving(tmp_path):
    """JSON allows a lone surrogate, UTF-8 does not: writing the record failed and ended the process."""
    lone_surrogate = '"\\ud800"'
    calls = (
        ("POST", "/v1/cells/g.k/put", f'{{"value": {lone_surrogate}}}'),
        ("POST", "/v1/locks/l-1/start", f'{{"holder": {lone_surrogate}, "hold_ms": 100}}'),
        ("POST", "/v1/instances/i-1/heartbeat", json.dumps({**HEARTBEAT, "backend": "\ud800"})),
        ("POST", "/v1/instances/i-1/heartbeat", json.dumps({**HEARTBEAT, "models": [{"name": "\ud800"}]})),
    )
    async with StandaloneControl(tmp_path) as control, aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{control.port}"
        for method, path, body in calls:
            async with session.request(method, url + path, data=body) as answer:
                assert (path, answer.status) == (path, 400)
        for name in ("%ED%A0%80", "%FF", "n-1"):  # a path that is not UTF-8 is accepted as a name
            path = f"{url}/v1/numbers/{name}"
            async with session.post(URL(path, encoded=True), data="{}") as answer:
                assert answer.status == 200
