"""A small world for leases: true time, clocks that drift, and all that can happen to messages and nodes."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter

from fordtrestle.cluster.grantor import Effect, Grantor
from fordtrestle.cluster.holder import Holder
from fordtrestle.cluster.lease import Known, LeaseConfig
from fordtrestle.cluster.messages import Grant, Renew

CONFIG = LeaseConfig(drift_ppm=50_000.0, check_ms=50.0, contradiction_ms=2000.0, message_ms=10.0)
VOTERS = ("v0", "v1", "v2")
FOLLOWERS = ("f0", "f1", "f2", "f3", "f3", "f4")  # two processes under one name
ELECTION_MS = 400.0
TICK_MS = 30.0


def digest(number):
    return f"d{number}"


class Clock:
    """Monotonic, with a rate of its own; only a jump that its node was told of changes it otherwise."""

    def __init__(self, rng):
        self.rate = 1.0 + CONFIG.drift * rng.choice((-1.0, 1.0, rng.uniform(-1.0, 1.0)))
        self.offset = rng.uniform(0.0, 1e6)

    def own(self, true_ms):
        return self.offset + self.rate * true_ms

    def true(self, own_ms):
        return (own_ms - self.offset) / self.rate


class Node:
    """One process: the parts under test, wired as a node wires them."""

    def __init__(self, world, name, parents):
        self.world, self.name, self.parents = world, name, parents
        self.clock = Clock(world.rng)
        self.stopped_until = -math.inf
        self.acts = []  # [effective, pending, true time until which it may act], newest last
        self.start()

    def start(self):
        now_ms = self.now()
        self.shelf = {}
        self.holder = Holder(CONFIG, random.Random(self.world.rng.random()), now_ms)
        self.grantor = Grantor(CONFIG, self.name, self.holder, children_most=3, leader_children_most=4)
        self.effect, self.term, self.proposed, self.hint = Effect(CONFIG), 0, 0, ""
        self.acts.clear()

    def now(self):
        return self.clock.own(self.world.now)

    def tick(self):
        now_ms, holder = self.now(), self.holder
        term = self.world.leads(self)
        if term:
            self.lead(now_ms, term)
        else:
            holder.follow()
        holder.vouch(now_ms, self.grantor.heard(now_ms))
        if holder.next_ms() <= now_ms and not term:
            to = self.hint or self.world.rng.choice(self.parents)
            self.hint = ""
            renew = holder.ask(now_ms, to, self.grantor.heard(now_ms), self.grantor.children(now_ms) > 0)
            self.world.send(self, to, renew)

    def lead(self, now_ms, term):
        world = self.world
        if term.number != self.term:
            self.term, self.proposed = term.number, world.effective
            self.effect.begin(now_ms, self.grantor)
        self.shelf = {number: digest(number) for number in range(world.pending + 1)}
        until_ms = min(now_ms + ELECTION_MS * (1.0 - CONFIG.drift), self.clock.own(term.end))
        self.holder.lead(now_ms, until_ms, world.known(term))
        ready = self.effect.ready(now_ms, self.grantor, max(self.proposed, world.effective))
        if ready:
            self.proposed = ready
            world.propose(self, term, ready)

    def receive(self, sender, message):
        now_ms = self.now()
        if isinstance(message, Renew):
            self.world.send(self, sender, self.grantor.answer(now_ms, sender, message))
        elif not isinstance(message, Grant):
            if self.holder.denied(now_ms, sender, message):
                self.hint = message.ask
        elif self.holder.granted(now_ms, sender, message):
            self.holder.apply(now_ms, self.shelf)
            wanted = self.holder.wanted
            if wanted is not None:
                late_ms = self.world.rng.choice((0.0, 20.0, 200.0, 1000.0))
                holder = self.holder
                self.world.at(late_ms, self, lambda: self.books(holder, wanted.known))

    def books(self, holder, known):
        if holder is self.holder:
            self.shelf.update({n: digest(n) for n in range(known.effective, known.pending + 1)})
            holder.apply(self.now(), self.shelf)

    def note(self):
        """What it may act on from now on; what it checked before may still be done for `check_ms`."""
        holder, world = self.holder, self.world
        until_ms = holder.until_ms
        if math.isfinite(until_ms) and holder.may_act(until_ms - CONFIG.check_ms + 0.01):
            until_ms += CONFIG.check_ms  # a check without its margin
        end = self.clock.true(until_ms) if math.isfinite(until_ms) else -math.inf
        now = [holder.known.effective, holder.known.pending, end]
        if self.acts and self.acts[-1][:2] == now[:2] and end >= self.acts[-1][2]:
            self.acts[-1] = now
        else:
            linger = world.now + CONFIG.check_ms / self.clock.rate
            self.acts = [[e, p, min(t, linger)] for e, p, t in self.acts if t > world.now]
            self.acts.append(now)


class Term:
    def __init__(self, number, leader, start, end):
        self.number, self.leader, self.start, self.end = number, leader, start, end


class World:
    """Everything that happens, over true time. `breaches`: what must never have been."""

    def __init__(self, seed, faulty_ms=15_000.0, quiet_ms=0.0):
        self.rng = random.Random(seed)
        self.now, self.heap, self.count = 0.0, [], 0
        self.faulty_ms = faulty_ms
        self.effective, self.pending = 1, 1
        self.floating = []
        self.breaches, self.seen = [], Counter()
        self.first = {}  # when each node first acted on an effective number
        self.terms = self.schedule()
        self.nodes = [Node(self, name, [v for v in VOTERS if v != name]) for name in VOTERS]
        for i, name in enumerate(FOLLOWERS):
            above = list(VOTERS) if i == 0 else [*VOTERS[:1], *(f for f in FOLLOWERS[:i] if f != name)]
            self.nodes.append(Node(self, name, above))
        for node in self.nodes:
            self.at(self.rng.uniform(0.0, TICK_MS), node, lambda n=node: self.ticked(n))
        self.at(300.0, None, self.news)
        self.at(200.0, None, self.fault)
        self.end = faulty_ms + quiet_ms

    def schedule(self):
        terms, start = [], 0.0
        while start < self.faulty_ms:
            end = start + self.rng.choice((500.0, 2500.0, 6000.0, 9000.0))
            terms.append(Term(len(terms) + 1, self.rng.choice(VOTERS), start, end))
            start = end + self.rng.choice((0.0, 0.0, 300.0, 2500.0))
        terms[-1].end = math.inf
        return terms

    def leads(self, node):
        """The term that it leads now; None if none."""
        for term in self.terms:
            if term.start <= self.now < term.end and term.leader == node.name:
                self.begin(term)
                return term
        return None

    def begin(self, term):
        """What an earlier leader left uncommitted is committed with a new one's first entry, or never."""
        if self.floating and term.number > self.floating[0][0]:
            kept = [n for number, n in self.floating if number < term.number and self.rng.random() < 0.5]
            self.effective = max([self.effective, *kept])
            self.floating = [(number, n) for number, n in self.floating if number >= term.number]

    def known(self, term):
        return Known(
            term.number,
            term.leader,
            self.effective,
            self.pending,
            digest(self.effective),
            digest(self.pending),
        )

    def propose(self, node, term, number):
        def commit():
            if self.leads(node) is term:
                self.effective = max(self.effective, number)
                self.seen["effective"] += 1
                node.lead(node.now(), term)
            else:
                self.floating.append((term.number, number))

        self.at(self.rng.uniform(1.0, 100.0), node, commit)

    # --- what happens -------------------------------------------------------------------------

    def at(self, after_ms, node, act):
        self.count += 1
        heapq.heappush(self.heap, (self.now + after_ms, self.count, node, act))

    def calm(self):
        return self.now >= self.faulty_ms

    def send(self, node, to, message):
        rng = self.rng
        copies = 1 if self.calm() else rng.choice((0, 1, 1, 1, 1, 2))
        for _ in range(copies):
            late_ms = rng.uniform(1.0, CONFIG.message_ms)
            if not self.calm():
                late_ms = rng.choice((late_ms, late_ms, late_ms, rng.uniform(0, 500), rng.uniform(0, 4000)))
            for there in self.nodes:
                if there.name == to:
                    self.at(late_ms, there, lambda n=there: n.receive(node.name, message))

    def ticked(self, node):
        node.tick()
        self.at(self.rng.uniform(0.5, 1.0) * TICK_MS, node, lambda: self.ticked(node))

    def news(self):
        """A leader commits a rulebook."""
        if any(self.leads(node) for node in self.nodes) and self.pending - self.effective < 4:
            self.pending += 1
        if not self.calm():
            self.at(self.rng.choice((50.0, 400.0, 2500.0)), None, self.news)

    def fault(self):
        if self.calm():
            return
        node = self.rng.choice(self.nodes)
        what = self.rng.choice(("stop", "restart", "jump", "none"))
        if what == "stop":
            node.stopped_until = self.now + self.rng.choice((100.0, 800.0, 3000.0))
        elif what == "restart":
            node.start()
        elif what == "jump":  # noticed before anything is done by it
            node.clock.offset += self.rng.choice((-10_000.0, 10_000.0))
            node.holder.drop(node.now(), "jump")
            node.note()
        self.at(self.rng.choice((100.0, 500.0, 1500.0)), None, self.fault)

    def run(self):
        while self.heap and self.heap[0][0] < self.end:
            self.now, _, node, act = heapq.heappop(self.heap)
            if node is not None and node.stopped_until > self.now and not self.calm():
                # Woken, it may do all that waits in any order.
                self.at(node.stopped_until - self.now + self.rng.uniform(0.0, 1.0), node, act)
                continue
            act()
            if node is not None:
                before = [list(view) for view in node.acts]
                node.note()
                if node.acts != before:
                    self.check(node)
        return self

    # --- what must never be -------------------------------------------------------------------

    def check(self, node):
        acting = [(n, *view) for n in self.nodes for view in n.acts if view[2] > self.now]
        least = min((effective for _, effective, _, _ in acting), default=0)
        self.first = {key: at_ms for key, at_ms in self.first.items() if key[0] > least}
        for one, effective, _, _ in acting:
            self.first.setdefault((effective, one), self.now)
            for other, _, pending, _ in acting:
                if one is not other and effective > pending:
                    self.breaches.append(("permission", self.now, one.name, effective, other.name, pending))
        for one, effective, pending, _ in acting:
            self.seen["between"] += effective < pending
            self.seen["depth"] = max(self.seen["depth"], one.holder.depth)
            for (number, other), since in self.first.items():
                late_ms = self.now - since
                if number > effective and other is not one:
                    self.seen["order_ms"] = max(self.seen["order_ms"], late_ms)
                    if late_ms > CONFIG.contradiction_ms:
                        self.breaches.append(("order", late_ms, one.name, effective, other.name, number))
