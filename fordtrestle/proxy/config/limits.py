"""Which resources of the machine a process may use. Pure.

The reader of the table `[limits]` is apart (`limits_table`): the platform's process loads none of it.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from fordtrestle.proxy.engine.limits import Budget, Limits, QuotaShare

MAX_OPEN_CALLS = 2**20  # where the file names no limit: in effect none
MAX_DESCRIPTORS = 2**16  # for connections, where neither the file nor the system names a limit
MIN_CONNECTION_DESCRIPTORS = 4  # with fewer, a process could not serve a client and reach a server
# For clients that are rejected for lack of resources: these are free again soon, or not for long.
RETRY_AFTER_MS = 100.0
RESERVE_SHARE = 0.02  # of the descriptors: for connections past the limit, which are rejected over HTTP
PROGRAM_MB = 24  # memory of the interpreter, the code and idle connections
# With copies that are passed on, and with memory that the interpreter does not return.
MEMORY_BYTES_PER_BUFFERED_BYTE = 3
MIN_BUFFERED_BYTES = 4 * 2**20
MAX_BUFFERED_BYTES = 256 * 2**20


@dataclass(frozen=True, slots=True)
class LimitsSpec:
    """`[limits]`: upper bounds of a whole process, and how they are shared out.

    Attributes:
        descriptors: File descriptors of the process; None: what the system grants (RLIMIT_NOFILE).
        reserved_descriptors: Of them, for the log, the loop, sources and what is opened for a moment.
        memory_mb: Megabytes (2^20 bytes) that the process may use; None: no bound.
        buffered_bytes_most: Bytes of requests and answers in memory at once, over all connections; None: what
            fits.
        open_calls_most: Calls that are accepted and not yet answered, over all services; None:
            `MAX_OPEN_CALLS`.
        fronts_guaranteed_share: Of the descriptors less the reserved ones, for all fronts together.
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
        """Return these limits on a platform that grants so much; None is no bound."""
        return dataclasses.replace(
            self,
            descriptors=_smaller(self.descriptors, descriptors),
            memory_mb=_smaller(self.memory_mb, memory_mb),
        )

    def max_connections(self, granted_descriptors: int | None) -> int:
        """Return the number of descriptors for connections, of those that the system grants the process."""
        descriptors = _smaller(self.descriptors, granted_descriptors)
        available = MAX_DESCRIPTORS if descriptors is None else descriptors
        return max(MIN_CONNECTION_DESCRIPTORS, available - self.reserved_descriptors)

    def make_limits(self, granted_descriptors: int | None) -> Limits:
        """Return the ledgers of a process to which the system grants so many descriptors."""
        return Limits(*self.capacities(granted_descriptors))

    def capacities(self, granted_descriptors: int | None) -> tuple[int, int, int]:
        """Return the capacity of those ledgers: descriptors, bytes and calls."""
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
    """Return the part for connections past the limit; made last, once all budgets have their guarantees."""
    unguaranteed = limits.descriptors.free
    wanted = max(MIN_CONNECTION_DESCRIPTORS, int(limits.descriptors.capacity * RESERVE_SHARE))
    return limits.descriptors.add_share("at the limit", min(unguaranteed, wanted), weight=0.0)


def _buffered_bytes(memory_mb: int | None) -> int:
    """Return how many bytes of requests and answers fit into the memory beside the program itself."""
    if memory_mb is None:
        return MAX_BUFFERED_BYTES
    available_bytes = (memory_mb - PROGRAM_MB) * 2**20
    return max(MIN_BUFFERED_BYTES, available_bytes // MEMORY_BYTES_PER_BUFFERED_BYTE)


def _smaller(one: int | None, other: int | None) -> int | None:
    """Return the smaller of two bounds, where None is no bound."""
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)
