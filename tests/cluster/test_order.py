"""One order: storms from seeds, and the hard cases by name; each schedule is shown to break without its
guard."""

from __future__ import annotations

import contextlib
import math
import random

import pytest

from fordtrestle.cluster.election import Election
from fordtrestle.cluster.log import PROPOSALS_MOST, Log, State, StateMachine
from fordtrestle.cluster.members import Recovery, init_state, position, recover_state
from fordtrestle.cluster.messages import (
    ENTRIES_MOST,
    AppendEntries,
    AppendEntriesResponse,
    Book,
    Entry,
    InstallSnapshot,
    Noop,
    PreVote,
    PreVoteResponse,
    Proposed,
    RecoveryQuery,
    RecoveryResponse,
    RequestVote,
    RequestVoteResponse,
    Send,
    Snapshot,
    Store,
    Voter,
)
from fordtrestle.cluster.order import NUMBER_MOST, Order, sane
from fordtrestle.cluster.raft_state import OrderConfig, RaftState
from fordtrestle.cluster.rulebook import EMPTY, apply
from tests.cluster.world import CONFIG, DRIFT, STRICT, VOTING, Disk, Storm, World, change

GUARD = pytest.mark.parametrize("guarded", [True, False])


def breaks(guarded):
    """A schedule that the world's checks find fault with, but for the guard."""
    return contextlib.nullcontext() if guarded else pytest.raises(AssertionError, match="seed")


def elect(world, name, unheard=""):
    """Have one member win: the questions of all others are lost. Entries of it to `unheard` are, too, from
    then on."""

    def without(src, send):
        return (src, send.to) == (name, unheard) and isinstance(send.message, AppendEntries)

    def unasked(src, send):
        return src != name and isinstance(send.message, PreVote | RequestVote)

    world.drop = lambda src, send: unasked(src, send) or without(src, send)
    assert world.until(lambda: world.order(name).role == "leader", 2000), f"{name} does not win"
    world.drop = without


def led(seed=1, names="abc", config=CONFIG):
    """A world that `a` leads, with its first entry committed by all."""
    world = World(seed, names, config).start()
    elect(world, "a")
    assert world.until(lambda: all(world.order(name).commit_index >= 2 for name in names), 500)
    return world


def cut(world, one, *others):
    """No link between one member and others."""
    world.cut |= {pair for other in others for pair in ((one, other), (other, one))}


def grown(world, leader, count=20, first=1):
    """Commit rulebooks, each in effect before the next."""
    for number in range(first, first + count):
        world.propose(leader, f"p{number}", number, attempts=number)
        assert world.until(lambda: bool(world.answers[number]), 500), f"{number} is not answered"  # noqa: B023
        world.do(leader, lambda order, now: order.propose_effective(now, order.machine.pending))
    world.run(100)


class Bench:
    """One order, spoken to by hand; `stores` are those under way."""

    def __init__(self, name="a", state=None, config=CONFIG, voters="abc"):
        disks = {other: f"disk-{other}" for other in voters}
        state = state or init_state(disks, name)
        self.order, self.now, self.stores = Order(name, config, state, random.Random(1)), 0.0, []
        self.said = []
        self.call(self.order.tick)

    def call(self, what, *args):
        """What is said meanwhile."""
        actions = what(self.now, *args)
        self.stores += [action for action in actions if isinstance(action, Store)]
        self.said = [action.message for action in actions if isinstance(action, Send)]
        return self.said

    def hear(self, sender, message):
        return self.call(self.order.receive, sender, message)

    def sync(self):
        """All stores are done; all that is said then."""
        said = []
        while self.stores:
            said += self.call(self.order.stored, self.stores.pop(0).token)
        return said

    def known(self):
        """The others remember nothing; the time goes by in which a new one votes for nobody."""
        query = next(message for message in self.sync() if isinstance(message, RecoveryQuery))
        for slot in self.order.voters:
            told = RecoveryResponse(query.disk, 0, 0, query.nonce, slot.disk, 1, 1, 1)
            if slot.name != self.order.name:
                self.hear(slot.name, told)
        self.sync()
        self.now += 2 * self.order.config.election_ms
        return self

    def leads(self):
        """Won by the vote of `b`."""
        self.known().call(self.order.tick)
        for pre in (True, True, False):  # the first one's incarnation has to be remembered
            vote = PreVoteResponse if pre else RequestVoteResponse
            self.hear("b", vote(self.order.term + pre, True, "disk-b", 1))
            self.sync()
        assert self.order.role == "leader"
        return self


# --- storms -----------------------------------------------------------------------------------


@pytest.mark.parametrize("first", range(0, 160, 20))
def test_of_three_in_a_storm_one_order_comes_and_goes_on_after_it(first):
    for seed in range(first, first + 20):
        settles(stormed(seed, "abc", CONFIG))


@pytest.mark.parametrize("first", range(0, 48, 8))
def test_of_five_in_a_storm_one_order_comes_and_goes_on_after_it(first):
    for seed in range(first, first + 8):
        settles(stormed(seed, "abcde", CONFIG))


@pytest.mark.parametrize(("names", "seeds"), [("abc", 100), ("abcde", 30)])
def test_disks_put_back_at_any_time_break_nothing_where_enough_others_are_waited_for(names, seeds):
    for seed in range(seeds):
        stormed(seed, names, STRICT)


def stormed(seed, names, config):
    world = World(seed, names, config).start()
    Storm(world, put_back=config is STRICT).run(1500)
    return world


def settles(world):
    """A leader within bounded time, a proposal committed, all slots filled and level."""
    patience = world.config.alone_ms + 20 * world.config.election_ms
    assert world.until(lambda: bool(world.leader()), patience), f"seed {world.seed}: no leader"

    def agreed():
        return any(answer.state == "durable" for answer in world.answers[-1])

    for _ in range(40):
        if leader := world.leader():
            world.do(leader, lambda order, now: order.propose_effective(now, order.machine.pending))
            world.propose(leader, "last", client=-1)
        if world.until(agreed, 100):
            break
    assert agreed(), f"seed {world.seed}: nothing agreed"

    def level():
        leader = world.leader()
        if not leader:
            return False
        slots, committed = world.order(leader).voters, world.order(leader).commit_index
        return all(
            slot.disk == world.nodes[slot.name].disk.meta.disk
            and world.order(slot.name).commit_index == committed
            for slot in slots
        )

    assert world.until(level, patience), f"seed {world.seed}: not level"


# --- leaders and links ------------------------------------------------------------------------


def test_a_leader_cut_off_from_most_steps_down_though_a_follower_still_answers():
    world = led(names="abcde")
    for other in "cde":
        cut(world, "a", other)
        cut(world, "b", other)
    before = world.now
    world.propose("a", "p", client=1)
    assert world.until(lambda: world.order("a").role != "leader", 500)
    assert world.now - before <= CONFIG.election_ms * (1 + DRIFT) + 10
    assert world.answers[1] == [Proposed("p", "elsewhere")]
    assert world.lead() in "cde"
    assert world.order("b").commit_index == 2


def test_a_leader_that_is_cut_off_confirms_nothing_and_its_entry_is_not_kept():
    world = led()
    world.isolate("a")
    world.propose("a", "alone", client=1)
    assert world.until(lambda: world.leader() not in ("", "a"), 2000)
    grown(world, world.leader(), 2, first=2)
    world.heal()
    world.run(1000)
    assert [answer.state for answer in world.answers[1]] == ["elsewhere"]
    assert "alone" not in world.order("a").machine.proposals
    assert len({world.order(name).commit_index for name in "abc"}) == 1


def test_one_heard_by_none_gives_up_the_lead_and_disturbs_nobody():
    world = led()
    world.cut |= {("a", "b"), ("a", "c")}
    assert world.until(lambda: world.leader() not in ("", "a"), 2000)
    term = world.order(world.leader()).term
    world.run(3000)
    assert world.order(world.leader()).term == term == world.order("a").term


def test_one_that_hears_none_raises_no_term():
    world = led()
    world.cut |= {("a", "c"), ("b", "c")}
    world.run(3000)
    assert (world.leader(), world.order("a").term, world.order("c").term) == ("a", 2, 2)


def test_one_that_hears_only_one_other_raises_no_term():
    world = led()
    cut(world, "a", "c")
    world.run(3000)
    assert (world.leader(), world.order("a").term) == ("a", 2)


@GUARD
def test_who_has_answered_a_heartbeat_votes_for_nobody_while_a_leader_lease_may_hold(monkeypatch, guarded):
    def careless(election, now):
        return election._state.sure and election._state.role != "leader"

    if not guarded:
        monkeypatch.setattr(Election, "free", careless)
    world = led()
    cut(world, "a", "c")
    with breaks(guarded):
        world.run(1000)


@GUARD
def test_who_has_just_started_votes_for_nobody_while_a_leader_lease_may_hold(guarded):
    config = OrderConfig(election_ms=600.0, heartbeat_ms=40.0)
    world = led(config=config)
    cut(world, "a", "c")
    assert world.until(lambda: world.order("c").role == "pre_candidate", 3000)
    world.restart("b")
    if not guarded:
        world.order("b").state.quiet_until = -math.inf
    world.cut.clear()
    # Only what `b` asks and is told of its disk comes from `a` any more.
    world.drop = lambda src, send: src == "a" and isinstance(send.message, AppendEntries)
    with breaks(guarded):
        world.run(config.election_ms / 2)


def test_the_leader_lease_counts_from_when_the_heartbeat_was_sent_and_only_with_an_own_entry_committed():
    world = World(1, "abc").start()
    elect(world, "a")
    node, order = world.nodes["a"], world.order("a")
    for name in "bc":
        world.nodes[name].disk_ms = 400.0  # heartbeats are answered, entries are not
    world.run(60)
    assert order.leader_lease_until(node.clock(world.now)) == -math.inf
    assert min(slot.silent_ms for slot in order.slots(node.clock(world.now)) if slot.name != "a") < 60
    assert world.until(lambda: order.ready, 1000)
    world.isolate("a")
    world.run(1)
    now = node.clock(world.now)
    told = order.slots(now)
    sent = now - min(slot.silent_ms for slot in told if slot.name != "a")
    assert order.leader_lease_until(now) == pytest.approx(
        sent + CONFIG.election_ms * (1 - 1e-3), rel=0, abs=1e-3
    )
    assert order.leader_lease_until(now) < now + CONFIG.election_ms * (1 - 1e-3)


@pytest.mark.parametrize("seed", range(20))
def test_no_other_leads_before_the_leader_lease_of_the_last_one_is_over(seed):
    world = led(seed)
    node = world.nodes["a"]
    until = world.order("a").leader_lease_until(node.clock(world.now))
    assert until > node.clock(world.now)
    world.isolate("a")
    assert world.until(lambda: any(world.order(name).role == "leader" for name in "bc"), 3000)
    assert node.clock(world.now) >= until


def test_late_messages_of_an_old_leader_change_nothing():
    world = led()
    late = []
    world.drop = lambda src, send: src == "a" and (late.append((src, send)) or True)
    for number in range(3):
        world.propose("a", f"old{number}", attempts=50 + number)
    world.run(1000)
    world.drop = lambda src, send: src == "a"
    grown(world, world.lead(), count=3)
    before = [(world.order(name).log.last_index, world.order(name).term) for name in "bc"]
    heard = [world.order(name).state.heard for name in "bc"]
    for src, send in late:
        if isinstance(send.message, AppendEntries | AppendEntriesResponse):
            world.deliver(src, send)
    assert [(world.order(name).log.last_index, world.order(name).term) for name in "bc"] == before
    assert [world.order(name).state.heard for name in "bc"] == heard


# --- disks ------------------------------------------------------------------------------------


def voted(config):
    """`c` has voted for `a` in term 2, which then is cut off; the disk of `c` as it was before, too."""
    world = World(3, "abc", config).start()
    assert world.until(lambda: all(world.order(name).state.sure for name in "abc"), 200)
    before = world.nodes["c"].disk.copy()
    world.isolate("b")
    elect(world, "a")
    assert world.until(lambda: world.order("a").ready, 200)
    assert (world.nodes["c"].disk.meta.term, world.nodes["c"].disk.meta.voted_for) == (2, "a")
    world.crash("c")
    return world, before


@GUARD
def test_a_lost_disk_gives_no_vote_again(monkeypatch, guarded):
    world, _ = voted(CONFIG)
    if not guarded:
        monkeypatch.setattr(RaftState, "counts", lambda state, voter, incarnation: True)
        monkeypatch.setattr(
            "fordtrestle.cluster.messages.Voter.__eq__", lambda one, other: one.name == other.name
        )
    world.nodes["c"].disk = Disk(State())
    world.cut.clear()
    world.isolate("a")
    world.start("c")
    with breaks(guarded):
        world.run(3000)
    assert not guarded or world.leader() == ""


@GUARD
def test_a_disk_put_back_gives_no_vote_before_enough_others_have_told_what_they_know(monkeypatch, guarded):
    world, before = voted(STRICT)
    if not guarded:
        monkeypatch.setattr(Recovery, "enough", lambda recovery, slots, me, alone: True)
    world.nodes["c"].disk = before
    world.cut.clear()
    world.isolate("a")
    world.start("c")
    with breaks(guarded):
        world.run(3000)
    assert not guarded or world.leader() == ""


@GUARD
def test_a_disk_put_back_gives_no_vote_in_a_term_that_another_tells_of(monkeypatch, guarded):
    world, before = voted(STRICT)
    if not guarded:
        monkeypatch.setattr(Recovery, "term", lambda recovery: 0)
        monkeypatch.setattr(Recovery, "floor", lambda recovery, slots: (0, 0))
    world.nodes["c"].disk = before
    world.restart("a")  # it no longer knows what `c` acknowledged
    world.cut.clear()
    world.drop = lambda src, send: "a" in (src, send.to) and isinstance(send.message, VOTING | AppendEntries)
    world.order("a").state.election_at = math.inf
    world.start("c")
    with breaks(guarded):
        world.run(1000)


@GUARD
def test_a_disk_put_back_helps_no_log_that_may_lack_what_it_acknowledged(monkeypatch, guarded):
    world, before = voted(STRICT)
    if not guarded:
        monkeypatch.setattr(Recovery, "floor", lambda recovery, slots: (0, 0))
    world.nodes["c"].disk = before
    world.restart("a")
    world.cut.clear()
    world.drop = lambda src, send: "a" in (src, send.to) and isinstance(send.message, VOTING | AppendEntries)
    world.order("a").state.election_at = math.inf
    world.start("c")
    with breaks(guarded):
        world.run(3000)
    if guarded:
        world.drop = lambda src, send: False
        world.restart("a")
        assert world.lead() in "ac"


@pytest.mark.parametrize("incarnation", ["before its first start", "of the same incarnation"])
def test_a_disk_put_back_is_noticed_and_taken_in_as_another(incarnation):
    world = World(1, "abc")
    copy = world.nodes["c"].disk.copy()
    world.start()
    if incarnation == "of the same incarnation":
        assert world.until(lambda: world.order("c").state.sure, 500)
        copy = world.nodes["c"].disk.copy()
    elect(world, "a")
    grown(world, "a", 3)
    world.crash("c")
    world.nodes["c"].disk = copy
    world.start("c")
    assert world.until(lambda: any("put back" in text for _, text in world.log_lines), 200)
    assert world.until(lambda: world.order("c").votes, 2000)
    disk = world.order("c").meta.disk
    assert disk != "disk-c" and Voter("c", disk) in world.order("a").voters


def test_a_voter_told_unasked_that_its_disk_is_older_stops_voting():
    world = led()
    for _ in range(2):
        world.restart("c")
        world.run(300)
    known = world.order("a").state.incarnations.of("disk-c")
    copy = world.nodes["c"].disk.copy()
    copy.meta = World(1, "abc").nodes["c"].disk.meta  # an early incarnation with the whole log
    world.crash("c")
    world.nodes["c"].disk = copy
    world.drop = lambda src, send: (
        src != "b" and send.to == "c" and not isinstance(send.message, AppendEntries)
    )
    world.start("c")
    world.run(CONFIG.alone_ms + 100)
    assert world.nodes["c"].disk.meta.incarnation <= known and world.order("c").votes
    world.drop = lambda src, send: False
    assert world.until(lambda: world.order("c").meta.disk != "disk-c", 500)


def test_a_disk_that_is_full_at_the_vote_gives_none_and_goes_on_learning():
    world = led()
    said = []
    world.crash("a")
    world.drop = lambda src, send: isinstance(send.message, PreVote | RequestVote) and src != "b"
    assert world.until(lambda: world.order("b").role == "pre_candidate", 2000)
    world.nodes["c"].disk.full = True
    world.drop = lambda src, send: src == "c" and (said.append(send.message) or False)
    world.run(1500)
    assert not [m for m in said if isinstance(m, RequestVoteResponse) and m.vote_granted]
    assert any("the disk of c failed" in text for _, text in world.log_lines) and world.leader() == ""
    world.start("a")
    grown(world, world.lead(), 3)
    assert world.order("c").machine.pending == 3 and not world.order("c").votes
    assert not [m for m in said if isinstance(m, AppendEntriesResponse) and m.disk and m.match_index > 2]


def test_a_leader_whose_disk_fails_steps_down_at_once():
    world = led()
    world.nodes["a"].disk.full = True
    world.propose("a", "p", client=1)
    world.until(lambda: bool(world.answers[1]), 50)
    assert world.answers[1][0].state == "elsewhere" and world.order("a").role == "follower"
    assert world.lead() in "bc"


def test_a_damaged_disk_keeps_what_can_be_read_and_is_another():
    first, gap = init_state({"a": "x"}, "a"), Entry(5, 1, Noop())
    for state in (
        State(first.meta, (*first.entries, gap)),
        State(first.meta, first.entries, damaged=True),
    ):
        order = Order("a", CONFIG, state, random.Random(1))
        order.tick(0.0)
        assert order.log.last_index == 1 and order.meta.disk not in ("", "x") and not order.votes


def test_a_disk_put_back_within_one_incarnation_is_told_so_by_the_leader():
    bench = Bench().leads()
    last = bench.order.log.last_index
    ok = AppendEntriesResponse(2, max(bench.order.state.peers["b"].unanswered), True, last, "disk-b", 1)
    bench.hear("b", ok)
    bench.call(bench.order.tick)
    bench.now += CONFIG.heartbeat_ms
    bench.call(bench.order.tick)
    gone = AppendEntriesResponse(2, max(bench.order.state.peers["b"].unanswered), False, 1, "disk-b", 1)
    said = bench.hear("b", gone)
    told = [message for message in said if isinstance(message, RecoveryResponse)]
    assert [(message.disk, message.acknowledged) for message in told] == [("disk-b", last)]


def test_one_without_a_disk_may_have_forgotten_what_it_had():
    bench = Bench().leads()
    peer = bench.order.state.peers["c"]
    bench.hear("c", AppendEntriesResponse(2, max(peer.unanswered), True, 2, "", 0))
    assert peer.match_index == 2
    bench.now += CONFIG.heartbeat_ms
    bench.call(bench.order.tick)
    said = bench.hear("c", AppendEntriesResponse(2, max(peer.unanswered), False, 0, "", 0))
    sent = [message for message in said if isinstance(message, AppendEntries)]
    assert [entry.index for message in sent for entry in message.entries] == [1, 2]


def test_an_incarnation_that_is_over_gets_no_vote_and_gives_none():
    bench = Bench().leads()
    bench.order.state.counts(Voter("c", "disk-c"), 3)
    bench.call(bench.order.tick)
    bench.sync()
    counts = [bench.order.state.counts(Voter("c", "disk-c"), incarnation) for incarnation in (2, 3)]
    assert counts == [False, True]
    bench.hear("c", AppendEntriesResponse(5, 1, False, 0, "", 0))
    bench.sync()
    bench.now += 3 * CONFIG.election_ms
    said = bench.hear("c", RequestVote(6, 99, 5, "disk-c", 2))
    assert [type(message) for message in said] == [RecoveryResponse] and said[0].incarnation == 3


def test_who_goes_by_a_leader_votes_for_no_other_in_its_term():
    bench = Bench().known()
    bench.hear("b", AppendEntries(2, 1, 1, 1, (), 1))
    bench.sync()
    bench.now += 2 * CONFIG.election_ms
    bench.hear("c", RequestVote(2, 9, 1, "disk-c", 1))
    votes = [message for message in bench.sync() + bench.said if isinstance(message, RequestVoteResponse)]
    assert [vote.vote_granted for vote in votes] == [False]


def test_entries_of_earlier_terms_are_committed_only_with_one_of_the_own():
    """Figure 8 of Ongaro and Ousterhout: they may still be replaced."""
    first = init_state({name: f"disk-{name}" for name in "abc"}, "a")
    bench = Bench(state=State(first.meta, (*first.entries, Entry(2, 1, Noop())))).leads()
    peer = bench.order.state.peers["b"]
    bench.hear("b", AppendEntriesResponse(2, min(peer.unanswered), True, 2, "disk-b", 1))
    assert peer.match_index == 2 and bench.order.commit_index == 0
    bench.hear("b", AppendEntriesResponse(2, max(peer.unanswered), True, 3, "disk-b", 1))
    assert bench.order.commit_index == 3


def test_a_second_leader_of_one_term_is_told_of_and_not_followed():
    bench = Bench().leads()
    actions = bench.order.receive(bench.now, "c", AppendEntries(2, 1, 2, 2, (), 2))
    assert bench.order.role == "leader" and "two of one name" in str(actions)


def test_what_only_a_dead_one_had_is_waited_for_no_longer_than_stated():
    world = led()
    world.isolate("a")
    world.propose("a", "alone")  # with no other
    world.run(20)
    world.crash("c")
    world.cut.clear()
    world.drop = lambda src, send: src == "a" and not isinstance(send.message, RecoveryResponse)
    world.start("c")
    assert world.until(lambda: world.order("c").state.sure, 100)
    world.crash("a")
    assert world.lead(CONFIG.alone_ms + 10 * CONFIG.election_ms) in "bc"


def test_heartbeats_are_answered_though_a_disk_is_slow():
    world = led()
    for name in "bc":
        world.nodes[name].disk_ms = 1000.0
    for number in range(20):
        world.propose("a", f"p{number}", attempts=number + 1)
        world.run(40)
    assert world.order("a").role == "leader" and world.order("a").term == 2


# --- proposals --------------------------------------------------------------------------------


def test_a_proposal_answered_to_nobody_has_its_number_when_asked_for_again():
    world = led()
    for _ in range(2):
        world.propose("a", "p", client=1)
    assert world.order("a").log.book.number == 1
    assert world.until(lambda: world.order("b").log.book.number == 1, 50)
    world.crash("a")
    assert not world.answers[1]
    leader = world.lead()
    world.propose(leader, "p", client=2, attempts=9)
    world.propose(leader, "q", client=3)
    world.run(200)
    assert [world.answers[client][0].number for client in (2, 3)] == [1, 2]
    follower = "c" if leader == "b" else "b"
    world.propose(follower, "p", client=4)
    assert world.answers[4][0].number == 1


def test_numbers_and_ids_outlive_compaction_and_restarts():
    world = led()
    grown(world, "a", 30)
    assert world.order("a").log.base > 10 and len(world.nodes["b"].disk.entries) <= 2 * CONFIG.entries_most
    world.restart("a", "b", "c")
    leader = world.lead()
    world.propose(leader, "p1", client=100)
    assert world.answers[100][0].number == 1
    assert [book.number for book in world.order(leader).machine.books] == [30]


def test_books_follow_one_another_by_number_and_parent():
    world = led()
    for number in range(1, 4):
        world.propose("a", f"p{number}", number, attempts=number)
    world.run(200)
    books = world.order("c").machine.books
    assert [book.number for book in books] == [1, 2, 3]
    assert [book.parent for book in books] == ["", books[0].digest, books[1].digest]


def test_what_can_not_be_taken_is_refused_with_why():
    world = led()
    world.propose("a", "p1", 1)
    world.propose("a", "bad", 2, attempts=0)
    world.propose("a", "late", 3, base=7)
    world.propose("a", "", 4)
    world.propose("b", "p2", 5)
    told = [world.answers[client][0] for client in (2, 3, 4, 5)]
    assert [answer.state for answer in told] == ["refused", "refused", "refused", "elsewhere"]
    assert "attempts_most" in told[0].why and told[1].why == "made on number 7, and the last is 1"
    assert told[3].leader == "a"


def test_what_waits_is_bounded():
    world = led()
    world.isolate("a")
    for number in range(CONFIG.books_most + 1):
        world.propose("a", f"p{number}", number, attempts=number + 1)
    assert world.answers[CONFIG.books_most][0].why == f"{CONFIG.books_most} rulebooks wait to take effect"
    small = OrderConfig(election_ms=150.0, heartbeat_ms=40.0, waiting_most=2, stores_most=3)
    world = led(config=small)
    world.nodes["a"].disk_ms = 1e6
    for number in range(4):
        world.propose("a", f"p{number}", number, attempts=number + 1)
    assert [world.answers[n][0].state for n in (2, 3)] == ["busy", "busy"]


def test_only_what_is_committed_takes_effect_and_only_upwards():
    world = led()
    world.propose("a", "p", 1)
    last = world.order("a").log.last_index
    world.do("a", lambda order, now: order.propose_effective(now, 1))
    assert world.order("a").log.last_index == last
    world.run(100)
    for number in (2, 1, 1, 0):
        world.do("a", lambda order, now, number=number: order.propose_effective(now, number))
    world.run(100)
    assert world.order("c").machine.effective == 1 and world.order("a").log.last_index == last + 1


def test_ids_are_remembered_up_to_a_bound():
    machine = StateMachine()
    for number in range(1, PROPOSALS_MOST + 3):
        machine.apply(Entry(number, 1, Book(EMPTY, f"p{number}")))
        machine.books = ()
    assert len(machine.proposals) == PROPOSALS_MOST and "p2" not in machine.proposals
    assert StateMachine.of(machine.snapshot()).proposals == machine.proposals


# --- followers that lack entries --------------------------------------------------------------


def test_one_far_behind_gets_the_snapshot_in_place_of_what_it_had_alone():
    world = led()
    cut(world, "a", "b", "c")
    for number in range(5):
        world.propose("a", f"lost{number}", attempts=60 + number)
    world.run(500)
    grown(world, world.lead(), 20)
    installs = []
    world.drop = lambda src, send: (
        send.to == "a" and isinstance(send.message, InstallSnapshot) and installs.append(1)
    )
    world.cut.clear()
    assert world.until(lambda: world.nodes["a"].disk.snapshot is not None, 1000)
    world.restart("a")
    assert len(installs) <= 2
    assert all(entry.term > 2 for entry in world.nodes["a"].disk.entries)
    assert world.until(lambda: world.order("a").commit_index == world.order("b").commit_index, 1000)


@pytest.mark.parametrize("same", [True, False])
def test_a_snapshot_cuts_the_log_only_where_that_is_another(same):
    bench = Bench().known()
    bench.hear("b", AppendEntries(2, 1, 1, 1, tuple(Entry(index, 2, Noop()) for index in range(2, 7)), 1))
    bench.sync()
    snapshot = Snapshot(4, 2 if same else 3, bench.order.voters, 0, ())
    bench.hear("b", InstallSnapshot(4, 2, snapshot))
    assert bench.stores[-1].cut is not same
    assert bench.order.log.last_index == (6 if same else 4)
    assert bench.order.state.out.durable_index == (6 if same else 1)
    answers = [message for message in bench.sync() if isinstance(message, AppendEntriesResponse)]
    assert [answer.match_index for answer in answers] == [4]


def test_what_was_being_stored_of_a_log_that_is_another_now_is_not_acknowledged():
    bench = Bench().known()
    bench.hear("b", AppendEntries(2, 1, 1, 1, tuple(Entry(index, 2, Noop()) for index in range(2, 6)), 1))
    bench.hear("c", AppendEntries(3, 1, 2, 2, (Entry(3, 3, Noop()), Entry(4, 3, Noop())), 1))
    first, _ = bench.stores
    bench.call(bench.order.stored, first.token)
    assert bench.order.state.out.durable_index == 2


def test_stores_under_way_are_bounded():
    bench = Bench(config=OrderConfig(stores_most=3)).known()
    for index in range(2, 9):
        before = 1 if index == 2 else 2
        bench.hear("b", AppendEntries(2, index, index - 1, before, (Entry(index, 2, Noop()),), 1))
    bench.hear("c", AppendEntries(9, 1, 1, 1, (), 1))
    assert len(bench.stores) == 3 and bench.order.term == 2


def test_messages_are_bounded_and_refusals_do_not_multiply():
    world = led()
    order = world.order("a")
    books = [apply(EMPTY, change(n), 1) for n in (1, 2)]
    for index in range(600):
        body = Book(books[0]) if index % 3 == 0 else Noop()
        order.log.append(Entry(order.log.last_index + 1, 2, body))
    peer = order.state.peers["c"]
    sent = []
    order.state.out._meta_token = 0
    for _ in range(5):
        now = world.nodes["a"].clock(world.now)
        sequence = max(peer.unanswered, default=1)
        refusal = AppendEntriesResponse(2, sequence, False, 2, "disk-c", peer.incarnation)
        actions = order.receive(now, "c", refusal)
        sent.append([action.message for action in actions if isinstance(action, Send) and action.to == "c"])
        peer.unanswered.setdefault(refusal.sequence, now)
    batches = [message for message in sent[0] if isinstance(message, AppendEntries) and message.entries]
    assert sum(len(message.entries) for message in batches) <= CONFIG.window + ENTRIES_MOST
    for message in batches:
        assert len(message.entries) <= ENTRIES_MOST
        assert sum(isinstance(entry.body, Book) for entry in message.entries) <= 4
    again = AppendEntriesResponse(2, batches[0].sequence - 1, False, 2, "disk-c", peer.incarnation)
    assert not [
        a for a in order.receive(world.nodes["a"].clock(world.now), "c", again) if isinstance(a, Send)
    ]


def test_committed_entries_are_not_changed_by_whoever_leads():
    bench = Bench().known()
    bench.hear("b", AppendEntries(2, 1, 1, 1, (Entry(2, 2, Noop()),), 2))
    told = bench.order.receive(bench.now, "b", AppendEntries(3, 1, 1, 1, (Entry(2, 3, Noop()),), 2))
    assert bench.order.log.term_at(2) == 2 and "would change what is committed" in str(told)


@pytest.mark.parametrize(
    "message",
    [
        AppendEntries(2, 1, 1, 1, (Entry(3, 2, Noop()),), 0),
        AppendEntries(2, 1, 1, 2, (Entry(2, 1, Noop()),), 0),
        AppendEntries(2, 1, 1, 1, (Entry(2, 3, Noop()),), 0),
        AppendEntries(2, 1, -1, 1, (), 0),
        AppendEntries(2, 1, 1, 1, tuple(Entry(index, 2, Noop()) for index in range(2, ENTRIES_MOST + 3)), 0),
        AppendEntries(NUMBER_MOST + 1, 1, 1, 1, (), 0),
        RequestVote(2, -1, 1, "x", 1),
        InstallSnapshot(2, 1, Snapshot(0, 1, (), 0, ())),
        InstallSnapshot(2, 1, Snapshot(4, 3, (), 0, ())),
    ],
)
def test_messages_that_make_no_sense_are_dropped(message):
    order = Order("a", CONFIG, init_state({"a": "x", "b": "y"}, "a"), random.Random(1))
    order.tick(0.0)
    assert not sane(message) and order.receive(1.0, "b", message) == [] and order.term == 1


def test_a_log_is_cut_with_what_it_put_in_force():
    log = Log(None, init_state({"a": "x", "b": "y"}, "a").entries)
    log.append(Entry(2, 2, Book(apply(EMPTY, change(2), 1), "p")))
    log.cut(2)
    assert (log.last_index, log.book.number, log.voters_index) == (1, 0, 1)


# --- changes of voters ------------------------------------------------------------------------


@GUARD
def test_voters_change_only_under_a_leader_that_has_committed_an_entry_of_its_term(monkeypatch, guarded):
    world = led(names="abcd")
    cut(world, "a", "b", "c", "d")
    world.do("a", lambda order, now: order.remove_voter(now, "d"))
    assert len(world.order("a").voters) == 3  # known to none but itself
    elect(world, "c", unheard="b")
    if not guarded:
        monkeypatch.setattr(RaftState, "ready", property(lambda state: state.role == "leader"))
    assert world.until(lambda: world.order("d").term == 3 and world.order("d").log.last_term == 3, 200)
    world.run(20)
    world.do("c", lambda order, now: order.remove_voter(now, "a", client=9))
    if guarded:
        assert world.answers[9][0].why == "the leader has not committed an entry of its term"
        return
    assert world.until(lambda: world.order("c").commit_index > 3, 200)
    world.cut.clear()
    for one in "cd":
        cut(world, one, "a", "b")
    with breaks(guarded):
        world.run(3000)


def test_one_change_at_a_time_and_none_that_leaves_no_majority():
    world = led(names="abcd")
    world.do("a", lambda order, now: order.remove_voter(now, "d", client=1))
    world.do("a", lambda order, now: order.remove_voter(now, "c", client=2))
    assert world.answers[2][0].why == "another change of voters is under way"
    assert world.until(lambda: bool(world.answers[1]), 200) and world.answers[1][0].state == "durable"
    world.isolate("b")
    world.run(CONFIG.election_ms + 5)
    world.do("a", lambda order, now: order.remove_voter(now, "c", client=3))
    assert world.answers[3][0].why == "too few of the voters after it answer"


def test_a_leader_that_is_away_leads_until_that_is_committed():
    world = led()
    world.do("a", lambda order, now: order.replace_voter(now, "a", "a2"))
    assert world.until(lambda: world.order("a").role == "follower", 300)
    assert any("has no vote any more" in text for _, text in world.log_lines)
    assert world.lead() in "bc" and world.order("b").voters[-1] == Voter("a2", "")


def test_one_whose_slot_is_being_taken_leads_on_where_no_other_has_that_entry():
    world = led(names="ab")
    cut(world, "a", "b")
    world.do("a", lambda order, now: order.remove_voter(now, "a"))
    assert world.until(lambda: len(world.nodes["a"].disk.entries) == 3, 50)
    world.restart("a")
    world.cut.clear()
    assert world.until(lambda: world.leader() == "b", 3000) and len(world.order("b").voters) == 1


def test_a_lost_majority_is_recovered_from_the_furthest_survivor():
    world = led(names="abcde")
    grown(world, "a", 5)
    world.crash(*"abcde")
    disks = [world.nodes[name].disk for name in "de"]
    state = max((disk.state() for disk in disks), key=position)
    recovered = recover_state(state, "d", "new-d", "abcde")
    for name in "abce":
        world.nodes[name].disk = Disk(State())
    world.nodes["d"].disk = Disk(recovered)
    world._leaders.clear()
    world._chain = {index: entry for index, entry in world._chain.items() if index <= position(state)[1]}
    world.start()
    assert world.lead() == "d" and world.order("d").term > 1000
    assert world.until(lambda: all(slot.disk for slot in world.order("d").voters), 5000)
    assert world.until(lambda: world.order("b").machine.pending == 5, 500)
    world.propose("d", "p5", client=50)
    assert world.answers[50][0].number == 5
