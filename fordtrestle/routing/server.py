"""The state of one server, as one sidecar knows it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordtrestle.dissemination.items import Phase, ServerRecord, Version
from fordtrestle.routing.common import InstanceId, RegionName
from fordtrestle.routing.outlier_ejection import ServerHealth

MS_PER_S = 1000.0
CONNECT_BACKOFF_S = 0.25  # after a failed connection; doubles with each further consecutive failure
MAX_BACKOFF_DOUBLINGS = 4  # limits the backoff to 4 s
DELAY_GAIN = 0.2  # weight of the newest response in the mean delay, which covers about five responses
DELAY_DECAY_S = 3.0  # time in which a delay decays to 1/e, so that a server without requests is tried again


@dataclass(slots=True, eq=False)
class Server:
    """One incarnation of a server: its newest record and what this sidecar has observed of it.

    Times are seconds of the loop's clock.

    Attributes:
        record: The newest record.
        region: The region of the server's zone.
        updated_at: When the record was received.
        version: The version of the record.
        in_flight: The number of this sidecar's requests in flight.
        prefill_tokens: Tokens in this sidecar's prompts whose responses have not begun.
        warming_up_until: The end of the warm-up.
        backoff_until: The end of the backoff after failed connections.
        last_answer_at: When the server last responded to any request.
        connection_failures: The number of consecutive failed connections.
        mean_delay: The mean delay of its responses as a share of their latency targets, at `mean_delay_at`.
        mean_delay_at: When the mean was last updated.
        health: The outcomes of this sidecar's requests, and the server's ejections.
        is_misdirected: Whether another incarnation was found at its address; reset by a newer record.
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
        """Apply a newer record.

        A server that was unresponsive and is responsive again is tried at once. The end of its warm-up is
        never moved earlier, because it may have been estimated before (`ServerTable.mark_warming_up`).
        """
        if self.record.is_unresponsive and not record.is_unresponsive:
            self.backoff_until, self.connection_failures = now, 0
        self.is_misdirected = False
        self.record, self.version, self.updated_at = record, version, now
        self.warming_up_until = max(self.warming_up_until, now + record.warm_up_ms / MS_PER_S)

    def on_connection_failure(self, now: float) -> None:
        """Back off after a connection failed or broke, which indicates absence and not load."""
        doublings = min(self.connection_failures, MAX_BACKOFF_DOUBLINGS)
        self.backoff_until = now + CONNECT_BACKOFF_S * 2**doublings
        self.connection_failures += 1

    def on_answer(self, now: float) -> None:
        """Record a response, which resets the count of consecutive failed connections."""
        self.connection_failures, self.last_answer_at = 0, now

    def has_not_answered_since(self, sent_at: float) -> bool:
        """Return whether the server has not responded to any request since a send.

        This distinguishes a hung server from an overloaded one, which responds to some requests.
        """
        return self.last_answer_at < sent_at

    def record_delay(self, delay: float, now: float) -> None:
        """Update the mean with the delay of a response, given as a share of its latency target."""
        current = self.latency_penalty(now)
        self.mean_delay, self.mean_delay_at = current + DELAY_GAIN * (delay - current), now

    def latency_penalty(self, now: float) -> float:
        """Return the mean delay of its responses as a share of their latency targets, decayed up to `now`."""
        return self.mean_delay * math.exp((self.mean_delay_at - now) / DELAY_DECAY_S)

    def is_usable(self, now: float) -> bool:
        """Return whether the server's own state lets it receive a request now."""
        if self.record.phase is not Phase.SERVING or self.record.is_unresponsive:
            return False
        return not self.is_misdirected and now >= self.backoff_until

    def is_warming_up(self, now: float) -> bool:
        """Return whether the server is warming up, so that its warm-up rate applies."""
        return now < self.warming_up_until
