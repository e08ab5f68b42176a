"""The relay of `rig.cluster.links` in several processes; both directions of a pair are in the same one.

Each fault is sent to all processes at the same time, and they report when it had taken effect. If one dies or
does not answer in time, the next caller gets a `ProgramError` of one line: nothing waits for it forever.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import time
from collections.abc import Coroutine, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar, cast

import msgspec

from rig.cluster.link_types import Address, Counts, TcpLink, UdpLink
from rig.cluster.schedules import Link
from rig.helper import Helper
from rig.process import ProgramError

T = TypeVar("T")

SHARDS = 4
LINKS_A_TIME = 1000  # per command, which keeps its line far below the bound of a helper
FAULTS_A_TIME = 200
MAX_LATE_MS = 10.0  # at the 99th percentile of the changes, each counted once per process
MAX_CHANGES = 100_000


@dataclass(frozen=True, slots=True)
class RelaysReport:
    """What all links carried, and how the processes kept up. Directions that carried nothing are absent."""

    counts: dict[tuple[str, str], Counts]
    lag_p99_ms: tuple[float, ...]  # by process
    cpu_s: float  # of all
    change_late_ms: float  # largest delay from a request of a change to its effect
    unsound: str

    def of(self, src: str, dst: str) -> Counts:
        """Return one direction's counts, all 0 if it carried nothing."""
        return self.counts.get((src, dst)) or Counts()


def shard_of(one: str, other: str, shards: int) -> int:
    """Return the process of a pair of ends: the same for both directions, and in each run."""
    name = "\0".join(sorted((one, other))).encode()
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big") % shards


class Shard:
    """One relay process, as its owner sees it. Commands are sent one after another."""

    def __init__(self, name: str, helper: Helper) -> None:
        self._name = name
        self._helper = helper
        self._turn = asyncio.Lock()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._dead = ""  # why no further command is sent

    async def ask(self, **command: Any) -> Any:
        """Send a command and return its answer.

        Raises:
            ProgramError: There is no answer, or the command was refused.
        """
        task = asyncio.create_task(self._ask(command))
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        # A cancelled caller must not leave its answer in the pipe: the next command would take it.
        return await asyncio.shield(task)

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # the caller may be gone; marks the error as retrieved

    async def _ask(self, command: dict[str, Any]) -> Any:
        async with self._turn:
            if self._dead:
                raise ProgramError(self._dead)
            try:
                answer = await self._helper.ask(**command)
            except (ProgramError, ValueError) as error:
                self._dead = f"{self._name}: {error}"
                raise ProgramError(self._dead) from error
        if isinstance(answer, dict) and "refused" in answer:
            raise ProgramError(f"{self._name}: {answer['refused']}")
        return answer

    async def stop(self) -> None:
        """Stop the process."""
        for task in list(self._tasks):
            task.cancel()
        await self._helper.stop()


class Relays:
    """All links between some ends, in several processes. Call `start` first.

    Requests to the processes raise `ProgramError` if one has died.
    """

    def __init__(self, seed: int, shards: int = SHARDS) -> None:
        self._seed = seed
        self._count = shards
        self._shards: list[Shard] = []
        self._numbers: dict[Link, int] = {}  # faults that all processes know, by number
        self._late_ms: list[float] = []  # of each change in each process
        self._unsound = "the relays have not reported yet"

    async def start(self) -> Relays:
        """Start the processes; if one can't be started, the others are stopped."""
        begun = await asyncio.gather(*map(self._begin, range(self._count)), return_exceptions=True)
        self._shards = [shard for shard in begun if isinstance(shard, Shard)]
        for shard in begun:
            if isinstance(shard, BaseException):
                await self.stop()
                raise shard
        return self

    async def _begin(self, number: int) -> Shard:
        helper = await Helper.start("rig.cluster.relayhost", ["--seed", str(self._seed)])
        try:
            await helper.hear()
        except BaseException:
            await helper.kill()
            raise
        return Shard(f"relay {number + 1} of {self._count}", helper)

    async def stop(self) -> None:
        """Close all links and stop all processes."""
        await asyncio.gather(*(shard.stop() for shard in self._shards), return_exceptions=True)
        self._shards = []

    # --- links -----------------------------------------------------------------------

    async def tcp(
        self, src: str, dst: str, target: Address, host: str = "127.0.0.1", port: int = 0
    ) -> Address:
        """Make a link and return the address at which `src` reaches `dst`, which listens at `target`."""
        return (await self.make([TcpLink(src, dst, target, host, port)]))[0]

    async def udp(self, one: str, other: str, one_at: Address, other_at: Address) -> Address:
        """Make a link and return the address at which `one` and `other` reach each other; see `Relay.udp`."""
        return (await self.make([UdpLink(one, other, one_at, other_at)]))[0]

    async def make(self, links: Sequence[TcpLink | UdpLink]) -> list[Address]:
        """Make many links at once; return their addresses in the same order."""
        indices_by_shard: list[list[int]] = [[] for _ in range(self._count)]
        for index, link in enumerate(links):
            indices_by_shard[shard_of(*link.ends, self._count)].append(index)
        addresses: list[Address] = [("", 0)] * len(links)

        async def fill(shard: Shard, indices: list[int]) -> None:
            for start in range(0, len(indices), LINKS_A_TIME):
                part = indices[start : start + LINKS_A_TIME]
                data = msgspec.json.encode([links[index] for index in part]).decode()
                for index, (host, port) in zip(part, await shard.ask(do="make", links=data), strict=True):
                    addresses[index] = (host, port)

        await _all(
            fill(shard, part)
            for shard, part in zip(self._running_shards(), indices_by_shard, strict=True)
            if part
        )
        return addresses

    # --- faults ----------------------------------------------------------------------

    async def begin(self, fault: Link) -> None:
        """Begin a fault."""
        await self.change([(True, fault)])

    async def end(self, fault: Link) -> None:
        """End a fault. One that has not begun, or has ended, changes nothing."""
        await self.change([(False, fault)])

    async def prepare(self, faults: Sequence[Link]) -> None:
        """Announce faults to come to all processes, so that a change names them by number.

        It replaces the faults announced before. A fault that was not announced is sent whole, which takes
        longer if it has many ends.
        """
        self._numbers = {}
        for first in range(0, len(faults), FAULTS_A_TIME):
            part = msgspec.json.encode(faults[first : first + FAULTS_A_TIME]).decode()
            await _all(shard.ask(do="know", faults=part, first=first) for shard in self._running_shards())
        self._numbers = {fault: number for number, fault in enumerate(faults)}

    async def change(self, rows: Sequence[tuple[bool, Link]]) -> None:
        """Begin (True) and end faults in the given order, in all processes at once."""
        asked_s = time.monotonic()
        numbers = self._numbers
        data = msgspec.json.encode([(begins, numbers.get(fault, fault)) for begins, fault in rows]).decode()
        done_s = await _all(shard.ask(do="change", rows=data) for shard in self._running_shards())
        if len(self._late_ms) < MAX_CHANGES:
            self._late_ms += [(at_s - asked_s) * 1000.0 for at_s in done_s]

    # --- reports -----------------------------------------------------------------------

    async def forget_lag(self) -> None:
        """Judge lag from now on only."""
        await _all(shard.ask(do="forget") for shard in self._running_shards())
        self._late_ms.clear()

    async def report(self) -> RelaysReport:
        """Return what all links carried so far."""
        try:
            answers = await _all(shard.ask(do="report") for shard in self._running_shards())
        except ProgramError as error:
            self._unsound = str(error)
            raise
        unsound = [
            f"relay {number} of {self._count}: {answer['unsound']}"
            for number, answer in enumerate(answers, 1)
            if answer["unsound"]
        ]
        late_ms = sorted(self._late_ms)
        if late_ms and (p99_ms := late_ms[math.ceil(0.99 * len(late_ms)) - 1]) > MAX_LATE_MS:
            unsound.append(f"a fault took effect {p99_ms:.1f} ms late at the 99th percentile")
        self._unsound = "; ".join(unsound)
        return RelaysReport(
            counts={
                (src, dst): Counts(*figures) for answer in answers for src, dst, *figures in answer["counts"]
            },
            lag_p99_ms=tuple(answer["lag_p99_ms"] for answer in answers),
            cpu_s=sum(answer["cpu_s"] for answer in answers),
            change_late_ms=late_ms[-1] if late_ms else 0.0,
            unsound=self._unsound,
        )

    @property
    def unsound(self) -> str:
        """Why a run can't be trusted, as of the last `report`; empty if it can."""
        return self._unsound

    def _running_shards(self) -> list[Shard]:
        if not self._shards:
            raise ProgramError("the relays are not running")
        return self._shards


async def _all(requests: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
    """Return all answers; once all have ended, raise the first error if there is one."""
    answers = await asyncio.gather(*requests, return_exceptions=True)
    for answer in answers:
        if isinstance(answer, BaseException):
            raise answer
    return cast(list[T], answers)
