"""Connections between the members of a cluster: greetings, frames in both directions, probes and deadlines.

How one that is none is noticed: whoever made it puts a probe behind what it says, at most one each `PROBE_S`,
which the other end answers. Without an answer within `STALL_S`, and the time that what was said needs at
`RATE_LEAST`, it is given up, unless bytes go on to come. That tells of a far end that is gone, stands still
or takes nothing, also where something between them goes on to acknowledge, which the kernel's own timeout
(TCP_USER_TIMEOUT) does not tell of. Who took the connection closes it once it takes nothing, or says nothing
for `HEARD_S`.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import socket
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any, Literal, Protocol

from fordtrestle.cluster import frames
from fordtrestle.cluster.frames import PROBE, Frame, FrameError, Greeting, Packer, Splitter
from fordtrestle.cluster.messages import (
    AnyMessage,
    AppendEntries,
    AppendEntriesResponse,
    Denied,
    Envelope,
    Grant,
    Propose,
    Question,
    Renew,
)
from fordtrestle.http import stream

GREET_S = 2.0  # for the other end's greeting
PROBE_S = 1.0  # between two probes of a connection
STALL_S = 2.0
RATE_LEAST = 128 * 1024  # bytes a second that a link has to carry
IDLE_S = 30.0  # after which who made a connection closes it
HEARD_S = 40.0  # after which who took it does
FRESH_S = 2.0  # that a message may wait
USER_TIMEOUT_MS = 10_000

QUEUE_FRAMES_MOST = 1000  # that wait for one connection
QUEUE_BYTES_MOST = 4 * 2**20
WAITING_MOST = 32 * 2**20  # bytes that wait for all connections made, and as many for those taken
WRITE_MOST = 256 * 1024  # bytes of one write, but for a frame that is longer
HELD_MOST = 16 * 2**20  # bytes of frames that are not whole, from all connections

Role = Literal["stranger", "member", "follower", "client"]


@dataclass(slots=True)
class Counts:
    """What went and came. `dropped`: messages and frames by why; `closed`: connections by why."""

    frames_out: int = 0
    bytes_out: int = 0
    frames_in: int = 0
    bytes_in: int = 0
    dropped: Counter[str] = field(default_factory=Counter)
    closed: Counter[str] = field(default_factory=Counter)


def passes(message: AnyMessage) -> bool:
    """Whether it is said again soon in any case: leases and heartbeats."""
    if isinstance(message, AppendEntries):
        return not message.entries
    return isinstance(message, Renew | Grant | Denied | AppendEntriesResponse)


@dataclass(frozen=True, slots=True)
class Waiting:
    """A payload that waits for its connection since `at`."""

    at: float
    passes: bool
    payload: bytes


@dataclass(slots=True)
class Room:
    """What some queues hold together."""

    bytes: int = 0


class Queue:
    """What waits for one connection, oldest first; bounded by frames, bytes, and the bytes of all queues that
    share its room."""

    def __init__(self, room: Room, counts: Counts) -> None:
        self._room = room
        self._dropped = counts.dropped
        self._rows: deque[Waiting] = deque()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._rows)

    def push(self, row: Waiting) -> bool:
        """Take one more; where there is no room, older ones that pass go first. Whether it was taken."""
        while not self._fits(len(row.payload)):
            old = next((old for old in self._rows if old.passes), None)
            self._dropped["full"] += 1
            if old is None:
                return False
            self._rows.remove(old)
            self._let_go(old)
        self._rows.append(row)
        self._bytes += len(row.payload)
        self._room.bytes += len(row.payload)
        return True

    def _fits(self, size: int) -> bool:
        return (
            len(self._rows) < QUEUE_FRAMES_MOST
            and self._bytes + size <= QUEUE_BYTES_MOST
            and self._room.bytes + size <= WAITING_MOST
        )

    def take(self, now: float) -> list[bytes]:
        """Payloads for one write."""
        self.refresh(now)
        taken: list[bytes] = []
        size = 0
        while self._rows and (not taken or size + len(self._rows[0].payload) <= WRITE_MOST):
            row = self._rows.popleft()
            self._let_go(row)
            taken.append(row.payload)
            size += len(row.payload)
        return taken

    def refresh(self, now: float) -> None:
        """Drop what has waited for too long."""
        while self._rows and now - self._rows[0].at > FRESH_S:
            self._let_go(self._rows.popleft())
            self._dropped["stale"] += 1

    def clear(self) -> None:
        """Nothing is to be sent any more."""
        while self._rows:
            self._let_go(self._rows.popleft())
            self._dropped["gone"] += 1

    def _let_go(self, row: Waiting) -> None:
        self._bytes -= len(row.payload)
        self._room.bytes -= len(row.payload)


class LineOwner(Protocol):
    """What holds all connections of a process, as each of them sees it."""

    loop: asyncio.AbstractEventLoop
    cluster: str
    counts: Counts
    held: int  # bytes of frames that are not whole
    taken_room: Room

    @property
    def now(self) -> float:
        """The loop's time in seconds."""

    def greeting(self, session: int) -> Greeting:
        """What is said first."""

    def strange(self, said: Envelope, name: str) -> str:
        """Why what came from `name` is dropped; empty where it is not."""

    def hear(self, sender: str, message: AnyMessage) -> None:
        """A member said something."""

    def asked(self, client: int, message: AnyMessage) -> None:
        """A client asks something."""

    def takes(self, line: Taken) -> None:
        """A connection came."""

    def admit(self, line: Taken, greeting: Greeting) -> str:
        """Enter one that says who it is, by its name; why it may not stay, empty where it may."""

    def leaves(self, line: Taken) -> None:
        """A connection that was taken is closed."""


class MemberLink(Protocol):
    """The way to one member, as the connection made to it sees it."""

    name: str
    line: Made | None
    queue: Queue

    def lost(self, line: Made) -> None:
        """Its connection is gone."""


class Line(stream.Reader):
    """One connection, made or taken: frames in, and what waits in its queue out."""

    def __init__(self, links: LineOwner, queue: Queue) -> None:
        self._links = links
        self.queue = queue
        self.name = ""  # who is at the other end, once it has said so
        self.gone = False
        self.made_at = self.heard_at = self._moved_at = links.now  # heard: a whole frame
        self._got_at = links.now  # any bytes
        self._session = secrets.randbits(32)
        self._splitter = Splitter(self._session)
        self._packer = Packer()
        self._held = 0
        self.written = 0  # bytes
        self._left = 0  # bytes that had left for the kernel when it was last looked
        self._full = False
        self._waking = False
        self._transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        """It is up."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError, AttributeError):  # not every system has both
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def connection_lost(self, error: Exception | None) -> None:
        """It is gone."""
        self.end("lost")

    def pause_writing(self) -> None:
        """It takes no more for now."""
        self._full = True

    def resume_writing(self) -> None:
        """It takes more."""
        self._full = False
        self.wake()

    def data_received(self, data: bytes) -> None:
        """Some bytes; with the first that are no frame the connection ends."""
        self._links.counts.bytes_in += len(data)
        self._got_at = self._links.now
        try:
            for frame in self._splitter.feed(data):
                if self.gone:
                    return
                self.heard_at = self._links.now
                self._take(frame)
        except FrameError as error:
            self._links.counts.dropped[error.kind] += 1
            self.end(error.kind)
        self._hold(0 if self.gone else self._splitter.held)

    def _hold(self, size: int) -> None:
        self._links.held += size - self._held
        self._held = size
        if self._links.held > HELD_MOST:
            self.end("crowded")

    def _take(self, frame: Frame) -> None:
        if isinstance(frame, Greeting):
            self.greeted(frame)
        elif frame is None:
            self.probed()
        elif why := self._links.strange(frame, self.name):
            self._links.counts.dropped[why] += 1
        else:
            self._links.counts.frames_in += 1
            self.took(frame.body)

    def greet(self) -> None:
        """Say who this is."""
        self._write([frames.payload_of(self._links.greeting(self._session))])

    def begin(self, greeting: Greeting) -> None:
        """Both have said who they are: what waits can go."""
        self.name = greeting.name
        self._packer.begin(greeting.session)
        self.wake()

    def wake(self) -> None:
        """Write what waits, with all that this turn of the loop adds to it."""
        if self.queue and self.name and not (self._waking or self._full or self.gone):
            self._waking = True
            self._links.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._waking = False
        if self.gone:
            return
        if payloads := self.queue.take(self._links.now):
            self._links.counts.frames_out += len(payloads)
            self._write(payloads)
            self.wake()

    def probe(self) -> None:
        """Say nothing, which is to be answered, or answers."""
        if not self._full:  # guards against one who asks and takes no answers
            self._write([PROBE])

    def _write(self, payloads: list[bytes]) -> None:
        data = self._packer.pack(*payloads)
        self.written += len(data)
        self._links.counts.bytes_out += len(data)
        self._transport.write(data)

    def stuck(self, now: float) -> bool:
        """Whether something is to be written and the kernel has taken none of it for too long."""
        unsent = self._transport.get_write_buffer_size()
        if unsent == 0 or self.written - unsent != self._left:
            self._left, self._moved_at = self.written - unsent, now
        return now - self._moved_at > STALL_S

    def end(self, why: str) -> None:
        """Close it at once, for good."""
        if not self.gone:
            self.gone = True
            self._links.counts.closed[why] += 1
            self._hold(0)
            self._transport.abort()
            self.ended()

    def greeted(self, greeting: Greeting) -> None:
        """The other end has said who it is."""
        raise NotImplementedError

    def probed(self) -> None:
        """The other end has said nothing, which asks or answers."""
        raise NotImplementedError

    def took(self, message: AnyMessage) -> None:
        """The other end has said something."""
        raise NotImplementedError

    def ended(self) -> None:
        """It was closed."""
        raise NotImplementedError


class Taken(Line):
    """A connection that somebody else made; `number` goes up with each."""

    def __init__(self, links: LineOwner, number: int) -> None:
        super().__init__(links, Queue(links.taken_room, links.counts))
        self.number = number
        self.role: Role = "stranger"

    def connection_made(self, transport: Any) -> None:
        """It is up, and has to say who it is."""
        super().connection_made(transport)
        self._links.takes(self)

    def greeted(self, greeting: Greeting) -> None:
        """Answer, if it may stay."""
        if why := self._links.admit(self, greeting):
            self.end(why)
        else:
            self.greet()
            self.begin(greeting)

    def probed(self) -> None:
        """It asks whether this end is there."""
        self.probe()

    def took(self, message: AnyMessage) -> None:
        """A message of a member or of a client."""
        if self.role != "client":
            self._links.hear(self.name, message)
        elif isinstance(message, Propose | Question):
            self._links.asked(self.number, message)
        else:
            self._links.counts.dropped["other_kind"] += 1

    def check(self, now: float) -> None:
        """End it where it is past a deadline."""
        if self.role == "stranger" and now - self.made_at > GREET_S:
            self.end("no_greeting")
        elif now - self.heard_at > HEARD_S:
            self.end("idle")
        elif self.stuck(now):
            self.end("stalled")

    def ended(self) -> None:
        """Its entry is free."""
        self._links.leaves(self)
        self.queue.clear()


class Made(Line):
    """A connection to a member, made here."""

    def __init__(self, links: LineOwner, link: MemberLink) -> None:
        super().__init__(links, link.queue)
        self._link = link
        self.used_at = links.now
        self._probed_at = self._due_at = 0.0
        self._asked = 0  # bytes that the probe that is out stands behind; 0 for none
        self._answered = 0  # bytes that the last answered one stood behind

    def connection_made(self, transport: Any) -> None:
        """It is up as far as the kernel knows."""
        super().connection_made(transport)
        self._link.line = self
        self.greet()

    def greeted(self, greeting: Greeting) -> None:
        """The member answers, if it is that one."""
        if greeting.cluster != self._links.cluster:
            self.end("other_cluster")
        elif greeting.name != self._link.name:
            self.end("other_name")
        else:
            self._answered = self.written
            self.begin(greeting)

    def probed(self) -> None:
        """The answer to a probe: all before it has come to the other end."""
        if self._asked:
            self._answered, self._asked = self._asked, 0

    def took(self, message: AnyMessage) -> None:
        """What a member says that has no address of this process."""
        self._links.hear(self.name, message)

    def check(self, now: float) -> None:
        """Probe it, or end it where it is past a deadline."""
        if not self.name:
            if now - self.made_at > GREET_S:
                self.end("no_greeting")
        elif self._asked and now > max(self._due_at, self._got_at + STALL_S):
            self.end("silent")  # nor is the answer behind something long
        elif self.stuck(now):
            self.end("stalled")
        elif not self._asked and self.written > self._answered:
            self.used_at = now
            if now - self._probed_at >= PROBE_S and not self._full:
                self._probe(now)
        elif not self._asked and now - self.used_at > IDLE_S:
            self.end("idle")

    def _probe(self, now: float) -> None:
        unproved_s = (self.written - self._answered) / RATE_LEAST
        self.probe()
        self._probed_at, self._due_at = now, now + STALL_S + unproved_s
        self._asked = self.written

    def ended(self) -> None:
        """The way to the member is free for another."""
        self._link.lost(self)
