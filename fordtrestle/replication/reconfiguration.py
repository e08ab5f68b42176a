"""Whether a primary needs another epoch, what for, and with which witnesses. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from fordtrestle.replication.contacts import Contacts
from fordtrestle.replication.epochs import Epoch, Store, majority
from fordtrestle.replication.events import Why
from fordtrestle.replication.leadership import Leadership
from fordtrestle.replication.opening import plan_witnesses


def planned_witnesses(
    epoch: Epoch, contacts: Contacts, since: float, target: int, now: float
) -> tuple[Store, ...]:
    """The witnesses that the epoch should have; stores that were never heard count as silent from `since`."""
    others = [store_id for store_id in epoch.witness_ids if store_id != epoch.primary]
    giving_up = contacts.giving_up(others, since, now)
    return plan_witnesses(epoch, contacts.newcomers(epoch.witness_ids, now), giving_up, target)


def why_anew(
    leadership: Leadership, contacts: Contacts, planned: Sequence[Store], replica_count: int, now: float
) -> Why | None:
    """What another epoch is needed for, if it is: another witness, or replicas that are live and mean to
    stay, as many as hold what is acknowledged.
    """
    epoch = leadership.epoch
    live = {epoch.primary} | contacts.live(now)
    if planned != epoch.witnesses:
        return Why.WITNESSES
    spare = live & {store.id for store in planned}
    if len(epoch.replicas) < min(replica_count, len(spare)):
        return Why.TOO_FEW
    if not majority(live, epoch.witness_ids):
        return None
    if not live.issuperset(epoch.replicas):
        return Why.REPLICA_LOST
    if leadership.is_held_up(now):
        return Why.WRITE_LATE
    leaving = contacts.leaving()
    if not leaving.isdisjoint(epoch.replicas) and len(spare - leaving) >= replica_count:
        return Why.REPLICA_LEAVES
    return None
