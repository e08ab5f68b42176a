"""Nodes: the program in processes of their own, each with an address, a folder and bounded memory.

What a node receives passes its links. Faults of its process, its disk and its clocks are applied here: it is
killed, stopped and continued, starved, shut down in order, and started again with its disk kept, emptied, or
replaced by an older copy. Faults of a disk and errors of a clock outlive the process, as a machine's do.
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
from rig.cluster.link_types import Address, address_of, free_port
from rig.cluster.outages import DiskFaultSpan, Downtime
from rig.cluster.schedules import Clock, Disk, DiskFault, Kill, Reload, Step, Stop, Writes
from rig.helper import ROOT
from rig.process import Program, ProgramError, Usage, clean_environment

READY_S = 30.0
COMMAND_S = 15.0
ENDED_S = 10.0
MAX_LIFE_S = 7200.0
POLL_S = 0.02
STARVE_PERIOD_S = 0.1  # a starved process is paused for its share of each period
MAX_STOP_WAIT_S = 0.2  # until each thread of a process has stopped
START_AT_ONCE = 8  # nodes started side by side
MAX_PENDING_ANSWERS = 1000  # per process
DESCRIPTORS = 256
PORT_FIRST, PORTS = 21_000, 1000
DISK = "disk"  # folder that outlives a node's process
OLDER = "older"  # folder of its older copy


class Machine(ABC):
    """Where one process of the program runs: its address, its folder, its disk, and the process, if any."""

    def __init__(self, number: int, tree: Path) -> None:
        self.number = number
        self.name = f"n{number}"
        self.host = address_of(number)
        self.address: Address = (self.host, 0)
        self.life = -1
        self.program: Program | None = None
        self.gone_cpu_s = 0.0
        self.copied_ms = -math.inf  # by the loop's clock: when the disk was copied last
        self._ready: Program | None = None
        self._ending: Program | None = None  # is shutting down
        self._tree = tree
        self._folder = tempfile.TemporaryDirectory(prefix="rig-node-")
        self._changing = asyncio.Lock()  # held while a process starts or ends
        self._pauses = 0
        self.disk.mkdir()

    @property
    def path(self) -> Path:
        """The node's own folder."""
        return Path(self._folder.name)

    @property
    def disk(self) -> Path:
        """The folder that outlives the process."""
        return self.path / DISK

    # --- its process ---------------------------------------------------------------

    @abstractmethod
    async def _spawn(self) -> Program:
        """Start a process; `ProgramError` if it can't be started."""

    async def start(self) -> None:
        """Start the process and wait until it is ready or was killed. Do nothing if it runs.

        Time for which it is paused does not count towards `READY_S`.

        Raises:
            ProgramError: The process can't be started, exits, or is not ready in time.
        """
        async with self._changing:
            if self.program is not None:
                return
            self.life += 1
            program = self.program = await self._spawn()
            if self.is_paused:
                program.signal(signal.SIGSTOP)
            await self._started()
        bound = time.monotonic() + READY_S
        while self.program is program and not await answers_ready(*self.address):
            if program.code is not None:
                raise program.ended()
            if self.is_paused:
                bound = time.monotonic() + READY_S
            if time.monotonic() > bound:
                raise ProgramError(f"process {program.pid} ({self.name}) is not ready after {READY_S:g} s")
            await asyncio.sleep(POLL_S)
        self._ready = program

    @abstractmethod
    async def _started(self) -> None:
        """Handle a process that runs and is not ready yet."""

    async def kill(self) -> float | None:
        """Kill the process; nothing that it held in memory is kept.

        Returns:
            The loop time by which it was surely gone; None if it did not run.
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
            gone_s = asyncio.get_running_loop().time()
            await program.stop()
            return gone_s

    async def terminate(self) -> float | None:
        """Shut the process down in order.

        Returns:
            None, or the loop time by which it had to be killed or had exited by itself.
        """
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
        """Shut the process down in order, for good, and remove the folder."""
        self.signal(signal.SIGCONT)
        await self.terminate()
        self._folder.cleanup()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal such as SIGSTOP, SIGCONT or SIGHUP; do nothing if no process runs."""
        program = self.program or self._ending
        if program is not None:
            program.signal(number)

    def pause(self) -> None:
        """Pause the process until it was resumed as often as paused.

        A process that starts meanwhile is paused, too.
        """
        self._pauses += 1
        if self._pauses == 1:
            self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Undo one `pause`."""
        self._pauses -= 1
        if self._pauses == 0:
            self.signal(signal.SIGCONT)

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return self._pauses > 0

    @property
    def is_ready(self) -> bool:
        """Whether there is a process and it has been ready."""
        return self.program is not None and self._ready is self.program

    @property
    def exit_error(self) -> str:
        """The error of a process that has exited by itself; empty for any other."""
        program = self.program
        return str(program.ended()) if program is not None and program.code is not None else ""

    def usage(self) -> Usage | None:
        """Return what the process uses; None if none runs."""
        if self.program is not None:
            with contextlib.suppress(ProcessLookupError):
                return self.program.usage()
        return None

    def _note_cpu(self, program: Program) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.gone_cpu_s += program.usage().cpu_s

    # --- its disk ------------------------------------------------------------------

    def copy_disk(self) -> None:
        """Copy the disk as it is now, for `replace_disk` to bring back later.

        The process is paused meanwhile, so that the copy shows one moment.
        """
        self.pause()
        try:
            self._wait_until_stopped()
            shutil.rmtree(self.path / OLDER, ignore_errors=True)
            shutil.copytree(self.disk, self.path / OLDER)
            self.copied_ms = time.monotonic() * 1000.0
        finally:
            self.resume()

    def _wait_until_stopped(self) -> None:
        """Wait until each thread has stopped. A thread that waits for a real disk stops after its call."""
        bound = time.monotonic() + MAX_STOP_WAIT_S
        while (
            self.program is not None
            and time.monotonic() < bound
            and not _all_threads_stopped(self.program.pid)
        ):
            time.sleep(0.0005)

    def replace_disk(self, state: Disk) -> None:
        """Set the disk between a kill and the next start: kept, emptied, or the older copy."""
        if self.program is not None or self._ending is not None:
            raise ProgramError(f"{self.name} runs: its disk can be replaced only while it does not")
        if state == "kept":
            return
        shutil.rmtree(self.disk)
        if state == "older" and (self.path / OLDER).is_dir():
            shutil.copytree(self.path / OLDER, self.disk)
        else:
            self.disk.mkdir()


def _all_threads_stopped(pid: int) -> bool:
    """Return whether all threads of a process are stopped, or the process is gone."""
    with contextlib.suppress(OSError):
        for status in Path(f"/proc/{pid}/task").glob("*/stat"):
            if status.read_text().rpartition(")")[2].split()[0] not in "TtZX":
                return False
    return True


class PlatformNode(Machine):
    """One process of the platform's program. `config(life)` returns the configuration of each start."""

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
        """Do nothing: the process takes no commands."""


# --- nodes of an operator file ------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Life:
    """What a node's operator file is written from, at a start or when the file changes.

    Attributes:
        number: The node's number.
        name: The node's name.
        life: Number of the start, from 0.
        settings: Number of the settings that the file has, from 1.
        listen: Where the node listens (TCP).
        peers: Where it receives from other nodes (UDP).
        folder: Its folder; all paths are absolute.
        state: Its disk.
        events: The file of its events.
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

    The store's figures are those that each life reported last; a killed life did more than it reported.
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
    """The faults of a machine's disk and clocks that are active."""

    disk: frozenset[Writes] = frozenset()
    jump_ms: int = 0
    drift_ppm: int = 0


class Node(Machine):
    """One process of an operator file, which `operator(life)` writes, run by `rig.cluster.node`.

    Its address and port are reserved for it: no connection of others takes the port while it is away.
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
        self.peers_address: Address = self.address  # the UDP port of the same number
        self.settings = 1
        self._operator = operator
        self._seed = seed
        self._breach = breach
        self._active: list[DiskFault | Clock] = []
        self._sent = ActiveFaults()  # those sent to its process last
        self._channel: CommandChannel | None = None
        self._stored: dict[int, dict[str, Any]] = {}  # by life: its last figures

    @property
    def file(self) -> Path:
        """The operator file."""
        return self.path / "operator.toml"

    @property
    def events(self) -> Path:
        """The file that the node writes its events to; all of its lives append to it."""
        return self.path / "events.jsonl"

    def life_options(self) -> Life:
        """Return what the operator file is written from."""
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
        self._sent = self.active_faults
        arguments = [str(self.file), "--name", self.name, "--seed", str(self._seed + self.life)]
        arguments += [f"--breach={self._breach}"] if self._breach else []
        arguments += [f"--disk={writes}" for writes in sorted(self._sent.disk)]
        arguments += [f"--jump-ms={self._sent.jump_ms}", f"--drift-ppm={self._sent.drift_ppm}"]
        return await Program.start(
            [sys.executable, "-m", "rig.cluster.node", *arguments],
            cwd=self._tree,
            environment=clean_environment(TMPDIR=self._folder.name),
            descriptors=DESCRIPTORS,
            talks=True,
        )

    async def _started(self) -> None:
        assert self.program is not None
        self._channel = CommandChannel(self.program)
        await self._send_faults()  # those that began while it was being started

    async def stop(self) -> None:
        """Shut the process down in order, for good, and remove the folder."""
        await super().stop()
        self._reserved.close()

    def cost(self) -> Cost:
        """Return what the node has used. Call `read_figures` before for the store's newest figures."""
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

    # --- commands --------------------------------------------------------------------

    async def read_figures(self) -> dict[str, Any] | None:
        """Ask the process for figures of its store, loop and memory.

        See `rig.cluster.node` for the figures, and `command` for what is returned and raised.
        """
        life = self.life
        counts = await self.command(do="tell")
        if counts is not None:
            self._stored[life] = counts
        return counts

    async def command(self, **command: Any) -> dict[str, Any] | None:
        """Send a command and return its answer.

        Returns:
            The answer; None if the process is paused and answers later, or was killed meanwhile.

        Raises:
            ProgramError: The process does not run, does not answer in time, or refused the command.
        """
        program = self.program
        answer = await self._send(**command)
        bound = time.monotonic() + COMMAND_S
        while not answer.done():
            if self.is_paused:
                return None
            if time.monotonic() > bound:
                raise ProgramError(f"{self.name} has not answered {command} after {COMMAND_S:g} s")
            await asyncio.wait([answer], timeout=POLL_S)
        reply = answer.result()
        if reply is None and program is not None and self.program is program:
            await program.wait(ENDED_S)
            raise program.ended()
        if reply is not None and "wrong" in reply:
            raise ProgramError(f"{self.name}: {reply['wrong']}")
        return reply

    async def _send(self, **command: Any) -> asyncio.Future[dict[str, Any] | None]:
        """Send a command; the future is set to its answer, or to None if the process exits before."""
        if self.program is None or self._channel is None:
            raise ProgramError(f"{self.name} does not run")
        return await self._channel.ask(json.dumps(command).encode() + b"\n")

    # --- its disk and its clocks -----------------------------------------------------

    @property
    def active_faults(self) -> ActiveFaults:
        """All active faults, those of the clock added up."""
        clocks = [step for step in self._active if isinstance(step, Clock)]
        return ActiveFaults(
            frozenset(step.writes for step in self._active if isinstance(step, DiskFault)),
            _within(sum(step.jump_ms for step in clocks), MAX_JUMP_MS),
            _within(sum(step.drift_ppm for step in clocks), MAX_DRIFT_PPM),
        )

    async def begin(self, fault: DiskFault | Clock) -> asyncio.Future[Any]:
        """Begin a fault, which also lasts over the next lives.

        Returns:
            A future that is done once the process has applied the fault.
        """
        self._active.append(fault)
        return await self._send_faults()

    async def end(self, fault: DiskFault | Clock) -> asyncio.Future[Any]:
        """End a fault; one that is not active changes nothing.

        Returns:
            A future that is done once the process has applied the change.
        """
        if fault in self._active:
            self._active.remove(fault)
        return await self._send_faults()

    async def _send_faults(self) -> asyncio.Future[Any]:
        """Send the changes of the active faults to the process, if there is one.

        Returns:
            A future that is done once the process has applied them.
        """
        before, self._sent = self._sent, self.active_faults
        current = self._sent
        if self.program is None or self._channel is None:
            return asyncio.gather()
        answers = [
            await self._send(do="disk", writes=writes, on=writes in current.disk)
            for writes in sorted(before.disk ^ current.disk)
        ]
        if (before.jump_ms, before.drift_ppm) != (current.jump_ms, current.drift_ppm):
            answers.append(await self._send(do="clock", jump_ms=current.jump_ms, drift_ppm=current.drift_ppm))
        return asyncio.gather(*answers)

    # --- its settings ----------------------------------------------------------------

    def change_settings(self, settings: int) -> bool:
        """Write the operator file with these settings; return whether they take effect only by a restart.

        Raises:
            ProgramError: The operator file is invalid.
        """
        before = _read(self.file) if self.file.exists() else None
        self.settings = settings
        self._write_file()
        after = _read(self.file)
        return before is None or bool(changes.keys_needing_restart(changes.changed_keys(before, after)))

    def _write_file(self) -> None:
        """Replace the file by a rename, so that a process that reads it now sees a whole one."""
        new = self.file.with_suffix(".new")
        new.write_text(self._operator(self.life_options()))
        new.replace(self.file)


def _within(value: int, most: int) -> int:
    return max(-most, min(most, value))


def _read(file: Path) -> operator_files.OperatorConfig:
    try:
        return operator_files.read(str(file))
    except OperatorFileError as error:
        raise ProgramError(error.lines[0]) from None


class CommandChannel:
    """Commands to one process, and its answers, which come in the same order."""

    def __init__(self, program: Program) -> None:
        self._program = program
        self._unanswered: deque[asyncio.Future[dict[str, Any] | None]] = deque()
        self._ended = False
        self._reading = asyncio.create_task(self._read_answers())

    async def ask(self, line: bytes) -> asyncio.Future[dict[str, Any] | None]:
        """Send a command; the future is set to its answer, or to None if the process exits before."""
        answer: asyncio.Future[dict[str, Any] | None] = asyncio.get_running_loop().create_future()
        if self._ended:
            answer.set_result(None)
            return answer
        if len(self._unanswered) >= MAX_PENDING_ANSWERS:
            raise ProgramError(f"process {self._program.pid}: {MAX_PENDING_ANSWERS} unanswered commands")
        self._unanswered.append(answer)
        # If the process exits meanwhile, the end of its output resolves the answer.
        with contextlib.suppress(ProgramError):
            await self._program.say(line, COMMAND_S)
        return answer

    async def _read_answers(self) -> None:
        try:
            while True:
                reply = json.loads(await self._program.hear(MAX_LIFE_S))
                if self._unanswered:
                    self._resolve(self._unanswered.popleft(), reply)
        except (ProgramError, ValueError):
            pass
        finally:
            self._ended = True
            while self._unanswered:
                self._resolve(self._unanswered.popleft(), None)

    @staticmethod
    def _resolve(answer: asyncio.Future[dict[str, Any] | None], reply: dict[str, Any] | None) -> None:
        if not answer.done():
            answer.set_result(reply)


def reserve_port(host: str) -> tuple[socket.socket, Address]:
    """Reserve a port of an address.

    The port is the same each time unless another rig has it, and lies outside of the range of outgoing
    connections. Others can't bind it; listeners with SO_REUSEADDR can, as the program's are.

    Returns:
        The socket that reserves the port, and the address.

    Raises:
        ProgramError: No port is free.
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
            # Set only after the bind, which must fail where another rig has reserved the port.
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            datagrams.close()
            held.pop_all()
            return reserved, (host, port)
    raise ProgramError(f"{host}: no port is free from {PORT_FIRST} to {PORT_FIRST + PORTS - 1}")


@contextlib.asynccontextmanager
async def _task_group() -> AsyncIterator[asyncio.TaskGroup]:
    """Run tasks that end together: the first error cancels the others, and is raised alone."""
    try:
        async with asyncio.TaskGroup() as group:
            yield group
    except BaseExceptionGroup as errors:
        first = errors.exceptions[0]
    else:
        return
    raise first


async def start_all(nodes: Iterable[Machine], at_once: int = START_AT_ONCE) -> None:
    """Start nodes, `at_once` side by side, and wait until all are ready.

    Raises:
        ProgramError: A node can't be started.
    """
    gate = asyncio.Semaphore(at_once)

    async def begin(node: Machine) -> None:
        async with gate:
            await node.start()

    async with _task_group() as group:
        for node in nodes:
            group.create_task(begin(node))


# --- steps of a schedule ------------------------------------------------------------------


Act = Callable[[float], Coroutine[Any, Any, None]]  # called with the loop time at which it must end


class Processes:
    """Plays the steps of a schedule that concern processes, their disks and clocks.

    Steps overlap as their times say, also on one node: if two steps kill it, it starts when the later one
    ends, and a paused node starts nothing. For a kill that puts an older disk back, the disk is copied at
    half of the kill's time. Nodes of the platform take kills and stops only.
    """

    def __init__(self, nodes: Mapping[str, Machine], steps: tuple[Step, ...]) -> None:
        self._nodes = nodes
        self._steps = [step for step in steps if isinstance(step, Kill | Stop | DiskFault | Clock | Reload)]
        self._down: Counter[str] = Counter()  # by node: the number of steps that keep it down
        # By node that does not run: since when, and whether by a kill.
        self._away: dict[str, tuple[float, bool]] = {}
        self._gate = asyncio.Semaphore(START_AT_ONCE)
        self.killed: list[tuple[str, float]] = []  # node, and loop time by which it was gone
        self.downtimes: list[Downtime] = []  # in loop time; overlapping ones are merged
        self.disk_faults: list[DiskFaultSpan] = []
        self.late_ms = 0.0  # largest delay of a step's begin

    async def run(self) -> None:
        """Play all steps; times count from now.

        Raises:
            ProgramError: A node can't be started again.
        """
        by_node: dict[str, list[tuple[int, int, Act]]] = {}
        for step in self._steps:
            by_node.setdefault(step.node, []).extend(self._acts(self._nodes[step.node], step))
        began = asyncio.get_running_loop().time()
        async with _task_group() as group:
            for acts in by_node.values():
                group.create_task(self._play(group, acts, began))

    def _acts(self, node: Machine, step: Step) -> Iterator[tuple[int, int, Act]]:
        """Yield the acts of a step: when each begins and ends, in milliseconds, and how it is done."""
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

    # --- kills and restarts ----------------------------------------------------------

    async def _remember(self, node: Machine, until: float) -> None:
        node.copy_disk()

    async def _kill(self, node: Machine, disk: Disk, until: float) -> None:
        self._mark_down(node, killed=True)
        gone_s = await node.kill()
        if gone_s is not None:
            self.killed.append((node.name, gone_s))
        self._put_disk(node, disk)
        await _sleep_until(until)
        await self._bring_back(node)

    def _put_disk(self, node: Machine, disk: Disk) -> None:
        node.replace_disk(disk)
        if disk != "kept":
            begin_ms = node.copied_ms if disk == "older" else -math.inf
            now_ms = asyncio.get_running_loop().time() * 1000.0
            self.disk_faults.append(DiskFaultSpan(node.name, disk, begin_ms, now_ms))

    async def _reload(self, node: Node, settings: int, until: float) -> None:
        """Change the settings, by SIGHUP where that is enough.

        A process that is away reads its file as it starts.
        """
        while node.program is not None and not node.is_ready:  # before that, SIGHUP would end the process
            await asyncio.sleep(POLL_S)
        needs_restart = node.change_settings(settings)
        if node.program is None:
            return
        if not needs_restart:
            node.signal(signal.SIGHUP)
            return
        self._mark_down(node, killed=False)
        gone_s = await node.terminate()
        if gone_s is not None:
            self.killed.append((node.name, gone_s))
        await self._bring_back(node)

    def _mark_down(self, node: Machine, killed: bool) -> None:
        """Mark a node as not running, until as many steps have brought it back."""
        self._down[node.name] += 1
        since, by_kill = self._away.get(node.name, (asyncio.get_running_loop().time(), False))
        self._away[node.name] = since, by_kill or killed

    async def _bring_back(self, node: Machine) -> None:
        """Start the node, unless another step keeps it down."""
        self._down[node.name] -= 1
        while node.is_paused:  # its start would block those of others at the gate
            await asyncio.sleep(POLL_S)
        async with self._gate:
            if self._down[node.name]:
                return
            await node.start()
        if node.is_ready and node.name in self._away:
            since, killed = self._away.pop(node.name)
            self.downtimes.append(Downtime(node.name, since, asyncio.get_running_loop().time(), killed))

    # --- pauses, disks and clocks -------------------------------------------------------

    async def _pause(self, node: Machine, share: float, until: float) -> None:
        loop = asyncio.get_running_loop()
        while (left_s := until - loop.time()) > 0.0:
            node.pause()
            try:
                await asyncio.sleep(left_s if share >= 1.0 else min(left_s, STARVE_PERIOD_S * share))
            finally:
                node.resume()
            await asyncio.sleep(min(max(0.0, until - loop.time()), STARVE_PERIOD_S * (1.0 - share)))

    async def _fault(self, node: Node, fault: DiskFault | Clock, until: float) -> None:
        loop = asyncio.get_running_loop()
        span = None
        if isinstance(fault, DiskFault):
            span = DiskFaultSpan(node.name, fault.writes, loop.time() * 1000.0)
            self.disk_faults.append(span)
        await node.begin(fault)
        await _sleep_until(until)
        applied = await node.end(fault)

        def note(_: asyncio.Future[Any]) -> None:
            if span is not None:
                span.end_ms = loop.time() * 1000.0

        applied.add_done_callback(note)


async def _sleep_until(when: float) -> None:
    await asyncio.sleep(max(0.0, when - asyncio.get_running_loop().time()))
