"""Watches on one store: answered at once, empty after their wait, or rejected if unconfirmed."""

from __future__ import annotations

import asyncio

from fordtrestle.control_api import watches as watches_module
from fordtrestle.control_api.read_index import SharedReadIndex
from fordtrestle.control_api.watches import WatchService
from fordtrestle.coordination.answers import IndexRead, Overloaded, Unavailable
from fordtrestle.coordination.changes import WriteKey
from fordtrestle.coordination.commands import ReadIndex
from fordtrestle.coordination.history import Compacted, WatchEvents
from tests.replication.serving_core import ServingCore
from tests.virtual import virtual

ROUND_TRIP_S = 0.1


class LoopReplicator:
    """The part of a `Replicator` that `WatchService` uses, on the event loop's clock."""

    def __init__(self, core, machine):
        self.core, self.machine, self.node = core, machine, machine.node

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    async def wait_until(self, condition, timeout_s):
        deadline = self.now() + timeout_s
        while not condition() and self.now() < deadline:
            await asyncio.sleep(0.01)
        return condition()


class WatchedFollower:
    """A follower with open watches, and a primary whose read index can be made unreachable."""

    def __init__(self, max_watches=watches_module.MAX_WATCHES):
        self.core = ServingCore()
        self.is_partitioned = False
        self.reads = 0
        replicator = LoopReplicator(self.core, self.core.b)
        self.watches = WatchService(replicator, SharedReadIndex(self.call, replicator.now), max_watches)

    async def call(self, command, deadline):
        assert command == ReadIndex()
        self.reads += 1
        await asyncio.sleep(ROUND_TRIP_S)
        return Unavailable() if self.is_partitioned else IndexRead(self.core.a.node.durable.state.sequence)

    def put(self, key, value, compacted=0):
        self.core.a.node.propose(WriteKey(key, value, compacted), self.core.a.now)
        self.core.pump(self.core.a)
        self.core.exchange_all()
        self.watches.on_progress()

    def watch(self, after, wait_s=2.0, group="g."):
        return asyncio.create_task(self.watches.watch(group, after, wait_s))


@virtual
async def test_a_put_is_sent_at_once_to_watches_of_its_group_only():
    follower = WatchedFollower()
    follower.put("g.a", "1")
    loop = asyncio.get_running_loop()
    started_at, watch, other = loop.time(), follower.watch(1), follower.watch(1, group="h.")
    await asyncio.sleep(0.5)
    assert not watch.done()
    follower.put("g.a", "2")
    answer = await watch
    assert loop.time() - started_at < 0.6
    assert ([event.value for event in answer.events], answer.revision) == (["2"], 2)
    assert await other == WatchEvents((), 1)
    assert follower.watches.open_watches == 0


@virtual
async def test_without_a_put_a_watch_is_empty_after_its_wait():
    follower = WatchedFollower()
    follower.put("g.a", "1")
    started_at = asyncio.get_running_loop().time()
    assert await follower.watch(1) == WatchEvents((), 1)
    assert 2.0 <= asyncio.get_running_loop().time() - started_at < 2.1


@virtual
async def test_the_current_revision_is_sent_as_soon_as_it_is_confirmed():
    follower = WatchedFollower()
    follower.put("g.a", "1")
    started_at = asyncio.get_running_loop().time()
    assert await follower.watch(0, wait_s=30.0) == WatchEvents((), 1)
    assert asyncio.get_running_loop().time() - started_at < 2 * ROUND_TRIP_S


@virtual
async def test_a_partitioned_store_does_not_answer_that_there_are_no_events():
    follower = WatchedFollower()
    follower.put("g.a", "1")
    follower.is_partitioned = True
    assert await follower.watch(1, wait_s=0.5) == Unavailable()
    assert await follower.watch(0, wait_s=0.0) == Unavailable()


@virtual
async def test_a_store_that_was_partitioned_for_long_does_not_send_its_events():
    follower = WatchedFollower()
    follower.put("g.a", "1")
    follower.put("g.a", "2")
    assert await follower.watch(0) == WatchEvents((), 2)
    follower.is_partitioned = True
    assert (await follower.watch(1)).revision == 2
    await asyncio.sleep(watches_module.MAX_LAG_S + 1.0)
    assert await follower.watch(1, wait_s=0.5) == Unavailable()


@virtual
async def test_a_compacted_revision_is_rejected():
    follower = WatchedFollower()
    follower.put("g.a", "1")
    follower.put("g.a", "2")
    follower.put("g.a", "3", compacted=2)
    assert await follower.watch(1) == Compacted()


@virtual
async def test_watches_share_one_read_index_and_their_number_is_bounded():
    follower = WatchedFollower(max_watches=50)
    follower.put("g.a", "1")
    open_watches = [follower.watch(1, wait_s=1.0) for _ in range(50)]
    await asyncio.sleep(0)
    assert await follower.watch(1) == Overloaded()
    assert {await watch for watch in open_watches} == {WatchEvents((), 1)}
    assert follower.reads == 1


@virtual
async def test_watches_are_answered_when_the_process_shuts_down():
    follower = WatchedFollower()
    follower.put("g.a", "1")
    watch = follower.watch(1, wait_s=30.0)
    await asyncio.sleep(0.5)
    follower.watches.close()
    assert await watch == Unavailable()
    assert await follower.watch(1, wait_s=30.0) == Unavailable()
