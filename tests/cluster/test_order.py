"""One order of entries by a majority: storms of faults on simulated members, and the cases that hurt most."""

from __future__ import annotations

import pytest

from fordtrestle.cluster.log import State
from tests.cluster.world import Disk, Storm, World

LAST = 10**6  # the client of the last proposal


@pytest.mark.parametrize("members", [3, 5])
@pytest.mark.parametrize("seed", range(40))
def test_in_a_storm_nothing_committed_is_lost_and_after_it_all_go_on(members, seed):
    """The world checks each call: one leader a term, no vote twice, nothing said before its sync."""
    world = World(seed, "abcde"[:members]).start()
    Storm(world, put_back=False).run(2000.0)
    world.heal()
    world.lead(6000.0)

    def proposed():
        if world.leader():
            pending = world.order(world.leader()).applied.pending
            world.do(world.leader(), lambda order, now: order.propose_effective(now, pending))
            world.run(40.0)
        if world.leader():
            world.propose(world.leader(), "last", LAST, attempts=99)
        return world.until(lambda: any(row.state == "durable" for row in world.answers[LAST]), 200.0)

    assert any(proposed() for _ in range(40)), f"seed {seed}: nothing is taken any more"


def durable(world, client):
    return [row.number for row in world.answers[client] if row.state == "durable"]


def test_a_proposal_asked_for_again_keeps_its_number_also_by_another_leader():
    world = World(1, "abc").start()
    first = world.lead()
    world.propose(first, "p", client=1)
    assert world.until(lambda: bool(durable(world, 1)), 1000.0)
    world.crash(first)
    second = world.lead()
    assert second != first
    world.propose(second, "p", client=2)
    assert world.until(lambda: bool(durable(world, 2)), 1000.0)
    assert durable(world, 1) == durable(world, 2)
    world.propose(second, "q", client=3, attempts=5)
    assert world.until(lambda: bool(durable(world, 3)), 1000.0)
    assert durable(world, 3) != durable(world, 2)


def test_a_leader_that_is_cut_off_confirms_nothing_and_its_entry_is_not_kept():
    world = World(2, "abc").start()
    old = world.lead()
    world.isolate(old)
    world.propose(old, "alone", client=1)
    assert world.until(lambda: world.leader() not in ("", old), 3000.0)
    world.propose(world.leader(), "other", client=2, attempts=7)
    assert world.until(lambda: bool(durable(world, 2)), 2000.0)
    assert not durable(world, 1)
    world.heal()
    world.run(1000.0)
    assert not durable(world, 1)
    assert len({node.order.committed for node in world.nodes.values()}) == 1


def test_one_that_hears_nobody_does_not_raise_the_term():
    """Guards against an end of the leader each time that such a one comes back: pre-votes are not given."""
    world = World(3, "abc").start()
    leader = world.lead()
    deaf = next(name for name in world.names if name != leader)
    term = world.order(leader).term
    world.cut |= {(other, deaf) for other in world.names}  # it is heard by all
    world.run(3000.0)
    world.heal()
    world.run(1000.0)
    assert (world.leader(), world.order(leader).term) == (leader, term)


def test_a_voter_whose_disk_was_emptied_gives_no_vote_until_it_is_taken_in():
    """Its vote could be given twice: it is a majority with one other, though it forgot what it said."""
    world = World(4, "abc").start()
    leader = world.lead()
    lost = next(name for name in world.names if name != leader)
    world.crash(lost)
    world.nodes[lost].disk = Disk(State())
    world.isolate(leader)
    world.start(lost)
    assert not world.until(lambda: world.leader() not in ("", leader), 1200.0)
    world.heal()
    world.lead(6000.0)

    def seated():
        seats = {v.name: v.disk for v in world.order(world.leader()).voters} if world.leader() else {}
        return bool(seats) and seats.get(lost) == world.nodes[lost].disk.meta.disk != f"disk-{lost}"

    assert world.until(seated, 6000.0)


def test_one_that_hears_only_one_other_ends_no_leader():
    """Guards against a vote by one that still hears the leader."""
    world = World(5, "abc").start()
    leader = world.lead()
    far = next(name for name in world.names if name != leader)
    term = world.order(leader).term
    world.cut |= {(leader, far), (far, leader)}
    world.run(3000.0)
    assert (world.leader(), world.order(leader).term) == (leader, term)


@pytest.mark.parametrize("seed", range(20))
def test_no_other_leads_before_the_authority_of_the_last_one_is_over(seed):
    world = World(seed, "abc").start()
    old = world.lead()
    world.run(200.0)
    node = world.nodes[old]
    until = world.order(old).authority_until(node.clock(world.now))
    assert until > node.clock(world.now)
    world.isolate(old)
    assert world.until(lambda: any(world.order(n).role == "leader" for n in world.names if n != old), 3000.0)
    assert node.clock(world.now) >= until
