"""Confirms that this store is primary, by a majority of witnesses that are asked anew."""

from __future__ import annotations

from fordtrestle.peer.replicator import Replicator

# For a majority of witnesses to answer a heartbeat: many round trips between regions. A store that has heard
# nothing for so long is partitioned.
CONFIRM_TIMEOUT_S = 2.0


async def confirm_leadership(replicator: Replicator) -> bool:
    """Whether a majority of witnesses, asked now, knows of no newer epoch (Raft's read index, 6.4)."""
    node = replicator.node
    asked = node.begin_confirmation(replicator.now())
    replicator.pump()
    await replicator.wait_until(lambda: node.is_confirmed(asked) or not node.is_primary, CONFIRM_TIMEOUT_S)
    return node.is_confirmed(asked)
