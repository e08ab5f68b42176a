"""What a node hands on of its lease, and when the leader may say that a rulebook is in effect. Pure.

Why that is safe is argued in `lease.py`.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from fordtrestle.cluster.holder import Holder
from fordtrestle.cluster.lease import COUNT_BITS, DEPTH_MOST, LeaseConfig
from fordtrestle.cluster.messages import Denied, Grant, Renew

CHILDREN_MOST = 16  # of a holder
LEADER_CHILDREN_MOST = 128
ENDS_MOST = 8  # ends of a child's leases that are told apart by number


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
