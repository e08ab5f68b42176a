"""One node: the unchanged program of an operator file, on a disk and clocks that its owner can make fail.

    python -m rig.cluster.node FILE --name n3 --seed 7 [--breach NAME] [--disk WRITES ...] [--jump-ms X] ...

Commands are lines of JSON on standard input; each is answered by a line on standard output:

    {"do": "disk", "writes": "eio", "on": true}           begin a fault of the disk, or end it
    {"do": "clock", "jump_ms": 300, "drift_ppm": -500}    set the error and the drift of the clock from now
        on; 0 and 0 reset it to the real time
    {"do": "tell"}                                        report figures of the store, the loop and memory

Faults given as arguments are active before the program opens its disk or reads its clock. SIGTERM and SIGHUP
are handled by the program. Exit codes: the program's own, 2 for bad input, 3 once the owner closes the pipe.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import resource
import stat
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn, get_args

from rig.cluster import breaching
from rig.cluster.breaching import BreachError
from rig.cluster.clocks import MAX_DRIFT_PPM, MAX_JUMP_MS, SkewedClock, skewed_loop
from rig.cluster.schedules import Writes
from rig.helper import obey_until_hung_up
from rig.process import usage

if TYPE_CHECKING:  # a breach must be planted before any module of the program is loaded
    from rig.cluster.disks import FaultyStore

BAD_INPUT, HUNG_UP = 2, 3
MAX_DATA_MB = 512  # RLIMIT_DATA; allocations beyond it fail
LAG_PERIOD_S = 0.1
WRITES: tuple[Writes, ...] = get_args(Writes)


class Control:
    """The owner's control over the node: its disk, its clocks, and reports."""

    def __init__(self, seed: int, name: str, disk: Sequence[Writes], clock: SkewedClock) -> None:
        self._seed = seed
        self._name = name
        self._on = set(disk)
        self._clock = clock
        self._store: FaultyStore | None = None
        self._lag_ms = 0.0  # largest since the last report

    def store(self, folder: str) -> FaultyStore:
        """Open the program's folder, with the faults that are active now."""
        from rig.cluster.disks import FaultyStore

        self._store = FaultyStore(Path(folder), self._seed, self._name, sorted(self._on))
        return self._store

    def act(self, do: str, **given: Any) -> dict[str, Any]:
        """Run a command and return its answer; `ValueError`, `TypeError` or `KeyError` if it is invalid."""
        acts: dict[str, Callable[..., dict[str, Any]]] = {
            "disk": self._disk,
            "clock": self._set_clock,
            "tell": self._tell,
        }
        return acts[do](**given)

    def _disk(self, writes: Writes, on: bool) -> dict[str, Any]:
        if writes not in WRITES:
            raise ValueError(f"writes: unknown {writes!r}, expected one of {', '.join(WRITES)}")
        if on != (writes in self._on):
            (self._on.add if on else self._on.discard)(writes)
            if self._store is not None:
                (self._store.begin if on else self._store.end)(writes)
        return {"on": sorted(self._on)}

    def _set_clock(self, jump_ms: float, drift_ppm: float) -> dict[str, Any]:
        if not (abs(jump_ms) <= MAX_JUMP_MS and abs(drift_ppm) <= MAX_DRIFT_PPM):
            raise ValueError("jump_ms, drift_ppm: beyond the limits of a clock")
        self._clock.reset_to_real_time()
        self._clock.jump(jump_ms)
        self._clock.drift(drift_ppm)
        return {"wall_ms": self._clock.wall() * 1000.0}

    def _tell(self) -> dict[str, Any]:
        used = usage(os.getpid())
        store = self._store.counters() if self._store is not None else None
        lag_ms, self._lag_ms = self._lag_ms, 0.0
        return {
            "syncs": store.syncs if store else 0,
            "appends": store.appends if store else 0,
            "reads": store.reads if store else 0,
            "written_bytes": store.written_bytes if store else 0,
            "faults": dict(store.faults) if store else {},
            "on": sorted(self._on),
            "lag_ms": lag_ms,
            "rss_mb": used.rss_mb,
            "peak_rss_mb": used.peak_rss_mb,
            "cpu_s": used.cpu_s,
            "monotonic_ms": time.monotonic() * 1000.0,
        }

    # --- in the program's loop -----------------------------------------------------

    def begin(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read commands and measure the loop's lag, as soon as the loop runs and for as long as it does."""
        self._obeying = loop.create_task(self._obey())
        loop.call_soon(self._measure_lag, loop, loop.time())

    async def _obey(self) -> None:
        try:
            await obey_until_hung_up(self.act)
        except (OSError, ValueError) as error:  # its answers are not read, or a line is too long
            print(f"commands: {error}", file=sys.stderr, flush=True)
        os._exit(HUNG_UP)

    def _measure_lag(self, loop: asyncio.AbstractEventLoop, due: float) -> None:
        now = loop.time()
        self._lag_ms = max(self._lag_ms, (now - due) * 1000.0)
        loop.call_at(now + LAG_PERIOD_S, self._measure_lag, loop, now + LAG_PERIOD_S)


class Policy(asyncio.DefaultEventLoopPolicy):
    """Event loop policy that gives the program a loop in skewed time that also runs the owner's commands."""

    def __init__(self, clock: SkewedClock, control: Control) -> None:
        super().__init__()
        self._clock = clock
        self._control = control

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Create a loop that reads commands once it runs."""
        loop = skewed_loop(self._clock)
        self._control.begin(loop)
        return loop


class Parser(argparse.ArgumentParser):
    """Argument parser that reports an error in one line."""

    def error(self, message: str) -> NoReturn:
        """Exit with code 2."""
        self.exit(BAD_INPUT, f"{self.prog}: {message}\n")


def parser() -> Parser:
    """Return the parser of the command line."""
    command_line = Parser(prog="rig.cluster.node", description=__doc__, allow_abbrev=False)
    command_line.add_argument("file", metavar="FILE", help="the operator file")
    command_line.add_argument(
        "--name", required=True, help="the node's name; the faults of its disk are drawn by it"
    )
    command_line.add_argument("--seed", type=int, default=1, help="seed of the faults of its disk")
    command_line.add_argument("--breach", default="", metavar="NAME", help="the planted breach")
    command_line.add_argument(
        "--disk",
        action="append",
        default=[],
        choices=WRITES,
        help="an initial fault of its disk",
    )
    command_line.add_argument(
        "--jump-ms", type=_within(MAX_JUMP_MS), default=0.0, help="error of its wall clock"
    )
    command_line.add_argument(
        "--drift-ppm",
        type=_within(MAX_DRIFT_PPM),
        default=0.0,
        help="drift of its clocks",
    )
    return command_line


def _within(most: float) -> Any:
    def figure(text: str) -> float:
        value = float(text)
        if not abs(value) <= most:
            raise argparse.ArgumentTypeError(f"{text} is not from {-most:g} to {most:g}")
        return value

    return figure


def main(arguments: Sequence[str] | None = None) -> int:
    """Run until SIGTERM; return the exit code."""
    given = parser().parse_args(arguments)
    mode = os.fstat(sys.stdin.fileno()).st_mode
    if not (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
        print("standard input: not a pipe; commands are read from one", file=sys.stderr)
        return BAD_INPUT
    try:
        if given.breach:
            breaching.install(breaching.read(given.breach))
    except BreachError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    # Keeps a node from using up the machine's memory. Not RLIMIT_AS: threads take much more of that.
    resource.setrlimit(resource.RLIMIT_DATA, (MAX_DATA_MB * 2**20, MAX_DATA_MB * 2**20))
    return _run(given)


def _run(given: argparse.Namespace) -> int:
    from fordtrestle.proxy.daemon.signals import Signals

    signals = Signals()
    signals.install()  # as in the program, before the rest is loaded, which takes a while
    from fordtrestle.proxy.daemon import standalone
    from fordtrestle.proxy.daemon.seams import Seams

    clock = SkewedClock()
    clock.jump(given.jump_ms)
    clock.drift(given.drift_ppm)
    control = Control(given.seed, given.name, given.disk, clock)
    asyncio.set_event_loop_policy(Policy(clock, control))
    seams = Seams(wall=clock.wall, stamp=time.monotonic, store=control.store)
    return standalone.main(given.file, signals, seams)


if __name__ == "__main__":
    sys.exit(main())
