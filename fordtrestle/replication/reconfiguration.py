"""Whether a primary needs another epoch, what for, and with which witnesses. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from fordtrestle.replication.epoch_change import plan_witnesses
from fordtrestle.replication.epochs import Epoch, Store, majority
from fordtrestle.replication.events import Reason
from fordtrestle.replication.leadership import Leadership
from fordtrestle.replication.peer_table import PeerTable


def planned_witnesses(
    epoch: Epoch, peers: PeerTable, since: float, target: int, now: float
) -> tuple[Store, ...]:
    """The witnesses that the epoch should have; stores that were never heard count as silent from `since`."""
    others = [store_id for store_id in epoch.witness_ids if store_id != epoch.primary]
    giving_up = peers.giving_up(others, since, now)
    return plan_witnesses(epoch, peers.joining(epoch.witness_ids, now), giving_up, target)


def reason_for_new_epoch(
    leadership: Leadership, peers: PeerTable, planned: Sequence[Store], replica_count: int, now: float
) -> Reason | None:
    """What another epoch is needed for, if it is: another witness, or replicas that are live and mean to
    stay, as many as hold what is acknowledged.
    """
    epoch = leadership.epoch
    live = {epoch.primary} | peers.live(now)
    if planned != epoch.witnesses:
        return Reason.WITNESSES_CHANGE
    spare = live & {store.id for store in planned}
    if len(epoch.replicas) < min(replica_count, len(spare)):
        return Reason.TOO_FEW_REPLICAS
    if not majority(live, epoch.witness_ids):
        return None
    if not live.issuperset(epoch.replicas):
        return Reason.REPLICA_LOST
    if leadership.is_stalled(now):
        return Reason.WRITE_LATE
    leaving = peers.leaving()
    if not leaving.isdisjoint(epoch.replicas) and len(spare - leaving) >= replica_count:
        return Reason.REPLICA_LEAVES
    return None
