"""What a primary keeps of its epoch: who has answered which heartbeat, what is on all replicas, and who is
behind.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from fordtrestle.replication.catch_up import CatchUp
from fordtrestle.replication.epochs import Epoch, majority

MAJORITY_TIMEOUT_S = 1.2  # without a majority's answer for so long the primary steps down: others may elect
WRITE_TIMEOUT_S = 1.0  # that a write may take before the replicas are changed


@dataclass(slots=True)
class Leadership:
    """Times are s of a steady clock."""

    epoch: Epoch
    committed: int  # sequence up to which all replicas hold the state
    confirmed_at: float  # when a majority last answered
    is_committed: bool = False  # by a majority of witnesses, on disk
    confirmed_number: int = 0  # of heartbeats: a majority has answered it
    append_since: float | None = None  # when the oldest write under way was begun
    catch_up: CatchUp = field(default_factory=CatchUp)
    _reported_late: float | None = None
    _answered: dict[str, int] = field(default_factory=dict)  # by witness: the newest number
    _appended: dict[str, int] = field(default_factory=dict)  # by replica: the newest sequence

    def on_heartbeat_ack(self, witness: str, number: int, now: float) -> None:
        """A witness has answered a heartbeat of this epoch, having it on disk."""
        self._answered[witness] = max(self._answered.get(witness, 0), number)
        for asked in sorted(set(self._answered.values()), reverse=True):
            reached = {store for store, newest in self._answered.items() if newest >= asked}
            if majority(reached, self.epoch.witness_ids):
                self.is_committed = True
                if asked > self.confirmed_number:
                    self.confirmed_number, self.confirmed_at = asked, now
                return

    def begin_append(self, now: float) -> None:
        """A write is under way."""
        if self.append_since is None:
            self.append_since = now

    def on_appended(self, replica: str, sequence: int) -> None:
        """A replica holds all writes up to this one."""
        self._appended[replica] = max(self._appended.get(replica, 0), sequence)
        everywhere = min(self._appended.get(store, 0) for store in self.epoch.replicas)
        if everywhere > self.committed:
            self.committed = everywhere
            self.append_since = None

    def lagging(self) -> set[str]:
        """The replicas that have not said that they hold all that the furthest one holds."""
        most = max(self._appended.values(), default=0)
        return {store for store in self.epoch.replicas if self._appended.get(store, 0) < most}

    def record_late(self) -> bool:
        """Note that the oldest write under way takes too long; whether that is new."""
        reported, self._reported_late = self._reported_late, self.append_since
        return reported != self.append_since

    def is_out_of_touch(self, now: float) -> bool:
        """Whether no majority has answered for too long."""
        return now - self.confirmed_at > MAJORITY_TIMEOUT_S

    def is_stalled(self, now: float) -> bool:
        """Whether a write takes too long."""
        return self.append_since is not None and now - self.append_since > WRITE_TIMEOUT_S
