"""Leases: who may act on which rulebooks, and until when on its own clock. Pure.

A node's own lease is in `holder.py`, what it hands on of it in `grantor.py`; here is why they are right.

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
from collections.abc import Mapping
from dataclasses import dataclass

from fordtrestle.cluster.messages import Grant

RENEWALS = 5  # in the time of one lease
DEPTH_MOST = 6  # grants between a node and the leader
COUNT_BITS = 32  # of a nonce: which question of its incarnation; those above tell the incarnation


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

    @classmethod
    def of(cls, grant: Grant) -> Known:
        """What a grant tells."""
        numbers = grant.effective, grant.pending
        return cls(grant.term, grant.leader, *numbers, grant.effective_digest, grant.pending_digest)

    def older(self, other: Known) -> bool:
        """Whether one of its numbers is lower than the other's."""
        return self.effective < other.effective or self.pending < other.pending


def complete(known: Known, digests: Mapping[int, str]) -> bool | None:
    """Whether the books of a range are there and are the right ones; None while some are missing.

    Number 0 is what stands before the first book, and is always there."""
    if any(number not in digests for number in range(max(1, known.effective), known.pending + 1)):
        return None
    ends = ((known.effective, known.effective_digest), (known.pending, known.pending_digest))
    return all(digests[number] == digest for number, digest in ends if number)
