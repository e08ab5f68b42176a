"""Resource quotas of one process, divided among its HTTP servers and connection pools. Pure.

A `ResourceQuota` accounts for one resource (descriptors, bytes, calls). Each HTTP server, pool or other
user has a `QuotaShare` of it. The guaranteed part of a share is reserved for its user at any time; the rest
of the capacity is common and is borrowed first come, first served. Once the common part is used up, a share
that uses less than its fair share can reclaim from one that uses more: that user evicts in its own order, or
gives nothing back. The total in use never exceeds the capacity.

Acquiring and releasing take constant time; only reclaiming from others looks at each share once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

Reclaim = Callable[[int], None]


class QuotaShare:
    """The part of a quota that one user has.

    Attributes:
        name: The user, for log lines.
        guaranteed: The amount reserved for this user; it shrinks while the capacity is lowered.
        configured_guarantee: The amount reserved while the capacity is enough for all guarantees.
        weight: Its part of the common capacity in a shortage, relative to the weights of others.
        used: The amount in use now.
        peak: The largest amount ever in use.
        reclaim: Called with a count that others need; it releases at least that much at once, as far as it
            can. None if this user gives nothing back.
    """

    __slots__ = ("_quota", "configured_guarantee", "guaranteed", "name", "peak", "reclaim", "used", "weight")

    def __init__(self, quota: ResourceQuota, name: str, guaranteed: int, weight: float) -> None:
        self._quota = quota
        self.name = name
        self.configured_guarantee = guaranteed
        self.guaranteed = guaranteed
        self.weight = weight
        self.used = 0
        self.peak = 0
        self.reclaim: Reclaim | None = None

    @property
    def fair_share(self) -> float:
        """The amount it may use while others need more than they have."""
        return self._quota.fair_share(self)

    @property
    def capacity(self) -> int:
        """The largest amount that all shares of its quota may use together."""
        return self._quota.capacity

    @property
    def available(self) -> int:
        """The amount it could acquire now without reclaiming from others."""
        return max(0, self.guaranteed - self.used) + self._quota.free

    def acquire(self, count: int = 1) -> bool:
        """Acquire `count` more, by reclaiming from others if necessary; return whether that succeeded."""
        # Written in one piece for speed, as is `release`: each request acquires and releases four times.
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
        """Acquire `count` more without reclaiming from others; return whether that succeeded."""
        return self.available >= count and self.acquire(count)

    def release(self, count: int = 1) -> None:
        """Release `count`.

        Raises:
            ValueError: `count` is negative or exceeds the amount in use.
        """
        used, guaranteed = self.used - count, self.guaranteed
        if count < 0 or used < 0:
            raise ValueError(f"{self._quota.name}: {self.name} can't release {count} of {self.used}")
        if self.used > guaranteed:
            self._quota.committed -= self.used - max(used, guaranteed)
        self.used = used


class ResourceQuota:
    """Accounts for one resource of a process.

    Attributes:
        name: The resource, for log lines.
        capacity: The largest amount that all shares may use together.
        shares: Its shares, in the order in which they were added.
        committed: The sum over all shares of the amount in use or guaranteed, whichever is larger; the shares
            keep it up to date.
    """

    def __init__(self, name: str, capacity: int) -> None:
        self.name = name
        self.capacity = capacity
        self.shares: list[QuotaShare] = []
        self.committed = 0

    @property
    def used(self) -> int:
        """The amount that all shares use together."""
        return sum(share.used for share in self.shares)

    @property
    def free(self) -> int:
        """The unused common capacity; 0 also while usage exceeds a lowered capacity."""
        return max(0, self.capacity - self.committed)

    @property
    def excess(self) -> int:
        """The amount by which usage exceeds a lowered capacity."""
        return max(0, self.used - self.capacity)

    @property
    def utilization(self) -> float:
        """The utilization of the share that is closest to exhaustion.

        It is 1 if that share can acquire only what others give back. The unused guarantees of others are not
        available to a share, so the total in use does not show how close it is.
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
            ValueError: `guaranteed` is negative, or exceeds what other guarantees leave of the capacity.
        """
        if guaranteed < 0 or sum(share.guaranteed for share in self.shares) + guaranteed > self.capacity:
            raise ValueError(f"{self.name}: {guaranteed} for {name} can't be guaranteed")
        share = QuotaShare(self, name, guaranteed, weight)
        self.shares.append(share)
        self.committed += guaranteed
        return share

    def fair_share(self, share: QuotaShare) -> float:
        """Return a share's guarantee plus its part, by weight, of the common capacity."""
        common = max(0, self.capacity - sum(other.guaranteed for other in self.shares))
        return share.guaranteed + common * share.weight / (sum(other.weight for other in self.shares) or 1.0)

    def make_room(self, share: QuotaShare, count: int, growth: int) -> bool:
        """Make room for a share that needs `count` more when `committed` leaves no room.

        Args:
            share: The share that needs it.
            count: How much more it needs.
            growth: How much of that exceeds its guarantee.

        Returns:
            Whether there is room now.
        """
        if growth:
            return self._reclaim_for(share, count)
        # Within its guarantee, but others still use more than a lowered capacity allows them.
        return self.used + count <= self.capacity

    def resize(self, capacity: int) -> int:
        """Change the capacity.

        If it is lowered, guarantees shrink in proportion until it is raised again, and shares are asked to
        give back, beginning with the one furthest above its fair share. Nothing can be acquired until the
        total in use is below the new capacity.

        Returns:
            The amount by which usage still exceeds the capacity after all shares gave back what they could.
        """
        configured_guarantee = sum(share.configured_guarantee for share in self.shares)
        for share in self.shares:
            share.guaranteed = (
                share.configured_guarantee * min(capacity, configured_guarantee) // configured_guarantee
                if configured_guarantee
                else 0
            )
        self.capacity = capacity
        self.committed = sum(max(share.used, share.guaranteed) for share in self.shares)
        return self.reclaim_excess()

    def reclaim_excess(self) -> int:
        """Ask shares to give back what exceeds a lowered capacity; return the excess that remains."""
        if self.excess:
            for share in self._by_excess():
                if self.excess and share.reclaim is not None:
                    share.reclaim(self.excess)
        return self.excess

    def _growth(self, share: QuotaShare, count: int) -> int:
        return max(share.used + count, share.guaranteed) - max(share.used, share.guaranteed)

    def _by_excess(self) -> Iterator[QuotaShare]:
        """Return the shares by how far each is above its fair share, the furthest first."""
        excess = {id(share): share.used - self.fair_share(share) for share in self.shares}
        return iter(sorted(self.shares, key=lambda share: -excess[id(share)]))

    def _reclaim_for(self, share: QuotaShare, count: int) -> bool:
        """Reclaim from others for a share below its fair share; return whether there is room now."""
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
    """The shares of one HTTP server or connection pool in the resources of its process.

    Attributes:
        descriptors: Open sockets.
        buffered: Buffered bytes of heads, bodies and responses.
        calls: Requests that were accepted and are not answered yet.
    """

    descriptors: QuotaShare
    buffered: QuotaShare
    calls: QuotaShare


class Limits:
    """Holds the quotas of one process: descriptors, buffered bytes and open calls."""

    def __init__(self, descriptors: int, buffered_bytes: int, calls: int) -> None:
        self.descriptors = ResourceQuota("descriptors", descriptors)
        self.buffered = ResourceQuota("buffered bytes", buffered_bytes)
        self.calls = ResourceQuota("open calls", calls)

    def resize(self, descriptors: int, buffered_bytes: int, calls: int) -> None:
        """Change the capacities; see `ResourceQuota.resize`."""
        self.descriptors.resize(descriptors)
        self.buffered.resize(buffered_bytes)
        self.calls.resize(calls)

    def unreleased(self) -> list[str]:
        """Describe each share that is still in use; empty once everything is closed."""
        quotas = (self.descriptors, self.buffered, self.calls)
        return [
            f"{share.used} {quota.name} of {share.name}"
            for quota in quotas
            for share in quota.shares
            if share.used
        ]

    def reclaim_excess(self) -> None:
        """Ask again for descriptors and bytes above lowered capacities; calls end by themselves."""
        self.descriptors.reclaim_excess()
        self.buffered.reclaim_excess()

    def budget(self, name: str, descriptors: int = 0, buffered_bytes: int = 0, calls: int = 0) -> Budget:
        """Add the shares of a user with the given guarantees.

        Raises:
            ValueError: Other guarantees leave too little of a capacity.
        """
        return Budget(
            self.descriptors.add_share(name, descriptors),
            self.buffered.add_share(name, buffered_bytes),
            self.calls.add_share(name, calls),
        )
