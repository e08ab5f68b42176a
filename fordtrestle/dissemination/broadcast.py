"""How news spreads: whole items along a tree of links, their versions alone over all other links. Pure.

The tree is that of Plumtree (Leitão, Pereira, Rodrigues: Epidemic Broadcast Trees, 2007). Each link begins as
a part of it. A whole item that comes once more shows a link that the tree does without: both sides then only
offer over it. Who is offered what no link of the tree has brought in time asks for it, and takes that link
into the tree. So a process gets each item about once, and a parent that is cut off, frozen or dead holds up
its children by one wait.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fordtrestle.dissemination.catalog import MAX_ITEMS, Catalog
from fordtrestle.dissemination.delta import ControlDelta, DeltaError, apply, difference
from fordtrestle.dissemination.items import CONTROL_KEY, ControlView, Item, Version, control_item
from fordtrestle.dissemination.messages import GossipMessage, Offer, Prune, Update, Want

OFFER_DELAY_S = 0.1  # for which offers are gathered
WANT_DELAY_S = 0.15  # that the tree has to bring what was offered, before it is asked for
WANT_RETRY_S = 0.5  # that an answer may take before the next one is asked
MAX_SOURCES = 8  # that are remembered of an item


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to a peer."""

    peer: str
    message: GossipMessage


@dataclass(slots=True)
class BroadcastEffects:
    """What follows from an event: items that are new here, and what is sent."""

    new_items: list[Item] = field(default_factory=list)
    outgoing: list[OutgoingMessage] = field(default_factory=list)


@dataclass(slots=True)
class _Missing:
    """An item that was offered and has not come."""

    version: Version
    ask_at: float
    sources: deque[str]  # who holds it and was not asked yet
    asked: set[str] = field(default_factory=set)


class Broadcast:
    """One process's part. Peers are named by their nodes; times are s of a steady clock."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._pruned: set[str] = set()  # peers over whose links the tree does not go
        self._offers: dict[str, dict[str, Version]] = {}  # by peer, not yet sent
        self._offers_at: float | None = None  # when they are
        self._missing: dict[str, _Missing] = {}  # by key

    def on_link_up(self, peer: str) -> None:
        """A link has come up: the tree goes over it until that proves to be of no use."""
        self._pruned.discard(peer)

    def retain_peers(self, peers: Collection[str]) -> None:
        """Forget all peers but these."""
        self._pruned.intersection_update(peers)
        for peer in set(self._offers).difference(peers):
            del self._offers[peer]

    def publish(
        self, items: Iterable[Item], peers: Collection[str], now: float, source: str = ""
    ) -> BroadcastEffects:
        """Take in items that a process tells of itself or has confirmed, and pass on what is new."""
        return self._take(items, peers, now, source)

    def on_message(
        self, message: GossipMessage, peers: Collection[str], now: float, source: str
    ) -> BroadcastEffects:
        """A message has come from a peer; what is new in it goes on to all other `peers`."""
        match message:
            case Update(items):
                return self._judge_link(self._take(items, peers, now, source), source)
            case ControlDelta():
                return self._change(message, peers, now, source)
            case Offer(versions):
                self._note_offer(versions, now, source)
                return BroadcastEffects()
            case Prune():
                self._pruned.add(source)
                return BroadcastEffects()
            case Want():
                self._pruned.discard(source)  # the tree did not reach it otherwise
        return BroadcastEffects(
            [], [OutgoingMessage(source, answer) for answer in self._catalog.answer(message)]
        )

    def _change(
        self, delta: ControlDelta, peers: Collection[str], now: float, source: str
    ) -> BroadcastEffects:
        """Take in a change of the control state; without what it rests on, ask for the whole."""
        old = self._catalog.control
        if old is not None and old.sequence >= delta.sequence:
            return self._judge_link(BroadcastEffects(), source)
        try:
            new = apply(old, delta) if old else None
        except DeltaError:
            new = None
        if new is None:
            self._need(CONTROL_KEY, (delta.sequence,), now, source)
            return BroadcastEffects([], self._ask(now))
        return self._judge_link(self._take([control_item(new)], peers, now, source, delta), source)

    def _take(
        self,
        items: Iterable[Item],
        peers: Collection[str],
        now: float,
        source: str,
        delta: ControlDelta | None = None,
    ) -> BroadcastEffects:
        """Take items in, and pass on what is new to all `peers` but its source."""
        old = self._catalog.control
        new_items = self._catalog.merge(items, now)
        effects = BroadcastEffects(new_items)
        if not new_items:
            return effects
        for item in new_items:
            missing = self._missing.get(item.key)
            if missing and missing.version <= item.version:
                del self._missing[item.key]
        others = [peer for peer in peers if peer != source]
        for peer in others:
            if peer in self._pruned:
                self._offer(peer, new_items, now)
        children = [peer for peer in others if peer not in self._pruned]
        if children:  # a long document takes time to compare
            messages = _messages(new_items, old, delta)
            effects.outgoing += [OutgoingMessage(peer, message) for peer in children for message in messages]
        return effects

    def _judge_link(self, effects: BroadcastEffects, source: str) -> BroadcastEffects:
        """What a peer has sent was new here, or it shows that the tree does without that link."""
        if effects.new_items:
            self._pruned.discard(source)
        elif source not in self._pruned:
            self._pruned.add(source)
            effects.outgoing.append(OutgoingMessage(source, Prune()))
        return effects

    def _note_offer(self, versions: Iterable[tuple[str, Version]], now: float, source: str) -> None:
        for key, version in versions:
            if self._catalog.lacks(key, version):
                self._need(key, version, now + WANT_DELAY_S, source)

    def _need(self, key: str, version: Version, ask_at: float, source: str) -> None:
        """A peer holds a version that is to be asked for, unless it comes before; one is asked at a time."""
        missing = self._missing.get(key)
        if missing is None:
            if len(self._missing) < MAX_ITEMS:
                self._missing[key] = _Missing(version, ask_at, deque([source], maxlen=MAX_SOURCES))
            return
        missing.version = max(missing.version, version)
        if source not in missing.asked and source not in missing.sources:
            missing.sources.append(source)
        if not missing.asked:
            missing.ask_at = min(missing.ask_at, ask_at)

    def due_at(self) -> float | None:
        """When `tick` has something to do; nothing where never, as far as is known now."""
        times = [missing.ask_at for missing in self._missing.values()]
        if self._offers_at is not None:
            times.append(self._offers_at)
        return min(times, default=None)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """What is to be sent by now: offers that were gathered, and questions for what has not come."""
        outgoing = self._ask(now)
        if self._offers_at is not None and now >= self._offers_at:
            for peer, versions in self._offers.items():
                outgoing.append(OutgoingMessage(peer, Offer(tuple(versions.items()))))
            self._offers.clear()
            self._offers_at = None
        return outgoing

    def _offer(self, peer: str, new_items: Iterable[Item], now: float) -> None:
        self._offers.setdefault(peer, {}).update((item.key, item.version) for item in new_items)
        if self._offers_at is None:
            self._offers_at = now + OFFER_DELAY_S

    def _ask(self, now: float) -> list[OutgoingMessage]:
        keys: dict[str, list[str]] = {}
        for key, missing in list(self._missing.items()):
            if now < missing.ask_at:
                continue
            if not missing.sources:
                del self._missing[key]  # all were asked; digests go on looking
                continue
            source = missing.sources.popleft()
            missing.asked.add(source)
            missing.ask_at = now + WANT_RETRY_S
            keys.setdefault(source, []).append(key)
        self._pruned.difference_update(keys)
        return [OutgoingMessage(peer, Want(tuple(wanted))) for peer, wanted in keys.items()]


def _messages(
    new_items: Iterable[Item], old: ControlView | None, delta: ControlDelta | None
) -> list[Update | ControlDelta]:
    """News as it is sent whole: the control state as its change, where what it rests on is known."""
    items: list[Item] = []
    changes: list[Update | ControlDelta] = []
    for item in new_items:
        change = None
        if isinstance(item.value, ControlView):
            change = delta or (difference(old, item.value) if old else None)
        if change:
            changes.append(change)
        else:
            items.append(item)
    return [*([Update(tuple(items))] if items else []), *changes]
