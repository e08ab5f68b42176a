"""The order of eviction by the history of connections, and its cost, which must not grow with the table."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.proxy.engine.connection_table import ConnectionTable, EvictionClass, TableOptions


def table(**changes):
    return ConnectionTable(TableOptions(**{"max_clients": 8, **changes}))


def always(owner):
    return True


def asked(made, name, times, now, rests=True):
    """Add a connection that sent `times` requests and is idle from `now`, or has another one in flight."""
    entry = made.add(name, now)
    for _ in range(times):
        made.on_request_started(entry, now)
        made.on_request(entry, now)
        made.on_idle(entry, now)
    if not rests:
        made.on_request_started(entry, now)
        made.on_request(entry, now)
    return entry


def evicted(made, now, **how):
    """Evict until no connection can be evicted; return the owners in order."""
    order = []
    while (entry := made.victim(now, always, **how)) is not None:
        order.append(entry.owner)
        made.remove(entry)
    return order


def test_connections_are_evicted_in_the_documented_order():
    made = table()
    asked(made, "left long ago", 9, 0.0)
    for name, times in (("often", 9), ("a few", 2), ("once", 1)):
        asked(made, name, times, 20_000.0)
    asked(made, "in a call", 5, 20_000.0, rests=False)
    made.add("silent", 20_000.0)
    half = made.add("half a request", 20_000.0)
    made.on_request_started(half, 20_000.0)
    away = made.add("rejected", 20_010.0)
    made.on_rejected(away, 20_010.0)
    made.add("just connected", 20_150.0)
    order = ["rejected", "silent", "half a request", "left long ago", "once", "a few", "often"]
    assert evicted(made, 20_200.0) == order
    assert sorted(entry.owner for entry in made) == ["in a call", "just connected"]


def test_pending_connections_are_evicted_only_if_urgent_and_oldest_first():
    made = table()
    made.add("first", 0.0)
    made.add("second", 10.0)
    assert made.victim(50.0, always) is None
    assert evicted(made, 50.0, urgent=True) == ["first", "second"]


def test_pending_grace_follows_the_learned_first_request_time_within_bounds():
    made = table()
    assert made.grace_ms == 100.0

    def comes_back(name, took):
        entry = made.add(name, 0.0)
        for now in (took, took + 100.0):
            made.on_request(entry, now)
            made.on_idle(entry, now)
        made.remove(entry)

    for number in range(50):
        made.on_request(made.add(f"once {number}", 0.0), 900.0)
    assert made.grace_ms == 100.0  # a flood can't extend its grace: single requests are not learned from
    for entry in made:
        made.remove(entry)
    for number in range(50):
        comes_back(f"slow {number}", 300.0 + number % 2)
    assert 300.0 < made.grace_ms < 330.0
    entry = made.add("pending", 1000.0)
    assert made.victim(1250.0, lambda owner: owner == "pending") is None
    assert made.victim(1400.0, always) is entry
    for _ in range(50):
        comes_back("dreadful", 60_000.0)
    assert made.grace_ms == 1000.0


def test_a_connection_with_unread_bytes_is_not_evicted():
    made = table()
    for name in ("unread", "quiet"):
        asked(made, name, 1, 0.0)
    assert made.victim(50.0, lambda owner: owner == "quiet").owner == "quiet"
    assert made.victim(50.0, lambda owner: False) is None


def test_no_more_connections_are_examined_than_configured():
    made, looked = table(max_examined=8), []
    for number in range(100):
        asked(made, number, 1, 0.0)
    assert made.victim(50.0, looked.append) is None
    assert looked == list(range(8))


@pytest.mark.parametrize("kind", ["silent", "half of the first", "half of a later one", "rejected"])
def test_connections_with_unread_bytes_do_not_shield_others(kind):
    """Guards against a few connections that trickle bytes and use up each search for a victim."""
    made = table(max_examined=8)
    for number in range(20):
        entry = (
            asked(made, f"trickles {number}", 1, 0.0)
            if "later" in kind
            else made.add(f"trickles {number}", 0.0)
        )
        if "half" in kind:
            made.on_request_started(entry, 0.0)
        if kind == "rejected":
            made.on_rejected(entry, 0.0)
    asked(made, "at rest", 1, 15_000.0)
    asked(made, "left long ago", 9, 0.0)
    found = [made.victim(20_000.0, lambda owner: "trickles" not in owner) for _ in range(4)]
    assert [entry.owner for entry in found if entry is not None][:1] == ["left long ago"]
    for entry in list(made):  # they still become overdue
        if entry.request_count == 0 and entry.eviction_class is not EvictionClass.REJECTED:
            assert entry in made.overdue(20_000.0)


def test_an_incomplete_later_request_is_protected_no_longer_than_a_first_one():
    made = table()
    entry = asked(made, "once, and a byte", 1, 0.0)
    made.on_request_started(entry, 10.0)
    assert made.victim(50.0, always) is None
    assert made.victim(110.0, always) is entry


def test_pipelined_requests_and_readiness_checks_do_not_count_as_repeated_requests():
    made = table()
    pipelined = made.add("four at once", 0.0)
    made.on_request_started(pipelined, 0.0)
    for _ in range(4):
        made.on_request(pipelined, 0.0)
    made.on_idle(pipelined, 0.0)
    prober = made.add("asks whether it is ready", 0.0)
    for _ in range(4):
        made.on_request(prober, 0.0, proves_client=False)
        made.on_idle(prober, 0.0)
    asked(made, "twice", 2, 0.0)
    assert evicted(made, 50.0) == ["four at once", "asks whether it is ready", "twice"]


def test_a_removed_entry_drops_its_owner():
    made = table()
    entry = made.add("gone", 0.0)
    assert made.remove(entry)
    assert not hasattr(entry, "owner")


def test_idle_connections_with_one_request_take_at_most_half_of_the_places():
    made = table()
    for name in range(4):
        asked(made, name, 1, 0.0)
    assert made.excess_victim(1.0, always) is None
    asked(made, "proven", 2, 1.0)
    assert made.excess_victim(1.0, always) is None
    asked(made, 4, 1, 1.0)
    assert made.excess_victim(1.0, always).owner == 0
    assert made.excess_victim(1.0, lambda owner: owner > 2).owner == 3


def test_connections_with_one_request_expire_early_and_others_only_in_a_shortage():
    made = table(single_request_idle_timeout_ms=1800.0, shortage_idle_timeout_ms=2000.0)
    once = asked(made, "once", 1, 0.0)
    proven = [asked(made, number, 5, 0.0) for number in range(6)]
    assert made.expired_idle(1799.0) == []
    assert made.expired_idle(2500.0) == [once, *proven]  # seven of eight are idle
    made.remove(once)
    assert made.expired_idle(2500.0) == []


def test_the_first_request_time_out_runs_from_accepting_the_connection():
    made = table(first_request_timeout_ms=2400.0)
    early, late = made.add("early", 0.0), made.add("late", 100.0)
    made.on_request_started(early, 2300.0)
    assert made.overdue(2399.0) == []
    assert made.overdue(2400.0) == [early]
    assert made.overdue(2500.0) == [early, late]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["open", "begin", "ask", "rest", "reject", "close", "victim", "urgent", "rested"]),
        st.integers(0, 11),
        st.floats(0.0, 900.0),
    ),
    max_size=120,
)


def check_victim(found, step, now):
    """Check that an evicted connection may be evicted, and that a pending one had its grace unless urgent."""
    assert found.eviction_class is not EvictionClass.IN_CALL
    assert found.owner % 3 > 0
    is_pending = found.request_count == 0 and found.eviction_class is not EvictionClass.REJECTED
    if is_pending and step == "victim":
        assert now - found.opened_ms >= 100.0


def check_queues(made):
    """Check that each connection without an open request is in one queue, and idle ones are in time order."""
    queues = [made._rejected, made._no_request, made._later_request, made._unevictable, *made._idle]
    for entry in made:
        held = [queue for queue in queues if entry in queue]
        assert len(held) == (entry.eviction_class is not EvictionClass.IN_CALL)
    assert sum(map(len, queues)) <= len(made)
    for queue in made._idle:
        since = [entry.since_ms for entry in queue]
        assert since == sorted(since)


def take_step(made, entries, step, number, now):
    """Take one step that concerns the connection with this number, if there is one."""
    entry = entries.get(number)
    if step == "open":
        if entry is None or entry not in made._entries:
            entries[number] = made.add(number, now)
    elif entry is None:
        return
    elif step == "close":
        made.remove(entry)
        del entries[number]
    else:
        handlers = {
            "begin": made.on_request_started,
            "ask": made.on_request,
            "rest": made.on_idle,
            "reject": made.on_rejected,
        }
        handlers[step](entry, now)


@given(STEPS)
def test_over_any_order_of_steps_each_entry_is_in_its_one_queue(steps):
    made, entries, now = table(), {}, 0.0
    for step, number, passed in steps:
        now += passed
        if step in ("victim", "urgent"):
            found = made.victim(now, lambda owner: owner % 3 > 0, urgent=step == "urgent")
            if found is not None:
                check_victim(found, step, now)
                assert made.remove(found)
                entries = {name: entry for name, entry in entries.items() if entry is not found}
        elif step == "rested":
            assert all(found.eviction_class is EvictionClass.IDLE for found in made.expired_idle(now))
        else:
            take_step(made, entries, step, number, now)
        check_queues(made)


def test_every_eviction_class_is_reached_and_left():
    made = table()
    entry = made.add("one", 0.0)
    met = [entry.eviction_class]
    for step in (
        made.on_request_started,
        made.on_request,
        made.on_request_started,
        made.on_request,
        made.on_idle,
        made.on_request_started,
        made.on_request,
        made.on_rejected,
    ):
        step(entry, 1.0)
        met.append(entry.eviction_class)
    assert set(met) == set(EvictionClass)
    assert met[-1] is EvictionClass.REJECTED
    made.on_request(entry, 2.0)  # nothing after a rejection is a request
    made.on_idle(entry, 2.0)
    assert entry.eviction_class is EvictionClass.REJECTED
    assert made.remove(entry)
    assert not made.remove(entry)
    assert len(made) == 0


@pytest.mark.parametrize("kind", ["silent", "once", "often"])
def test_the_cost_of_an_eviction_does_not_grow_with_the_table(kind):
    """The same work at 100 and 10,000 connections; iterating over all would take a hundred times as long."""

    def spent(size):
        made = table(max_clients=size)
        for number in range(size):
            asked(made, number, {"silent": 0, "once": 1, "often": 9}[kind], 0.0)
        began = time.perf_counter()
        for number in range(50):
            made.remove(made.victim(500.0, always))
            asked(made, size + number, 1, 500.0)
        return time.perf_counter() - began

    small, large = (min(spent(size) for _ in range(5)) for size in (100, 10_000))
    assert large < 10.0 * small
