"""Nodes: the program in processes of their own, each with an address, a folder and bounded memory.

What a node is told goes through its links; what happens to its process, its disk and its clocks is done here:
killed, stopped and woken, starved, ended in order, and started again with its disk kept, emptied, or put back
to an older copy. A disk's faults and a clock's error outlive the process, as those of a machine do.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import math
import shutil
import signal
import socket
import sys
import tempfile
import time
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fordtrestle.proxy.config import changes
from fordtrestle.proxy.config import operator_file as operator_files
from fordtrestle.proxy.config.errors import OperatorFileError
from rig.balancers import answers_ready
from rig.cluster.clocks import MAX_DRIFT_PPM, MAX_JUMP_MS
from rig.cluster.links import Address, address_of, free_port
from rig.cluster.outages import Down, Faulted
from rig.cluster.schedules import Clock, Disk, DiskFault, Kill, Reload, Step, Stop, Writes
from rig.helper import ROOT
from rig.process import Program, ProgramError, Usage, clean_environment

READY_S = 30.0
COMMAND_S = 15.0
ENDED_S = 10.0
MAX_LIFE_S = 7200.0
POLL_S = 0.02
STARVE_PERIOD_S = 0.1  # of which a starved process stands still for its share
MAX_STOP_WAIT_S = 0.2  # until each of its threads has stopped
START_AT_ONCE = 8  # nodes that start side by side
MAX_PENDING_ANSWERS = 1000  # commands that a node has not answered
DESCRIPTORS = 256
PORT_FIRST, PORTS = 21_000, 1000
DISK = "disk"  # a node's folder for what must outlive its process
OLDER = "older"  # where the older copy of it lies


class Machine(ABC):
    """Where one process of the program runs: its address, its folder, its disk, and the process if any."""

    def __init__(self, number: int, tree: Path) -> None:
        self.number = number
        self.name = f"n{number}"
        self.host = address_of(number)
        self.address: Address = (self.host, 0)
        self.life = -1
        self.program: Program | None = None
        self.gone_cpu_s = 0.0
        self.copied_ms = -math.inf  # on the loop's clock: when its disk was copied last
        self._ready: Program | None = None
        self._ending: Program | None = None  # is told to end, and has not
        self._tree = tree
        self._folder = tempfile.TemporaryDirectory(prefix="rig-node-")
        self._changing = asyncio.Lock()  # while a process comes or goes
        self._held = 0
        self.disk.mkdir()

    @property
    def path(self) -> Path:
        """A folder of its own."""
        return Path(self._folder.name)

    @property
    def disk(self) -> Path:
        """What must outlive its process."""
        return self.path / DISK

    # --- its process ---------------------------------------------------------------

    @abstractmethod
    async def _spawn(self) -> Program:
        """Start a process; `ProgramError` if it can't be."""

    async def start(self) -> None:
        """Start it and wait until it is ready, or was killed; `ProgramError` if it can't be.

        Nothing where it runs. Time for which it stands still does not count.
        """
        async with self._changing:
            if self.program is not None:
                return
            self.life += 1
            program = self.program = await self._spawn()
            if self.standing:
                program.signal(signal.SIGSTOP)
            await self._started()
        bound = time.monotonic() + READY_S
        while self.program is program and not await answers_ready(*self.address):
            if program.code is not None:
                raise program.ended()
            if self.standing:
                bound = time.monotonic() + READY_S
            if time.monotonic() > bound:
                raise ProgramError(f"process {program.pid} ({self.name}) is not ready after {READY_S:g} s")
            await asyncio.sleep(POLL_S)
        self._ready = program

    @abstractmethod
    async def _started(self) -> None:
        """It runs, and is not ready yet."""

    async def kill(self) -> float | None:
        """End it amid whatever it does; nothing it held in memory is kept.

        The loop time at which it was surely gone, None where it did not run.
        """
        if self._ending is not None:
            self._ending.signal(signal.SIGKILL)
        async with self._changing:
            program, self.program = self.program, None
            if program is None:
                return None
            self._note_cpu(program)
            program.signal(signal.SIGKILL)
            await program.wait(ENDED_S)
            gone = asyncio.get_running_loop().time()
            await program.stop()
            return gone

    async def terminate(self) -> float | None:
        """End it in order. None, or the loop time by which it had to be killed, or had ended by itself."""
        async with self._changing:
            program, self.program = self.program, None
            if program is None:
                return None
            self._note_cpu(program)
            self._ending = program
            try:
                code = await program.stop()
            finally:
                self._ending = None
            return None if code == 0 else asyncio.get_running_loop().time()

    async def stop(self) -> None:
        """End it in order, for good, and remove its folder."""
        self.signal(signal.SIGCONT)
        await self.terminate()
        self._folder.cleanup()

    def signal(self, number: signal.Signals) -> None:
        """SIGSTOP, SIGCONT, SIGHUP and the like; none where it does not run."""
        program = self.program or self._ending
        if program is not None:
            program.signal(number)

    def hold(self) -> None:
        """Let it stand still, until it was released as often as held; so does a process yet to start."""
        self._held += 1
        if self._held == 1:
            self.signal(signal.SIGSTOP)

    def release(self) -> None:
        """See `hold`."""
        self._held -= 1
        if self._held == 0:
            self.signal(signal.SIGCONT)

    @property
    def standing(self) -> bool:
        """Whether it stands still."""
        return self._held > 0

    @property
    def ready(self) -> bool:
        """Whether its process, if any, has been ready."""
        return self.program is not None and self._ready is self.program

    @property
    def fallen(self) -> str:
        """What is told of a process that has ended by itself; empty for any other."""
        program = self.program
        return str(program.ended()) if program is not None and program.code is not None else ""

    def usage(self) -> Usage | None:
        """What its process holds; None where it does not run."""
        if self.program is not None:
            with contextlib.suppress(ProcessLookupError):
                return self.program.usage()
        return None

    def _note_cpu(self, program: Program) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.gone_cpu_s += program.usage().cpu_s

    # --- its disk ------------------------------------------------------------------

    def copy_disk(self) -> None:
        """Keep a copy of its disk as it is now, for an older one to come back later.

        It stands still meanwhile, so that the copy is of one moment.
        """
        self.hold()
        try:
            self._wait_until_stopped()
            shutil.rmtree(self.path / OLDER, ignore_errors=True)
            shutil.copytree(self.disk, self.path / OLDER)
            self.copied_ms = time.monotonic() * 1000.0
        finally:
            self.release()

    def _wait_until_stopped(self) -> None:
        """Until each of its threads has stopped; one that waits for a real disk has after its call."""
        bound = time.monotonic() + MAX_STOP_WAIT_S
        while (
            self.program is not None
            and time.monotonic() < bound
            and not _all_threads_stopped(self.program.pid)
        ):
            time.sleep(0.0005)

    def replace_disk(self, how: Disk) -> None:
        """Between a kill and the next start: what its disk is then."""
        if self.program is not None or self._ending is not None:
            raise ProgramError(f"{self.name} runs: its disk can't be changed under it")
        if how == "kept":
            return
        shutil.rmtree(self.disk)
        if how == "older" and (self.path / OLDER).is_dir():
            shutil.copytree(self.path / OLDER, self.disk)
        else:
            self.disk.mkdir()


def _all_threads_stopped(pid: int) -> bool:
    """Whether all threads of a process are stopped, or it is gone."""
    with contextlib.suppress(OSError):
        for status in Path(f"/proc/{pid}/task").glob("*/stat"):
            if status.read_text().rpartition(")")[2].split()[0] not in "TtZX":
                return False
    return True


class PlatformNode(Machine):
    """One process of the platform's program. `config(life)` gives what each of its starts is told."""

    def __init__(self, number: int, config: Callable[[int], Mapping[str, Any]], tree: Path = ROOT) -> None:
        super().__init__(number, tree)
        self.address = (self.host, free_port(self.host))
        self._config = config

    async def _spawn(self) -> Program:
        config = {**self._config(self.life), "name": self.name, "listen": f"{self.host}:{self.address[1]}"}
        path = self.path / "config.json"
        path.write_text(json.dumps(config))
        return await Program.start(
            [sys.executable, "-m", "fordtrestle"],
            cwd=self._tree,
            environment=clean_environment(NODE_CONFIG=str(path), TMPDIR=self._folder.name),
            descriptors=int(config["limits"]["sockets"]),
        )

    async def _started(self) -> None:
        """It takes no commands."""


# --- nodes of an operator file ------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Life:
    """What a node knows of itself as one of its lives begins, or its file is written anew.

    `life` counts starts from 0 on; `settings` is the number of those that its file is to have, from 1 on.
    It listens at `listen` (TCP) and hears other nodes at `peers` (UDP). All paths are absolute.
    """

    number: int
    name: str
    life: int
    settings: int
    listen: Address
    peers: Address
    folder: Path
    state: Path
    events: Path


@dataclass(frozen=True, slots=True)
class Cost:
    """What a node has used over all of its lives, and what its process holds now.

    The store's figures are those that each life told last: of one that was killed, less than it did.
    """

    cpu_s: float
    rss_mb: float
    peak_rss_mb: float
    descriptors: int
    lives: int
    syncs: int
    written_bytes: int


@dataclass(frozen=True, slots=True)
class ActiveFaults:
    """What is wrong with a machine's disk and clocks."""

    disk: frozenset[Writes] = frozenset()
    jump_ms: int = 0
    drift_ppm: int = 0


class Node(Machine):
    """One process of an operator file, which `operator(life)` writes, under `rig.cluster.node`.

    Its address and port are its own for good: no connection of others takes the port while it is away.
    """

    def __init__(
        self,
        number: int,
        operator: Callable[[Life], str],
        tree: Path = ROOT,
        seed: int = 1,
        breach: str = "",
    ) -> None:
        super().__init__(number, tree)
        self._reserved, self.address = reserve_port(self.host)
        self.peers_address: Address = self.address  # of UDP, whose ports are others
        self.settings = 1
        self._operator = operator
        self._seed = seed
        self._breach = breach
        self._active: list[DiskFault | Clock] = []  # that are on
        self._sent = ActiveFaults()  # what its process was told last
        self._channel: CommandChannel | None = None
        self._stored: dict[int, dict[str, Any]] = {}  # what each life told last

    @property
    def file(self) -> Path:
        """Its operator file."""
        return self.path / "operator.toml"

    @property
    def events(self) -> Path:
        """Where it tells what it did; all of its lives append to it."""
        return self.path / "events.jsonl"

    def about(self) -> Life:
        """What its operator file is written of."""
        return Life(
            number=self.number,
            name=self.name,
            life=self.life,
            settings=self.settings,
            listen=self.address,
            peers=self.peers_address,
            folder=self.path,
            state=self.disk,
            events=self.events,
        )

    async def _spawn(self) -> Program:
        self._write_file()
        self._sent = self.wrong
        words = [str(self.file), "--name", self.name, "--seed", str(self._seed + self.life)]
        words += [f"--breach={self._breach}"] if self._breach else []
        words += [f"--disk={writes}" for writes in sorted(self._sent.disk)]
        words += [f"--jump-ms={self._sent.jump_ms}", f"--drift-ppm={self._sent.drift_ppm}"]
        return await Program.start(
            [sys.executable, "-m", "rig.cluster.node", *words],
            cwd=self._tree,
            environment=clean_environment(TMPDIR=self._folder.name),
            descriptors=DESCRIPTORS,
            talks=True,
        )

    async def _started(self) -> None:
        assert self.program is not None
        self._channel = CommandChannel(self.program)
        await self._send_faults()  # what began while it was being started

    async def stop(self) -> None:
        """End it in order, for good, and remove its folder."""
        await super().stop()
        self._reserved.close()

    def cost(self) -> Cost:
        """What it has used; `tell` first for the store's newest figures."""
        now = self.usage() or Usage(0, 0.0, 0.0, 0.0)
        return Cost(
            cpu_s=self.gone_cpu_s + now.cpu_s,
            rss_mb=now.rss_mb,
            peak_rss_mb=now.peak_rss_mb,
            descriptors=now.descriptors,
            lives=self.life + 1,
            syncs=sum(counts["syncs"] for counts in self._stored.values()),
            written_bytes=sum(counts["written_bytes"] for counts in self._stored.values()),
        )

    # --- what it is told -------------------------------------------------------------

    async def tell(self) -> dict[str, Any] | None:
        """Figures of its store, loop and memory, see `rig.cluster.node`; otherwise as `command`."""
        life = self.life
        counts = await self.command(do="tell")
        if counts is not None:
            self._stored[life] = counts
        return counts

    async def command(self, **command: Any) -> dict[str, Any] | None:
        """A command's answer; None where it stands still and answers later, or was killed meanwhile.

        `ProgramError` if it does not run, gives no answer in time, or says what was wrong.
        """
        program = self.program
        answer = await self._send(**command)
        bound = time.monotonic() + COMMAND_S
        while not answer.done():
            if self.standing:
                return None
            if time.monotonic() > bound:
                raise ProgramError(f"{self.name} has not answered {command} after {COMMAND_S:g} s")
            await asyncio.wait([answer], timeout=POLL_S)
        said = answer.result()
        if said is None and program is not None and self.program is program:
            await program.wait(ENDED_S)
            raise program.ended()
        if said is not None and "wrong" in said:
            raise ProgramError(f"{self.name}: {said['wrong']}")
        return said

    async def _send(self, **command: Any) -> asyncio.Future[dict[str, Any] | None]:
        """Send a command; its answer comes when it does, None if the process ends before."""
        if self.program is None or self._channel is None:
            raise ProgramError(f"{self.name} does not run")
        return await self._channel.ask(json.dumps(command).encode() + b"\n")

    # --- its disk and its clocks -----------------------------------------------------

    @property
    def wrong(self) -> ActiveFaults:
        """All that is wrong now."""
        clocks = [step for step in self._active if isinstance(step, Clock)]
        return ActiveFaults(
            frozenset(step.writes for step in self._active if isinstance(step, DiskFault)),
            _within(sum(step.jump_ms for step in clocks), MAX_JUMP_MS),
            _within(sum(step.drift_ppm for step in clocks), MAX_DRIFT_PPM),
        )

    async def begin(self, fault: DiskFault | Clock) -> asyncio.Future[Any]:
        """From now on, over its next lives too; what is given back is done once it holds."""
        self._active.append(fault)
        return await self._send_faults()

    async def end(self, fault: DiskFault | Clock) -> asyncio.Future[Any]:
        """No more; what is given back is done once that holds. One that is not on changes nothing."""
        if fault in self._active:
            self._active.remove(fault)
        return await self._send_faults()

    async def _send_faults(self) -> asyncio.Future[Any]:
        """Let its process, if any, hear what has changed; what is given back is done once it has."""
        before, self._sent = self._sent, self.wrong
        now = self._sent
        if self.program is None or self._channel is None:
            return asyncio.gather()
        answers = [
            await self._send(do="disk", writes=writes, on=writes in now.disk)
            for writes in sorted(before.disk ^ now.disk)
        ]
        if (before.jump_ms, before.drift_ppm) != (now.jump_ms, now.drift_ppm):
            answers.append(await self._send(do="clock", jump_ms=now.jump_ms, drift_ppm=now.drift_ppm))
        return asyncio.gather(*answers)

    # --- its settings ----------------------------------------------------------------

    def set(self, settings: int) -> bool:
        """Its file has those settings from now on; whether its process must be started again for that.

        `ProgramError` where the file is none.
        """
        old = _read(self.file) if self.file.exists() else None
        self.settings = settings
        self._write_file()
        new = _read(self.file)
        return old is None or bool(changes.keys_needing_restart(changes.changed_keys(old, new)))

    def _write_file(self) -> None:
        """Whole at any time, since its process may read it just now."""
        new = self.file.with_suffix(".new")
        new.write_text(self._operator(self.about()))
        new.replace(self.file)


def _within(value: int, most: int) -> int:
    return max(-most, min(most, value))


def _read(file: Path) -> operator_files.OperatorConfig:
    try:
        return operator_files.read(str(file))
    except OperatorFileError as error:
        raise ProgramError(error.lines[0]) from None


class CommandChannel:
    """Commands to one process, and its answers in the same order."""

    def __init__(self, program: Program) -> None:
        self._program = program
        self._unanswered: deque[asyncio.Future[dict[str, Any] | None]] = deque()
        self._ended = False
        self._reading = asyncio.create_task(self._read_answers())

    async def ask(self, line: bytes) -> asyncio.Future[dict[str, Any] | None]:
        """Send one; its answer, which is None if the process ends before it gives any."""
        answer: asyncio.Future[dict[str, Any] | None] = asyncio.get_running_loop().create_future()
        if self._ended:
            answer.set_result(None)
            return answer
        if len(self._unanswered) >= MAX_PENDING_ANSWERS:
            raise ProgramError(f"process {self._program.pid} owes {MAX_PENDING_ANSWERS} answers")
        self._unanswered.append(answer)
        # One that ends as it is told says so by its output's end.
        with contextlib.suppress(ProgramError):
            await self._program.say(line, COMMAND_S)
        return answer

    async def _read_answers(self) -> None:
        try:
            while True:
                said = json.loads(await self._program.hear(MAX_LIFE_S))
                if self._unanswered:
                    self._resolve(self._unanswered.popleft(), said)
        except (ProgramError, ValueError):
            pass
        finally:
            self._ended = True
            while self._unanswered:
                self._resolve(self._unanswered.popleft(), None)

    @staticmethod
    def _resolve(answer: asyncio.Future[dict[str, Any] | None], said: dict[str, Any] | None) -> None:
        if not answer.done():
            answer.set_result(said)


def reserve_port(host: str) -> tuple[socket.socket, Address]:
    """A port of an address, the same each time where no other rig has it, and the socket that reserves it.

    It is one that no outgoing connection is given. Others can't bind it; listeners with SO_REUSEADDR can,
    as the program's are. `ProgramError` if there is none.
    """
    low, high = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
    for port in range(PORT_FIRST, PORT_FIRST + PORTS):
        if low <= port <= high:
            continue
        with contextlib.ExitStack() as held:
            reserved = held.enter_context(socket.socket())
            datagrams = held.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            try:
                reserved.bind((host, port))
                datagrams.bind((host, port))
            except OSError:
                continue
            # Set only now: bound without it, it was refused where another rig has reserved the port.
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            datagrams.close()
            held.pop_all()
            return reserved, (host, port)
    raise ProgramError(f"{host}: no port is free from {PORT_FIRST} to {PORT_FIRST + PORTS - 1}")


@contextlib.asynccontextmanager
async def _task_group() -> AsyncIterator[asyncio.TaskGroup]:
    """Tasks that end together; the first error ends the others, and is raised alone."""
    try:
        async with asyncio.TaskGroup() as group:
            yield group
    except BaseExceptionGroup as errors:
        first = errors.exceptions[0]
    else:
        return
    raise first


async def start_all(nodes: Iterable[Machine], at_once: int = START_AT_ONCE) -> None:
    """Start them, so many side by side, and wait until all are ready; `ProgramError` if one can't be."""
    gate = asyncio.Semaphore(at_once)

    async def begin(node: Machine) -> None:
        async with gate:
            await node.start()

    async with _task_group() as group:
        for node in nodes:
            group.create_task(begin(node))


# --- steps of a schedule ------------------------------------------------------------------


Act = Callable[[float], Coroutine[Any, Any, None]]  # given the loop time at which it is to be over


class Processes:
    """Plays the steps of a schedule that happen to processes, their disks and clocks.

    Steps overlap as their times say, also on one node: where two kill it, it starts as the later one ends,
    and what stands still starts nothing. For a kill that puts an older disk back, the copy is made at half
    of its time. The platform's nodes take kills and stops only.
    """

    def __init__(self, nodes: Mapping[str, Machine], steps: tuple[Step, ...]) -> None:
        self._nodes = nodes
        self._steps = [step for step in steps if isinstance(step, Kill | Stop | DiskFault | Clock | Reload)]
        self._down: Counter[str] = Counter()  # steps that keep a node from running
        self._away: dict[
            str, tuple[float, bool]
        ] = {}  # since when a node does not run, and whether by a kill
        self._gate = asyncio.Semaphore(START_AT_ONCE)
        self.killed: list[tuple[str, float]] = []  # node and the loop time by which it was gone
        self.downs: list[Down] = []  # by loop time; several that overlap are one
        self.faulted: list[Faulted] = []
        self.late_ms = 0.0  # the most that a step began late

    async def run(self) -> None:
        """Play all; times count from now. `ProgramError` where a node can't be started again."""
        by_node: dict[str, list[tuple[int, int, Act]]] = {}
        for step in self._steps:
            by_node.setdefault(step.node, []).extend(self._acts(self._nodes[step.node], step))
        began = asyncio.get_running_loop().time()
        async with _task_group() as group:
            for acts in by_node.values():
                group.create_task(self._play(group, acts, began))

    def _acts(self, node: Machine, step: Step) -> Iterator[tuple[int, int, Act]]:
        """What a step does: when it begins, when it is over, in milliseconds, and how."""
        span = step.at_ms, step.at_ms + step.lasts_ms
        if isinstance(step, Kill):
            if step.disk == "older":
                yield step.at_ms // 2, step.at_ms // 2, functools.partial(self._remember, node)
            yield *span, functools.partial(self._kill, node, step.disk)
        elif isinstance(step, Stop):
            yield *span, functools.partial(self._pause, node, step.share)
        elif isinstance(node, Node) and isinstance(step, DiskFault | Clock):
            yield *span, functools.partial(self._fault, node, step)
        elif isinstance(node, Node) and isinstance(step, Reload):
            yield *span, functools.partial(self._reload, node, step.settings)

    async def _play(self, group: asyncio.TaskGroup, acts: list[tuple[int, int, Act]], began: float) -> None:
        for at_ms, until_ms, act in sorted(acts, key=lambda row: row[0]):
            await _sleep_until(began + at_ms / 1000.0)
            late_s = asyncio.get_running_loop().time() - began - at_ms / 1000.0
            self.late_ms = max(self.late_ms, late_s * 1000.0)
            group.create_task(act(began + until_ms / 1000.0))

    # --- away and back ---------------------------------------------------------------

    async def _remember(self, node: Machine, until: float) -> None:
        node.copy_disk()

    async def _kill(self, node: Machine, disk: Disk, until: float) -> None:
        self._mark_down(node, killed=True)
        gone = await node.kill()
        if gone is not None:
            self.killed.append((node.name, gone))
        self._put_disk(node, disk)
        await _sleep_until(until)
        await self._bring_back(node)

    def _put_disk(self, node: Machine, disk: Disk) -> None:
        node.replace_disk(disk)
        if disk != "kept":
            begin_ms = node.copied_ms if disk == "older" else -math.inf
            now_ms = asyncio.get_running_loop().time() * 1000.0
            self.faulted.append(Faulted(node.name, disk, begin_ms, now_ms))

    async def _reload(self, node: Node, settings: int, until: float) -> None:
        """By SIGHUP where that is enough; a process that is away reads its file as it starts."""
        while node.program is not None and not node.ready:  # SIGHUP would end one that has hardly begun
            await asyncio.sleep(POLL_S)
        again = node.set(settings)
        if node.program is None:
            return
        if not again:
            node.signal(signal.SIGHUP)
            return
        self._mark_down(node, killed=False)
        gone = await node.terminate()
        if gone is not None:
            self.killed.append((node.name, gone))
        await self._bring_back(node)

    def _mark_down(self, node: Machine, killed: bool) -> None:
        """It does not run from now on, until as many steps have it back."""
        self._down[node.name] += 1
        since, by_kill = self._away.get(node.name, (asyncio.get_running_loop().time(), False))
        self._away[node.name] = since, by_kill or killed

    async def _bring_back(self, node: Machine) -> None:
        """Start it, unless another step keeps it away."""
        self._down[node.name] -= 1
        while node.standing:  # it would hold up the starts of others
            await asyncio.sleep(POLL_S)
        async with self._gate:
            if self._down[node.name]:
                return
            await node.start()
        if node.ready and node.name in self._away:
            since, killed = self._away.pop(node.name)
            self.downs.append(Down(node.name, since, asyncio.get_running_loop().time(), killed))

    # --- standing still, disks and clocks ----------------------------------------------

    async def _pause(self, node: Machine, share: float, until: float) -> None:
        loop = asyncio.get_running_loop()
        while (left := until - loop.time()) > 0.0:
            node.hold()
            try:
                await asyncio.sleep(left if share >= 1.0 else min(left, STARVE_PERIOD_S * share))
            finally:
                node.release()
            await asyncio.sleep(min(max(0.0, until - loop.time()), STARVE_PERIOD_S * (1.0 - share)))

    async def _fault(self, node: Node, fault: DiskFault | Clock, until: float) -> None:
        loop = asyncio.get_running_loop()
        noted = None
        if isinstance(fault, DiskFault):
            noted = Faulted(node.name, fault.writes, loop.time() * 1000.0)
            self.faulted.append(noted)
        await node.begin(fault)
        await _sleep_until(until)
        over = await node.end(fault)

        def note(_: asyncio.Future[Any]) -> None:
            if noted is not None:
                noted.end_ms = loop.time() * 1000.0

        over.add_done_callback(note)


async def _sleep_until(when: float) -> None:
    await asyncio.sleep(max(0.0, when - asyncio.get_running_loop().time()))
