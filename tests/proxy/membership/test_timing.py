"""How soon a change is reported after a registry can be reached or a watch went silent.

In virtual time over real sockets.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from fordtrestle.proxy.engine.ports import parse_address
from fordtrestle.proxy.membership import timing
from tests.loopback import Registry
from tests.proxy.membership.stand_ins import Outage, UpdateRecorder, make_client, until_virtual
from tests.virtual import virtual

REPORT_DEADLINE_S = 6.0
MARGIN_S = 1.0
BOUND_S = REPORT_DEADLINE_S - MARGIN_S
MAX_ASK_AGAIN_S = 1.5  # what the decision module may take to ask again, jitter included
QUEUE_S = 2.0
TURN_S = 0.05  # of the virtual clock, for the timers that lie between

OUTAGE_KINDS = ["hangs", "refuses", "mute", "half", "resets", "busy", "malformed"]
END_AFTER_S = [0.01, 1.2, 5.1, 8.35, 13.9]


def test_the_time_outs_add_up_to_less_than_the_rule_allows():
    """A time-out can't be raised without a look at the sums that it is part of."""
    connect, answer, silent = timing.CONNECT_TIMEOUT_S, timing.ANSWER_TIMEOUT_S, timing.WATCH_TIMEOUT_S
    pushed, asked = timing.MAX_BACKOFF_S, MAX_ASK_AGAIN_S
    assert connect + answer + pushed <= BOUND_S
    assert silent + pushed <= BOUND_S
    assert connect + asked + QUEUE_S <= BOUND_S
    assert answer + asked <= BOUND_S
    assert silent + asked <= BOUND_S
    # None may be so short that it cuts off what is well: heartbeats, the queue, a packet sent again.
    assert silent > timing.HEARTBEAT_INTERVAL_S
    assert max(timing.HEARTBEAT_INTERVAL_S, QUEUE_S) < answer
    assert connect > 1.0


def ask_again_late(client, recorder):
    """Watch, and watch again after each failure as late as the decision module may."""
    loop = asyncio.get_running_loop()

    def watch_again(form):
        if form == "refused":
            loop.call_later(MAX_ASK_AGAIN_S, client.watch, True)

    recorder.react = watch_again
    client.watch(True)


@pytest.mark.parametrize("end_s", END_AFTER_S)
@pytest.mark.parametrize("kind", OUTAGE_KINDS)
@pytest.mark.parametrize("way", ["pushed", "moved", "asked", "asked, moved"])
@virtual
async def test_a_change_is_reported_in_time_once_the_registry_can_be_reached(way, kind, end_s, recorder):
    is_pushed = not way.startswith("asked")
    # Who was never answered while it could be reached has more time: that of the queue.
    queue_s = 0.0 if is_pushed or kind in ("mute", "half", "malformed") else QUEUE_S
    outage = await Outage(kind, queue_s=queue_s).start()
    before = await Outage("mute").start()
    client = make_client(before.address if "moved" in way else outage.address, recorder, is_pushed)
    client.start()
    if not is_pushed:
        ask_again_late(client, recorder)
    if "moved" in way:
        await before.has_request.wait()
        client.move(parse_address(outage.address))
    loop = asyncio.get_running_loop()
    await asyncio.sleep(end_s)
    if any(form == "all" for form, *_ in recorder.since_start()):
        pytest.fail("reported while it could not be reached")
    ended_at = loop.time()
    await outage.end()
    await recorder.until(lambda update: update == ("all", 50, ["new"]))
    assert recorder.last_at - ended_at <= BOUND_S + TURN_S
    client.close()
    outage.stop()
    before.stop()


@pytest.mark.parametrize("rest", [b"", b"1\r\n{\r\n"], ids=["silent", "half a line"])
@pytest.mark.parametrize("is_pushed", [True, False])
@virtual
async def test_what_a_silent_watch_misses_is_reported_in_time(is_pushed, rest, recorder):
    first = await Registry().start()
    client = make_client(first.address, recorder, is_pushed)
    client.start()
    if not is_pushed:
        ask_again_late(client, recorder)
    await until_virtual(lambda: first.watches)
    first.send_update(42)
    for _ in range(8):  # it lives on heartbeats alone
        await asyncio.sleep(timing.HEARTBEAT_INTERVAL_S)
        first.write(b"\n")
    loop = asyncio.get_running_loop()
    silent_at = loop.time()
    if rest:
        for _ in range(3):
            await asyncio.sleep(1.0)
            first.watches[0].write(rest)
    assert len(first.targets) == 1
    await until_virtual(lambda: len(first.watches) == 2)
    first.send_update(43)
    await recorder.until(lambda update: update[1] == 43)
    assert recorder.last_at - silent_at <= BOUND_S + TURN_S
    client.close()
    first.stop()


@virtual
async def test_a_fleet_without_a_registry_connects_at_a_bounded_rate_and_spread_out():
    """Neither each process at its own pace nor all at once at the return make a storm of connects."""
    fleet, outage_s = 60, 8.0
    outage = await Outage("resets").start()
    members = [make_client(outage.address, UpdateRecorder(), seed=seed) for seed in range(fleet)]
    for member in members:
        member.start()
    loop = asyncio.get_running_loop()
    await asyncio.sleep(outage_s)
    connects = [at - loop.time() + outage_s for at, _ in outage.requests]
    steady = sorted(at for at in connects if at > 2.0)
    assert len(steady) <= fleet * (outage_s - 2.0) / (0.5 * timing.MAX_BACKOFF_S)
    tenth = [sum(low <= at < low + 0.1 for at in steady) for low in itertools.takewhile((7.9).__gt__, steady)]
    assert max(tenth) <= 0.4 * fleet
    ended_at = loop.time()
    await outage.end()
    await asyncio.sleep(timing.MAX_BACKOFF_S + TURN_S)
    assert sum(at >= ended_at for at, _ in outage.requests) == fleet
    for member in members:
        member.close()
    outage.stop()
