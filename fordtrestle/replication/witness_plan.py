"""Chooses the witnesses of the next epoch. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from fordtrestle.replication.epochs import Epoch, Store


def plan_witnesses(
    epoch: Epoch, joining: Iterable[Store], replaceable: Sequence[str], witness_count: int
) -> tuple[Store, ...]:
    """Return the witnesses that the next epoch should have.

    A joining store takes the slot of a witness on the same machine, whose disk was lost. Otherwise it takes a
    replaceable slot, or adds one up to `witness_count`. Slots of lost witnesses are reassigned first, so that
    a majority remains if the new witness is lost as well. Stores of zones without a witness go first, and may
    take a slot from a zone with several witnesses, so that a majority survives the loss of a zone.

    Args:
        epoch: The current epoch.
        joining: Stores that are waiting for a slot.
        replaceable: Ids of the witnesses whose slots may be reassigned, in order of preference.
        witness_count: How many witnesses a complete core has.
    """
    planned = list(epoch.witnesses)
    waiting = list(joining)
    while waiting:
        zones = {witness.zone for witness in planned}
        joiner = min(waiting, key=lambda store: (store.zone in zones, store.id))
        waiting.remove(joiner)
        slot = slot_for(joiner, planned, replaceable, epoch.replicas)
        if slot is not None:
            planned[slot] = joiner
        elif len(planned) < witness_count:
            planned.append(joiner)
    return tuple(planned)


def slot_for(
    joiner: Store, planned: Sequence[Store], replaceable: Sequence[str], replicas: Sequence[str]
) -> int | None:
    """Return the index of the slot that a store may take, or None.

    To spread witnesses over zones, a store may take the slot of a crowded zone, but never that of a replica.
    """
    ids = [store.id for store in planned]
    for index, store in enumerate(planned):
        if store.address == joiner.address:
            return index
    for store_id in replaceable:
        if store_id in ids:
            return ids.index(store_id)
    zones = [store.zone for store in planned]
    if joiner.zone in zones:
        return None
    spare = (i for i, store in enumerate(planned) if zones.count(store.zone) > 1 and store.id not in replicas)
    return next(spare, None)
