"""What a primary knows of its epoch: who has answered, what is on all replicas, and who lags. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from fordtrestle.replication.catch_up import CatchUp
from fordtrestle.replication.epochs import Epoch, majority
from fordtrestle.replication.state import ControlState

MAJORITY_TIMEOUT_S = 1.2  # without a majority's answer for so long the primary steps down: others may elect
WRITE_TIMEOUT_S = 1.0  # that a write may take before the replicas are changed


@dataclass(frozen=True, slots=True)
class _WriteInFlight:
    state: ControlState  # after it
    began_at: float


@dataclass(slots=True)
class Leadership:
    """The state of one epoch at its primary. Times are s of a steady clock.

    Attributes:
        epoch: The epoch that is led.
        committed_state: The newest state whose writes are all on all replicas.
        confirmed_at: When a majority last answered.
        is_committed: Whether a majority of witnesses holds on disk that the epoch is open.
        confirmed_number: The newest heartbeat that a majority has answered.
        catch_up: The stores that lag.
    """

    epoch: Epoch
    committed_state: ControlState
    confirmed_at: float
    is_committed: bool = False
    confirmed_number: int = 0
    catch_up: CatchUp = field(default_factory=CatchUp)
    _reported_late: float | None = None
    _answered: dict[str, int] = field(default_factory=dict)  # by witness: the newest heartbeat
    _appended: dict[str, int] = field(default_factory=dict)  # by replica: the newest sequence
    _in_flight: deque[_WriteInFlight] = field(default_factory=deque)  # the oldest first

    @property
    def committed_sequence(self) -> int:
        """The sequence up to which all replicas hold the writes."""
        return self.committed_state.sequence

    @property
    def append_since(self) -> float | None:
        """When the oldest write under way was begun; None where none is."""
        return self._in_flight[0].began_at if self._in_flight else None

    def on_heartbeat_ack(self, witness: str, number: int, now: float) -> None:
        """Count a witness that has answered a heartbeat of this epoch, and so has the epoch on disk."""
        self._answered[witness] = max(self._answered.get(witness, 0), number)
        for asked in sorted(set(self._answered.values()), reverse=True):
            reached = {store for store, newest in self._answered.items() if newest >= asked}
            if majority(reached, self.epoch.witness_ids):
                self.is_committed = True
                if asked > self.confirmed_number:
                    self.confirmed_number, self.confirmed_at = asked, now
                return

    def begin_append(self, state: ControlState, now: float) -> None:
        """Take note of a write that leads to this state."""
        self._in_flight.append(_WriteInFlight(state, now))

    def on_appended(self, replica: str, sequence: int) -> bool:
        """Count a replica that holds all writes up to this one; whether more is committed by it.

        Guards against the loss of a disk after an acknowledgement: a write is committed once every replica
        has it on disk, and not only most of them. Answers that come out of order take nothing back.
        """
        self._appended[replica] = max(self._appended.get(replica, 0), sequence)
        on_all = min(self._appended.get(store, 0) for store in self.epoch.replicas)
        committed = self.committed_state
        while self._in_flight and self._in_flight[0].state.sequence <= on_all:
            self.committed_state = self._in_flight.popleft().state
        return self.committed_state is not committed

    def lagging(self) -> set[str]:
        """The replicas that have not said that they hold all that the furthest one holds."""
        furthest = max(self._appended.values(), default=0)
        return {store for store in self.epoch.replicas if self._appended.get(store, 0) < furthest}

    def record_late(self) -> bool:
        """Take note that the oldest write under way takes too long; whether that is new."""
        reported, self._reported_late = self._reported_late, self.append_since
        return reported != self.append_since

    def is_out_of_touch(self, now: float) -> bool:
        """Whether no majority has answered for too long."""
        return now - self.confirmed_at > MAJORITY_TIMEOUT_S

    def is_stalled(self, now: float) -> bool:
        """Whether a write takes too long."""
        return self.append_since is not None and now - self.append_since > WRITE_TIMEOUT_S
