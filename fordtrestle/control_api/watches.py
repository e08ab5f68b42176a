"""Watches of groups of keys: long polls, answered from the state of this store as it follows the primary.

Events are sent once they are known to be committed. An empty answer is sent only once this store has reached
a read index that was requested after the call arrived: a partitioned store knows neither of newer events nor
that it is partitioned.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Iterator

from fordtrestle.control_api.read_index import READ_INDEX_TIMEOUT_S, SharedReadIndex
from fordtrestle.coordination.answers import Overloaded, Unavailable
from fordtrestle.coordination.history import Compacted, WatchEvents, committed_revision, events_after
from fordtrestle.coordination.limits import HISTORY_MARGIN_S
from fordtrestle.peer.replicator import Replicator

MAX_WATCHES = 3000  # open at a time: each takes a connection, and a process has a few thousand
RETRY_S = 0.1  # between two requests for a read index

# How far events that are sent may lag behind acknowledged writes. A store that lags by more than the margin
# of the history would send a revision that others are about to compact.
MAX_LAG_S = HISTORY_MARGIN_S / 2

WatchAnswer = WatchEvents | Compacted | Overloaded | Unavailable


class WatchService:
    """Keeps watches open until there are events for them.

    Attributes:
        open_watches: How many watches are open.
    """

    def __init__(
        self, replicator: Replicator, read_index: SharedReadIndex, max_watches: int = MAX_WATCHES
    ) -> None:
        """Create a service without watches.

        Args:
            replicator: Drives this store.
            read_index: Asks the primary for the read index.
            max_watches: How many watches may be open at a time.
        """
        self.open_watches = 0
        self._max_watches = max_watches
        self._replicator = replicator
        self._node = replicator.node
        self._now = replicator.now
        self._read_index = read_index
        self._is_closing = False
        self._wake_ups: defaultdict[str, set[asyncio.Event]] = defaultdict(set)  # by group
        self._announced_revisions: dict[str, int] = {}  # the newest committed revision of each watched group
        self._seen_sequence = 0

    async def watch(self, group: str, after: int, wait_s: float) -> WatchAnswer:
        """Wait for events of a group.

        Args:
            group: The group's name.
            after: The newest revision that the caller knows; 0 asks for the current revision only.
            wait_s: For how long to wait for an event, in seconds.

        Returns:
            The events, or no events once the wait is over. `Unavailable` if this store can't confirm that
            there are none, or shuts down.
        """
        if self.open_watches >= self._max_watches:
            return Overloaded()
        self.open_watches += 1
        try:
            with self._wake_up_for(group) as wake_up:
                return await self._watch(group, after, self._now() + wait_s, wake_up)
        finally:
            self.open_watches -= 1

    def on_progress(self) -> None:
        """Wake the watches of groups that have new committed events."""
        sequence = self._node.committed_sequence
        if sequence == self._seen_sequence:
            return
        self._seen_sequence = sequence
        for group, wake_ups in self._wake_ups.items():
            revision = self._committed_revision(group)
            if revision != self._announced_revisions.get(group):
                self._announced_revisions[group] = revision
                for wake_up in wake_ups:
                    wake_up.set()

    def close(self) -> None:
        """Answer all open and all later watches at once, so that their callers go to another process."""
        self._is_closing = True
        for wake_ups in self._wake_ups.values():
            for wake_up in wake_ups:
                wake_up.set()

    async def _watch(self, group: str, after: int, until: float, wake_up: asyncio.Event) -> WatchAnswer:
        if not self._is_following():
            return Unavailable()
        confirmation = asyncio.create_task(self._reach_read_index(until))
        confirmation.add_done_callback(lambda _: wake_up.set())
        try:
            while not self._is_closing:
                answer = self._find(group, after)
                if isinstance(answer, Compacted):
                    return answer
                if answer.events and self._read_index.is_fresh(self._node.committed_sequence, MAX_LAG_S):
                    return answer
                must_answer = answer.events or after == 0 or self._now() >= until
                if confirmation.done() and must_answer:
                    return answer if confirmation.result() else Unavailable()
                wake_up.clear()
                # After `until` only the confirmation is awaited, which has a deadline of its own.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(until if self._now() < until else None):
                        await wake_up.wait()
            return Unavailable()
        finally:
            confirmation.cancel()

    def _is_following(self) -> bool:
        """Whether the primary sends this store its writes."""
        epoch = self._node.epoch
        return epoch is not None and self._node.me.id in epoch.witness_ids

    async def _reach_read_index(self, until: float) -> bool:
        """Wait until this store has reached a read index that is requested after this call.

        Returns:
            Whether it has in time.
        """
        give_up_at = max(until, self._now()) + READ_INDEX_TIMEOUT_S
        sequence = await self._read_index.read()
        while sequence is None and self._now() < give_up_at:
            await asyncio.sleep(RETRY_S)
            sequence = await self._read_index.read()
        if sequence is None:
            return False
        return await self._catch_up(sequence, give_up_at - self._now())

    async def _catch_up(self, sequence: int, timeout_s: float) -> bool:
        node = self._node
        return await self._replicator.wait_until(lambda: node.committed_sequence >= sequence, timeout_s)

    def _find(self, group: str, after: int) -> WatchEvents | Compacted:
        if after == 0:
            return WatchEvents((), self._committed_revision(group))
        state = self._node.durable.state.coordination.group(group)
        return events_after(state, after, self._node.committed_sequence)

    def _committed_revision(self, group: str) -> int:
        state = self._node.durable.state.coordination.group(group)
        return committed_revision(state, self._node.committed_sequence)

    @contextlib.contextmanager
    def _wake_up_for(self, group: str) -> Iterator[asyncio.Event]:
        """Register an event that is set when a group may have new committed events."""
        wake_up = asyncio.Event()
        self._wake_ups[group].add(wake_up)
        self._announced_revisions.setdefault(group, self._committed_revision(group))
        try:
            yield wake_up
        finally:
            self._wake_ups[group].discard(wake_up)
            if not self._wake_ups[group]:
                del self._wake_ups[group]
                self._announced_revisions.pop(group, None)
