"""Epidemic broadcast trees: items are pushed along a spanning tree, other links only carry versions. Pure.

The algorithm is Plumtree (Leitão, Pereira, Rodrigues: Epidemic Broadcast Trees, 2007). Its GOSSIP is `Update`
or `ControlDelta` here, its IHAVE `Offer`, its GRAFT `Want`, and its PRUNE `Prune`.

Every link starts as part of the tree. A duplicate item shows that the link that delivered it is redundant:
both sides prune it and then send only offers over it. A process that is offered an item that no tree link
delivers in time requests it, and adds the offering link to the tree. So each process receives each item about
once, and a parent that is partitioned, frozen or dead delays its children only until they request the item.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.delta import ControlDelta, apply_delta, make_delta
from fordtrestle.dissemination.errors import DeltaError
from fordtrestle.dissemination.items import CONTROL_KEY, ControlView, Item, Version, control_item
from fordtrestle.dissemination.messages import GossipMessage, Offer, Prune, Update, Want
from fordtrestle.dissemination.missing_items import WANT_DELAY_S, MissingItems

OFFER_DELAY_S = 0.1  # offers are batched for this long, so that a burst of items costs one message per link


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to a peer."""

    peer: str
    message: GossipMessage


@dataclass(slots=True)
class BroadcastEffects:
    """The result of an event: the items that are new here, and the messages to send."""

    new_items: list[Item] = field(default_factory=list)
    outgoing: list[OutgoingMessage] = field(default_factory=list)


class Broadcast:
    """The broadcast state of one process, without a clock and without I/O.

    Peers are identified by their node names; times are seconds of a monotonic clock. The caller applies the
    effects that each method returns, and calls `tick` at the time that `due_at` returns.
    """

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._pruned: set[str] = set()  # peers whose links are not part of the tree
        self._offers = _PendingOffers()
        self._missing = MissingItems()

    def on_link_up(self, peer: str) -> None:
        """Add a new link to the tree, until it proves to be redundant."""
        self._pruned.discard(peer)

    def retain_peers(self, peers: Collection[str]) -> None:
        """Forget all peers except these."""
        self._pruned.intersection_update(peers)
        self._offers.retain_peers(peers)

    def publish(
        self, items: Iterable[Item], peers: Collection[str], now: float, source: str = ""
    ) -> BroadcastEffects:
        """Merge items that this process originates or has confirmed, and forward those that are new.

        Args:
            items: the items.
            peers: all peers with a link.
            now: the current time, in seconds of a monotonic clock.
            source: the peer that sent the items and does not need them; empty for this process's own items.
        """
        return self._spread(items, peers, now, source)

    def on_message(
        self, message: GossipMessage, peers: Collection[str], now: float, source: str
    ) -> BroadcastEffects:
        """Handle a message from `source`, and forward items that are new to all other `peers`."""
        match message:
            case Update(items):
                return self._adjust_tree(self._spread(items, peers, now, source), source)
            case ControlDelta():
                return self._on_delta(message, peers, now, source)
            case Offer(versions):
                self._on_offer(versions, now, source)
                return BroadcastEffects()
            case Prune():
                self._pruned.add(source)
                return BroadcastEffects()
            case Want():
                self._pruned.discard(source)  # the tree did not deliver to it
        answers = self._catalog.answer(message)
        return BroadcastEffects([], [OutgoingMessage(source, answer) for answer in answers])

    def due_at(self) -> float | None:
        """Return when `tick` has to be called next; `None` if nothing is pending."""
        times = [self._missing.due_at(), self._offers.due_at]
        return min((due_at for due_at in times if due_at is not None), default=None)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Return the messages that are due: requests for missing items, and batched offers."""
        outgoing = self._request_missing(now)
        outgoing += self._offers.take_due(now)
        return outgoing

    def _on_delta(
        self, delta: ControlDelta, peers: Collection[str], now: float, source: str
    ) -> BroadcastEffects:
        """Apply a change of the control state, or request the whole state if the delta does not apply.

        A delta is forwarded as it was received: it is not computed again for each peer, and a peer that has
        its base does not need the whole document.
        """
        old = self._catalog.control
        if old is not None and old.sequence >= delta.sequence:
            return self._adjust_tree(BroadcastEffects(), source)
        try:
            new = apply_delta(old, delta) if old else None
        except DeltaError:
            new = None
        if new is None:
            self._missing.add(CONTROL_KEY, (delta.sequence,), now, source)
            return BroadcastEffects([], self._request_missing(now))
        return self._adjust_tree(self._spread([control_item(new)], peers, now, source, delta), source)

    def _on_offer(self, versions: Iterable[tuple[str, Version]], now: float, source: str) -> None:
        for key, version in versions:
            if self._catalog.lacks(key, version):
                self._missing.add(key, version, now + WANT_DELAY_S, source)

    def _spread(
        self,
        items: Iterable[Item],
        peers: Collection[str],
        now: float,
        source: str,
        delta: ControlDelta | None = None,
    ) -> BroadcastEffects:
        """Merge items, and forward those that are new to all `peers` except `source`."""
        old_control = self._catalog.control
        new_items = self._catalog.merge(items, now)
        effects = BroadcastEffects(new_items)
        if not new_items:
            return effects
        for item in new_items:
            self._missing.on_item(item)
        others = [peer for peer in peers if peer != source]
        for peer in others:
            if peer in self._pruned:
                self._offers.add(peer, new_items, now)
        children = [peer for peer in others if peer not in self._pruned]
        if children:  # computing the delta of a long document takes time, so not without receivers
            messages = _messages_for(new_items, old_control, delta)
            effects.outgoing += [OutgoingMessage(peer, message) for peer in children for message in messages]
        return effects

    def _adjust_tree(self, effects: BroadcastEffects, source: str) -> BroadcastEffects:
        """Keep a link that delivered a new item in the tree, and prune one that delivered a duplicate."""
        if effects.new_items:
            self._pruned.discard(source)
        elif source not in self._pruned:
            self._pruned.add(source)
            effects.outgoing.append(OutgoingMessage(source, Prune()))
        return effects

    def _request_missing(self, now: float) -> list[OutgoingMessage]:
        """Request missing items that are due, and add the links to the requested peers to the tree."""
        keys_by_peer = self._missing.take_due(now)
        self._pruned.difference_update(keys_by_peer)
        return [OutgoingMessage(peer, Want(tuple(keys))) for peer, keys in keys_by_peer.items()]


class _PendingOffers:
    """Batches offers per peer; only the newest version of each key is offered."""

    def __init__(self) -> None:
        self.due_at: float | None = None  # seconds of a monotonic clock
        self._versions_by_peer: dict[str, dict[str, Version]] = {}

    def add(self, peer: str, items: Iterable[Item], now: float) -> None:
        """Add items to offer to a peer; the batch is due `OFFER_DELAY_S` after its first item."""
        self._versions_by_peer.setdefault(peer, {}).update((item.key, item.version) for item in items)
        if self.due_at is None:
            self.due_at = now + OFFER_DELAY_S

    def retain_peers(self, peers: Collection[str]) -> None:
        """Drop the offers to all peers except these."""
        for peer in set(self._versions_by_peer).difference(peers):
            del self._versions_by_peer[peer]

    def take_due(self, now: float) -> list[OutgoingMessage]:
        """Return the offers if they are due, and clear them."""
        if self.due_at is None or now < self.due_at:
            return []
        offers = [
            OutgoingMessage(peer, Offer(tuple(versions.items())))
            for peer, versions in self._versions_by_peer.items()
        ]
        self._versions_by_peer.clear()
        self.due_at = None
        return offers


def _messages_for(
    new_items: Iterable[Item], old_control: ControlView | None, delta: ControlDelta | None
) -> list[Update | ControlDelta]:
    """Return the messages that carry items in full, but the control state as a delta if that is shorter.

    Args:
        new_items: the items.
        old_control: the previous control state, which peers in the tree are assumed to have as well.
        delta: the delta that was received from another process, if it was.
    """
    items: list[Item] = []
    changes: list[Update | ControlDelta] = []
    for item in new_items:
        change = None
        if isinstance(item.value, ControlView):
            change = delta or (make_delta(old_control, item.value) if old_control else None)
        if change:
            changes.append(change)
        else:
            items.append(item)
    return [*([Update(tuple(items))] if items else []), *changes]
