"""Orders on a simulated network with simulated disks and clocks, from a seed, and checks of each step.

True time is that of the world; each member has a clock of its own rate and reading. After each call of a
member the checks of `_check` are made; a breach is an `AssertionError` with the seed.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Any

from fordtrestle.cluster.log import State
from fordtrestle.cluster.members import init_state
from fordtrestle.cluster.messages import (
    Action,
    Answer,
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshot,
    LogLine,
    PreVote,
    PreVoteResponse,
    Proposed,
    RequestVote,
    RequestVoteResponse,
    Send,
    Snapshot,
    Store,
    Voters,
)
from fordtrestle.cluster.order import Order
from fordtrestle.cluster.raft_state import OrderConfig
from fordtrestle.cluster.rulebook import Change, ClassRules, ServiceRules

CONFIG = OrderConfig(election_ms=150.0, heartbeat_ms=40.0, alone_ms=1500.0, entries_most=12, books_most=8)
STRICT = OrderConfig(election_ms=150.0, heartbeat_ms=40.0, alone_ms=math.inf, entries_most=12, books_most=8)
VOTING = PreVote | PreVoteResponse | RequestVote | RequestVoteResponse
DRIFT = 1e-3  # between any two clocks


def change(attempts: int) -> Change:
    """A change that a rulebook of its own comes of."""
    rules = ServiceRules(
        classes=(ClassRules("c", "safe", aim_ms=10.0, deadline_ms=100.0),), attempts_most=attempts
    )
    return Change(services={"s": rules})


class Disk:
    """What is durable on one member's disk. `full`: every store fails."""

    def __init__(self, state: State) -> None:
        self.meta, self.snapshot = state.meta, state.snapshot
        self.entries = list(state.entries)
        self.damaged = False
        self.full = False

    def copy(self) -> Disk:
        """The same, to be put back later."""
        other = Disk(State(self.meta, tuple(self.entries), self.snapshot))
        other.damaged = self.damaged
        return other

    def state(self) -> State:
        """What a member starts with."""
        return State(self.meta, tuple(self.entries), self.snapshot, self.damaged)

    def apply(self, store: Store, parts: int = 3) -> None:
        """Write a store, or its first parts only, as a crash may leave it."""
        if parts > 0 and store.meta is not None:
            self.meta = store.meta
        if parts > 1 and store.snapshot is not None:
            self.snapshot = store.snapshot
            if store.cut:
                self.entries = []
            self.entries = [entry for entry in self.entries if entry.index > store.snapshot.index]
        if parts > 2 and store.entries:
            first = store.entries[0].index
            self.entries = [entry for entry in self.entries if entry.index < first] + list(store.entries)

    def has(self, index: int) -> bool:
        """Whether the log up to an index is here."""
        base = 0 if self.snapshot is None else self.snapshot.index
        return index <= base + len(self.entries)


class Node:
    """One member, up or down."""

    def __init__(self, name: str, disk: Disk, rate: float, offset: float) -> None:
        self.name, self.disk, self.rate, self.offset = name, disk, rate, offset
        self.order: Order | None = None
        self.stores: list[Store] = []
        self.disk_ms = 2.0
        self.run = 0  # which of its incarnations: what an earlier one left under way is void
        self.due = 0  # which tick is the one that counts
        self.last_applied = 0

    def clock(self, true_ms: float) -> float:
        """Its reading at a true time."""
        return self.offset + self.rate * true_ms

    def true(self, clock_ms: float) -> float:
        """When its clock shows that."""
        return (clock_ms - self.offset) / self.rate


class World:
    """Members by name, what is between them, and what has been seen to hold."""

    def __init__(
        self, seed: int, names: Sequence[str], config: OrderConfig = CONFIG, empty: Sequence[str] = ()
    ) -> None:
        self.seed, self.names, self.config = seed, tuple(names), config
        self.rng = random.Random(seed)
        self.now = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.loss = self.double = self.crash_share = 0.0
        self.delay_ms = (1.0, 10.0)
        self.drop: Callable[[str, Send], bool] = lambda src, send: False
        self.log_lines: list[tuple[str, str]] = []
        self.answers: dict[int, list[Proposed]] = defaultdict(list)
        self.sent: list[tuple[str, Send]] = []  # the last ones
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._leaders: dict[int, tuple[str, int]] = {}
        self._votes: dict[tuple[str, int], str] = {}
        self._chain: dict[int, Entry] = {}
        self._results: dict[int, Any] = {}
        disks = {name: f"disk-{name}" for name in names if name not in empty}
        disks |= dict.fromkeys(empty, "")
        self.nodes: dict[str, Node] = {}
        for name in names:
            state = State() if name in empty else init_state(disks, name)
            rate, offset = 1.0 + self.rng.uniform(0.0, DRIFT), self.rng.uniform(-1e6, 1e6)
            self.nodes[name] = Node(name, Disk(state), rate, offset)

    # --- what is done to it -------------------------------------------------------------------

    def start(self, *names: str) -> World:
        """Begin an incarnation of each, of all by default."""
        for name in names or self.names:
            node = self.nodes[name]
            assert node.order is None, name
            node.run += 1
            node.stores = []
            rng = random.Random(self.rng.getrandbits(64))
            node.order = Order(name, self.config, node.disk.state(), rng)
            node.last_applied = node.order.machine.last_applied
            self._call(node, node.order.tick)
        return self

    def crash(self, *names: str) -> None:
        """End an incarnation of each: what is not on its disk is gone."""
        for name in names:
            node = self.nodes[name]
            node.order, node.stores = None, []
            node.run += 1

    def restart(self, *names: str) -> None:
        """End an incarnation and begin another."""
        self.crash(*names)
        self.start(*names)

    def order(self, name: str) -> Order:
        """A member that is up."""
        order = self.nodes[name].order
        assert order is not None, f"{name} is down"
        return order

    def isolate(self, name: str) -> None:
        """Cut a member off in both directions."""
        self.cut |= {pair for other in self.names for pair in ((name, other), (other, name))}

    def heal(self) -> None:
        """All links whole, all disks sound, all members up; those with a failed disk start again."""
        self.cut.clear()
        self.calm()
        for node in self.nodes.values():
            node.disk.full, node.disk_ms = False, 2.0
            if node.order is not None and node.order.state.out.failed:
                self.crash(node.name)
            if node.order is None:
                self.start(node.name)

    def calm(self) -> None:
        """Nothing lost, doubled or late any more; no crashes within stores."""
        self.loss = self.double = self.crash_share = 0.0
        self.delay_ms = (1.0, 10.0)

    def propose(self, name: str, proposal: str, client: int = 0, attempts: int = 2, base: int = 0) -> None:
        """Ask a member for a rulebook."""
        node, order = self.nodes[name], self.order(name)
        self._call(node, lambda now: order.propose(now, change(attempts), proposal, base, client))

    def do(self, name: str, what: Callable[[Order, float], list[Action]]) -> None:
        """Any other call of a member."""
        order = self.order(name)
        self._call(self.nodes[name], lambda now: what(order, now))

    def deliver(self, src: str, send: Send) -> None:
        """A message comes, whatever the links say."""
        node = self.nodes[send.to]
        if node.order is not None:
            order = node.order
            self._call(node, lambda now: order.receive(now, src, send.message))

    # --- time ---------------------------------------------------------------------------------

    def at(self, true_ms: float, what: Callable[[], None]) -> None:
        """Do something at a true time."""
        heapq.heappush(self._heap, (true_ms, next(self._order), what))

    def run(self, ms: float) -> None:
        """Let time pass."""
        self.until(lambda: False, ms)

    def until(self, holds: Callable[[], bool], ms: float) -> bool:
        """Let time pass until something holds; whether it does by then."""
        end = self.now + ms
        while not holds():
            if not self._heap or self._heap[0][0] > end:
                self.now = end
                return holds()
            self.now, _, what = heapq.heappop(self._heap)
            what()
        return True

    def leader(self) -> str:
        """The one that leads in the highest term and has committed something in it; empty for none."""
        up = [n.order for n in self.nodes.values() if n.order is not None and n.order.ready]
        return max(up, key=lambda order: order.term).name if up else ""

    def lead(self, ms: float = 3000.0) -> str:
        """Wait for a leader."""
        assert self.until(lambda: bool(self.leader()), ms), f"seed {self.seed}: no leader"
        return self.leader()

    # --- what happens -------------------------------------------------------------------------

    def _call(self, node: Node, what: Callable[[float], list[Action]]) -> None:
        order = node.order
        assert order is not None
        for action in what(node.clock(self.now)):
            if isinstance(action, Store):
                node.stores.append(action)
                if len(node.stores) == 1:
                    self._write(node)
            elif isinstance(action, Send):
                self._check_promise(node, action)
                self._send(node.name, action)
            elif isinstance(action, Answer):
                assert isinstance(action.message, Proposed)
                self.answers[action.client].append(action.message)
            elif isinstance(action, LogLine):
                self.log_lines.append((node.name, action.text))
        self._check(node, order)
        self._wake(node, order)

    def _wake(self, node: Node, order: Order) -> None:
        node.due += 1
        due, run = node.due, node.run

        def tick() -> None:
            if node.run == run and node.due == due:
                self._call(node, order.tick)

        when = node.true(order.next_ms())
        if when < math.inf:
            self.at(max(when, self.now + 1e-6), tick)

    def _write(self, node: Node) -> None:
        """The oldest store is under way: a crash may come before it, within it, or after it."""
        run = node.run

        def written() -> None:
            if node.run != run:
                return
            order = node.order
            assert order is not None
            store = node.stores[0]
            if node.disk.full:
                self._call(node, lambda now: order.failed(now, store.token))
                return
            if self.rng.random() < self.crash_share:
                node.disk.apply(store, self.rng.randrange(4))
                self.crash(node.name)
                return
            node.disk.apply(store)
            self.at(self.now + self.rng.uniform(0.0, node.disk_ms), told)

        def told() -> None:
            if node.run != run:
                return
            order = node.order
            assert order is not None
            store = node.stores.pop(0)
            if node.stores:
                self._write(node)
            self._call(node, lambda now: order.stored(now, store.token))

        self.at(self.now + self.rng.uniform(0.0, node.disk_ms), written)

    def _send(self, src: str, send: Send) -> None:
        self.sent = [*self.sent[-50:], (src, send)] if len(self.sent) > 200 else [*self.sent, (src, send)]
        if send.to not in self.nodes or (src, send.to) in self.cut or self.drop(src, send):
            return
        times = (self.rng.random() >= self.loss) + (self.rng.random() < self.double)
        for _ in range(times):
            self.at(self.now + self.rng.uniform(*self.delay_ms), lambda: self._arrive(src, send))

    def _arrive(self, src: str, send: Send) -> None:
        if (src, send.to) not in self.cut:
            self.deliver(src, send)

    # --- what must hold -----------------------------------------------------------------------

    def _check_promise(self, node: Node, send: Send) -> None:
        """Nothing is said before that on which it rests is durable; no disk votes twice in a term."""
        disk, message = node.disk, send.message
        if isinstance(message, VOTING | AppendEntriesResponse) and message.disk:
            stored = disk.meta.disk, disk.meta.incarnation
            assert stored == (message.disk, message.incarnation), f"seed {self.seed}"
        if isinstance(message, AppendEntries | InstallSnapshot):
            assert disk.meta.term >= message.term, f"seed {self.seed}: leads in a term not stored"
        if isinstance(message, AppendEntriesResponse) and message.disk:
            assert disk.meta.term >= message.term, f"seed {self.seed}: term not stored"
            durable = not message.success or disk.has(message.match_index)
            assert durable, f"seed {self.seed}: not stored: {message}"
        if isinstance(message, RequestVote):
            assert disk.meta.term >= message.term, f"seed {self.seed}: own vote not stored"
        if isinstance(message, RequestVoteResponse) and message.vote_granted:
            vote = (disk.meta.term, disk.meta.voted_for)
            assert vote == (message.term, send.to) or vote[0] > message.term, f"seed {self.seed}: {vote}"
            self._check_vote(message.disk, message.term, send.to)

    def _check_vote(self, disk: str, term: int, to: str) -> None:
        before = self._votes.setdefault((disk, term), to)
        assert before == to, f"seed {self.seed}: {disk} votes for {before} and {to} in term {term}"

    def _check(self, node: Node, order: Order) -> None:
        where = f"seed {self.seed} at {self.now:.1f}: {node.name}"
        if order.role == "leader":
            new = order.term not in self._leaders
            led = self._leaders.setdefault(order.term, (node.name, node.run))
            assert led == (node.name, node.run), f"{where}: second leader of term {order.term} after {led}"
            open_changes = [
                entry
                for entry in order.log.entries
                if entry.index not in self._chain and isinstance(entry.body, Voters)
            ]
            assert len(open_changes) <= 1, f"{where}: two changes of voters at once: {open_changes}"
            if new:
                self._check_vote(order.meta.disk, order.term, order.name)
                self._check_complete(order, where)
        self._check_committed(node, order, where)
        self._check_leader_lease(where)

    def _check_complete(self, order: Order, where: str) -> None:
        """Every leader has all that was committed before."""
        for index, entry in self._chain.items():
            if index >= order.log.base:
                assert order.log.term_at(index) == entry.term, f"{where}: leads without entry {index}"

    def _check_committed(self, node: Node, order: Order, where: str) -> None:
        """What is committed is the same everywhere and for good, and comes to the same."""
        index = max(node.last_applied, order.log.base)
        while index < order.commit_index:
            index += 1
            entry = order.log.at(index)
            assert self._chain.setdefault(index, entry) == entry, f"{where}: another entry {index}"
        if node.last_applied != order.machine.last_applied:
            node.last_applied = order.machine.last_applied
            told: Snapshot = order.machine.snapshot()
            assert self._results.setdefault(told.index, told) == told, (
                f"{where}: other result of {told.index}"
            )
        assert order.machine.last_applied == order.commit_index, where

    def _check_leader_lease(self, where: str) -> None:
        """While one may believe that it is the only leader, none leads in a higher term."""
        leaders = [n for n in self.nodes.values() if n.order is not None and n.order.role == "leader"]
        if len(leaders) < 2:
            return
        terms = {node.name: node.order.term for node in leaders if node.order is not None}
        for node in leaders:
            assert node.order is not None
            clock = node.clock(self.now)
            if terms[node.name] < max(terms.values()):
                assert node.order.leader_lease_until(clock) <= clock, (
                    f"{where}: leader lease of {node.name}: {terms}"
                )


def entry_of(world: World, index: int) -> Entry:
    """What was committed at an index."""
    return world._chain[index]


class Storm:
    """Faults drawn from the world's seed: of links, processes and disks, overlapping, each for a while.

    A disk is emptied, fills up or is put back only while all slots are held by sound disks that are level, so
    that no more is lost than the design bears. With `put_back` one is put back at any time, else only where
    the others can be asked."""

    def __init__(self, world: World, put_back: bool) -> None:
        self.world, self.rng, self.any_time = world, world.rng, put_back
        self.copies = {name: [node.disk.copy()] for name, node in world.nodes.items()}
        self.asked = 0
        self.doubted: set[str] = set()  # whose disks were lost or put back, and may not be noticed yet
        self.acts: list[Callable[[], None]] = [
            *(self.cut, self.cut, self.isolate, self.links, self.crash, self.crash, self.slow, self.copy),
            *(self.propose, self.propose, self.propose, self.burst, self.effective, self.effective),
            *(self.empty, self.full, self.put_back, self.all_down, self.slots, self.slots),
        ]

    def run(self, ms: float) -> None:
        """Let it rage so long, then heal all."""
        end = self.world.now + ms
        while self.world.now < end:
            self.rng.choice(self.acts)()
            self.world.run(self.rng.expovariate(1 / 30.0))
        self.world.heal()

    def one(self) -> str:
        """Any member."""
        return self.rng.choice(self.world.names)

    def later(self, what: Callable[[], None]) -> None:
        """End a fault."""
        self.world.at(self.world.now + self.rng.expovariate(1 / 200.0), what)

    def cut(self) -> None:
        """One direction of a link."""
        pair = (self.one(), self.one())
        self.world.cut.add(pair)
        self.later(lambda: self.world.cut.discard(pair))

    def isolate(self) -> None:
        """All links of one member."""
        self.world.isolate(self.one())
        self.later(self.world.cut.clear)

    def links(self) -> None:
        """Loss, doubled and late messages; crashes within stores."""
        world = self.world
        world.loss, world.double = self.rng.choice([0.0, 0.1, 0.4]), self.rng.choice([0.0, 0.3])
        world.delay_ms = self.rng.choice([(1.0, 10.0), (1.0, 120.0), (20.0, 60.0)])
        world.crash_share = self.rng.choice([0.0, 0.02, 0.1])
        self.later(world.calm)

    def crash(self) -> None:
        """One process."""
        self.world.crash(self.one())
        self.later(self.start)

    def all_down(self) -> None:
        """All at once, seldom."""
        if self.rng.random() < 0.2:
            self.world.crash(*self.world.names)
            self.later(self.start)

    def start(self) -> None:
        """All that are down."""
        for name in self.world.names:
            if self.world.nodes[name].order is None:
                self.world.start(name)

    def slow(self) -> None:
        """One disk."""
        node = self.world.nodes[self.one()]
        node.disk_ms = self.rng.choice([40.0, 300.0])
        self.later(lambda: setattr(node, "disk_ms", 2.0))

    def propose(self) -> None:
        """Something new, or once more."""
        up = [name for name, node in self.world.nodes.items() if node.order is not None]
        if up:
            self.asked += 1
            name = self.world.leader() if self.rng.random() < 0.8 else ""
            number = self.rng.randrange(max(1, self.asked - 3), self.asked + 1)
            self.world.propose(name or self.rng.choice(up), f"p{number}", number, attempts=1 + number % 90)

    def burst(self) -> None:
        """Many proposals."""
        for _ in range(self.rng.randrange(12)):
            self.propose()

    def effective(self) -> None:
        """What is pending takes effect."""
        if name := self.world.leader():
            pending = self.world.order(name).machine.pending
            self.world.do(name, lambda order, now: order.propose_effective(now, pending))

    def slots(self) -> None:
        """A name loses its slot, or gets one; not while a disk may be lost, which are two failures."""
        leader, name, other = self.world.leader(), self.one(), self.one()
        self.doubted = {name for name in self.doubted if not self.level(name)}
        if not leader or self.doubted:
            return
        named = {slot.name for slot in self.world.order(leader).voters}
        if name not in named:
            self.world.do(leader, lambda order, now: order.add_voter(now, name))
        elif other not in named:
            self.world.do(leader, lambda order, now: order.replace_voter(now, name, other))
        elif len(named) > 2 and self.rng.random() < 0.3:
            self.world.do(leader, lambda order, now: order.remove_voter(now, name))

    def spare(self, name: str) -> bool:
        """Whether a disk may be lost: of three slots or more, all held, none in doubt, none failed."""
        nodes = self.world.nodes
        self.doubted = {name for name in self.doubted if not self.level(name)}
        orders = [node.order for node in nodes.values() if node.order is not None]
        if not orders or self.doubted or any(node.disk.full for node in nodes.values()):
            return False
        slots = orders[0].voters
        agree = [order for order in orders if order.voters == slots]
        known = [order for order in agree if order.log.voters_index <= order.commit_index]
        names = {slot.name for slot in slots}
        held = {(other, node.disk.meta.disk) for other, node in nodes.items()}
        whole = len(names) > 2 and {(slot.name, slot.disk) for slot in slots} <= held
        return whole and name in names <= {order.name for order in known}

    def level(self, name: str) -> bool:
        """Whether a member votes, and its log is level with those of the others."""
        order = self.world.nodes[name].order
        if order is None or not order.votes:
            return False
        return order.state.floor <= (order.log.last_term, order.log.last_index)

    def copy(self) -> None:
        """Keep a copy of a disk."""
        name = self.one()
        self.copies[name] = [*self.copies[name][-5:], self.world.nodes[name].disk.copy()]

    def empty(self) -> None:
        """A disk is lost."""
        name = self.one()
        if self.spare(name):
            self.doubted.add(name)
            self.world.crash(name)
            self.world.nodes[name].disk = Disk(State())
            self.later(self.start)

    def full(self) -> None:
        """A disk takes no more, until its process starts again."""
        name = self.one()
        if self.spare(name):
            disk = self.world.nodes[name].disk
            disk.full = True
            self.later(lambda: self.refill(name, disk))

    def refill(self, name: str, disk: Disk) -> None:
        """A disk that was full has room again, and its member starts anew."""
        disk.full = False
        self.world.restart(name)

    def put_back(self) -> None:
        """A disk is an older copy of itself."""
        world, name = self.world, self.one()
        if not self.spare(name):
            return
        self.doubted.add(name)
        world.crash(name)
        world.nodes[name].disk = self.rng.choice(self.copies[name]).copy()
        if not self.any_time:
            world.heal()
            world.until(lambda: self.level(name) or name not in self.doubted, world.config.alone_ms / 2)
        self.later(self.start)
