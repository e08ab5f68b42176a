"""Runs programs in processes with resource limits, watches them through /proc and stops them."""

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

TAIL_LINES = 200  # last lines of standard error that are kept
MAX_NOTED = 100  # lines that are kept for their prefix
MAX_LOG_LINE_BYTES = 64 * 1024  # longer lines are split
MAX_LINE_BYTES = 4 * 1024 * 1024  # of standard output
SAMPLE_S = 0.05
POLL_S = 0.02
STDERR_END_S = 0.5  # wait for the end of standard error after the end of the program
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
MB_PER_KB = 1.0 / 1024.0
LISTENING = "0A"  # socket state in /proc/net/tcp
DIE_WITH_PARENT = 1  # PR_SET_PDEATHSIG
LIBC = ctypes.CDLL(None, use_errno=True)


class ProgramError(Exception):
    """Raised if a program fails to start, ends too early or does not answer; its text is one line."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process."""

    descriptors: int
    rss_mb: float
    peak_rss_mb: float
    cpu_s: float


def usage(pid: int) -> Usage:
    """Return the usage of a process.

    Raises:
        ProcessLookupError: If it has ended or is a zombie.
    """
    proc = Path("/proc") / str(pid)
    try:
        # Skip the name in parentheses, which may contain anything; then state is field 1 and utime field 12.
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
    """Return the IPv4 TCP ports that a process listens on; empty if it has none or has ended."""
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
    """Reserve a core for the program under test and exclude this process and its children from it.

    Returns:
        The core, the same one for each call, or None if there are fewer than four.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 4:
        return None
    os.sched_setaffinity(0, cores[:-1])
    return cores[-1]


def raise_descriptors() -> int:
    """Raise the soft limit of descriptors of this process to the hard limit and return that."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def _limits(descriptors: int | None, core: int | None, parent: int) -> Callable[[], None]:
    """Return the function that a child runs between fork and exec."""

    def apply() -> None:
        # Avoid orphans: the parent may be killed without a chance to stop the child.
        LIBC.prctl(DIE_WITH_PARENT, signal.SIGKILL)
        if os.getppid() != parent:
            os._exit(1)
        # A shell makes processes that it starts in the background ignore SIGINT.
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
    """A running program. Its standard error is read continuously, and the last lines are kept."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        # Used for signals, since the id of an ended process may have been reused.
        self._handle = _handle(process.pid)
        self._tail: deque[str] = deque(maxlen=TAIL_LINES)
        self._prefixes: tuple[str, ...] = ()
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
        """Start a program.

        Args:
            argv: The command line.
            cwd: The working directory.
            environment: The environment; None for that of this process.
            descriptors: Limit of descriptors, if any.
            core: The only core that it may use, if any.
            pass_fds: Descriptors that it inherits.
            talks: Whether standard input and output are pipes instead of /dev/null.
            errors: Descriptor for its standard error, which is then not read here.

        Raises:
            ProgramError: If it fails to start.
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
                process_group=0,  # Ctrl-C at the terminal goes to the owner, which stops the program
                limit=MAX_LINE_BYTES,
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
                if len(rest) > MAX_LOG_LINE_BYTES:
                    whole, end, rest = whole + end + rest, b"", b""
                self._take_lines(whole + end)  # with the line end, so that blank lines are kept
        finally:
            self._take_lines(rest)

    def _take_lines(self, data: bytes) -> None:
        lines = data.decode(errors="replace").splitlines()
        self._tail.extend(lines)
        self._keep_noted(lines)

    def _keep_noted(self, lines: Iterable[str]) -> None:
        if self._prefixes:
            found = [line for line in lines if line.startswith(self._prefixes)]
            self.noted += found[: MAX_NOTED - len(self.noted)]

    def note(self, *prefixes: str) -> None:
        """Keep log lines with these prefixes in `noted`, from the current tail on, at most `MAX_NOTED`."""
        self._prefixes = prefixes
        self._keep_noted(self._tail)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def code(self) -> int | None:
        """Exit code, negative for a signal; None while it runs."""
        return self._process.returncode

    @property
    def tail(self) -> list[str]:
        """Last lines of standard error."""
        return list(self._tail)

    def usage(self) -> Usage:
        """Return its usage.

        Raises:
            ProcessLookupError: If it has ended.
        """
        if self.code is not None:
            raise ProcessLookupError(f"process {self.pid} has ended")
        return usage(self.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._handle is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._handle, number)

    def ended(self) -> ProgramError:
        """Return the error for a program that ended too early, with its last line."""
        last = next((line for line in reversed(self._tail) if line.strip()), "no word")
        return ProgramError(f"process {self.pid} ended with code {self.code}: {last}")

    async def port(self, within_s: float = 10.0) -> int:
        """Wait for and return the first TCP port that it listens on.

        Raises:
            ProgramError: If there is none in time.
        """

        async def listens() -> bool:
            return bool(listening_ports(self.pid))

        await self.until(listens, within_s, "does not listen")
        return listening_ports(self.pid)[0]

    async def until(self, holds: Callable[[], Awaitable[bool]], within_s: float, what: str) -> None:
        """Wait until a condition holds.

        Raises:
            ProgramError: If the program ends or `within_s` has passed.
        """
        bound = time.monotonic() + within_s
        while not await holds():
            if self.code is not None:
                raise self.ended()
            if time.monotonic() > bound:
                raise ProgramError(f"process {self.pid} {what} after {within_s:g} s")
            await asyncio.sleep(POLL_S)

    async def wait(self, within_s: float) -> int | None:
        """Wait for the end; return the exit code, or None if it still runs after `within_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                return await self._process.wait()
        return None

    async def stop(self, within_s: float = 8.0) -> int:
        """Stop it by SIGTERM, or by SIGKILL after `within_s`; return its exit code."""
        self.signal(signal.SIGTERM)
        code = await self.wait(within_s)
        if code is None:
            self.signal(signal.SIGKILL)
            code = await self._process.wait()
        if self._handle is not None:
            os.close(self._handle)
            self._handle = None
        # Its last output is still in the pipe, which a child of the program might keep open forever.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._reading, STDERR_END_S)
        return code

    # --- for programs that talk ----------------------------------------------

    async def say(self, line: bytes, within_s: float) -> None:
        """Write a line to its standard input.

        Raises:
            ProgramError: If the write fails or times out.
        """
        assert self._process.stdin is not None
        try:
            async with asyncio.timeout(within_s):
                self._process.stdin.write(line)
                await self._process.stdin.drain()
        except (OSError, TimeoutError) as error:
            raise ProgramError(f"process {self.pid} does not read its standard input") from error

    async def hear(self, within_s: float) -> bytes:
        """Read the next line of its standard output.

        Raises:
            ProgramError: If none arrives in time.
        """
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
        """Read the rest of its standard output.

        Raises:
            ProgramError: If that does not end in time.
        """
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(within_s):
                return await self._process.stdout.read()
        except TimeoutError as error:
            raise ProgramError(f"process {self.pid} has not ended after {within_s:g} s") from error

    def hang_up(self) -> None:
        """Close its standard input, which stops a helper."""
        if self._process.stdin is not None:
            self._process.stdin.close()


@dataclass(slots=True)
class Peaks:
    """Highest sampled usage of a process."""

    descriptors: int = 0
    rss_mb: float = 0.0
    last: Usage | None = None
    samples: int = 0

    def take(self, now: Usage) -> None:
        """Add a sample; memory uses the peak that the kernel recorded."""
        self.descriptors = max(self.descriptors, now.descriptors)
        self.rss_mb = max(self.rss_mb, now.peak_rss_mb)
        self.last = now
        self.samples += 1


@contextlib.asynccontextmanager
async def sampled(program: Program, every_s: float = SAMPLE_S) -> AsyncIterator[Peaks]:
    """Sample the usage of a program during the block, or until it ends."""
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
    """Return the environment of this process without variables that affect a program under test."""
    kept = {name: value for name, value in os.environ.items() if not name.startswith(("NODE_", "PYTHON"))}
    return {**kept, **changes}
