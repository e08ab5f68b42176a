"""Confirms that this store is primary by a majority of witnesses, which are asked on each call."""

from __future__ import annotations

from fordtrestle.peer.replicator import Replicator

# Time limit for a majority of witnesses to answer a heartbeat: many round trips between regions. A store that
# gets no answer for that long is partitioned.
CONFIRM_TIMEOUT_S = 2.0


async def confirm_leadership(replicator: Replicator) -> bool:
    """Ask the witnesses whether they know of a newer epoch (Raft's read index, 6.4).

    Returns:
        Whether a majority answered, in time, that it knows of none.
    """
    node = replicator.node
    heartbeat_number = node.begin_confirmation(replicator.now())
    replicator.pump()
    await replicator.wait_until(
        lambda: node.is_confirmed(heartbeat_number) or not node.is_primary, CONFIRM_TIMEOUT_S
    )
    return node.is_confirmed(heartbeat_number)
