"""Quotas of what one process may hold, divided among its HTTP servers and connection pools. Pure.

A `ResourceQuota` accounts for one resource (descriptors, bytes, calls). Each HTTP server, pool or other
user has a `QuotaShare` of it. What a share is guaranteed is its own at any time and is lent to nobody; the
rest is common, and whoever asks first borrows it. Once the common rest is used up, a share that uses less
than its fair share may have one that uses more give back: that one evicts by its own order, or gives
nothing. The sum that is used never exceeds the capacity.

Acquiring and releasing cost the same however much is used; only reclaiming from others looks at each share
once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

Reclaim = Callable[[int], None]


class QuotaShare:
    """What one user has of a quota.

    Attributes:
        name: The user, for log lines.
        guaranteed: What is lent to nobody; it shrinks while the capacity is lowered.
        configured: What is guaranteed while the capacity is enough for all.
        weight: Its share of the common rest in times of shortage, relative to others' weights.
        used: What it holds now.
        peak: The most that it ever held.
        reclaim: Called with a count where others need it: gives back at least so much at once, as far as it
            can. None: it gives nothing back.
    """

    __slots__ = ("_quota", "configured", "guaranteed", "name", "peak", "reclaim", "used", "weight")

    def __init__(self, quota: ResourceQuota, name: str, guaranteed: int, weight: float) -> None:
        self._quota = quota
        self.name = name
        self.configured = guaranteed
        self.guaranteed = guaranteed
        self.weight = weight
        self.used = 0
        self.peak = 0
        self.reclaim: Reclaim | None = None

    @property
    def fair_share(self) -> float:
        """What it may use while others want more than they have."""
        return self._quota.fair_share(self)

    @property
    def available(self) -> int:
        """How much more it could acquire now without anybody giving back."""
        return max(0, self.guaranteed - self.used) + self._quota.free

    def acquire(self, count: int = 1) -> bool:
        """Use so much more, if need be by reclaiming it from others; return whether it may."""
        # Written out in one piece, as is `release`: each request acquires and releases four times.
        quota, used, guaranteed = self._quota, self.used + count, self.guaranteed
        growth = 0 if used <= guaranteed else used - max(self.used, guaranteed)
        if quota.committed + growth > quota.capacity and not quota.make_room(self, count, growth):
            return False
        quota.committed += growth
        self.used += count
        if used > self.peak:
            self.peak = used
        return True

    def acquire_free(self, count: int = 1) -> bool:
        """Use so much more only if nobody has to give back for it; return whether it may."""
        return self.available >= count and self.acquire(count)

    def release(self, count: int = 1) -> None:
        """Use so much less.

        Raises:
            ValueError: `count` is negative, or more than is used.
        """
        used, guaranteed = self.used - count, self.guaranteed
        if count < 0 or used < 0:
            raise ValueError(f"{self._quota.name}: {self.name} gives {count} of {self.used}")
        if self.used > guaranteed:
            self._quota.committed -= self.used - max(used, guaranteed)
        self.used = used


class ResourceQuota:
    """Accounts for one resource of a process.

    Attributes:
        name: The resource, for log lines.
        capacity: The most that all shares may use together.
        shares: Its shares, in the order in which they were added.
        committed: The sum over all shares of what each uses or is guaranteed, whichever is more; kept up to
            date by the shares.
    """

    def __init__(self, name: str, capacity: int) -> None:
        self.name = name
        self.capacity = capacity
        self.shares: list[QuotaShare] = []
        self.committed = 0

    @property
    def used(self) -> int:
        """What all shares use together."""
        return sum(share.used for share in self.shares)

    @property
    def free(self) -> int:
        """What is left of the common rest; 0 also while a lowered capacity is exceeded."""
        return max(0, self.capacity - self.committed)

    @property
    def excess(self) -> int:
        """By how much more is used than a lowered capacity allows."""
        return max(0, self.used - self.capacity)

    @property
    def utilization(self) -> float:
        """How near any share is to being exhausted: 1 where one can acquire only what others give back.

        What is guaranteed to others and unused is not available to a share, so the sum that is used does
        not show it.
        """
        parts = (
            share.used / (share.used + share.available)
            for share in self.shares
            if share.weight and share.used
        )
        return max(parts, default=0.0)

    def add_share(self, name: str, guaranteed: int = 0, weight: float = 1.0) -> QuotaShare:
        """Add a share.

        Raises:
            ValueError: So much can't be guaranteed, since others are guaranteed the rest.
        """
        if guaranteed < 0 or sum(share.guaranteed for share in self.shares) + guaranteed > self.capacity:
            raise ValueError(f"{self.name}: {guaranteed} for {name} can't be guaranteed")
        share = QuotaShare(self, name, guaranteed, weight)
        self.shares.append(share)
        self.committed += guaranteed
        return share

    def fair_share(self, share: QuotaShare) -> float:
        """Return a share's guarantee and its part, by weight, of the common rest."""
        common = max(0, self.capacity - sum(other.guaranteed for other in self.shares))
        return share.guaranteed + common * share.weight / (sum(other.weight for other in self.shares) or 1.0)

    def make_room(self, share: QuotaShare, count: int, growth: int) -> bool:
        """Make room for a share that wants `count` more where `committed` leaves none.

        Args:
            share: Who wants it.
            count: How much more it wants.
            growth: By how much that goes past its guarantee.

        Returns:
            Whether there is room now.
        """
        if growth:
            return self._reclaim_for(share, count)
        # Within its guarantee, but others still hold what a lowered capacity denies them.
        return self.used + count <= self.capacity

    def resize(self, capacity: int) -> int:
        """Set another capacity.

        If it is lowered, guarantees shrink in proportion until it is raised again, and whoever uses most
        beyond its fair share is asked to give back first. Nothing can be acquired until the sum is under
        the new capacity.

        Returns:
            By how much more than the capacity is still used, once all gave back what they could.
        """
        configured = sum(share.configured for share in self.shares)
        for share in self.shares:
            share.guaranteed = share.configured * min(capacity, configured) // configured if configured else 0
        self.capacity = capacity
        self.committed = sum(max(share.used, share.guaranteed) for share in self.shares)
        return self.reclaim_excess()

    def reclaim_excess(self) -> int:
        """Ask shares to give back what a lowered capacity does not allow; return what is still in excess."""
        if self.excess:
            for share in self._by_excess():
                if self.excess and share.reclaim is not None:
                    share.reclaim(self.excess)
        return self.excess

    def _growth(self, share: QuotaShare, count: int) -> int:
        return max(share.used + count, share.guaranteed) - max(share.used, share.guaranteed)

    def _by_excess(self) -> Iterator[QuotaShare]:
        """Return the shares by how far each is past its fair share, the farthest first."""
        excess = {id(share): share.used - self.fair_share(share) for share in self.shares}
        return iter(sorted(self.shares, key=lambda share: -excess[id(share)]))

    def _reclaim_for(self, share: QuotaShare, count: int) -> bool:
        """Have others give back for a share below its fair share; return whether there is room now."""
        if share.used + count > self.fair_share(share):
            return False
        for other in self._by_excess():
            missing = self.committed + self._growth(share, count) - self.capacity
            if missing <= 0:
                break
            excess = int(other.used - self.fair_share(other))
            if other is not share and other.reclaim is not None and excess > 0:
                other.reclaim(min(missing, excess))
        return self.committed + self._growth(share, count) <= self.capacity


@dataclass(frozen=True, slots=True)
class Budget:
    """The shares that one HTTP server or connection pool has of its process' resources.

    Attributes:
        descriptors: Open sockets.
        buffered: Bytes of heads, bodies and responses that are held.
        calls: Requests that were accepted and are not answered yet.
    """

    descriptors: QuotaShare
    buffered: QuotaShare
    calls: QuotaShare


class Limits:
    """The quotas of one process: descriptors, buffered bytes and open calls."""

    def __init__(self, descriptors: int, buffered_bytes: int, calls: int) -> None:
        self.descriptors = ResourceQuota("descriptors", descriptors)
        self.buffered = ResourceQuota("buffered bytes", buffered_bytes)
        self.calls = ResourceQuota("open calls", calls)

    def resize(self, descriptors: int, buffered_bytes: int, calls: int) -> None:
        """Set other capacities; see `ResourceQuota.resize`."""
        self.descriptors.resize(descriptors)
        self.buffered.resize(buffered_bytes)
        self.calls.resize(calls)

    def unreleased(self) -> list[str]:
        """Return a text for each share that is still used: none once everything is closed."""
        quotas = (self.descriptors, self.buffered, self.calls)
        return [
            f"{share.used} {quota.name} of {share.name}"
            for quota in quotas
            for share in quota.shares
            if share.used
        ]

    def reclaim_excess(self) -> None:
        """Ask again for descriptors and bytes that exceed lowered capacities; calls end by themselves."""
        self.descriptors.reclaim_excess()
        self.buffered.reclaim_excess()

    def budget(self, name: str, descriptors: int = 0, buffered_bytes: int = 0, calls: int = 0) -> Budget:
        """Add a user's shares, each with what it is guaranteed.

        Raises:
            ValueError: So much can't be guaranteed.
        """
        return Budget(
            self.descriptors.add_share(name, descriptors),
            self.buffered.add_share(name, buffered_bytes),
            self.calls.add_share(name, calls),
        )
