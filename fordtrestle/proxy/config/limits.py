"""The resources of the machine that a process may use. Pure.

The reader of the table `[limits]` is in `limits_table`, which the platform's sidecar does not load.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from fordtrestle.resources.quotas import Budget, Limits, QuotaShare

MAX_OPEN_CALLS = 2**20  # the default; in effect no limit
MAX_DESCRIPTORS = 2**16  # for connections, if neither the file nor the system sets a limit
MIN_CONNECTION_DESCRIPTORS = 4  # with fewer, a process could not serve a client and connect to a server
# Sent to clients that are rejected for lack of resources, which are either free again soon or exhausted for
# long.
RETRY_AFTER_MS = 100.0
RESERVE_SHARE = 0.02  # share of the descriptors for connections past the limit, which are rejected over HTTP
PROGRAM_MB = 24  # memory of the interpreter, the code and idle connections
# Includes copies that are passed on, and memory that the interpreter does not return to the system.
MEMORY_BYTES_PER_BUFFERED_BYTE = 3
MIN_BUFFERED_BYTES = 4 * 2**20
MAX_BUFFERED_BYTES = 256 * 2**20


@dataclass(frozen=True, slots=True)
class LimitsSpec:
    """`[limits]`: upper bounds for the whole process, and how they are divided.

    Attributes:
        descriptors: File descriptors of the process; None for all that the system grants (RLIMIT_NOFILE).
        reserved_descriptors: Descriptors kept for the log, the event loop, sources and files that are opened
            briefly.
        memory_mb: Megabytes (2^20 bytes) that the process may use; None if unbounded.
        buffered_bytes_most: Bytes of requests and responses in memory at once, over all connections; None for
            as many as fit into the memory.
        open_calls_most: Calls in flight over all services, which are accepted and not yet answered; None for
            `MAX_OPEN_CALLS`.
        fronts_guaranteed_share: The share of the descriptors, less the reserved ones, that is guaranteed to
            all fronts together.
        upstreams_guaranteed_share: Likewise, for all connections to servers together.
    """

    descriptors: int | None = None
    reserved_descriptors: int = 24
    memory_mb: int | None = None
    buffered_bytes_most: int | None = None
    open_calls_most: int | None = None
    fronts_guaranteed_share: float = 0.35
    upstreams_guaranteed_share: float = 0.35

    def within(self, descriptors: int | None, memory_mb: int | None) -> LimitsSpec:
        """Return these limits, lowered to what a platform grants; None is no bound."""
        return dataclasses.replace(
            self,
            descriptors=_smaller(self.descriptors, descriptors),
            memory_mb=_smaller(self.memory_mb, memory_mb),
        )

    def max_connections(self, granted_descriptors: int | None) -> int:
        """Return the number of descriptors for connections, given the number that the system grants."""
        descriptors = _smaller(self.descriptors, granted_descriptors)
        available = MAX_DESCRIPTORS if descriptors is None else descriptors
        return max(MIN_CONNECTION_DESCRIPTORS, available - self.reserved_descriptors)

    def make_limits(self, granted_descriptors: int | None) -> Limits:
        """Return the quotas of a process to which the system grants this number of descriptors."""
        return Limits(*self.capacities(granted_descriptors))

    def capacities(self, granted_descriptors: int | None) -> tuple[int, int, int]:
        """Return the capacities of these quotas: descriptors, buffered bytes and calls."""
        return (
            self.max_connections(granted_descriptors),
            self.buffered_bytes_most or _buffered_bytes(self.memory_mb),
            self.open_calls_most or MAX_OPEN_CALLS,
        )


DEFAULT_LIMITS = LimitsSpec()


def make_budget(limits: Limits, name: str, share: float) -> Budget:
    """Return the budget of a front, or of a service's connections to servers, with a guaranteed share."""
    return limits.budget(
        name,
        descriptors=int(limits.descriptors.capacity * share),
        buffered_bytes=int(limits.buffered.capacity * share),
    )


def make_reserve(limits: Limits) -> QuotaShare:
    """Return the quota share for connections past the limit.

    It has to be created last, when all budgets have their guarantees.
    """
    unguaranteed = limits.descriptors.free
    wanted = max(MIN_CONNECTION_DESCRIPTORS, int(limits.descriptors.capacity * RESERVE_SHARE))
    return limits.descriptors.add_share("at the limit", min(unguaranteed, wanted), weight=0.0)


def _buffered_bytes(memory_mb: int | None) -> int:
    """Return how many bytes of requests and responses fit into the memory that the program leaves free."""
    if memory_mb is None:
        return MAX_BUFFERED_BYTES
    available_bytes = (memory_mb - PROGRAM_MB) * 2**20
    return max(MIN_BUFFERED_BYTES, available_bytes // MEMORY_BYTES_PER_BUFFERED_BYTE)


def _smaller(first: int | None, second: int | None) -> int | None:
    """Return the smaller of two bounds; None is no bound."""
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)
