"""The delay until a change is reported, after a registry becomes reachable or a watch goes silent.

The tests run in virtual time over real sockets.
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
MAX_REQUEST_DELAY_S = 1.5  # the longest time until the decision module repeats a request, including jitter
QUEUE_S = 2.0
CLOCK_TOLERANCE_S = 0.05  # of the virtual clock, for the timers in between

OUTAGE_KINDS = ["hangs", "refuses", "mute", "half", "resets", "busy", "malformed"]
END_AFTER_S = [0.01, 1.2, 5.1, 8.35, 13.9]


def test_the_sums_of_timeouts_meet_the_bound():
    """Guards against raising a timeout without checking the sums that it is part of."""
    connect, answer, silent = timing.CONNECT_TIMEOUT_S, timing.ANSWER_TIMEOUT_S, timing.WATCH_TIMEOUT_S
    pushed, asked = timing.MAX_BACKOFF_S, MAX_REQUEST_DELAY_S
    assert connect + answer + pushed <= BOUND_S
    assert silent + pushed <= BOUND_S
    assert connect + asked + QUEUE_S <= BOUND_S
    assert answer + asked <= BOUND_S
    assert silent + asked <= BOUND_S
    # No timeout may be too short for normal delays: heartbeats, the queue, a retransmitted packet.
    assert silent > timing.HEARTBEAT_INTERVAL_S
    assert max(timing.HEARTBEAT_INTERVAL_S, QUEUE_S) < answer
    assert connect > 1.0


def repeat_watch_late(client, recorder):
    """Watch, and repeat the watch after each failure with the longest delay of the decision module."""
    loop = asyncio.get_running_loop()

    def watch_again(form):
        if form == "refused":
            loop.call_later(MAX_REQUEST_DELAY_S, client.watch, True)

    recorder.react = watch_again
    client.watch(True)


@pytest.mark.parametrize("end_s", END_AFTER_S)
@pytest.mark.parametrize("kind", OUTAGE_KINDS)
@pytest.mark.parametrize("way", ["pushed", "moved", "asked", "asked, moved"])
@virtual
async def test_a_change_is_reported_in_time_once_the_registry_is_reachable(way, kind, end_s, recorder):
    is_pushed = not way.startswith("asked")
    # The bound has one allowance of QUEUE_S. A request that was accepted during the outage and never answered
    # uses it up, so the registry simulates no queue for these kinds.
    queue_s = 0.0 if is_pushed or kind in ("mute", "half", "malformed") else QUEUE_S
    outage = await Outage(kind, queue_s=queue_s).start()
    before = await Outage("mute").start()
    client = make_client(before.address if "moved" in way else outage.address, recorder, is_pushed)
    client.start()
    if not is_pushed:
        repeat_watch_late(client, recorder)
    if "moved" in way:
        await before.has_request.wait()
        client.move(parse_address(outage.address))
    loop = asyncio.get_running_loop()
    await asyncio.sleep(end_s)
    if any(form == "all" for form, *_ in recorder.since_start()):
        pytest.fail("reported while the registry was unreachable")
    ended_at = loop.time()
    await outage.end()
    await recorder.until(lambda update: update == ("all", 50, ["new"]))
    assert recorder.last_at - ended_at <= BOUND_S + CLOCK_TOLERANCE_S
    client.close()
    outage.stop()
    before.stop()


@pytest.mark.parametrize("last_bytes", [b"", b"1\r\n{\r\n"], ids=["silent", "half a line"])
@pytest.mark.parametrize("is_pushed", [True, False])
@virtual
async def test_a_change_missed_by_a_silent_watch_is_reported_in_time(is_pushed, last_bytes, recorder):
    first = await Registry().start()
    client = make_client(first.address, recorder, is_pushed)
    client.start()
    if not is_pushed:
        repeat_watch_late(client, recorder)
    await until_virtual(lambda: first.watches)
    first.send_update(42)
    for _ in range(8):  # kept alive by heartbeats only
        await asyncio.sleep(timing.HEARTBEAT_INTERVAL_S)
        first.write(b"\n")
    loop = asyncio.get_running_loop()
    silent_at = loop.time()
    if last_bytes:
        for _ in range(3):
            await asyncio.sleep(1.0)
            first.watches[0].write(last_bytes)
    assert len(first.targets) == 1
    await until_virtual(lambda: len(first.watches) == 2)
    first.send_update(43)
    await recorder.until(lambda update: update[1] == 43)
    assert recorder.last_at - silent_at <= BOUND_S + CLOCK_TOLERANCE_S
    client.close()
    first.stop()


@virtual
async def test_a_fleet_without_a_registry_connects_at_a_bounded_rate_and_spread_out():
    """Guards against a connection flood, both during an outage and when the registry returns."""
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
    counts = [
        sum(low <= at < low + 0.1 for at in steady) for low in itertools.takewhile((7.9).__gt__, steady)
    ]
    assert max(counts) <= 0.4 * fleet
    ended_at = loop.time()
    await outage.end()
    await asyncio.sleep(timing.MAX_BACKOFF_S + CLOCK_TOLERANCE_S)
    assert sum(at >= ended_at for at, _ in outage.requests) == fleet
    for member in members:
        member.close()
    outage.stop()
