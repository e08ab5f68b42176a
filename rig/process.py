"""Programs in processes of their own: started with limits, watched through /proc, and stopped."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import functools
import os
import resource
import signal
import time
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

TAIL_LINES = 200  # of a program's standard error that are kept
NOTED_MOST = 100  # lines that are kept for how they begin
LOG_LINE_MOST = 64 * 1024  # bytes; what is longer counts as several lines
LINE_MOST = 4 * 1024 * 1024  # bytes of one line on a program's standard output
SAMPLE_S = 0.05
POLL_S = 0.02
LAST_WORDS_S = 0.5  # from a program's end to that of its standard error
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
MB_PER_KB = 1.0 / 1024.0
LISTENING = "0A"  # the state in /proc/net/tcp
DIE_WITH_PARENT = 1  # PR_SET_PDEATHSIG
LIBC = ctypes.CDLL(None, use_errno=True)


class ProgramError(Exception):
    """A program that did not start, ended too early or did not answer; its text is one line."""


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process holds and has used so far."""

    descriptors: int
    rss_mb: float
    peak_rss_mb: float
    cpu_s: float


def usage(pid: int) -> Usage:
    """Look at a process; `ProcessLookupError` once it is gone or a zombie."""
    proc = Path("/proc") / str(pid)
    try:
        # After the name in brackets, which may hold anything: state is the first field, utime the 12th.
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        rows = dict(row.split(":", 1) for row in (proc / "status").read_text().splitlines() if ":" in row)
        held = len(os.listdir(proc / "fd"))
        return Usage(
            descriptors=held,
            rss_mb=int(rows["VmRSS"].split()[0]) * MB_PER_KB,
            peak_rss_mb=int(rows["VmHWM"].split()[0]) * MB_PER_KB,
            cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        )
    except (FileNotFoundError, KeyError, IndexError) as error:
        raise ProcessLookupError(f"process {pid} is gone") from error


def listening_ports(pid: int) -> list[int]:
    """The TCP ports on IPv4 that a process listens on; empty where it is gone or has none."""
    proc = Path("/proc") / str(pid)
    inodes = set()
    with contextlib.suppress(FileNotFoundError, ProcessLookupError):
        for entry in os.listdir(proc / "fd"):
            with contextlib.suppress(FileNotFoundError):
                name = os.readlink(proc / "fd" / entry)
                if name.startswith("socket:["):
                    inodes.add(name[8:-1])
        rows = [row.split() for row in (proc / "net" / "tcp").read_text().splitlines()[1:]]
        return [int(row[1].split(":")[1], 16) for row in rows if row[3] == LISTENING and row[9] in inodes]
    return []


@functools.cache
def reserve_core() -> int | None:
    """A core for the program under test; this process, and what it starts by default, keep off it.

    None where there are too few cores to spare one. The same core whenever it is asked.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 4:
        return None
    os.sched_setaffinity(0, cores[:-1])
    return cores[-1]


def raise_descriptors() -> int:
    """Raise this process's soft limit on descriptors to its hard one, which is returned."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def _limits(descriptors: int | None, core: int | None, parent: int) -> Callable[[], None]:
    """What a child does between fork and exec."""

    def apply() -> None:
        # Guards against orphans: whoever started it may be killed with no chance to stop it.
        LIBC.prctl(DIE_WITH_PARENT, signal.SIGKILL)
        if os.getppid() != parent:
            os._exit(1)
        # Guards against a rig that was started in the background, where a shell has SIGINT ignored.
        signal.signal(signal.SIGINT, signal.SIG_DFL)
        if descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
        if core is not None:
            os.sched_setaffinity(0, {core})

    return apply


def _handle(pid: int) -> int | None:
    with contextlib.suppress(ProcessLookupError):
        return os.pidfd_open(pid)
    return None


class Program:
    """One running program. Its standard error is read all the time; the last lines are kept."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        # Signals go by this: the id of a process that has ended may be another's by now.
        self._handle = _handle(process.pid)
        self._tail: deque[str] = deque(maxlen=TAIL_LINES)
        self._beginnings: tuple[str, ...] = ()
        self.noted: list[str] = []
        self.log_bytes = 0
        self._reading = asyncio.create_task(self._read_log())

    @classmethod
    async def start(
        cls,
        argv: Sequence[str],
        *,
        cwd: Path,
        environment: Mapping[str, str] | None = None,
        descriptors: int | None = None,
        core: int | None = None,
        pass_fds: Sequence[int] = (),
        talks: bool = False,
        errors: int | None = None,
    ) -> Program:
        """Start a program, with its number of descriptors and its core bounded.

        `talks`: standard input and output are pipes, else they are nothing. `errors`: a descriptor that is
        its standard error, of which then nothing is kept here. Raises `ProgramError`.
        """
        pipe = asyncio.subprocess.PIPE if talks else asyncio.subprocess.DEVNULL
        try:
            process = await asyncio.create_subprocess_exec(
                *argv,
                cwd=cwd,
                env=environment,
                stdin=pipe,
                stdout=pipe,
                stderr=asyncio.subprocess.PIPE if errors is None else errors,
                process_group=0,  # a Ctrl-C at the terminal is its owner's, who ends it in order
                limit=LINE_MOST,
                pass_fds=pass_fds,
                preexec_fn=_limits(descriptors, core, os.getpid()),
            )
        except OSError as error:
            raise ProgramError(f"{argv[0]}: {error.strerror}") from error
        return cls(process)

    async def _read_log(self) -> None:
        if self._process.stderr is None:
            return
        rest = b""
        try:
            while data := await self._process.stderr.read(65536):
                self.log_bytes += len(data)
                whole, end, rest = (rest + data).rpartition(b"\n")
                if len(rest) > LOG_LINE_MOST:
                    whole, end, rest = whole + end + rest, b"", b""
                self._take_lines(whole + end)  # with its end: a blank line is one however it is cut
        finally:
            self._take_lines(rest)

    def _take_lines(self, data: bytes) -> None:
        lines = data.decode(errors="replace").splitlines()
        self._tail.extend(lines)
        self._note(lines)

    def _note(self, lines: Iterable[str]) -> None:
        if self._beginnings:
            found = [line for line in lines if line.startswith(self._beginnings)]
            self.noted += found[: NOTED_MOST - len(self.noted)]

    def note(self, *beginnings: str) -> None:
        """Keep in `noted` the lines of its log that begin so, from the kept tail on; `NOTED_MOST` of them."""
        self._beginnings = beginnings
        self._note(self._tail)

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def code(self) -> int | None:
        """Its exit code, negative for a signal; None while it runs."""
        return self._process.returncode

    @property
    def tail(self) -> list[str]:
        """The last lines that it wrote to standard error."""
        return list(self._tail)

    def usage(self) -> Usage:
        """What it holds; `ProcessLookupError` once it has ended."""
        if self.code is not None:
            raise ProcessLookupError(f"process {self.pid} has ended")
        return usage(self.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; none goes to a process that has ended."""
        if self._handle is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._handle, number)

    def ended(self) -> ProgramError:
        """What there is to say of a program that should still run."""
        last = next((line for line in reversed(self._tail) if line.strip()), "no word")
        return ProgramError(f"process {self.pid} ended with code {self.code}: {last}")

    async def port(self, within_s: float = 10.0) -> int:
        """The first TCP port that it listens on; `ProgramError` if there is none in time."""

        async def listens() -> bool:
            return bool(listening_ports(self.pid))

        await self.until(listens, within_s, "does not listen")
        return listening_ports(self.pid)[0]

    async def until(self, holds: Callable[[], Awaitable[bool]], within_s: float, what: str) -> None:
        """Wait until something holds; `ProgramError` if the program ends or `within_s` is over."""
        bound = time.monotonic() + within_s
        while not await holds():
            if self.code is not None:
                raise self.ended()
            if time.monotonic() > bound:
                raise ProgramError(f"process {self.pid} {what} after {within_s:g} s")
            await asyncio.sleep(POLL_S)

    async def wait(self, within_s: float) -> int | None:
        """Its exit code; None if it still runs after that time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                return await self._process.wait()
        return None

    async def stop(self, within_s: float = 8.0) -> int:
        """End it by SIGTERM, or by SIGKILL after `within_s`; its exit code."""
        self.signal(signal.SIGTERM)
        code = await self.wait(within_s)
        if code is None:
            self.signal(signal.SIGKILL)
            code = await self._process.wait()
        if self._handle is not None:
            os.close(self._handle)
            self._handle = None
        # What it wrote last is still in the pipe; a child of its own might hold that open for good.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._reading, LAST_WORDS_S)
        return code

    # --- for programs that talk ----------------------------------------------

    async def say(self, line: bytes, within_s: float) -> None:
        """Write a line to its standard input; `ProgramError` if it takes none."""
        assert self._process.stdin is not None
        try:
            async with asyncio.timeout(within_s):
                self._process.stdin.write(line)
                await self._process.stdin.drain()
        except (OSError, TimeoutError) as error:
            raise ProgramError(f"process {self.pid} takes no word") from error

    async def hear(self, within_s: float) -> bytes:
        """The next line of its standard output; `ProgramError` if none comes in time."""
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(within_s):
                line = await self._process.stdout.readline()
        except (TimeoutError, ValueError) as error:
            raise ProgramError(f"process {self.pid} says nothing for {within_s:g} s") from error
        if not line.endswith(b"\n"):
            await self.wait(1.0)
            raise self.ended()
        return line

    async def hear_all(self, within_s: float) -> bytes:
        """All that it still writes to its standard output; `ProgramError` if that has no end in time."""
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(within_s):
                return await self._process.stdout.read()
        except TimeoutError as error:
            raise ProgramError(f"process {self.pid} has not ended after {within_s:g} s") from error

    def hang_up(self) -> None:
        """Close its standard input, which ends a helper."""
        if self._process.stdin is not None:
            self._process.stdin.close()


@dataclass(slots=True)
class Peaks:
    """The most that a process was seen to hold."""

    descriptors: int = 0
    rss_mb: float = 0.0
    last: Usage | None = None
    samples: int = 0

    def take(self, now: Usage) -> None:
        """One more sample; the kernel's own mark of the peak beats what was seen."""
        self.descriptors = max(self.descriptors, now.descriptors)
        self.rss_mb = max(self.rss_mb, now.peak_rss_mb)
        self.last = now
        self.samples += 1


@contextlib.asynccontextmanager
async def sampled(program: Program, every_s: float = SAMPLE_S) -> AsyncIterator[Peaks]:
    """The peaks of a program for as long as the block runs; sampling ends with the program."""
    peaks = Peaks()

    async def sample() -> None:
        with contextlib.suppress(ProcessLookupError):
            while True:
                peaks.take(program.usage())
                await asyncio.sleep(every_s)

    task = asyncio.create_task(sample())
    try:
        yield peaks
    finally:
        with contextlib.suppress(ProcessLookupError):
            peaks.take(program.usage())
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def clean_environment(**changes: str) -> dict[str, str]:
    """This process's environment without what would steer a program under test."""
    kept = {name: value for name, value in os.environ.items() if not name.startswith(("NODE_", "PYTHON"))}
    return {**kept, **changes}
