"""Many processes' dissemination in one place, in virtual time, over links that delay, lose and stand still.

The catalogs, the broadcast and the codec are the program's own; links are what is made here. Each process is
linked to all control processes and to the members that it watches, as a real one is.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from fordtrestle.dissemination.broadcast import Broadcast, BroadcastEffects, OutgoingMessage
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.delta import ControlDelta
from fordtrestle.dissemination.items import (
    CONTROL_KEY,
    Availability,
    Item,
    MemberRecord,
    Version,
    member_item,
)
from fordtrestle.dissemination.messages import GossipMessage, Update
from fordtrestle.dissemination.suspicion import monitors_of
from fordtrestle.peer.frames import frame_message

NEVER = float("inf")
TURN_S = 0.001  # at the least, until a timer runs
ROUND_S = 1.0  # between two comparisons that one process asks for
IN_ZONE_S, IN_REGION_S, BETWEEN_REGIONS_S = 0.0001, 0.001, 0.035


@dataclass(frozen=True, slots=True)
class Place:
    """Where a process is."""

    zone: str
    region: str


class Peer:
    """One process: its catalog, its broadcast, and what it has taken in."""

    def __init__(self, node: str, place: Place) -> None:
        self.node = node
        self.place = place
        self.catalog = Catalog()
        self.broadcast = Broadcast(self.catalog)
        self.peers: list[str] = []  # that it is linked to
        self.wakes_at = NEVER  # s
        self.versions: dict[str, list[Version]] = {}  # by key, in the order they came in

    def note(self, items: Iterable[Item]) -> None:
        """Remember what was new."""
        for item in items:
            self.versions.setdefault(item.key, []).append(item.version)


class Network:
    """Processes and the links between them."""

    def __init__(
        self, controls: int, sidecars: int, places: list[Place], seed: int, weigh: bool = False
    ) -> None:
        """`weigh` counts bytes: all messages are then encoded, which takes most of a run's time."""
        self.now = 0.0
        self.rng = random.Random(seed)
        self.copies: Counter[tuple[str, Version]] = Counter()  # whole items that were sent
        self.bytes: Counter[str] = Counter()  # by kind of message, where they are weighed
        self._weigh = weigh
        self.lossy: Callable[[str, str], bool] = lambda sender, receiver: False  # whether a message is lost
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._arrivals: dict[tuple[str, str], float] = {}
        names = [f"core-{n}" for n in range(controls)] + [f"front-{n}" for n in range(sidecars)]
        self.peers = {name: Peer(name, places[number % len(places)]) for number, name in enumerate(names)}
        for name in names:
            for other in sorted({*names[:controls], *monitors_of(name, names)} - {name}):
                self._link(name, other)
        for name in names:
            self.after(self.rng.random() * ROUND_S, partial(self._round, name))

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), act))

    def run(self, for_s: float) -> None:
        """Let time pass."""
        until = self.now + for_s
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = until

    def publish(self, node: str, item: Item) -> None:
        """A process has news."""
        peer = self.peers[node]
        self._carry_out(peer, peer.broadcast.publish([item], peer.peers, self.now))

    def announce_all(self, within_s: float) -> None:
        """All processes say that they are ready, as after a start."""
        for peer in self.peers.values():
            record = MemberRecord(
                peer.node,
                "sidecar",
                peer.place.zone,
                peer.place.region,
                "10.0.0.1:7661",
                "10.0.0.1:80",
                Availability.READY,
            )
            item = member_item(record, 1, 1)
            self.after(self.rng.random() * within_s, partial(self.publish, peer.node, item))

    def reached(self, item: Item) -> int:
        """How many processes hold that version or a newer one."""
        held = (peer.catalog.get(item.key) for peer in self.peers.values())
        return sum(1 for known in held if known and known.version >= item.version)

    def _link(self, one: str, other: str) -> None:
        for near, far in ((one, other), (other, one)):
            if far not in self.peers[near].peers:
                self.peers[near].peers.append(far)
                self.peers[near].broadcast.on_link_up(far)

    def _carry_out(self, peer: Peer, effects: BroadcastEffects) -> None:
        peer.note(effects.new_items)
        for sending in effects.outgoing:
            self._send(peer, sending)
        self._wake(peer)

    def _wake(self, peer: Peer) -> None:
        """Let the process look again when its broadcast has something to do: one timer each."""
        due_at = peer.broadcast.due_at()
        if due_at is not None and due_at < peer.wakes_at:
            peer.wakes_at = due_at
            self.after(max(TURN_S, due_at - self.now), partial(self._tick, peer, due_at))

    def _tick(self, peer: Peer, due_at: float) -> None:
        if due_at != peer.wakes_at:
            return  # an earlier timer has taken its place
        peer.wakes_at = NEVER
        for sending in peer.broadcast.tick(self.now):
            self._send(peer, sending)
        self._wake(peer)

    def _round(self, node: str) -> None:
        peer = self.peers[node]
        self._send(peer, OutgoingMessage(self.rng.choice(peer.peers), peer.catalog.digests()))
        self.after(ROUND_S, lambda: self._round(node))

    def _send(self, peer: Peer, sending: OutgoingMessage) -> None:
        message = sending.message
        if self._weigh:
            self.bytes[type(message).__name__] += len(frame_message(message) or b"")
        if isinstance(message, Update):
            self.copies.update((item.key, item.version) for item in message.items)
        elif isinstance(message, ControlDelta):
            self.copies[CONTROL_KEY, (message.sequence,)] += 1
        if self.lossy(peer.node, sending.peer):
            return
        arrival = self.now + self._delay_s(peer.place, self.peers[sending.peer].place)
        arrival = max(arrival, self._arrivals.get((peer.node, sending.peer), 0.0))  # one link keeps its order
        self._arrivals[peer.node, sending.peer] = arrival
        receiver = self.peers[sending.peer]
        self.after(arrival - self.now, lambda: self._receive(receiver, peer.node, message))

    def _delay_s(self, one: Place, other: Place) -> float:
        if one.region != other.region:
            return BETWEEN_REGIONS_S
        return IN_ZONE_S if one.zone == other.zone else IN_REGION_S

    def _receive(self, peer: Peer, source: str, message: GossipMessage) -> None:
        self._carry_out(peer, peer.broadcast.on_message(message, peer.peers, self.now, source))
