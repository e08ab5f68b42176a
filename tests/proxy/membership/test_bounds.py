"""How soon a change is taken in after discovery can be reached, or after a watch fell silent: in
virtual time over real sockets.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from fordtrestle.proxy.engine.ports import parse_address
from fordtrestle.proxy.membership import registry
from tests.loopback import Registry
from tests.proxy.membership.standin import NewsRecorder, Outage, asking
from tests.virtual import virtual

COUNTS_AS_TOLD_S = 6.0
MARGIN_S = 1.0
BOUND_S = COUNTS_AS_TOLD_S - MARGIN_S
ASK_MOST_S = 1.5  # what the decision module may take to ask again, jitter included
QUEUE_S = 2.0
TURN_S = 0.05  # of the virtual clock, for the timers that lie between

OUTAGES = ["hangs", "refuses", "mute", "half", "resets", "busy", "spoilt"]
BACK_AFTER_S = [0.01, 1.2, 5.1, 8.35, 13.9]


def test_the_bounds_add_up_to_less_than_the_rule_allows():
    """Guards against raising one bound without looking at the sum that it is part of."""
    dial, answer, silent = registry.DIAL_S, registry.ANSWER_S, registry.SILENT_S
    pushed, asked = registry.BACKOFF_MOST_S, ASK_MOST_S
    assert dial + answer + pushed <= BOUND_S
    assert silent + pushed <= BOUND_S
    assert dial + asked + QUEUE_S <= BOUND_S
    assert answer + asked <= BOUND_S
    assert silent + asked <= BOUND_S
    # None may be so short that it cuts off what is well: heartbeats, the queue, a packet sent again.
    assert silent > registry.HEARTBEAT_S
    assert max(registry.HEARTBEAT_S, QUEUE_S) < answer
    assert dial > 1.0


def module(discovery, recorder):
    """Asks again as late as the decision module may."""
    loop = asyncio.get_running_loop()

    def again(form):
        if form == "refused":
            loop.call_later(ASK_MOST_S, discovery.watch, True)

    recorder.then = again
    discovery.watch(True)


async def until_virtual(condition):
    async with asyncio.timeout(60.0):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("back_s", BACK_AFTER_S)
@pytest.mark.parametrize("how", OUTAGES)
@pytest.mark.parametrize("way", ["pushed", "moved", "asked", "asked, moved"])
@virtual
async def test_a_change_is_taken_in_within_the_bound_after_discovery_can_be_reached(way, how, back_s):
    pushed = not way.startswith("asked")
    # Who was never answered while it could be reached has more time: that of the queue.
    queue_s = 0.0 if pushed or how in ("mute", "half", "spoilt") else QUEUE_S
    outage = await Outage(how, queue_s=queue_s).start()
    before = await Outage("mute").start()
    recorder = NewsRecorder()
    discovery = asking(before.address if "moved" in way else outage.address, recorder, pushed)
    discovery.start()
    if not pushed:
        module(discovery, recorder)
    if "moved" in way:
        await before.first.wait()
        discovery.move(parse_address(outage.address))
    loop = asyncio.get_running_loop()
    await asyncio.sleep(back_s)
    if any(form == "all" for form, *_ in recorder.since_start()):
        pytest.fail("told while it could not be reached")
    back_at = loop.time()
    await outage.back()
    await recorder.until(lambda news: news == ("all", 50, ["new"]))
    assert recorder.at - back_at <= BOUND_S + TURN_S
    discovery.close()
    outage.stop()
    before.stop()


@pytest.mark.parametrize("rest", [b"", b"1\r\n{\r\n"], ids=["silent", "half a line"])
@pytest.mark.parametrize("pushed", [True, False])
@virtual
async def test_what_a_silent_watch_misses_is_taken_in_within_the_bound(pushed, rest):
    first = await Registry().start()
    recorder = NewsRecorder()
    discovery = asking(first.address, recorder, pushed)
    discovery.start()
    if not pushed:
        module(discovery, recorder)
    await until_virtual(lambda: first.watches)
    first.tell(42)
    for _ in range(8):  # it lives on heartbeats alone
        await asyncio.sleep(registry.HEARTBEAT_S)
        first.write(b"\n")
    loop = asyncio.get_running_loop()
    silent_at = loop.time()
    if rest:
        for _ in range(3):
            await asyncio.sleep(1.0)
            first.watches[0].write(rest)
    assert len(first.asked) == 1
    await until_virtual(lambda: len(first.watches) == 2)
    first.tell(43)
    await recorder.until(lambda news: news[1] == 43)
    assert recorder.at - silent_at <= BOUND_S + TURN_S
    discovery.close()
    first.stop()


@virtual
async def test_a_fleet_that_finds_nobody_dials_at_a_bounded_rate_and_spread_out():
    """Guards against a storm: of each process at its own pace, and of all at once at the return."""
    fleet, outage_s = 60, 8.0
    outage = await Outage("resets").start()
    members = [asking(outage.address, NewsRecorder(), seed=seed) for seed in range(fleet)]
    for member in members:
        member.start()
    loop = asyncio.get_running_loop()
    await asyncio.sleep(outage_s)
    dials = [at - loop.time() + outage_s for at, _ in outage.asked]
    steady = sorted(at for at in dials if at > 2.0)
    assert len(steady) <= fleet * (outage_s - 2.0) / (0.5 * registry.BACKOFF_MOST_S)
    tenth = [sum(low <= at < low + 0.1 for at in steady) for low in itertools.takewhile((7.9).__gt__, steady)]
    assert max(tenth) <= 0.4 * fleet
    back_at = loop.time()
    await outage.back()
    await asyncio.sleep(registry.BACKOFF_MOST_S + TURN_S)
    assert sum(at >= back_at for at, _ in outage.asked) == fleet
    for member in members:
        member.close()
    outage.stop()
