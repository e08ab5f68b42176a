"""Who votes: majorities, slots that are made vacant and filled, incarnations, and what a started disk waits
for."""

from __future__ import annotations

import math

import pytest

from fordtrestle.cluster.log import State
from fordtrestle.cluster.members import (
    INCARNATIONS_MOST,
    SLOTS_MOST,
    Incarnations,
    Recovery,
    changed,
    init_state,
    reached,
    recover_state,
    with_disk,
)
from fordtrestle.cluster.messages import AppendEntries, AppendEntriesResponse, RecoveryResponse, Voter, Voters
from tests.cluster.test_order import Bench, cut, elect, grown, led
from tests.cluster.world import CONFIG, Disk, World

SLOTS = tuple(Voter(name, f"disk-{name}") for name in "abcde")
VACANT = Voter("f", "")


def test_a_majority_is_of_those_that_vote():
    values = {"a": 5, "b": 9, "c": 7, "d": 1, "e": 3}
    assert [reached(SLOTS[:n], lambda v: values[v.name]) for n in (1, 2, 3, 4, 5)] == [5, 5, 7, 5, 5]
    assert reached((*SLOTS[:3], VACANT), lambda v: values.get(v.name, 10)) == 7
    assert reached((VACANT,), lambda v: 1.0) == -math.inf


def test_changes_that_can_not_be_say_why():
    assert changed(SLOTS[:3], "c", "f") == (*SLOTS[:2], VACANT)
    for slots, away, new, why in (
        (SLOTS, "x", "", "x has no slot"),
        (SLOTS, "", "b", "b has a slot"),
        (SLOTS[:1], "a", "f", "nobody would vote"),
        (SLOTS, "", "n" * 65, "a name has 64 characters at the most"),
        (
            (*SLOTS, *[Voter(str(n), "") for n in range(SLOTS_MOST - 5)]),
            "",
            "f",
            f"there may be {SLOTS_MOST} slots",
        ),
    ):
        with pytest.raises(ValueError, match=why):
            changed(slots, away, new)


def told(by, term=1, last=(1, 1)):
    return RecoveryResponse("disk-a", 0, 0, 7, by, term, last[1], last[0])


@pytest.mark.parametrize(
    ("voters", "enough", "alone"), [(1, 0, 0), (2, 1, 1), (3, 2, 1), (4, 2, 2), (5, 3, 2)]
)
def test_a_started_disk_waits_for_one_in_common_with_every_majority_it_was_in(voters, enough, alone):
    slots, recovery = SLOTS[:voters], Recovery(7)
    for count in range(voters):
        assert recovery.enough(slots, SLOTS[0], alone=False) == (count >= enough)
        assert recovery.enough(slots, SLOTS[0], alone=True) == (count >= alone)
        if count + 1 < voters:
            recovery.responses[SLOTS[count + 1].name] = told(SLOTS[count + 1].disk)


def test_only_voters_by_their_disks_are_enough_and_set_the_floor():
    recovery = Recovery(7)
    recovery.responses = {"b": told("other", term=9, last=(9, 9)), "c": told("disk-c", term=2, last=(2, 4))}
    assert not recovery.enough(SLOTS[:3], SLOTS[0], alone=False)
    assert recovery.enough(SLOTS[:3], SLOTS[0], alone=True)
    assert (recovery.term(), recovery.floor(SLOTS[:3])) == (9, (2, 4))
    assert not Recovery(7).enough((), SLOTS[0], alone=True)


def test_incarnations_are_known_once_durable_and_bounded():
    incarnations = Incarnations([("x", 3)])
    assert incarnations.known("x", 3, 0) and not incarnations.known("x", 2, 0)
    incarnations.note("x", 4, token=5, slots=())
    assert not incarnations.known("x", 4, 4) and incarnations.known("x", 4, 5)
    for number in range(2 * INCARNATIONS_MOST):
        kept = incarnations.note(f"d{number}", 1, token=6, slots=(Voter("x", "x"),))
    assert len(kept) <= INCARNATIONS_MOST and incarnations.of("x") == 4


def test_no_incarnation_is_forgotten_while_there_is_room_for_it():
    incarnations = Incarnations(())
    for number in range(INCARNATIONS_MOST):
        incarnations.note(f"d{number}", 7, token=1, slots=(Voter("x", "x"),))
    assert [incarnations.of(f"d{number}") for number in range(INCARNATIONS_MOST)] == [7] * INCARNATIONS_MOST


def test_an_incarnation_is_durable_before_anything_of_it_is_counted():
    world = led()
    world.restart("c")
    cut(world, "a", "b")
    world.nodes["a"].disk_ms = 1e6  # it stores nothing more
    committed = world.order("a").commit_index
    world.propose("a", "p")
    world.run(CONFIG.election_ms / 2)
    assert world.order("c").log.last_index > committed == world.order("a").commit_index
    assert not [slot for slot in world.order("a").slots(0.0) if slot.name == "c" and slot.counts]


# --- slots ------------------------------------------------------------------------------------


def changes(world):
    """The voters' disks of each change that was committed."""
    entries = [entry for _, entry in sorted(world._chain.items())]
    return [[v.disk for v in e.body.voters] for e in entries if isinstance(e.body, Voters)]


def test_a_vacant_slot_counts_for_nothing():
    bench = Bench().leads()
    sequence, last = max(bench.order.state.peers["b"].unanswered), bench.order.log.last_index
    bench.hear("b", AppendEntriesResponse(2, sequence, True, last, "disk-b", 1))
    bench.call(lambda now: bench.order.add_voter(now, "d"))
    status = {slot.name: slot.counts for slot in bench.order.slots(bench.now)}
    assert status == {"a": True, "b": True, "c": False, "d": False}


@pytest.mark.parametrize("names", ["abc", "abcde"])
def test_a_lost_disk_is_replaced_by_a_vacant_slot_first(names):
    world = led(names=names)
    grown(world, "a", 20)
    world.crash("c")
    world.nodes["c"].disk = Disk(State())
    world.start("c")
    assert world.until(lambda: world.order("c").votes, 2000)
    world.run(100)
    new = world.order("c").meta.disk
    assert [slots[2] for slots in changes(world)][-2:] == ["", new]
    assert world.order("c").machine.pending == 20
    world.crash("b")
    grown(world, "a", 2, first=21)


def test_a_newcomer_has_no_vote_before_it_has_what_is_committed():
    world = led()
    grown(world, "a", 20)
    world.crash("c")
    world.nodes["c"].disk = Disk(State())
    world.drop = lambda src, send: send.to == "c" and not isinstance(send.message, AppendEntries)
    world.start("c")
    world.run(2000)
    assert changes(world) == [["disk-a", "disk-b", "disk-c"]]
    world.drop = lambda src, send: False
    assert world.until(lambda: world.order("c").votes, 2000)


def test_no_disk_is_taken_in_where_the_commit_would_wait_for_it():
    world = led()
    world.crash("c")
    world.nodes["c"].disk = Disk(State())
    world.drop = lambda src, send: (
        (src, send.to) == ("b", "a") and isinstance(send.message, AppendEntriesResponse)
    )
    world.start("c")
    world.run(100)
    assert len(changes(world)) == 1 and len(world.order("a").voters) == 3
    order = world.order("a")
    now = world.nodes["a"].clock(world.now) + CONFIG.election_ms
    after = with_disk(order.voters, "c", "new")
    assert order._membership.unbacked(now, after, "c") == "too few of the voters after it answer"


def test_of_two_under_one_name_the_one_that_votes_stays():
    world = led()
    order, node = world.order("a"), world.nodes["a"]
    for _ in range(100):
        world.run(10)
        sequence = max(order.state.peers["c"].unanswered, default=0)
        answer = AppendEntriesResponse(2, sequence, True, order.log.last_index, "other", 1)
        world.do("a", lambda order, now, answer=answer: order.receive(now, "c", answer))
    assert order.voters[2].disk == "disk-c" and order.state.peers["c"].disk == "disk-c"
    assert order.leader_lease_until(node.clock(world.now)) > node.clock(world.now)


def test_a_new_leader_waits_for_the_disk_that_votes_before_it_takes_another():
    world = World(1, "abc").start()
    elect(world, "a")
    world.drop = lambda src, send: (src, send.to) == ("c", "a")
    assert world.until(lambda: world.order("a").ready, 200)
    peer = world.order("a").state.peers["c"]
    for _ in range(2):
        assert world.until(lambda: bool(peer.unanswered), 50)
        sequence, last = max(peer.unanswered), world.order("a").log.last_index
        answer = AppendEntriesResponse(world.order("a").term, sequence, True, last, "other", 1)
        world.do("a", lambda order, now, answer=answer: order.receive(now, "c", answer))
    assert world.order("a").voters[2].disk == "disk-c"


def test_one_that_started_twice_with_nothing_is_taken_in():
    world = led()
    grown(world, "a", 3)
    world.crash("c")
    world.nodes["c"].disk = Disk(State())
    world.drop = lambda src, send: send.to == "c"
    world.start("c")
    world.run(20)
    world.restart("c")
    world.run(CONFIG.election_ms)
    world.drop = lambda src, send: False
    assert world.until(lambda: world.order("c").votes, 2000)


def test_one_voter_grows_to_three_by_vacant_slots():
    world = World(1, "abc", empty="bc").start()
    assert world.lead() == "a"
    assert world.until(lambda: all(world.order(name).votes for name in "abc"), 3000)
    grown(world, world.leader(), 2)


def test_a_voter_is_replaced_under_another_name():
    world = World(1, "abcd")
    state = init_state({name: f"disk-{name}" for name in "abc"}, "a")
    for name in "abc":
        world.nodes[name].disk = Disk(init_state({n: f"disk-{n}" for n in "abc"}, name))
    world.nodes["d"].disk = Disk(State())
    world.start()
    elect(world, "a")
    assert world.until(lambda: world.order("a").ready, 200)
    world.crash("c")
    world.run(CONFIG.election_ms + 10)
    world.do("a", lambda order, now: order.replace_voter(now, "c", "d", client=1))
    assert world.until(lambda: world.order("d").votes, 2000)
    assert [slot.name for slot in world.order("a").voters] == ["a", "b", "d"]
    world.crash("b")
    world.propose("a", "p", client=2)
    assert world.until(lambda: bool(world.answers[2]), 500)
    assert state.meta.disk == "disk-a"


def test_what_is_recovered_is_ahead_of_the_lost_and_names_none_of_their_disks():
    world = led()
    grown(world, "a", 3)
    state = world.nodes["b"].disk.state()
    recovered = recover_state(state, "b", "new", "abc")
    snapshot = recovered.snapshot
    assert snapshot is not None and snapshot.voters == (Voter("b", "new"), Voter("a", ""), Voter("c", ""))
    assert snapshot.index == world.order("b").log.last_index + 1
    assert snapshot.books[-1].number == 3 and dict(snapshot.proposals)["p3"] == 3
    assert recovered.meta.term == snapshot.term > 1000 and not recovered.entries
