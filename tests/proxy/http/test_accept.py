"""Accepting at the limit: nobody is cut off, who is worth least is evicted, and a wait counts."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from fordtrestle.balancer.model import Send
from fordtrestle.proxy.engine.connection_table import ConnectionTable, TableOptions
from fordtrestle.proxy.engine.limits import Limits
from fordtrestle.proxy.http import accept
from tests import loopback as partners
from tests.loopback import OK, App, Scripted, Upstream, hang, running, until
from tests.virtual import virtual


def status_of(answer):
    return int(answer.start.split(" ")[1])


def tight(sidecar, places, reserve=1):
    """So few places for clients, and so few at the limit, whatever servers have."""
    sidecar.front.budget = Limits(places, 2**20, 1000).budget("clients")
    sidecar.front.reserve = Limits(reserve, 0, 0).descriptors.add_share("at the limit")


def until_event(event):
    async def wait(reader, writer):
        await event.wait()
        return OK

    return wait


@virtual
async def test_more_connections_than_places_and_each_whole_request_is_answered():
    """Guards against accepting what there is no place for, only to cut it off."""
    release = asyncio.Event()
    upstream = await Upstream([until_event(release)]).start()
    limits = {**partners.SETTINGS["PolicyLimits"], "RetryAfter": True, "MaxRetryAfter": 2000.0}
    async with running(upstream, raw={"limits": {"sockets": 128}}, PolicyLimits=limits) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(150)]
        for app in apps:
            app.send()
        answers = asyncio.gather(*(app.answer() for app in apps))
        await until(lambda: len(upstream.seen) > 20)
        await asyncio.sleep(0.1)
        release.set()
        statuses = [status_of(answer) for answer in await answers]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) > 36
        refused = [answer for answer in await answers if status_of(answer) == 503]
        assert all(0.0 < float(answer.headers["retry-after"]) <= 2.0 for answer in refused)
        assert sidecar.limits.descriptors.used <= sidecar.limits.descriptors.capacity


@virtual
async def test_who_is_answered_at_the_limit_can_read_it_though_it_sends_on():
    upstream = await Upstream([hang]).start()
    async with running(upstream) as sidecar:
        tight(sidecar, places=1)
        busy = await App.connect(sidecar.address)
        busy.send()
        await until(lambda: upstream.seen)
        late = await App.connect(sidecar.address)
        late.writer.write(partners.request("POST", "/pay", b"x" * 50_000) + b"more of it" * 20_000)
        answer = await late.answer()
        assert (status_of(answer), answer.headers["connection"]) == (503, "close")
        assert await late.answer() is None
        assert len(upstream.seen) == 1


@virtual
async def test_who_waits_at_the_limit_gets_a_place_that_has_come_free_when_it_asks():
    release = asyncio.Event()
    upstream = await Upstream([until_event(release), OK]).start()
    async with running(upstream) as sidecar:
        tight(sidecar, places=1)
        busy = await App.connect(sidecar.address)
        busy.send()
        await until(lambda: upstream.seen)
        late = await App.connect(sidecar.address)
        await until(lambda: sidecar.front.reserve.used == 1)
        release.set()
        assert status_of(await busy.answer()) == 200
        assert status_of(await late.ask()) == 200  # the other is at rest, and is evicted
        assert sidecar.front.reserve.used == 0


@virtual
async def test_with_no_place_at_all_connections_wait_in_the_backlog_and_are_served_then():
    release = asyncio.Event()
    upstream = await Upstream([until_event(release)]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        tight(sidecar, places=2, reserve=0)
        busy = [await App.connect(sidecar.address) for _ in range(2)]
        for app in busy:
            app.send()
        await until(lambda: len(upstream.seen) == 2)
        waiting = await App.connect(sidecar.address)
        waiting.send(X_Budget="2000m")
        (acceptor,) = sidecar.front._acceptors
        await until(lambda: acceptor._pause is not None)
        await asyncio.sleep(0.12)  # longer than one pause
        assert len(upstream.seen) == 2
        release.set()
        for app in (*busy, waiting):
            assert status_of(await app.answer()) == 200
        # Its time began when it connected, not when it was accepted.
        ((arrival,),) = module.named("request")[-1:]
        left = arrival.give_up_at - sidecar.driver._clock.now()
        assert left < 2000.0 - 100.0
        assert sidecar.front.evictor.shares
        assert acceptor._pause is None


@pytest.mark.parametrize("sent", [b"", b"POST /pay HTT", partners.request("POST", "/pay", b"hello")[:-2]])
@virtual
async def test_silent_and_half_sent_connections_give_way_to_who_asks(sent):
    """Guards against a crowd that fills the table three times over.

    What a connection has sent of its first request does not keep it.
    """
    upstream = await Upstream([OK]).start()
    async with running(upstream, raw={"limits": {"sockets": 96}}) as sidecar:
        crowd = []
        for turn in range(12):
            more = [await App.connect(sidecar.address) for _ in range(20)]
            for app in more:
                app.writer.write(sent)
            crowd += more
            await asyncio.sleep(0.03)
            good = await App.connect(sidecar.address)
            assert status_of(await good.ask()) == 200, f"turn {turn}"
        assert len(sidecar.front.table) <= sidecar.limits.descriptors.capacity
        for app in crowd:
            app.close()


@virtual
async def test_a_newcomer_is_closed_only_if_the_next_has_waited_for_as_long_as_it_may():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        tight(sidecar, places=2, reserve=0)
        patient = TableOptions(max_clients=9, min_grace_ms=60_000.0, max_grace_ms=60_000.0)
        sidecar.front.table = ConnectionTable(patient)
        loop = asyncio.get_running_loop()
        silent = [await App.connect(sidecar.address) for _ in range(2)]
        await until(lambda: len(sidecar.front.table) == 2)
        began = loop.time()
        good = await App.connect(sidecar.address)
        assert status_of(await good.ask()) == 200
        assert loop.time() - began >= accept.ACCEPT_PAUSE_S * 0.9
        assert await silent[0].answer() is None
        assert not silent[1].reader.at_eof()


class Listening(socket.socket):
    """A listening socket for which the system grants no descriptor for a while."""

    refuses = False
    asked = 0

    def accept(self):
        self.asked += 1
        if self.refuses:
            raise OSError(errno.EMFILE, "Too many open files")
        return super().accept()


@virtual
async def test_where_the_system_grants_no_descriptor_it_neither_spins_nor_stops():
    """Guards against a listening socket that stays readable: a busy loop, or a pause of a second."""
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sock = Listening()
        sock.bind(("127.0.0.1", 0))
        sock.listen(16)
        address = await sidecar.front.listen(sock)
        resting = await App.connect(address)
        for _ in range(2):  # it has come back: nothing else closes it
            assert status_of(await resting.ask()) == 200
        sock.refuses, sock.asked = True, 0
        good = await App.connect(address)
        good.send()
        await asyncio.sleep(0.3)
        assert 2 <= sock.asked <= 8  # one each 50 ms
        assert await resting.answer() is None  # it was evicted
        sock.refuses = False
        assert status_of(await good.answer()) == 200


@virtual
async def test_a_connection_that_ends_with_its_first_bytes_leaves_nothing_behind():
    upstream = await Upstream([hang]).start()
    module = Scripted(request=lambda now, arrival: [Send(arrival.request, "s0", 0.0)])
    async with running(upstream, balancer=module) as sidecar:
        for sent in (b"", b"GET /look HT", partners.request(), partners.request(X_Caller="nobody"), b"\x00"):
            app = await App.connect(sidecar.address)
            app.writer.write(sent)
            app.writer.close()
        await until(lambda: sidecar.front.is_empty and module.named("request"))
        await until(lambda: sidecar.limits.descriptors.used == sidecar.pool.budget.descriptors.used)
        assert sidecar.front.budget.descriptors.used == 0
        assert not sidecar.front.evictor.shares
        assert not sidecar.front._starting


@virtual
async def test_who_was_answered_at_the_limit_and_keeps_its_connection_shields_nobody_at_rest():
    """Guards against refusing a client because many at the limit have yet to end what was ended here."""
    release = asyncio.Event()
    upstream = await Upstream([until_event(release), OK]).start()
    async with running(upstream) as sidecar:
        tight(sidecar, places=1, reserve=20)
        busy = await App.connect(sidecar.address)
        busy.send()
        await until(lambda: upstream.seen)
        late = [await App.connect(sidecar.address) for _ in range(20)]
        await until(lambda: sidecar.front.reserve.used == 20)
        for app in late:
            app.send(X_Caller="nobody")  # answered and ended here, and none of them ends it
        for app in late:
            assert status_of(await app.answer()) == 400
        assert sidecar.front.reserve.used == 20
        release.set()
        assert status_of(await busy.answer()) == 200
        good = await App.connect(sidecar.address)
        assert status_of(await good.ask()) == 200


@virtual
async def test_who_lingers_at_the_limit_keeps_no_other_front_from_what_is_fair():
    """Guards against a front that gives nothing back, since many at its limit have yet to end theirs."""
    release = asyncio.Event()
    upstream = await Upstream([until_event(release), OK]).start()
    async with running(upstream) as sidecar:
        tight(sidecar, places=1, reserve=20)
        busy = await App.connect(sidecar.address)
        busy.send()
        await until(lambda: upstream.seen)
        late = [await App.connect(sidecar.address) for _ in range(20)]
        await until(lambda: sidecar.front.reserve.used == 20)
        for app in late:
            app.send(X_Caller="nobody")
        for app in late:
            assert status_of(await app.answer()) == 400
        assert sidecar.front.reserve.used == 20
        release.set()
        assert status_of(await busy.answer()) == 200
        assert sidecar.front.budget.descriptors.used == 1
        await until(lambda: all(entry.owner.is_evictable for entry in sidecar.front.table))  # acknowledged
        sidecar.front.evictor._reclaim(1)
        assert sidecar.front.budget.descriptors.used == 0
        assert await busy.answer() is None


@pytest.mark.parametrize("waited_s", [0.0, 0.2])
@virtual
async def test_newcomers_at_the_limit_are_not_cut_for_a_request_that_this_gives_no_descriptor(waited_s):
    """Each may be about to ask, and is answered then."""
    release = asyncio.Event()
    upstream = await Upstream([until_event(release), OK]).start()
    async with running(upstream) as sidecar:
        tight(sidecar, places=1, reserve=6)
        busy = await App.connect(sidecar.address)
        busy.send()
        await until(lambda: upstream.seen)
        silent = [await App.connect(sidecar.address) for _ in range(5)]
        await until(lambda: sidecar.front.reserve.used == 5)
        asks = await App.connect(sidecar.address)
        await until(lambda: sidecar.front.reserve.used == 6)
        await asyncio.sleep(waited_s)  # they have had their time to ask, or not
        assert status_of(await asks.ask()) == 503
        assert sidecar.front.reserve.used == 6  # who was told so lingers
        for app in silent:
            assert status_of(await app.ask()) == 503
        release.set()
        assert status_of(await busy.answer()) == 200


@virtual
async def test_where_all_at_the_limit_are_silent_one_that_has_waited_is_let_in_for_the_oldest():
    release = asyncio.Event()
    upstream = await Upstream([until_event(release), OK]).start()
    async with running(upstream) as sidecar:
        tight(sidecar, places=1, reserve=2)
        busy = await App.connect(sidecar.address)
        busy.send()
        await until(lambda: upstream.seen)
        silent = [await App.connect(sidecar.address) for _ in range(2)]
        await until(lambda: sidecar.front.reserve.used == 2)
        late = await App.connect(sidecar.address)
        assert status_of(await late.ask()) == 503
        assert await silent[0].answer() is None
        assert status_of(await silent[1].ask()) == 503
        release.set()
        assert status_of(await busy.answer()) == 200
