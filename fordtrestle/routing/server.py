"""One server as one sidecar sees it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordtrestle.dissemination.items import Phase, ServerRecord, Version
from fordtrestle.routing.common import InstanceId, RegionName
from fordtrestle.routing.outlier_ejection import ServerHealth

MS_PER_S = 1000.0
CONNECT_BACKOFF_S = 0.25  # after a connection failed; doubles with each further failure in a row
MAX_BACKOFF_DOUBLINGS = 4  # up to 4 s
DELAY_GAIN = 0.2  # weight of the newest answer in the mean delay: some five answers make up the mean
DELAY_DECAY_S = 3.0  # in which a delay falls to 1/e: a server that gets no requests is tried again


@dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a server: what its record says, and what this sidecar has seen of it.

    Times are seconds of the loop's clock.

    Attributes:
        record: The newest record.
        region: The region of its zone.
        updated_at: When the record came.
        version: The record's version.
        in_flight: This sidecar's own requests there.
        prefill_tokens: Tokens of this sidecar's own prompts there whose answers have not begun.
        warming_up_until: Until when it is warming up.
        backoff_until: Until when it gets no requests because connections failed.
        last_answer_at: When it last answered anything.
        connection_failures: Connections that failed, in a row.
        mean_delay: Mean delay of its answers, in shares of their latency targets, as of `mean_delay_at`.
        mean_delay_at: When the mean was last updated.
        health: How this sidecar's requests there ended.
        is_misdirected: Whether another incarnation has its address; until a newer record of this one.
    """

    record: ServerRecord
    region: RegionName
    updated_at: float
    version: Version
    in_flight: int = 0
    prefill_tokens: int = 0
    warming_up_until: float = 0.0
    backoff_until: float = 0.0
    last_answer_at: float = float("-inf")
    connection_failures: int = 0
    mean_delay: float = 0.0
    mean_delay_at: float = 0.0
    health: ServerHealth = field(default_factory=ServerHealth)
    is_misdirected: bool = False

    @property
    def instance(self) -> InstanceId:
        """The id of this incarnation."""
        return self.record.instance

    def update(self, record: ServerRecord, version: Version, now: float) -> None:
        """Follow a newer record.

        A server that is heard again after it was unresponsive is tried at once. The end of its warm-up only
        moves later: it may have been guessed before (`ServerTable.mark_warming_up`).
        """
        if self.record.is_unresponsive and not record.is_unresponsive:
            self.backoff_until, self.connection_failures = now, 0
        self.is_misdirected = False
        self.record, self.version, self.updated_at = record, version, now
        self.warming_up_until = max(self.warming_up_until, now + record.warm_up_ms / MS_PER_S)

    def on_connection_failure(self, now: float) -> None:
        """Back off: no connection came up, or one broke. That is absence, which says nothing of load."""
        doublings = min(self.connection_failures, MAX_BACKOFF_DOUBLINGS)
        self.backoff_until = now + CONNECT_BACKOFF_S * 2**doublings
        self.connection_failures += 1

    def on_answer(self, now: float) -> None:
        """Record that it has answered something, which ends the row of failed connections."""
        self.connection_failures, self.last_answer_at = 0, now

    def has_not_answered_since(self, sent_at: float) -> bool:
        """Return whether nothing of it came since a send.

        This tells a server that hangs from one that is overloaded, which answers some requests.
        """
        return self.last_answer_at < sent_at

    def record_delay(self, delay: float, now: float) -> None:
        """Take the delay of an answer into account, in shares of its latency target."""
        current = self.latency_penalty(now)
        self.mean_delay, self.mean_delay_at = current + DELAY_GAIN * (delay - current), now

    def latency_penalty(self, now: float) -> float:
        """Return how late its answers begin, in shares of their latency targets; decays while none comes."""
        return self.mean_delay * math.exp((self.mean_delay_at - now) / DELAY_DECAY_S)

    def is_usable(self, now: float) -> bool:
        """Return whether it may take a request now, as far as it is itself concerned."""
        if self.record.phase is not Phase.SERVING or self.record.is_unresponsive:
            return False
        return not self.is_misdirected and now >= self.backoff_until

    def is_warming_up(self, now: float) -> bool:
        """Return whether its warm-up rate binds."""
        return now < self.warming_up_until
