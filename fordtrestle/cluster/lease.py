"""Leases: who may act on which rulebooks, and until when on its own clock. Pure.

Why no two act on permissions that contradict. A node's *range* is the numbers `effective..pending`, on whose
meet it acts. Two meets contradict in nothing where their ranges share a number; so it is enough that at any
moment the `effective` of each that acts is no higher than the `pending` of each that acts. Both are numbers
of committed entries only.

1. A lease is a promise: no `Effective(v)` with `v` above the grant's `pending`, or above what its holder has
   vouched for since, is committed before it ends. The holder's range reaches at least as high, since its
   numbers only go up and a grant counts only once its books are there (`apply`). So it may act until the
   latest end of all its leases, whoever granted them.
2. How long, on any clock. Let `drift` be the most by which a clock's rate is off, or by which two clocks'
   rates differ: a span is at most `stretch = (1 + drift) / (1 - drift)` times as long on one clock as on
   another. A holder counts from its asking `a`, which is before the grant. A grantor hands on at most what
   is left of its own: with clocks of rates `r1` and `r2` a sublease ends at `a + lease_ms / min(r1, r2)` at
   the latest. By induction one of any depth, in circles too, ends at `a + lease_ms / (least rate)`: drift
   does not add up. On the leader's clock that is at most `hold_ms = lease_ms * stretch` after its grant. An
   answer that is late, doubled or overtaken only shortens. (`lease_ms * (1 + drift)` would be enough for two
   clocks that differ by `drift`; for two that are off by it in opposite directions even `1 + 2 * drift` is
   too little, by `2 * drift ** 2`.)
3. Who vouches. That a node has heard of `v` says: it acts on no range below `v` any more (it ceased
   `check_ms` ago, so no act that was checked before is to come), nor does anyone under the leases that it
   granted: each of those was granted with `v`, or was vouched for, or has run out. In one incarnation that
   number never goes down, so a renewal that comes late or twice says nothing wrong. What a child was granted
   elsewhere is counted there. 4. Incarnations. A node that has started, or that doubted its clock, does not
   know what it granted before. Those subleases end with its old lease, which its grantors go on counting for
   its old incarnation: the high bits of a nonce tell the incarnation, and another incarnation is another
   child. So it can't vouch for what it forgot. (To be silent for `hold_ms` after a start is not enough: of
   two processes under one name, one would vouch for the other.) 5. Terms. A leader grants only while its
   leader lease holds, and only once an entry of its own term is committed, by which it knows every committed
   number. A new one knows nothing of earlier leaders' grants, but all of them were asked for before its term:
   it proposes no `Effective` before `hold_ms` of its term. What an earlier leader proposed stays right if it
   is committed later: every lease granted since had that number pending.

What differs in order only: who acts on an older `effective` was granted it before the newer one was
committed, and so ends at most `lease_ms / (1 - drift)` later, which is less than `contradiction_ms`.

It rests on this, too: `now_ms` is read after the message was taken from its socket and before what answers it
is sent; all members have one `contradiction_ms`, `drift_ppm` and `check_ms`; an incarnation's random numbers
are its own.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

from fordtrestle.cluster.messages import Denied, Grant, Renew

RENEWALS = 5  # in the time of one lease
DEPTH_MOST = 6  # grants between a node and the leader
CHILDREN_MOST = 16  # of a holder
LEADER_CHILDREN_MOST = 128
NONCES_MOST = 16  # questions that are out
OFFERS_MOST = 4  # grants whose books are awaited
ENDS_MOST = 8  # ends of a child's leases that are told apart by number
TRIES_MOST = 3  # questions in one renewal, each to another
COUNT_BITS = 32  # of a nonce: which question of its incarnation; those above tell the incarnation
INCARNATION_BITS = 31


class Draws(Protocol):
    """What is used of a `random.Random`; it must not repeat itself from one incarnation to the next."""

    def random(self) -> float: ...

    def getrandbits(self, k: int, /) -> int: ...


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """What the operator states; times in ms. `message_ms`: the time that a message takes, one way."""

    contradiction_ms: float = 2000.0
    check_ms: float = 50.0
    drift_ppm: float = 1000.0
    message_ms: float = 40.0

    @property
    def drift(self) -> float:
        """As a share."""
        return self.drift_ppm / 1e6

    @property
    def stretch(self) -> float:
        """How many times as long one clock may show a span as another."""
        return (1.0 + self.drift) / (1.0 - self.drift)

    @property
    def lease_ms(self) -> float:
        """The longest lease."""
        return (self.contradiction_ms - self.check_ms) / (1.0 + 2.0 * self.drift)

    @property
    def hold_ms(self) -> float:
        """After so long of any clock, no lease is held that was granted before."""
        return self.lease_ms * self.stretch

    @property
    def renew_ms(self) -> float:
        """The time between two renewals."""
        return self.lease_ms / RENEWALS

    @property
    def answer_ms(self) -> float:
        """How long an answer is awaited before another node is asked."""
        return 3.0 * self.message_ms

    @property
    def smallest_ms(self) -> float:
        """The smallest `contradiction_ms` with which a renewal has time for question and answer."""
        return self.check_ms + RENEWALS * 2.0 * self.message_ms * (1.0 + 2.0 * self.drift)

    def fault(self) -> str:
        """What is wrong with it, in one line; empty if nothing."""
        for name, least, most in (
            ("check_ms", 1.0, 1000.0),
            ("drift_ppm", 0.0, 100_000.0),
            ("message_ms", 1.0, 10_000.0),
            ("contradiction_ms", 1.0, 3_600_000.0),
        ):
            if not least <= getattr(self, name) <= most:
                return f"{name}: {getattr(self, name):g} is not from {least:g} to {most:g}"
        if self.contradiction_ms < self.smallest_ms:
            return (
                f"contradiction_ms: {self.contradiction_ms:g} is below {math.ceil(self.smallest_ms)}, the "
                f"smallest with check_ms {self.check_ms:g}, drift_ppm {self.drift_ppm:g} and message_ms "
                f"{self.message_ms:g}"
            )
        return ""


@dataclass(frozen=True, slots=True)
class Known:
    """What a node acts on, and who led when it was told. Numbers and digests of committed rulebooks."""

    term: int = 0
    leader: str = ""
    effective: int = 0
    pending: int = 0
    effective_digest: str = ""
    pending_digest: str = ""

    def older(self, other: Known) -> bool:
        """Whether one of its numbers is lower than the other's."""
        return self.effective < other.effective or self.pending < other.pending


@dataclass(frozen=True, slots=True)
class Offer:
    """A grant that waits for its books; `until_ms` on the own clock."""

    known: Known
    until_ms: float
    depth: int
    source: str


class Holder:
    """A node's own lease: asks, takes answers, and says whether it may act."""

    def __init__(self, config: LeaseConfig, rng: Draws, now_ms: float) -> None:
        self._config = config
        self._rng = rng
        self._until_ms = -math.inf
        self._leader_lease_ms = -math.inf
        self._out: dict[int, tuple[float, str]] = {}  # when and whom, by nonce
        self._offers: list[Offer] = []
        self._count = 0
        self._settled = 0  # vouched for while the newest number is younger than a check
        self._since_ms = -math.inf  # of the newest number
        self._next_ms = now_ms
        self._asked_ms = -math.inf
        self._tries = 0
        self._rounds = 0  # that ended without a lease
        self._said = 0
        self._granting = False
        self.known = Known()
        self.depth = 0
        self.source = ""  # who granted last
        self.overdue = ""  # who was asked last and has not answered
        self.barred = ""  # why it may hold none
        self.counts: Counter[str] = Counter()  # answers refused, and leases dropped, by why
        self.incarnation = self._draw()

    def _draw(self) -> int:
        return self._rng.getrandbits(INCARNATION_BITS)

    # --- acting -------------------------------------------------------------------------------

    @property
    def until_ms(self) -> float:
        """The end of its lease on its own clock."""
        return self._until_ms

    def may_act(self, now_ms: float) -> bool:
        """Whether an act that follows within `check_ms` is covered; to be asked next to each act."""
        return now_ms + self._config.check_ms <= self._until_ms

    def again_ms(self, now_ms: float) -> float:
        """After how long a client that was refused should come back; 0 where it may act."""
        if self.may_act(now_ms):
            return 0.0
        wait_ms = max(0.0, self._next_ms - now_ms) if not self.barred else self._config.lease_ms
        return min(wait_ms + 2.0 * self._config.message_ms, self._config.lease_ms)

    def vouched(self, now_ms: float) -> int:
        """The number below whose range no act of its own is to come."""
        fresh = now_ms < self._since_ms + self._config.check_ms
        return self._settled if fresh else self.known.pending

    # --- asking -------------------------------------------------------------------------------

    def next_ms(self) -> float:
        """When it wants to ask."""
        return math.inf if self.barred else self._next_ms

    def ask(self, now_ms: float, to: str, heard: int, granting: bool) -> Renew:
        """The question to send now. `heard`: by its grantor part; `granting`: whether others rest on it."""
        config = self._config
        for nonce in [n for n, (at_ms, _) in self._out.items() if at_ms <= now_ms - config.lease_ms]:
            del self._out[nonce]
        while len(self._out) >= NONCES_MOST:
            del self._out[next(iter(self._out))]
        self._count += 1
        nonce = self.incarnation << COUNT_BITS | self._count
        self._out[nonce] = (now_ms, to)
        self._asked_ms, self._said, self._granting, self.overdue = now_ms, heard, granting, to
        self._tries += 1
        self._wait(now_ms, config.answer_ms)
        return Renew(nonce, heard, (self.known.effective, self.known.pending))

    def _wait(self, now_ms: float, next_try_ms: float) -> None:
        """The next question: soon, to another; or after a growing pause where enough were asked."""
        if self._tries < TRIES_MOST:
            self._next_ms = now_ms + next_try_ms
            return
        self._tries = 0
        self._rounds = min(self._rounds + 1, 3)
        pause_ms = self._config.renew_ms * 2.0 ** (self._rounds - 2)
        self._next_ms = now_ms + max(next_try_ms, pause_ms * (0.5 + 0.5 * self._rng.random()))

    def vouch(self, now_ms: float, heard: int) -> None:
        """Ask sooner than planned where there is more to vouch for than was said."""
        if heard > self._said:
            self._next_ms = min(self._next_ms, max(now_ms, self._asked_ms + self._config.renew_ms / 4.0))

    def granted(self, now_ms: float, sender: str, grant: Grant) -> bool:
        """Take an answer, or refuse and count it. What it gives holds from `apply` on."""
        asked = self._out.get(grant.nonce)
        if asked is None or asked[1] != sender:
            self.counts["unasked"] += 1
            return False
        self._answered(grant.nonce)
        known = Known(
            grant.term,
            grant.leader,
            grant.effective,
            grant.pending,
            grant.effective_digest,
            grant.pending_digest,
        )
        until_ms = asked[0] + min(grant.span_ms, self._config.lease_ms)
        why = "" if _sound(grant) else "bad"
        why = why or ("older" if known.older(self.known) else "late" if until_ms <= now_ms else "")
        if why:
            self.counts[why] += 1
            return False
        if len(self._offers) >= OFFERS_MOST:
            self._offers.pop()  # the oldest is the likeliest to have its books soon
        self._offers.append(Offer(known, until_ms, grant.depth, sender))
        return True

    def _answered(self, nonce: int) -> None:
        del self._out[nonce]
        if nonce & (1 << COUNT_BITS) - 1 == self._count:
            self.overdue = ""

    def denied(self, now_ms: float, sender: str, denied: Denied) -> bool:
        """Take a refusal; false where it answers nothing that was asked. The next is asked at once."""
        asked = self._out.get(denied.nonce)
        if asked is None or asked[1] != sender:
            self.counts["unasked"] += 1
            return False
        if denied.nonce & (1 << COUNT_BITS) - 1 == self._count:
            if self._tries:
                self._next_ms = now_ms
            elif 0.0 <= denied.again_ms <= self._config.renew_ms:
                self._next_ms = max(self._next_ms, now_ms + denied.again_ms)
        self._answered(denied.nonce)
        return True

    @property
    def wanted(self) -> Offer | None:
        """The newest grant whose books are missing."""
        return max(self._offers, key=lambda offer: offer.known.pending, default=None)

    def apply(self, now_ms: float, digests: Mapping[int, str]) -> bool:
        """Act by the grants whose books are all there; `digests` by number. Whether the numbers changed."""
        before = self.known
        waiting = []
        for offer in self._offers:
            there = complete(offer.known, digests)
            if there is None:
                if offer.until_ms > now_ms:
                    waiting.append(offer)
            elif not there:
                self.counts["wrong"] += 1
            elif offer.known.older(self.known):
                self.counts["older"] += 1
            else:
                self._take(now_ms, offer)
        self._offers = waiting
        return (before.effective, before.pending) != (self.known.effective, self.known.pending)

    def _take(self, now_ms: float, offer: Offer) -> None:
        self._until_ms = max(self._until_ms, offer.until_ms)
        self.depth, self.source = offer.depth, offer.source
        self._learn(now_ms, offer.known)
        self._tries = self._rounds = 0
        often = 2.0 if self._granting else 1.0  # guards those below: what is left shrinks with each grant
        left_ms = self._until_ms - now_ms
        pause_ms = min(self._config.renew_ms / often, max(left_ms / 2.0, 2.0 * self._config.message_ms))
        self._next_ms = now_ms + pause_ms * (0.75 + 0.25 * self._rng.random())

    def _learn(self, now_ms: float, known: Known) -> None:
        if known.pending > self.known.pending:
            self._settled = self.vouched(now_ms)
            self._since_ms = now_ms
        if known.term < self.known.term:  # of an earlier leader, who is no one to ask
            known = replace(known, term=self.known.term, leader=self.known.leader)
        self.known = known

    def learn(self, now_ms: float, known: Known) -> bool:
        """Act on numbers that the own log has as committed and whose books are there; it gives no lease.

        Whether they changed; lower ones change nothing."""
        if known.older(self.known):
            return False
        changed = (known.effective, known.pending) != (self.known.effective, self.known.pending)
        self._learn(now_ms, known)
        return changed

    # --- leading ------------------------------------------------------------------------------

    def lead(self, now_ms: float, until_ms: float, known: Known) -> None:
        """Be the leader until then: `election_ms * (1 - drift)` after sending the newest heartbeat that a
        majority has answered. Only once an entry of the own term is committed; `known`: the highest ones."""
        if self.barred or known.older(self.known):
            self.counts["barred" if self.barred else "older"] += 1
            return
        self._learn(now_ms, known)
        self._leader_lease_ms = until_ms
        self._until_ms = max(self._until_ms, until_ms)
        self.depth, self.source = 0, ""

    def follow(self) -> None:
        """Lead no more; what is left of the own lease stays."""
        self._leader_lease_ms = -math.inf

    def leading(self, now_ms: float) -> bool:
        """Whether it grants as the leader."""
        return now_ms < self._leader_lease_ms

    def span_ms(self, now_ms: float) -> float:
        """The longest lease that it may grant."""
        if self.leading(now_ms):
            return self._config.lease_ms
        return min(self._config.lease_ms, self._until_ms - now_ms)

    # --- doubt --------------------------------------------------------------------------------

    def drop(self, now_ms: float, why: str) -> None:
        """Begin a new incarnation, without a lease: the clock jumped, or the process was stopped."""
        self.counts[why] += 1
        incarnation = self._draw()
        self.incarnation = incarnation if incarnation != self.incarnation else incarnation ^ 1
        self._until_ms = self._leader_lease_ms = -math.inf
        self._out.clear()
        self._offers.clear()
        self._tries = self._rounds = 0
        self._next_ms, self._asked_ms, self.overdue = now_ms, -math.inf, ""
        self._settled, self._said, self._since_ms = 0, 0, now_ms

    def bar(self, now_ms: float, why: str) -> None:
        """Hold no lease until `unbar`: the clock can't be believed."""
        if not self.barred:
            self.drop(now_ms, "barred")
        self.barred = why

    def unbar(self, now_ms: float) -> None:
        """The clock is believed again."""
        self.barred, self._next_ms = "", now_ms


def _sound(grant: Grant) -> bool:
    """Guards against numbers that no grantor says; a NaN is refused, too."""
    return 0 <= grant.effective <= grant.pending and 0 < grant.depth <= DEPTH_MOST and grant.span_ms > 0.0


def complete(known: Known, digests: Mapping[int, str]) -> bool | None:
    """Whether the books of a range are there and are the right ones; None while some are missing.

    Number 0 is what stands before the first book, and is always there."""
    if any(number not in digests for number in range(max(1, known.effective), known.pending + 1)):
        return None
    ends = ((known.effective, known.effective_digest), (known.pending, known.pending_digest))
    return all(digests[number] == digest for number, digest in ends if number)


# --- granting -----------------------------------------------------------------------------------


@dataclass(slots=True)
class _Child:
    """One incarnation of a node that was granted leases. `ends`: on the own clock, by number, lowest
    first."""

    confirmed: int = 0
    ends: list[tuple[int, float]] = field(default_factory=list)

    def add(self, pending: int, end_ms: float) -> None:
        if self.ends and self.ends[-1][0] == pending:
            end_ms = max(self.ends.pop()[1], end_ms)
        self.ends.append((pending, end_ms))
        if len(self.ends) > ENDS_MOST:  # the lower number stands for both
            (number, one_ms), (_, other_ms) = self.ends[:2]
            self.ends[:2] = [(number, max(one_ms, other_ms))]

    def heard(self) -> int:
        return max(self.confirmed, self.ends[0][0])


class Grantor:
    """The part of a node that hands its lease on, and knows what those below have heard."""

    def __init__(
        self,
        config: LeaseConfig,
        me: str,
        holder: Holder,
        children_most: int = CHILDREN_MOST,
        leader_children_most: int = LEADER_CHILDREN_MOST,
    ) -> None:
        self._config = config
        self._me = me
        self.holder = holder
        self._most = (children_most, leader_children_most)
        self._children: dict[tuple[str, int], _Child] = {}  # by name and incarnation
        self._incarnation = holder.incarnation
        self._turn = 0
        self.counts: Counter[str] = Counter()  # refusals, by why

    def children(self, now_ms: float) -> int:
        """How many incarnations hold a lease by it."""
        self._sweep(now_ms)
        return len(self._children)

    def _sweep(self, now_ms: float) -> None:
        if self._incarnation != self.holder.incarnation:  # it is not the one that granted them
            self._children.clear()
            self._incarnation = self.holder.incarnation
        for key, child in list(self._children.items()):
            child.ends = [(number, end_ms) for number, end_ms in child.ends if end_ms > now_ms]
            if not child.ends:
                del self._children[key]

    def heard(self, now_ms: float) -> int:
        """The highest number that this node, and all whose lease rests on it, act on at the least."""
        self._sweep(now_ms)
        floors = (child.heard() for child in self._children.values())
        return min(self.holder.vouched(now_ms), *floors) if self._children else self.holder.vouched(now_ms)

    def next_ms(self, now_ms: float) -> float:
        """When `heard` may rise by itself."""
        self._sweep(now_ms)
        pending = self.holder.known.pending
        ends = [child.ends[0][1] for child in self._children.values() if child.heard() < pending]
        if self.holder.vouched(now_ms) < pending:
            ends.append(now_ms + self._config.check_ms)
        return min(ends, default=math.inf)

    def answer(self, now_ms: float, sender: str, renew: Renew) -> Grant | Denied:
        """Grant part of the own lease, or say whom to ask. `now_ms` was read after the question."""
        self._sweep(now_ms)
        key = (sender, renew.nonce >> COUNT_BITS)
        child = self._children.get(key)
        if child is not None:
            child.confirmed = max(child.confirmed, renew.heard)
        span_ms = self.holder.span_ms(now_ms)
        why = self._refusal(now_ms, sender, renew, span_ms, child is None)
        if why:
            self.counts[why] += 1
            return self._denied(now_ms, sender, renew.nonce, why)
        known = self.holder.known
        if child is None:
            child = self._children[key] = _Child(renew.heard)
        child.add(known.pending, now_ms + span_ms * self._config.stretch)
        return Grant(
            renew.nonce,
            known.term,
            known.leader,
            self.holder.depth + 1,
            span_ms,
            known.effective,
            known.pending,
            known.effective_digest,
            known.pending_digest,
        )

    def _refusal(self, now_ms: float, sender: str, renew: Renew, span_ms: float, new: bool) -> str:
        holder = self.holder
        if span_ms <= self._config.check_ms:
            return "no lease"
        if not holder.leading(now_ms):
            if sender == holder.source:
                return "loop"
            if holder.depth >= DEPTH_MOST:
                return "depth"
        if renew.books[0] > holder.known.effective or renew.books[1] > holder.known.pending:
            return "behind"
        if new and len(self._children) >= self._most[holder.leading(now_ms)]:
            return "full"
        return ""

    def _denied(self, now_ms: float, sender: str, nonce: int, why: str) -> Denied:
        leader = self.holder.known.leader
        ask = leader if leader not in (self._me, sender) else ""
        if why == "full":  # one step down, to each in turn
            names = [name for name, _ in self._children if name != sender]
            self._turn += 1
            ask = names[self._turn % len(names)] if names else ask
        again_ms = self.holder.again_ms(now_ms) if why == "no lease" else self._config.renew_ms
        return Denied(nonce, why, ask, again_ms)


class Effect:
    """The leader's part: which rulebook may be told to be in effect."""

    def __init__(self, config: LeaseConfig) -> None:
        self._config = config
        self._since_ms = math.inf
        self._incarnation = -1

    def begin(self, now_ms: float, grantor: Grantor) -> None:
        """A term of the own has begun: of leases from before nothing is known."""
        self._since_ms = now_ms
        self._incarnation = grantor.holder.incarnation

    def ready(self, now_ms: float, grantor: Grantor, proposed: int) -> int:
        """The number that may be proposed as effective; 0 if none. `proposed`: the highest in the own log."""
        if self._incarnation != grantor.holder.incarnation and self._since_ms < math.inf:
            self.begin(now_ms, grantor)  # the clock by which the grants were counted is not believed
        if now_ms < self._since_ms + self._config.hold_ms or not grantor.holder.leading(now_ms):
            return 0
        heard = grantor.heard(now_ms)
        return heard if heard > proposed else 0

    def next_ms(self, now_ms: float, grantor: Grantor, proposed: int) -> float:
        """When `ready` may come to say more; infinite where nothing is pending."""
        if grantor.holder.known.pending <= proposed:
            return math.inf
        return max(
            self._since_ms + self._config.hold_ms,
            min(grantor.next_ms(now_ms), now_ms + self._config.renew_ms),
        )
