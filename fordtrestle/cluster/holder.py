"""A node's own lease: it asks for it, takes answers, and says whether it may act. Pure.

Why that is safe is argued in `lease.py`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Protocol

from fordtrestle.cluster.lease import COUNT_BITS, DEPTH_MOST, Known, LeaseConfig, complete
from fordtrestle.cluster.messages import Denied, Grant, Renew

NONCES_MOST = 16  # questions that are out
OFFERS_MOST = 4  # grants whose books are awaited
TRIES_MOST = 3  # questions in one renewal, each to another
INCARNATION_BITS = 31


class Draws(Protocol):
    """What is used of a `random.Random`; it must not repeat itself from one incarnation to the next."""

    def random(self) -> float: ...

    def getrandbits(self, k: int, /) -> int: ...


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
        known = Known.of(grant)
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
