"""Whether a primary needs another epoch, what for, and with which witnesses. Pure.

The primary reconfigures its own group, as in Vertical Paxos (Lamport, Malkhi and Zhou 2009): it opens the
next epoch on top of its own.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.replication.epoch_plan import EpochPlan
from fordtrestle.replication.epochs import Epoch, Store, majority
from fordtrestle.replication.events import Reason
from fordtrestle.replication.witness_plan import plan_witnesses


@dataclass(frozen=True, slots=True)
class CoreView:
    """What a primary sees of the core at one moment.

    Attributes:
        epoch: The epoch that it leads.
        live: Ids of the stores that were heard lately, the primary's own among them.
        leaving: Ids of the stores that shut down.
        joining: Stores that wait for a slot as a witness.
        giving_up: Ids of the witnesses whose slots may be given away, in this order.
        is_write_stalled: Whether a write takes too long.
        witness_count: How many witnesses a complete core has.
        replica_count: How many replicas hold each acknowledged write.
    """

    epoch: Epoch
    live: frozenset[str]
    leaving: frozenset[str]
    joining: tuple[Store, ...]
    giving_up: tuple[str, ...]
    is_write_stalled: bool
    witness_count: int
    replica_count: int


def plan_next_epoch(view: CoreView) -> EpochPlan | None:
    """The epoch that is needed in the place of the one that is led, or None where that one serves."""
    planned = plan_witnesses(view.epoch, view.joining, view.giving_up, view.witness_count)
    reason = reason_for_new_epoch(view, planned)
    return EpochPlan(view.epoch, planned, reason) if reason else None


def reason_for_new_epoch(view: CoreView, planned: tuple[Store, ...]) -> Reason | None:
    """What another epoch is needed for, if it is.

    It is for other witnesses, or for replicas that are live and stay, as many as hold what is acknowledged.
    Without a majority of live witnesses it is not begun: it could not be opened, and no write is taken while
    it is tried.
    """
    epoch = view.epoch
    if planned != epoch.witnesses:
        return Reason.WITNESSES_CHANGE
    available = view.live & {store.id for store in planned}
    if len(epoch.replicas) < min(view.replica_count, len(available)):
        return Reason.TOO_FEW_REPLICAS
    if not majority(view.live, epoch.witness_ids):
        return None
    if not view.live.issuperset(epoch.replicas):
        return Reason.REPLICA_LOST
    if view.is_write_stalled:
        return Reason.WRITE_LATE
    is_replica_leaving = not view.leaving.isdisjoint(epoch.replicas)
    if is_replica_leaving and len(available - view.leaving) >= view.replica_count:
        return Reason.REPLICA_LEAVES
    return None
