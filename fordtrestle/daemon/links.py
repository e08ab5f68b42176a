"""The connections between the members of a cluster, and to those who ask one of them something.

What a process says to a member goes on a connection that it made itself, once there is something to say. A
member that has no address here, a follower that nobody lists, is answered on the connection that it made; so
is a client, whose name begins with "@". Messages may be lost, also without a word of it: who says something
has to say it again. What has waited for `lines.FRESH_S` is not sent any more.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import traceback
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeGuard

from fordtrestle.cluster import frames
from fordtrestle.cluster.frames import FrameError, Greeting, Packer, Splitter
from fordtrestle.cluster.messages import AnyMessage, Envelope, Propose, Proposed, Question, Reply
from fordtrestle.daemon import sockets
from fordtrestle.daemon.lines import Counts, Made, Queue, Role, Room, Taken, Waiting, passes
from fordtrestle.engine.log import log
from fordtrestle.engine.ports import Address
from fordtrestle.engine.schema import address_text
from fordtrestle.http import stream

CONNECT_S = 2.0
BACKOFF_S, BACKOFF_MOST_S = 0.05, 1.0
SWEEP_S = 0.25  # all deadlines are looked at so often
BACKLOG = 64  # connections that are accepted in one turn of the loop, too
FOLLOWERS_MOST = 64  # connections of members that have no address here
CLIENTS_MOST = 16
STRANGERS_MOST = 2 * BACKLOG  # that have not said who they are: of one turn, and before the next one is read
TRACES_MOST = 10  # faults of who is told of messages that are logged

Heard = Callable[[str, AnyMessage], None]
Asked = Callable[[int, AnyMessage], None]


@dataclass(frozen=True, slots=True)
class LinksOptions:
    """Of which cluster, who this is, where it listens, and where members are reached that have an address."""

    cluster: str
    name: str
    listen: Address
    addresses: Mapping[str, Address]


class AskError(Exception):
    """A question that got no answer: why, in one line."""


class Link:
    """The way to one member: what waits for it, and the connection that takes it there, if there is one."""

    def __init__(self, links: Links, name: str, address: Address) -> None:
        self.name = name
        self.address = address
        self.line: Made | None = None
        self.queue = Queue(links.made_room, links.counts)
        self._links = links
        self._dialling: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._backoff_s = BACKOFF_S
        self._not_before = 0.0

    def send(self, row: Waiting) -> bool:
        """Send it, or have it wait; whether there was room."""
        taken = self.queue.push(row)
        self.wake()
        return taken

    def wake(self) -> None:
        """Go on, if anything waits."""
        if not self.queue:
            return
        if self.line is not None:
            self.line.wake()
        elif self._dialling is None and self._timer is None:
            at = max(self._not_before, self._links.now)
            self._timer = self._links.loop.call_at(at, self._begin)

    def _begin(self) -> None:
        self._timer = None
        self.queue.refresh(self._links.now)
        if self.queue and self.line is None:
            self._dialling = self._links.loop.create_task(self._dial())

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                await self._links.loop.create_connection(lambda: Made(self._links, self), *self.address)
        except (OSError, TimeoutError):
            self._links.counts.closed["unreachable"] += 1
            self._back_off()
        finally:
            self._dialling = None
        self.wake()

    def lost(self, line: Made) -> None:
        """Its connection is gone; another is made as soon as there is something to say."""
        self.line = None
        if line.name and self._links.now - line.made_at > BACKOFF_MOST_S:
            self._backoff_s = BACKOFF_S
        self._back_off()
        self.wake()

    def _back_off(self) -> None:
        self._not_before = self._links.now + self._backoff_s * self._links.rng.uniform(0.5, 1.0)
        self._backoff_s = min(2.0 * self._backoff_s, BACKOFF_MOST_S)

    def move(self, address: Address) -> None:
        """The member is elsewhere from now on."""
        self.address = address
        self._drop("moved")
        self._backoff_s, self._not_before = BACKOFF_S, 0.0
        self.wake()

    def close(self) -> None:
        """Nothing is sent there any more."""
        self.queue.clear()
        self._drop("closed")

    def _drop(self, why: str) -> None:
        if self.line is not None:
            self.line.end(why)
        if self._dialling is not None:
            self._dialling.cancel()
            self._dialling = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Links:
    """All connections of one member. `receive` is told who said what, `asked` which client asked what; what
    either raises is logged. `rng` spreads tries to connect."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        options: LinksOptions,
        receive: Heard,
        asked: Asked,
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.cluster = options.cluster
        self.rng = rng
        self.counts = Counts()
        self.held = 0  # bytes of frames that are not whole
        self.made_room, self.taken_room = Room(), Room()  # guards members against who takes no answers
        self._name = options.name
        self._listen = options.listen
        self._addresses = _others(options)
        self._receive = receive
        self._asked = asked
        self._links: dict[str, Link] = {}
        self._taken: dict[int, Taken] = {}  # in the order in which they came
        self._taken_by_name: dict[str, Taken] = {}  # members and followers only
        self._number = 0
        self._server: asyncio.Server | None = None
        self._sweeping: asyncio.TimerHandle | None = None
        self._closed = False

    @property
    def now(self) -> float:
        """The loop's time in seconds."""
        return self.loop.time()

    @property
    def descriptors_most(self) -> int:
        """So many descriptors all of it may hold, for who accounts for them."""
        return 2 * len(self._addresses) + FOLLOWERS_MOST + CLIENTS_MOST + STRANGERS_MOST + BACKLOG + 1

    async def start(self) -> Address:
        """Listen; the address bound. `OSError` where it can't be."""
        (sock,) = sockets.listening([self._listen])
        self._server = await self.loop.create_server(self._accept, sock=sock, backlog=BACKLOG)
        self._sweep()
        return Address(*sock.getsockname()[:2])

    def close(self) -> None:
        """Close all at once; what waits is lost."""
        self._closed = True
        if self._server is not None:
            self._server.close()
        if self._sweeping is not None:
            self._sweeping.cancel()
        for link in self._links.values():
            link.close()
        for line in [*self._taken.values()]:
            line.end("closed")

    def send(self, to: str, message: AnyMessage) -> bool:
        """Say something to a member; False where it is dropped at once, which is counted."""
        row = self._row(to, message)
        if row is None:
            return False
        if to in self._addresses and not self._closed:
            if to not in self._links:
                self._links[to] = Link(self, to, self._addresses[to])
            return self._links[to].send(row)
        return self._answer(self._taken_by_name.get(to), row)

    def reply(self, client: int, message: AnyMessage) -> bool:
        """Answer a client; False where it is gone, or there is no room."""
        line = self._taken.get(client)
        row = None if line is None else self._row(line.name, message)
        return row is not None and self._answer(line, row)

    def move(self, addresses: Mapping[str, Address]) -> None:
        """From now on members are reached there; those that are not in it only where they connect."""
        options = LinksOptions(self.cluster, self._name, self._listen, addresses)
        self._addresses = _others(options)
        for name, link in [*self._links.items()]:
            if name not in self._addresses:
                del self._links[name]
                link.close()
            elif link.address != self._addresses[name]:
                link.move(self._addresses[name])

    def status(self) -> dict[str, Any]:
        """Connections, what waits, and all counts, as JSON values."""
        counts = self.counts
        return {
            "up": sorted(name for name, link in self._links.items() if link.line and link.line.name),
            "taken": dict(sorted(Counter(line.role for line in self._taken.values()).items())),
            "waiting": {name: len(link.queue) for name, link in sorted(self._links.items()) if link.queue},
            "frames": {"out": counts.frames_out, "in": counts.frames_in},
            "bytes": {"out": counts.bytes_out, "in": counts.bytes_in},
            "dropped": dict(sorted(counts.dropped.items())),
            "closed": dict(sorted(counts.closed.items())),
        }

    def _row(self, to: str, message: AnyMessage) -> Waiting | None:
        try:
            payload = frames.payload_of(Envelope(self.cluster, self._name, to, message))
        except FrameError as error:
            self.counts.dropped[error.kind] += 1
            return None
        return Waiting(self.now, passes(message), payload)

    def _answer(self, line: Taken | None, row: Waiting) -> bool:
        if line is None:
            self.counts.dropped["unreachable"] += 1
            return False
        taken = line.queue.push(row)
        line.wake()
        return taken

    # --- called by connections ------------------------------------------------------------------

    def greeting(self, session: int) -> Greeting:
        """What is said first."""
        return Greeting(self.cluster, self._name, session)

    def strange(self, said: Envelope, name: str) -> str:
        """Why what came from `name` is dropped; empty where it is not."""
        if said.cluster != self.cluster:
            return "other_cluster"
        if said.sender != name:
            return "other_sender"
        return "" if said.to == self._name else "other_to"

    def hear(self, sender: str, message: AnyMessage) -> None:
        """A member said something."""
        self._tell(self._receive, sender, message)

    def asked(self, client: int, message: AnyMessage) -> None:
        """A client asks something."""
        self._tell(self._asked, client, message)

    def _tell(self, tell: Callable[..., None], *args: Any) -> None:
        """Guards against a fault in who is told: the connection goes on."""
        try:
            tell(*args)
        except Exception:
            self.counts.dropped["fault"] += 1
            if self.counts.dropped["fault"] <= TRACES_MOST:
                log(traceback.format_exc())

    def _accept(self) -> Taken:
        self._number += 1
        return Taken(self, self._number)

    def takes(self, line: Taken) -> None:
        """A connection came; of too many strangers the oldest goes, which has had the most time."""
        if self._closed:
            line.end("closed")
            return
        self._taken[line.number] = line
        strangers = [other for other in self._taken.values() if other.role == "stranger"]
        if len(strangers) > STRANGERS_MOST:
            strangers[0].end("crowded")

    def admit(self, line: Taken, greeting: Greeting) -> str:
        """Enter one that says who it is, by its name; why it may not stay, empty where it may."""
        name = greeting.name
        if greeting.cluster != self.cluster:
            return "other_cluster"
        if name == self._name:
            return "own_name"
        old = self._taken_by_name.get(name)
        if old is not None and old.number > line.number:
            return "replaced"  # what was said on it before is older than what came since
        role = self._role(name)
        most = {"client": CLIENTS_MOST, "follower": FOLLOWERS_MOST}.get(role)
        roles = Counter(other.role for other in self._taken.values() if other is not old)
        if most is not None and roles[role] >= most:
            return "crowded"
        line.role = role
        if role != "client":
            self._taken_by_name[name] = line
        if old is not None:
            old.end("replaced")
        return ""

    def _role(self, name: str) -> Role:
        if name.startswith("@"):
            return "client"
        return "member" if name in self._addresses else "follower"

    def leaves(self, line: Taken) -> None:
        """A connection that was taken is closed."""
        self._taken.pop(line.number, None)
        if self._taken_by_name.get(line.name) is line:
            del self._taken_by_name[line.name]

    def _sweep(self) -> None:
        self._sweeping = self.loop.call_later(SWEEP_S, self._sweep)
        now = self.now
        for line in [*self._taken.values()]:
            line.check(now)
        for link in self._links.values():
            if link.line is not None:
                link.line.check(now)


def _others(options: LinksOptions) -> dict[str, Address]:
    return {name: address for name, address in options.addresses.items() if name != options.name}


async def ask(
    address: Address, cluster: str, message: Propose | Question, within_s: float, name: str = "@ask"
) -> Proposed | Reply:
    """The answer of the member at an address; `AskError` where there is none within so many seconds."""
    where = address_text(address)
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                return await _ask(reader, writer, Greeting(cluster, name, secrets.randbits(32)), message)
            finally:
                writer.transport.abort()
    except TimeoutError:
        raise AskError(f"{where}: no answer within {within_s:g} s") from None
    except (OSError, FrameError) as error:
        raise AskError(f"{where}: {getattr(error, 'strerror', None) or error}") from None


async def _ask(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    greeting: Greeting,
    message: Propose | Question,
) -> Proposed | Reply:
    packer, splitter = Packer(), Splitter(greeting.session)
    writer.write(packer.pack(frames.payload_of(greeting)))
    while data := await reader.read(stream.READ_MOST):
        for frame in splitter.feed(data):
            if isinstance(frame, Greeting):
                packer.begin(frame.session)
                said = Envelope(greeting.cluster, greeting.name, frame.name, message)
                writer.write(packer.pack(frames.payload_of(said)))
            elif frame is not None and _answers(frame.body, message):
                return frame.body
    raise OSError("closed without an answer: another cluster's, or too many ask it")


def _answers(said: AnyMessage, asked: Propose | Question) -> TypeGuard[Proposed | Reply]:
    return isinstance(said, Proposed | Reply) and said.id == asked.id
