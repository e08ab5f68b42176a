"""Decides whether a primary needs a new epoch, for which reason and with which witnesses. Pure.

The primary reconfigures its own group, as in Vertical Paxos (Lamport, Malkhi and Zhou 2009): it opens the
epoch that succeeds its own.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.epochs import Epoch, Store, is_majority
from fordtrestle.replication.events import Reason
from fordtrestle.replication.witness_plan import plan_witnesses


@dataclass(frozen=True, slots=True)
class CoreView:
    """A primary's view of the core at one moment.

    Attributes:
        epoch: The epoch that it leads.
        live: Ids of the live stores, including the primary.
        leaving: Ids of the stores that are shutting down.
        joining: Stores that are waiting for a slot as a witness.
        replaceable: Ids of the witnesses whose slots may be reassigned, in order of preference.
        is_write_stalled: Whether the oldest write in flight has timed out.
        witness_count: How many witnesses a complete core has.
        replica_count: How many replicas must hold a write before it is acknowledged.
    """

    epoch: Epoch
    live: frozenset[str]
    leaving: frozenset[str]
    joining: tuple[Store, ...]
    replaceable: tuple[str, ...]
    is_write_stalled: bool
    witness_count: int
    replica_count: int


def plan_next_epoch(view: CoreView) -> EpochPlan | None:
    """Return the plan for the next epoch, or None if the current epoch can continue."""
    planned = plan_witnesses(view.epoch, view.joining, view.replaceable, view.witness_count)
    reason = reason_for_new_epoch(view, planned)
    return EpochPlan(view.epoch, planned, reason) if reason else None


def reason_for_new_epoch(view: CoreView, planned: tuple[Store, ...]) -> Reason | None:
    """Return why a new epoch is needed, or None.

    A new epoch changes the witnesses, or restores `replica_count` replicas that are live, keep up and are not
    shutting down. A replica is not replaced without a majority of live witnesses: the epoch could not be
    opened, and no writes are accepted during the attempt.
    """
    epoch = view.epoch
    if planned != epoch.witnesses:
        return Reason.WITNESSES_CHANGE
    available = view.live & {store.id for store in planned}
    if len(epoch.replicas) < min(view.replica_count, len(available)):
        return Reason.TOO_FEW_REPLICAS
    if not is_majority(view.live, epoch.witness_ids):
        return None
    if not view.live.issuperset(epoch.replicas):
        return Reason.REPLICA_LOST
    if view.is_write_stalled:
        return Reason.WRITE_LATE
    is_replica_leaving = not view.leaving.isdisjoint(epoch.replicas)
    if is_replica_leaving and len(available - view.leaving) >= view.replica_count:
        return Reason.REPLICA_LEAVES
    return None
