"""One node: the unchanged program of an operator file, over a disk and clocks that its owner makes go wrong.

    python -m rig.cluster.node FILE --name n3 --seed 7 [--breach NAME] [--disk WRITES ...] [--jump-ms X] ...

Commands are lines of JSON on standard input, each answered by a line on standard output:

    {"do": "disk", "writes": "eio", "on": true}           that fault begins, or ends
    {"do": "clock", "jump_ms": 300, "drift_ppm": -500}    from now on it is so far off and runs so fast; 0 and
                                                          0 put it right
    {"do": "tell"}                                        figures of its store, loop and memory

Faults that are given as arguments are there before the program opens its disk or looks at its clock. SIGTERM
and SIGHUP are the program's. Exit codes: the program's own, 2 for bad input, and 3 once its owner hangs up.
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

if TYPE_CHECKING:  # a breach must be planted before anything of the program is loaded
    from rig.cluster.disks import FaultyStore

BAD_INPUT, HUNG_UP = 2, 3
MAX_DATA_MB = 512  # RLIMIT_DATA; past it an allocation fails
LAG_PERIOD_S = 0.1
WRITES: tuple[Writes, ...] = get_args(Writes)


class Control:
    """What the owner does to the node: its disk, its clocks, and questions."""

    def __init__(self, seed: int, name: str, disk: Sequence[Writes], clock: SkewedClock) -> None:
        self._seed = seed
        self._name = name
        self._on = set(disk)
        self._clock = clock
        self._store: FaultyStore | None = None
        self._lag_ms = 0.0  # the most since it was last told

    def store(self, folder: str) -> FaultyStore:
        """Open the program's folder, with the faults that are on now."""
        from rig.cluster.disks import FaultyStore

        self._store = FaultyStore(Path(folder), self._seed, self._name, sorted(self._on))
        return self._store

    def act(self, do: str, **given: Any) -> dict[str, Any]:
        """One command's answer; `ValueError`, `TypeError` or `KeyError` for one that is none."""
        acts: dict[str, Callable[..., dict[str, Any]]] = {
            "disk": self._disk,
            "clock": self._set_clock,
            "tell": self._tell,
        }
        return acts[do](**given)

    def _disk(self, writes: Writes, on: bool) -> dict[str, Any]:
        if writes not in WRITES:
            raise ValueError(f"writes: no {writes!r}; there are {', '.join(WRITES)}")
        if on != (writes in self._on):
            (self._on.add if on else self._on.discard)(writes)
            if self._store is not None:
                (self._store.begin if on else self._store.end)(writes)
        return {"on": sorted(self._on)}

    def _set_clock(self, jump_ms: float, drift_ppm: float) -> dict[str, Any]:
        if not (abs(jump_ms) <= MAX_JUMP_MS and abs(drift_ppm) <= MAX_DRIFT_PPM):
            raise ValueError("jump_ms, drift_ppm: no clock jumps or drifts so far")
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
        """Take commands, and watch the loop, as soon as it runs and for as long as it does."""
        self._obeying = loop.create_task(self._obey())
        loop.call_soon(self._measure_lag, loop, loop.time())

    async def _obey(self) -> None:
        try:
            await obey_until_hung_up(self.act)
        except (OSError, ValueError) as error:  # nobody reads its answers, or a line has no end
            print(f"commands: {error}", file=sys.stderr, flush=True)
        os._exit(HUNG_UP)

    def _measure_lag(self, loop: asyncio.AbstractEventLoop, due: float) -> None:
        now = loop.time()
        self._lag_ms = max(self._lag_ms, (now - due) * 1000.0)
        loop.call_at(now + LAG_PERIOD_S, self._measure_lag, loop, now + LAG_PERIOD_S)


class Policy(asyncio.DefaultEventLoopPolicy):
    """Gives the program a loop in skewed time, with the owner's commands in it."""

    def __init__(self, clock: SkewedClock, control: Control) -> None:
        super().__init__()
        self._clock = clock
        self._control = control

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """A loop that takes commands once it runs."""
        loop = skewed_loop(self._clock)
        self._control.begin(loop)
        return loop


class Parser(argparse.ArgumentParser):
    """One that says what is wrong in one line."""

    def error(self, message: str) -> NoReturn:
        """End with exit code 2."""
        self.exit(BAD_INPUT, f"{self.prog}: {message}\n")


def parser() -> Parser:
    """The command line."""
    made = Parser(prog="rig.cluster.node", description=__doc__, allow_abbrev=False)
    made.add_argument("file", metavar="FILE", help="the operator file")
    made.add_argument("--name", required=True, help="the node's name: its disk's faults are drawn by it")
    made.add_argument("--seed", type=int, default=1, help="what its disk's faults are drawn by")
    made.add_argument("--breach", default="", metavar="NAME", help="the planted breach")
    made.add_argument("--disk", action="append", default=[], choices=WRITES, help="a fault of its disk")
    made.add_argument("--jump-ms", type=_within(MAX_JUMP_MS), default=0.0, help="its wall clock is off")
    made.add_argument("--drift-ppm", type=_within(MAX_DRIFT_PPM), default=0.0, help="its clocks run fast")
    return made


def _within(most: float) -> Any:
    def figure(text: str) -> float:
        value = float(text)
        if not abs(value) <= most:
            raise argparse.ArgumentTypeError(f"{text} is not from {-most:g} to {most:g}")
        return value

    return figure


def main(words: Sequence[str] | None = None) -> int:
    """Run until SIGTERM; the exit code."""
    given = parser().parse_args(words)
    kind = os.fstat(sys.stdin.fileno()).st_mode
    if not (stat.S_ISFIFO(kind) or stat.S_ISSOCK(kind)):
        print("standard input: no pipe, which commands come by", file=sys.stderr)
        return BAD_INPUT
    try:
        if given.breach:
            breaching.install(breaching.read(given.breach))
    except BreachError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    # Guards against a node that takes the whole machine's memory; of address space threads take much more.
    resource.setrlimit(resource.RLIMIT_DATA, (MAX_DATA_MB * 2**20, MAX_DATA_MB * 2**20))
    return _run(given)


def _run(given: argparse.Namespace) -> int:
    from fordtrestle.proxy.daemon.signals import Signals

    signals = Signals()
    signals.install()  # before the rest is loaded, which takes a while, as the program does
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
