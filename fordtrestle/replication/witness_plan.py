"""Which stores are the witnesses of the next epoch. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from fordtrestle.replication.epochs import Epoch, Store


def plan_witnesses(
    epoch: Epoch, joining: Iterable[Store], giving_up: Sequence[str], witness_count: int
) -> tuple[Store, ...]:
    """The witnesses that the next epoch should have.

    A store in the machine of another takes that one's slot: its disk was lost. Others fill up to
    `witness_count`, or take the slot of one that gives it up: with the slot of a lost store filled first, the
    loss of the new one as well leaves a majority. Stores of zones without a witness go first, and take a slot
    from a zone that has several, so that the loss of a zone leaves a majority.

    Args:
        epoch: The epoch that is there.
        joining: Stores that wait for a slot.
        giving_up: Ids of witnesses whose slots may be given away, in this order.
        witness_count: How many witnesses a complete core has.
    """
    planned = list(epoch.witnesses)
    waiting = list(joining)
    while waiting:
        zones = {witness.zone for witness in planned}
        joiner = min(waiting, key=lambda store: (store.zone in zones, store.id))
        waiting.remove(joiner)
        slot = slot_for(joiner, planned, giving_up, epoch.replicas)
        if slot is not None:
            planned[slot] = joiner
        elif len(planned) < witness_count:
            planned.append(joiner)
    return tuple(planned)


def slot_for(
    joiner: Store, planned: Sequence[Store], giving_up: Sequence[str], replicas: Sequence[str]
) -> int | None:
    """The index of the witness whose slot a store may take, or None; a replica's is not given to a zone."""
    ids = [store.id for store in planned]
    for index, store in enumerate(planned):
        if store.address == joiner.address:
            return index
    for store_id in giving_up:
        if store_id in ids:
            return ids.index(store_id)
    zones = [store.zone for store in planned]
    if joiner.zone in zones:
        return None
    spare = (i for i, store in enumerate(planned) if zones.count(store.zone) > 1 and store.id not in replicas)
    return next(spare, None)
