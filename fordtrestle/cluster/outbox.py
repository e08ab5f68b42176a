"""What a member says and stores: nothing is said before that on which it rests is durable. Pure."""

from __future__ import annotations

from collections import deque

from fordtrestle.cluster.log import Log
from fordtrestle.cluster.messages import Action, AnyMessage, Meta, Send, Snapshot, Store


class Outbox:
    """The actions of one call, and the stores and messages of earlier ones that wait.

    A store takes the next token, and tokens become durable in their order. `durable_index`: up to where the
    log as it is now is on disk."""

    def __init__(self, stores_most: int, held_most: int, durable_index: int) -> None:
        self.durable = 0  # the last token
        self.failed = False
        self.durable_index = durable_index
        self._stores_most = stores_most
        self._held_most = held_most
        self._issued = 0
        self._meta_token = 0
        self._snapshot_token = 0
        self._stores: deque[list[int]] = deque()  # token, and up to where it has the log
        self._held: list[tuple[int, Send]] = []
        self._actions: list[Action] = []
        self._sends: list[tuple[bool, Send]] = []
        self._meta: Meta | None = None
        self._first = 0  # the first index to write; 0 for none
        self._snapshot: Snapshot | None = None
        self._cut = False

    @property
    def token(self) -> int:
        """Of the store that this call ends with, if it has anything to store."""
        return self._issued + 1

    @property
    def busy(self) -> bool:
        """Whether as many stores are under way as may be."""
        return len(self._stores) >= self._stores_most

    @property
    def writes(self) -> bool:
        """Whether this call writes entries, or a snapshot is under way."""
        if self.failed:
            return False
        return bool(self._first) or self._snapshot is not None or self._snapshot_token > self.durable

    def emit(self, action: Action) -> None:
        """An action that rests on nothing."""
        self._actions.append(action)

    def send(self, to: str, message: AnyMessage) -> None:
        """A message that rests on what was not to be forgotten beside the log: disk, incarnation, term and
        vote."""
        self._sends.append((False, Send(to, message)))

    def promise(self, to: str, message: AnyMessage) -> None:
        """A message that rests on all that was stored up to the end of this call."""
        self._sends.append((True, Send(to, message)))

    def keep(self, meta: Meta) -> None:
        """Store what must not be forgotten beside the log."""
        self._meta = meta

    def write(self, index: int) -> None:
        """Store the log from `index` on."""
        self._first = min(self._first, index) if self._first else index

    def snapshot(self, snapshot: Snapshot, cut: bool) -> None:
        """Store a snapshot; with `cut` the log goes with it."""
        self._snapshot, self._cut = snapshot, cut

    def lower(self, index: int) -> None:
        """The log after `index` is another now: what was stored of it, or is being stored, is of no use."""
        self.durable_index = min(self.durable_index, index)
        for store in self._stores:
            store[1] = min(store[1], index)

    def end(self, log: Log) -> list[Action]:
        """All actions of this call: its store first, then what rests on nothing that is not durable."""
        if not self.failed:
            self._store(log)
        actions = self._actions
        for all_of_it, message in self._sends:
            token = self._issued if all_of_it else self._meta_token
            if self.failed or token <= self.durable:
                actions.append(message)
            elif len(self._held) < self._held_most:  # else it is as if the network had lost it
                self._held.append((token, message))
        self._actions, self._sends = [], []
        self._meta, self._first, self._snapshot, self._cut = None, 0, None, False
        return actions

    def _store(self, log: Log) -> None:
        entries = tuple(log.entries[max(0, self._first - log.base - 1) :]) if self._first else ()
        if self._meta is None and not entries and self._snapshot is None:
            return
        self._issued += 1
        if self._meta is not None:
            self._meta_token = self._issued
        upto = log.last_index if entries else 0
        if self._snapshot is not None:
            self._snapshot_token = self._issued
            upto = max(upto, self._snapshot.index)
        self._stores.append([self._issued, upto])
        self._actions.insert(0, Store(self._issued, self._meta, entries, self._snapshot, self._cut))

    def stored(self, token: int) -> None:
        """A store and all before it are durable: what rested on them is said."""
        if self.failed or token > self._issued:
            return
        self.durable = max(self.durable, token)
        while self._stores and self._stores[0][0] <= token:
            self.durable_index = max(self.durable_index, self._stores.popleft()[1])
        ready = [message for rests, message in self._held if rests <= self.durable]
        self._held = [(rests, message) for rests, message in self._held if rests > self.durable]
        self._actions.extend(ready)

    def fail(self) -> None:
        """A store failed: nothing is stored any more, and nothing that waited is ever said."""
        self.failed = True
        self._held.clear()
        self._stores.clear()
