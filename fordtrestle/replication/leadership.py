"""The primary's view of its epoch: acknowledged heartbeats, committed writes, lagging stores. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from fordtrestle.replication.catch_up import CatchUp
from fordtrestle.replication.epochs import Epoch, is_majority
from fordtrestle.replication.state import ControlState

MAJORITY_TIMEOUT_S = 1.2  # without a majority before stepping down: others may be electing
WRITE_TIMEOUT_S = 1.0  # a write that takes longer causes a change of replicas


@dataclass(frozen=True, slots=True)
class _WriteInFlight:
    state: ControlState  # after the write
    started_at: float


@dataclass(slots=True)
class Leadership:
    """The state of one epoch at its primary. Times are in seconds of a monotonic clock.

    Attributes:
        epoch: The epoch.
        committed_state: The newest state whose writes are all held by every replica.
        confirmed_at: When a majority of witnesses last acknowledged a new heartbeat.
        is_committed: Whether a majority of witnesses has recorded on disk that the epoch is open.
        confirmed_heartbeat: The number of the newest heartbeat that a majority has acknowledged.
        catch_up: The lagging stores.
    """

    epoch: Epoch
    committed_state: ControlState
    confirmed_at: float
    is_committed: bool = False
    confirmed_heartbeat: int = 0
    catch_up: CatchUp = field(default_factory=CatchUp)
    _reported_late_since: float | None = None
    _acked_heartbeats: dict[str, int] = field(default_factory=dict)  # number of the newest, by witness
    _appended_sequences: dict[str, int] = field(default_factory=dict)  # the newest, by store
    _in_flight: deque[_WriteInFlight] = field(default_factory=deque)  # oldest first

    @property
    def committed_sequence(self) -> int:
        """The newest sequence whose write, with all before it, is held by every replica."""
        return self.committed_state.sequence

    @property
    def oldest_write_started_at(self) -> float | None:
        """When the oldest write in flight was started; None if there is none."""
        return self._in_flight[0].started_at if self._in_flight else None

    def on_heartbeat_ack(self, witness: str, number: int, now: float) -> None:
        """Record a heartbeat acknowledged by a witness, which therefore has the epoch on disk."""
        self._acked_heartbeats[witness] = max(self._acked_heartbeats.get(witness, 0), number)
        for heartbeat in sorted(set(self._acked_heartbeats.values()), reverse=True):
            acked_by = {store for store, newest in self._acked_heartbeats.items() if newest >= heartbeat}
            if is_majority(acked_by, self.epoch.witness_ids):
                self.is_committed = True
                if heartbeat > self.confirmed_heartbeat:
                    self.confirmed_heartbeat, self.confirmed_at = heartbeat, now
                return

    def begin_append(self, state: ControlState, now: float) -> None:
        """Add a write in flight that results in this state."""
        self._in_flight.append(_WriteInFlight(state, now))

    def on_appended(self, replica: str, sequence: int) -> bool:
        """Record that a store holds all writes up to a sequence.

        Guards against the loss of a disk after an acknowledgement: a write is committed only once every
        replica, not just a majority, has it on disk. Responses that arrive out of order are harmless.

        Returns:
            Whether this committed further writes.
        """
        self._appended_sequences[replica] = max(self._appended_sequences.get(replica, 0), sequence)
        replicated_sequence = min(self._appended_sequences.get(store, 0) for store in self.epoch.replicas)
        committed = self.committed_state
        while self._in_flight and self._in_flight[0].state.sequence <= replicated_sequence:
            self.committed_state = self._in_flight.popleft().state
        return self.committed_state is not committed

    def lagging(self) -> set[str]:
        """Return the replicas that have acknowledged fewer writes than the most advanced store."""
        newest_sequence = max(self._appended_sequences.values(), default=0)
        return {
            store for store in self.epoch.replicas if self._appended_sequences.get(store, 0) < newest_sequence
        }

    def record_late_write(self) -> bool:
        """Mark the oldest write in flight as reported late; return whether it was not reported before."""
        reported, self._reported_late_since = (
            self._reported_late_since,
            self.oldest_write_started_at,
        )
        return reported != self.oldest_write_started_at

    def has_lost_majority(self, now: float) -> bool:
        """Return whether no majority has acknowledged a heartbeat within `MAJORITY_TIMEOUT_S`."""
        return now - self.confirmed_at > MAJORITY_TIMEOUT_S

    def is_stalled(self, now: float) -> bool:
        """Return whether the oldest write in flight has exceeded `WRITE_TIMEOUT_S`."""
        return (
            self.oldest_write_started_at is not None and now - self.oldest_write_started_at > WRITE_TIMEOUT_S
        )
