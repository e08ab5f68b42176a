"""Epidemic broadcast trees: whole items travel along a tree of links, versions over all others. Pure.

The algorithm is Plumtree (Leitão, Pereira, Rodrigues: Epidemic Broadcast Trees, 2007). Its GOSSIP is `Update`
or `ControlDelta` here, its IHAVE `Offer`, its GRAFT `Want`, and its PRUNE `Prune`.

Every link begins as a part of the tree. An item that comes a second time shows that the tree does without the
link that brought it: both sides then only send offers over it. A process that is offered what no link of the
tree has brought in time asks for it, and takes that link into the tree. So each process gets each item about
once, and a parent that is partitioned, frozen or dead delays its children by one wait.
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

OFFER_DELAY_S = 0.1  # for which offers are gathered, so that a busy moment costs one message a link


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to a peer."""

    peer: str
    message: GossipMessage


@dataclass(slots=True)
class BroadcastEffects:
    """What follows from an event: the items that are new here, and the messages to send."""

    new_items: list[Item] = field(default_factory=list)
    outgoing: list[OutgoingMessage] = field(default_factory=list)


class Broadcast:
    """One process's part of the broadcast, which keeps no clock and sends nothing itself.

    Peers are named by their nodes; times are s of a steady clock. The caller carries out the effects that
    each event returns, and calls `tick` when `due_at` says.
    """

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._pruned: set[str] = set()  # peers whose links are no part of the tree
        self._offers = _PendingOffers()
        self._missing = MissingItems()

    def on_link_up(self, peer: str) -> None:
        """Take a new link into the tree, until it proves to be of no use."""
        self._pruned.discard(peer)

    def retain_peers(self, peers: Collection[str]) -> None:
        """Forget all peers but these."""
        self._pruned.intersection_update(peers)
        self._offers.retain_peers(peers)

    def publish(
        self, items: Iterable[Item], peers: Collection[str], now: float, source: str = ""
    ) -> BroadcastEffects:
        """Merge items that this process originates or has confirmed, and pass on what is new.

        Args:
            items: the items.
            peers: all peers that a link is up to.
            now: s of a steady clock.
            source: the peer that the items came from, which need not get them; empty where they are our own.
        """
        return self._spread(items, peers, now, source)

    def on_message(
        self, message: GossipMessage, peers: Collection[str], now: float, source: str
    ) -> BroadcastEffects:
        """Handle a message from `source`; what is new in it goes on to all other `peers`."""
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
                self._pruned.discard(source)  # the tree did not reach it otherwise
        answers = self._catalog.answer(message)
        return BroadcastEffects([], [OutgoingMessage(source, answer) for answer in answers])

    def due_at(self) -> float | None:
        """Return when `tick` has something to do; `None` where nothing is waiting."""
        times = [self._missing.due_at(), self._offers.due_at]
        return min((at for at in times if at is not None), default=None)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Return what has to be sent by now: requests for missing items, and offers that were gathered."""
        outgoing = self._request_missing(now)
        outgoing += self._offers.take_due(now)
        return outgoing

    def _on_delta(
        self, delta: ControlDelta, peers: Collection[str], now: float, source: str
    ) -> BroadcastEffects:
        """Apply a change of the control state; where it does not fit the state here, ask for the whole.

        A delta is passed on as it came: neither is it made anew for each peer, nor does a peer that shares
        its base need the whole document.
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
        """Merge items, and pass on what is new to all `peers` but its source."""
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
        if children:  # making a delta of a long document takes time: not for nobody
            messages = _messages_for(new_items, old_control, delta)
            effects.outgoing += [OutgoingMessage(peer, message) for peer in children for message in messages]
        return effects

    def _adjust_tree(self, effects: BroadcastEffects, source: str) -> BroadcastEffects:
        """Keep the link in the tree over which something new has come, and prune one that brought a copy."""
        if effects.new_items:
            self._pruned.discard(source)
        elif source not in self._pruned:
            self._pruned.add(source)
            effects.outgoing.append(OutgoingMessage(source, Prune()))
        return effects

    def _request_missing(self, now: float) -> list[OutgoingMessage]:
        """Ask for missing items that are due, and take the links to those that are asked into the tree."""
        keys_by_peer = self._missing.take_due(now)
        self._pruned.difference_update(keys_by_peer)
        return [OutgoingMessage(peer, Want(tuple(keys))) for peer, keys in keys_by_peer.items()]


class _PendingOffers:
    """Offers that are gathered before they are sent; of each key only the newest version is offered."""

    def __init__(self) -> None:
        self.due_at: float | None = None  # s of a steady clock
        self._versions_by_peer: dict[str, dict[str, Version]] = {}

    def add(self, peer: str, items: Iterable[Item], now: float) -> None:
        """Offer items to a peer, `OFFER_DELAY_S` after the first one that waits."""
        self._versions_by_peer.setdefault(peer, {}).update((item.key, item.version) for item in items)
        if self.due_at is None:
            self.due_at = now + OFFER_DELAY_S

    def retain_peers(self, peers: Collection[str]) -> None:
        """Forget the offers to all peers but these."""
        for peer in set(self._versions_by_peer).difference(peers):
            del self._versions_by_peer[peer]

    def take_due(self, now: float) -> list[OutgoingMessage]:
        """Return the offers that are to be sent by now, and forget them."""
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
    """Return the messages that carry items whole, the control state as its change where that is shorter.

    Args:
        new_items: the items.
        old_control: the control state before them, which peers of the tree are taken to hold too.
        delta: the change as it came from another process, where it did.
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
