"""Simulates the dissemination among many processes in virtual time, over links that delay and lose messages.

Catalogs, broadcast and codec are those of the program. Only the links are simulated. As in a real deployment,
each process is linked to all control processes and to the members that it monitors.
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
MIN_TIMER_DELAY_S = 0.001
DIGEST_INTERVAL_S = 1.0  # between two digests that a process sends to a random peer
ZONE_DELAY_S, REGION_DELAY_S, CROSS_REGION_DELAY_S = 0.0001, 0.001, 0.035


@dataclass(frozen=True, slots=True)
class Location:
    """Zone and region of a process."""

    zone: str
    region: str


class Peer:
    """A simulated process with its catalog, its broadcast and the versions that it has received."""

    def __init__(self, node: str, location: Location) -> None:
        self.node = node
        self.location = location
        self.catalog = Catalog()
        self.broadcast = Broadcast(self.catalog)
        self.peers: list[str] = []  # processes that it is linked to
        self.timer_due_at = NEVER  # s of virtual time
        self.versions: dict[str, list[Version]] = {}  # by key, in the order of arrival

    def record_versions(self, items: Iterable[Item]) -> None:
        """Record the versions of new items."""
        for item in items:
            self.versions.setdefault(item.key, []).append(item.version)


class Network:
    """Simulated processes and the links between them."""

    def __init__(
        self, controls: int, sidecars: int, locations: list[Location], seed: int, count_bytes: bool = False
    ) -> None:
        """Create the processes and their links.

        Args:
            controls: Number of control processes.
            sidecars: Number of sidecars.
            locations: Locations that the processes are assigned to in turn.
            seed: Seed of the random source.
            count_bytes: Whether to count the bytes sent. All messages are then encoded, which takes most of
                the time of a run.
        """
        self.now = 0.0
        self.rng = random.Random(seed)
        self.copies: Counter[tuple[str, Version]] = Counter()  # full items and control deltas sent
        self.bytes: Counter[str] = Counter()  # sent, by message type; empty unless bytes are counted
        self._count_bytes = count_bytes
        self.is_lost: Callable[[str, str], bool] = lambda sender, receiver: False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._arrivals: dict[tuple[str, str], float] = {}
        names = [f"core-{n}" for n in range(controls)] + [f"front-{n}" for n in range(sidecars)]
        self.peers = {
            name: Peer(name, locations[number % len(locations)]) for number, name in enumerate(names)
        }
        for name in names:
            for second in sorted({*names[:controls], *monitors_of(name, names)} - {name}):
                self._link(name, second)
        for name in names:
            self.after(self.rng.random() * DIGEST_INTERVAL_S, partial(self._send_digests, name))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay (s of virtual time)."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._event_numbers), action))

    def run(self, for_s: float) -> None:
        """Advance virtual time and run the actions that become due."""
        until = self.now + for_s
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def publish(self, node: str, item: Item) -> None:
        """Publish an item from a process."""
        peer = self.peers[node]
        self._apply_effects(peer, peer.broadcast.publish([item], peer.peers, self.now))

    def announce_all(self, within_s: float) -> None:
        """Let each process announce at a random time within `within_s` that it is ready, as after a start."""
        for peer in self.peers.values():
            record = MemberRecord(
                peer.node,
                "sidecar",
                peer.location.zone,
                peer.location.region,
                "10.0.0.1:7661",
                "10.0.0.1:80",
                Availability.READY,
            )
            item = member_item(record, 1, 1)
            self.after(self.rng.random() * within_s, partial(self.publish, peer.node, item))

    def count_reached(self, item: Item) -> int:
        """Count the processes that hold this version of the item or a newer one."""
        items = (peer.catalog.get(item.key) for peer in self.peers.values())
        return sum(1 for known_item in items if known_item and known_item.version >= item.version)

    def _link(self, first: str, second: str) -> None:
        for local, remote in ((first, second), (second, first)):
            if remote not in self.peers[local].peers:
                self.peers[local].peers.append(remote)
                self.peers[local].broadcast.on_link_up(remote)

    def _apply_effects(self, peer: Peer, effects: BroadcastEffects) -> None:
        peer.record_versions(effects.new_items)
        for outgoing in effects.outgoing:
            self._send(peer, outgoing)
        self._arm_timer(peer)

    def _arm_timer(self, peer: Peer) -> None:
        """Arm the single timer of a process for the next due time of its broadcast, if that is earlier."""
        due_at = peer.broadcast.due_at()
        if due_at is not None and due_at < peer.timer_due_at:
            peer.timer_due_at = due_at
            self.after(max(MIN_TIMER_DELAY_S, due_at - self.now), partial(self._on_timer, peer, due_at))

    def _on_timer(self, peer: Peer, due_at: float) -> None:
        if due_at != peer.timer_due_at:
            return  # replaced by an earlier timer
        peer.timer_due_at = NEVER
        for outgoing in peer.broadcast.tick(self.now):
            self._send(peer, outgoing)
        self._arm_timer(peer)

    def _send_digests(self, node: str) -> None:
        peer = self.peers[node]
        self._send(peer, OutgoingMessage(self.rng.choice(peer.peers), peer.catalog.digests()))
        self.after(DIGEST_INTERVAL_S, lambda: self._send_digests(node))

    def _send(self, peer: Peer, outgoing: OutgoingMessage) -> None:
        message = outgoing.message
        if self._count_bytes:
            self.bytes[type(message).__name__] += len(frame_message(message) or b"")
        if isinstance(message, Update):
            self.copies.update((item.key, item.version) for item in message.items)
        elif isinstance(message, ControlDelta):
            self.copies[CONTROL_KEY, (message.sequence,)] += 1
        if self.is_lost(peer.node, outgoing.peer):
            return
        arrival = self.now + self._delay_s(peer.location, self.peers[outgoing.peer].location)
        # Messages of one link stay in order.
        arrival = max(arrival, self._arrivals.get((peer.node, outgoing.peer), 0.0))
        self._arrivals[peer.node, outgoing.peer] = arrival
        receiver = self.peers[outgoing.peer]
        self.after(arrival - self.now, lambda: self._receive(receiver, peer.node, message))

    def _delay_s(self, first: Location, second: Location) -> float:
        if first.region != second.region:
            return CROSS_REGION_DELAY_S
        return ZONE_DELAY_S if first.zone == second.zone else REGION_DELAY_S

    def _receive(self, peer: Peer, source: str, message: GossipMessage) -> None:
        self._apply_effects(peer, peer.broadcast.on_message(message, peer.peers, self.now, source))
