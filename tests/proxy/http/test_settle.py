"""Names and options that change while connections are open and requests are incomplete or in flight."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from fordtrestle.balancer.model import Send
from fordtrestle.proxy.config import platform_config
from fordtrestle.proxy.http.errors import BadRequestError
from fordtrestle.proxy.http.requests import RequestClass, RequestNames, recheck_names
from tests.loopback import OK, App, Scripted, Upstream, entry, make_platform_config, request, running, until
from tests.proxy.http.test_server import status_of
from tests.proxy.http.test_upstream import fail_unless_last, make_pool, server_update
from tests.virtual import virtual

LOOK, BOOK, PAY = RequestClass(0, "GET", False), RequestClass(1, "POST", True), RequestClass(2, "POST", False)
NAMES = RequestNames({"look": LOOK, "book": BOOK, "pay": PAY}, {"acme": 0, "globex": 1})


def names(without="", **classes):
    """Return the names that the tests use, without one of them and with others added."""
    rows = {name: kind for name, kind in {**NAMES.classes, **classes}.items() if name != without}
    return RequestNames(rows, {name: at for name, at in NAMES.tenants.items() if name != without})


@pytest.mark.parametrize(
    ("traffic_class", "tenant", "now", "status"),
    [
        (0, 1, names(), None),
        (0, 1, names("pay"), None),
        (0, 1, names("acme"), None),
        (0, 1, names(new=RequestClass(3, "GET", False)), None),
        (2, 1, names("pay"), 400),
        (2, 1, names("globex"), 400),
        (2, 1, names(pay=RequestClass(2, "GET", False)), 503),
        (2, 1, names(pay=RequestClass(2, "POST", True)), 503),
        (2, 1, names(pay=RequestClass(3, "POST", False)), 503),
        (2, 1, RequestNames(NAMES.classes, {"globex": 0}), 503),
        (2, 1, RequestNames(NAMES.classes, {}), None),
    ],
)
def test_a_validated_head_is_accepted_only_if_still_valid_under_the_new_names(
    traffic_class, tenant, now, status
):
    if status is None:
        recheck_names(traffic_class, tenant, NAMES, now)
    else:
        with pytest.raises(BadRequestError) as raised:
            recheck_names(traffic_class, tenant, NAMES, now)
        assert raised.value.status == status


def test_a_request_without_a_caller_is_not_accepted_once_callers_are_required():
    with pytest.raises(BadRequestError) as raised:
        recheck_names(0, 0, RequestNames(NAMES.classes, {}), NAMES)
    assert raised.value.status == 503


@virtual
async def test_connections_stay_open_when_names_change_and_removed_classes_are_rejected():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        assert status_of(await app.ask("POST", "/pay")) == 200
        sidecar.front.intake.apply_options(names("pay", new=RequestClass(0, "GET", False)), 40.0)
        assert status_of(await app.ask(target="/new")) == 200
        assert status_of(await app.ask("POST", "/pay")) == 400
        assert len(upstream.seen) == 2


@virtual
async def test_a_request_whose_class_is_removed_while_its_body_arrives_is_rejected():
    upstream = await Upstream([OK]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(request("POST", "/pay", b"half")[:-4])
        await until(lambda: sidecar.front.buffers.unfinished)
        sidecar.front.intake.apply_options(names("pay"), 0.0)
        app.writer.write(b"half")
        assert status_of(await app.answer()) == 400
        assert module.named("request") == []
        assert upstream.seen == []
        assert status_of(await app.ask()) == 200


@virtual
async def test_a_refusal_for_lack_of_capacity_has_the_current_retry_after():
    async with running(balancer=Scripted(request=lambda now, arrival: [])) as sidecar:
        sidecar.front.intake.apply_options(NAMES, 2500.0)
        sidecar.limits.calls.resize(0)
        app = await App.connect(sidecar.address)
        assert (await app.ask()).headers["retry-after"] == "2.500"


# --- servers --------------------------------------------------------------------------


def options(**changes):
    return dataclasses.replace(platform_config.pool_options(make_platform_config()), **changes)


@pytest.mark.parametrize(("grace_ms", "from_ms"), [(100.0, 1050.0), (9000.0, 1450.0), (0.0, 1000.0)])
@virtual
async def test_a_shorter_grace_applies_to_servers_that_are_already_leaving(grace_ms, from_ms):
    upstream = await Upstream([OK]).start()
    pool = make_pool(upstream)
    pool.update(1000.0, False, server_update(entry("s0", upstream.address, status="leaving")))
    pool.apply_options(options(drain_grace_ms=grace_ms))
    assert pool._servers["s0"].closed_from_ms == from_ms
    pool.update(2000.0, False, server_update(entry("s0", upstream.address)))
    pool.update(3000.0, False, server_update(entry("s0", upstream.address, status="leaving")))
    assert pool._servers["s0"].closed_from_ms == 3000.0 + max(0.0, grace_ms - 50.0)
    upstream.stop()


@pytest.mark.parametrize("state", ["leaving", "left"])
@virtual
async def test_a_shorter_grace_applies_to_connects_in_progress(state):
    upstream = await Upstream([OK]).start()
    module = Scripted(outcome=fail_unless_last)
    async with running(upstream, balancer=module, Rules={"StopSendingWithin": 60_000.0}) as sidecar:

        def send_then_hear(now, arrival):
            def hear():
                sidecar.pool.update(now, False, server_update(entry("s0", upstream.address, status=state)))
                sidecar.pool.apply_options(options(drain_grace_ms=0.0))

            asyncio.get_running_loop().call_soon(hear)
            return [Send(arrival.request, "s0", 0.0)]

        module.scripts["request"] = send_then_hear
        app = await App.connect(sidecar.address)
        assert status_of(await app.ask()) == 502
        assert upstream.seen == []


@virtual
async def test_connections_stay_open_when_options_change_unless_idle_for_too_long():
    upstream = await Upstream([OK]).start()
    async with running(upstream, balancer=Scripted()) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        (connection,) = sidecar.pool._connections
        sidecar.pool.apply_options(options(connect_timeout_ms=9.0))
        assert sidecar.pool._dialer.connect_timeout_s == 0.009
        assert list(sidecar.pool._connections) == [connection]
        sidecar.pool.apply_options(options(idle_close_ms=20.0, report_fields=()))
        await until(lambda: not sidecar.pool._connections)
        sidecar.pool.probe("s0", lambda result: None)
        await until(lambda: upstream.seen[-1].start.startswith("GET /health/live"))
