"""What a process may use of its machine, as an operator sets it. Pure."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from fordtrestle.proxy.engine.limits import Budget, Limits, Part

OPEN_CALLS_MOST = 2**20
RETRY_AFTER_MS = 100.0  # told to whom there is no room for: places are free again soon, or not for long
RESERVE_SHARE = 0.02  # of the descriptors: for connections at the limit, which are told so
PROGRAM_MB = 24  # of the memory: interpreter, code and what connections take that hold nothing
BYTES_A_BYTE = 3  # of memory for each byte in the accounting
BUFFERED_LEAST, BUFFERED_MOST = 4 * 2**20, 256 * 2**20


@dataclass(frozen=True, slots=True)
class LimitsOptions:
    """The table `[limits]`: upper bounds of a whole process, and how they are shared out.

    `descriptors`: file descriptors of the process; None: what the system grants (RLIMIT_NOFILE).
    `reserved_descriptors`: of them, for the log, the loop, sources and what opens for a moment.
    `memory_mb`: megabytes (2^20 bytes) that the process may hold; None: not bounded here.
    `buffered_bytes_most`: bytes of requests and answers held at once, over all connections.
    `open_calls_most`: calls taken and not yet answered, over all services.
    `fronts_guaranteed_share`: of the descriptors less the reserved, for all fronts together.
    `upstreams_guaranteed_share`: the same, for all connections to servers together.
    """

    descriptors: int | None = None
    reserved_descriptors: int = 24
    memory_mb: int | None = None
    buffered_bytes_most: int | None = None
    open_calls_most: int | None = None
    fronts_guaranteed_share: float = 0.35
    upstreams_guaranteed_share: float = 0.35

    def within(self, descriptors: int | None, memory_mb: int | None) -> LimitsOptions:
        """These limits where a platform grants so much: its figures stay upper bounds."""
        return dataclasses.replace(
            self,
            descriptors=least(self.descriptors, descriptors),
            memory_mb=least(self.memory_mb, memory_mb),
        )

    def connections_most(self, granted: int | None) -> int:
        """Descriptors for connections, where the system grants so many to the process."""
        whole = least(self.descriptors, granted)
        return max(4, (2**16 if whole is None else whole) - self.reserved_descriptors)

    def ledgers(self, granted: int | None) -> Limits:
        """The ledgers of a process to which the system grants so many descriptors."""
        return Limits(*self.capacities(granted))

    def capacities(self, granted: int | None) -> tuple[int, int, int]:
        """What those ledgers hold: descriptors, bytes and calls."""
        buffered = self.buffered_bytes_most or _buffered(self.memory_mb)
        return self.connections_most(granted), buffered, self.open_calls_most or OPEN_CALLS_MOST


def budget(limits: Limits, name: str, share: float) -> Budget:
    """The parts of a front, or of a service's connections to servers, which is guaranteed such a share."""
    return limits.budget(
        name,
        descriptors=int(limits.descriptors.capacity * share),
        buffered_bytes=int(limits.buffered.capacity * share),
    )


def reserve(limits: Limits) -> Part:
    """The part for connections at the limit; to be made once all others have what they are guaranteed."""
    left = limits.descriptors.free
    guaranteed = min(left, max(4, int(limits.descriptors.capacity * RESERVE_SHARE)))
    return limits.descriptors.part("at the limit", guaranteed, weight=0.0)


def _buffered(memory_mb: int | None) -> int:
    """Bytes of requests and answers that fit beside the program itself.

    Guards against what a byte in the accounting costs beside it: copies while it is passed on, and memory
    that the interpreter does not give back.
    """
    if memory_mb is None:
        return BUFFERED_MOST
    return max(BUFFERED_LEAST, (memory_mb - PROGRAM_MB) * 2**20 // BYTES_A_BYTE)


def least(one: int | None, other: int | None) -> int | None:
    """The smaller of two bounds, where None is no bound."""
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)
