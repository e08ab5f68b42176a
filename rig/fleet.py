"""A fleet of port servers by data centre, one registry, several programs under test, and their clients.

A run applies a demand and a fault schedule to the fleet and returns the records of clients and servers with
their ledger. The same seed gives the same servers, calls and faults for any program under test.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

from rig import ledger
from rig.balancers import answers_ready
from rig.callers import CallClass, Caller, Callers, Demand, Direct, Score, Seen
from rig.clients import Address, quantile
from rig.faults import Schedule, Step
from rig.lag import LagWatch
from rig.model import Make
from rig.peers import PeerNet
from rig.portservers import PortHost
from rig.process import Program, clean_environment
from rig.registry import Board, Entry, entry, listed
from rig.servers import hold_port

Peer = Literal["sidecar", "random", "robin"]
PEERS: tuple[Peer, ...] = ("sidecar", "random", "robin")
DIRECT: tuple[Peer, ...] = ("random", "robin")

ZONES = ("north", "middle", "south")
READY_S = 15.0
SETTLE_S = 0.4  # from the last answer to the reading of all records
MAX_STEP_DELAY_MS = 50.0  # a fault step with a larger delay makes a run unsound
MAX_LAG_MS = 5.0  # 99th percentile of each part of the rig

CLASSES = (
    CallClass("port-check", "keyed", 0.63, 35.0, 84.0, 600.0, 2000.0, 10.0),
    CallClass("port-commit", "unsafe", 0.37, 43.5, 106.0, 1500.0, 5000.0, 2.0),
)
TENANTS = {f"t{number}": share for number, share in enumerate((17, 16, 16, 14, 12, 11, 5, 5, 4))}
WEIGHTS = (0.3, 0.22, 0.17, 0.13, 0.1, 0.08)  # relative loads of clients: most send little, and some far more
KEY_WINDOW_MS = 1200.0
DRAIN_GRACE_MS = 500.0
WARM_UP_MS = 7800.0  # upper bound in the rules; each server is warm sooner
COLD_FROM = 0.31
FALL_MULTIPLE, OVERLOAD_MS = 3.0, 2000.0
IDLE_CLOSE_MS = 5000.0
QUOTA = 1.3  # allowance of all tenants together, as a multiple of the expected rate


@dataclass(frozen=True, slots=True)
class Site:
    """Size of a fleet, and the seed of its drawn properties."""

    servers: int = 33
    sidecars: int = 6
    seed: int = 1
    choke_at: int = 0  # waiting requests per core above which a server chokes; 0 disables choking

    @property
    def server_names(self) -> list[str]:
        """Names of the servers: s0, s1 and so on."""
        return [f"s{number}" for number in range(self.servers)]

    @property
    def sidecar_names(self) -> list[str]:
        """Names of the sidecars: n0, n1 and so on."""
        return [f"n{number}" for number in range(self.sidecars)]

    def zone(self, number: int) -> str:
        """Return the data centre of the n-th server or sidecar."""
        return ZONES[number % len(ZONES)]

    def makes(self) -> dict[str, tuple[str, Make]]:
        """Return the kind and properties of each server by name."""
        rng = random.Random(f"site/{self.seed}")
        fast = round(0.44 * self.servers)
        kinds = ["full"] * fast + ["slow"] * (self.servers - fast)
        rng.shuffle(kinds)
        return {
            name: (kind, self._make(kind, rng)) for name, kind in zip(self.server_names, kinds, strict=True)
        }

    def _make(self, kind: str, rng: random.Random) -> Make:
        return Make(
            speed=rng.uniform(0.85, 1.1) if kind == "full" else rng.uniform(0.51, 0.69),
            slots=rng.randint(10, 23),
            queue=rng.randint(220, 550),
            connections=rng.randint(870, 1400),
            handshake_ms=rng.uniform(0.64, 1.5),
            probe_ms=rng.uniform(0.76, 1.5),
            cold_from=rng.uniform(COLD_FROM, 0.58),
            warm_up_ms=rng.uniform(3100.0, 6900.0),
            fall_multiple=FALL_MULTIPLE,
            overload_ms=OVERLOAD_MS,
            key_saving=rng.uniform(0.31, 0.68),
            key_memory_ms=rng.uniform(5000.0, 12000.0),
            choke_at=self.choke_at,
        )


def settings(site: Site, me: int, rate_per_s: float) -> dict[str, Any]:
    """Return the settings of a sidecar of the site."""
    total_share = sum(TENANTS.values())
    return {
        "Profiles": [
            {
                "Name": one.name,
                "Semantics": {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}[one.semantics],
                "Group": "zone" if one.semantics == "keyed" else "all",
                "KeyTtl": KEY_WINDOW_MS,
                "Objective": one.aim_ms,
                "Deadline": one.deadline_ms,
                "LateWorth": one.late_worth,
                "Worth": one.worth,
            }
            for one in CLASSES
        ],
        "FailureDomains": list(ZONES),
        "Locality": me % len(ZONES),
        "Kinds": ["full", "slow"],
        "Tenants": [
            {
                "Name": name,
                "Share": share / total_share,
                "AllowancePerS": share / total_share * rate_per_s * QUOTA,
            }
            for name, share in TENANTS.items()
        ],
        "OverShareWorth": 0.1,
        "WorthBy": "work",
        "WeightKind": "nominal",
        "Clients": {"MarksRetry": True},
        "Domain": {"WarmKeys": True},
        "Goal": {"Whole": 0.4, "WorstClass": 0.2, "WorstTenant": 0.25, "WorstWindow": 0.15},
        "Discovery": "automatic",
        "PolicyLimits": {
            "MaxAttempts": 3,
            "MayCancel": True,
            "MayProbe": True,
            "ParallelTries": True,
            "PeerMessages": True,
            "RetryAfter": True,
            "MaxRetryAfter": 2000.0,
            "ConnectTimeout": 250.0,
            "IdleClose": IDLE_CLOSE_MS,
        },
        "Prices": {
            "Connection": 0.03,
            "CrossZone": 0.01,
            "Handshake": 0.03,
            "LateFail": 0.08,
            "Peer": 0.01,
            "Probe": 0.01,
            "Waste": 0.02,
        },
        "Rules": {
            "AnswerSlack": 20.0,
            "StopSendingWithin": DRAIN_GRACE_MS,
            "ColdFrom": COLD_FROM,
            "WarmUp": WARM_UP_MS,
            "FallMultiple": FALL_MULTIPLE,
            "OverloadFor": OVERLOAD_MS,
        },
        "Report": {"How": "off", "Fields": []},
        "Me": me,
        "Balancers": site.sidecars,
    }


# --- programs under test ---------------------------------------------------------------------


class Stand:
    """A program under test, whose port stays reserved while it is down."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.program: Program | None = None
        self._ended_cpu_s = 0.0
        self._port_holder = hold_port()
        self._folder = tempfile.TemporaryDirectory(prefix="rig-")

    @property
    def address(self) -> Address:
        """Address that it listens on."""
        host, port = self._port_holder.getsockname()
        return str(host), int(port)

    @property
    def path(self) -> Path:
        """Its temporary folder."""
        return Path(self._folder.name)

    async def start(self, known: Sequence[Entry]) -> None:
        """Start it with an initial server list and wait until it is ready.

        Raises:
            ProgramError: If it fails to start or does not get ready.
        """
        self.program = await self._launch(known)
        await self.program.until(lambda: answers_ready(*self.address), READY_S, f"({self.name}) is not ready")

    async def kill(self) -> None:
        """Kill it."""
        if self.program is not None:
            self._ended_cpu_s = self.cpu_s
            program, self.program = self.program, None
            program.signal(signal.SIGKILL)
            await program.stop()

    async def stop(self) -> None:
        """Stop it gracefully and release its port."""
        if self.program is not None:
            await self.program.stop()
        self._port_holder.close()
        self._folder.cleanup()

    @property
    def cpu_s(self) -> float:
        """CPU time so far, including that before each kill."""
        if self.program is not None:
            with contextlib.suppress(ProcessLookupError):
                return self._ended_cpu_s + self.program.usage().cpu_s
        return self._ended_cpu_s

    async def _launch(self, known: Sequence[Entry]) -> Program:
        raise NotImplementedError


class SidecarStand(Stand):
    """The sidecar of a checkout as the program under test."""

    def __init__(self, name: str, tree: Path, config: Mapping[str, Any]) -> None:
        super().__init__(name)
        self._tree = tree
        self._config = config
        self._starts = 0

    async def _launch(self, known: Sequence[Entry]) -> Program:
        self._starts += 1
        host, port = self.address
        config = {
            **self._config,
            "name": self.name,
            "listen": f"{host}:{port}",
            "seed": f"{self._config['seed']}{self._starts:04x}",  # differs for each start
            "known": listed(1, list(known)),
        }
        path = self.path / "config.json"
        path.write_text(json.dumps(config))
        return await Program.start(
            [sys.executable, "-m", "fordtrestle"],
            cwd=self._tree,
            environment=clean_environment(NODE_CONFIG=str(path), TMPDIR=self._folder.name),
            descriptors=int(self._config["limits"]["sockets"]),
        )


# --- the fleet ---------------------------------------------------------------------------------


@dataclass
class Run:
    """Results of a run."""

    score: Score
    call_ledger: ledger.Ledger
    breaches: dict[str, list[ledger.Breach]]
    falls: list[tuple[str, float]]
    lag_p99_ms: dict[str, float]  # of each part of the rig
    strike_late_ms: float  # largest delay of a step
    cpu_s: float  # of all programs under test
    rig_cpu_s: float  # of the rig, this process included
    wall_s: float
    unrecorded: int

    @property
    def unsound(self) -> list[str]:
        """Reasons for which the measurements of the rig are invalid; empty if they are valid."""
        late = [f"{part} late by {ms:.1f} ms" for part, ms in self.lag_p99_ms.items() if ms > MAX_LAG_MS]
        if self.strike_late_ms > MAX_STEP_DELAY_MS:
            late.append(f"a fault late by {self.strike_late_ms:.0f} ms")
        return [*late, *([f"{self.unrecorded} executions not noted"] if self.unrecorded else [])]

    @property
    def broken(self) -> int:
        """Number of breaches."""
        return sum(len(found) for found in self.breaches.values())


class RunningFleet:
    """A running fleet, created by `standing`."""

    def __init__(self, site: Site, peer: Peer) -> None:
        self.site = site
        self.peer = peer
        self.hosts: dict[str, PortHost] = {}
        self.board: Board
        self.peers: PeerNet | None = None
        self.stands: dict[str, Stand] = {}
        self.callers: dict[str, Caller] = {}
        self.crashes: list[ledger.Crash] = []
        self.strike_late_ms = 0.0
        self._zones = {name: site.zone(number) for number, name in enumerate(site.server_names)}
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._errors: list[BaseException] = []
        self._lists: dict[str, list[Entry]] = {}  # server list of each sidecar at its kill

    async def start(self, tree: Path, rate_per_s: float) -> None:
        """Start all parts.

        Raises:
            ProgramError: If a part fails to start.
        """
        makes = self.site.makes()
        for zone in ZONES:
            own = {name: make for name, (_, make) in makes.items() if self._zones[name] == zone}
            self.hosts[zone] = await PortHost.start(
                zone, own, seed=self.site.seed, window_ms=KEY_WINDOW_MS, idle_close_ms=IDLE_CLOSE_MS
            )
        rows = [
            entry(name, self.hosts[self._zones[name]].addresses[name], zone=self._zones[name], type=kind)
            for name, (kind, _) in makes.items()
        ]
        watched = self.peer not in DIRECT
        self.board = await Board(rows, self.site.sidecar_names, self.site.seed, watched).start()
        if self.peer in DIRECT:
            self.callers = {name: self._direct(name) for name in self.site.sidecar_names}
            return
        self.peers = await PeerNet(self.site.sidecar_names, self.site.seed).start()
        for number, name in enumerate(self.site.sidecar_names):
            self.stands[name] = self._stand(number, name, tree, rate_per_s)
        await asyncio.gather(*(stand.start(rows) for stand in self.stands.values()))
        self.callers = {name: Caller(name, stand.address) for name, stand in self.stands.items()}

    async def stop(self) -> None:
        """Stop all parts."""
        for task in list(self._tasks):
            task.cancel()
        for caller in self.callers.values():
            caller.close()
        await asyncio.gather(*(stand.stop() for stand in self.stands.values()), return_exceptions=True)
        if self.peers is not None:
            self.peers.stop()
        if hasattr(self, "board"):
            await self.board.stop()
        await asyncio.gather(*(host.stop() for host in self.hosts.values()), return_exceptions=True)

    async def play(self, demand: Demand, schedule: Schedule) -> Run:
        """Run a demand and a schedule from now on, and return all records."""
        steps = schedule.steps(self.site.server_names, self.site.sidecar_names)
        callers = Callers(demand, self.callers)
        lag = LagWatch().start()
        began, spent_s = time.monotonic(), time.process_time()
        steps_task = asyncio.create_task(self._run_steps(steps))
        try:
            seen = await callers.run()
            await asyncio.sleep(SETTLE_S)
        finally:
            steps_task.cancel()
            lag.stop()
        if steps_task.done() and not steps_task.cancelled() and (error := steps_task.exception()) is not None:
            raise error
        if self._errors:
            raise self._errors[0]
        run = await self._run(seen, lag, time.monotonic() - began)
        run.rig_cpu_s += time.process_time() - spent_s
        return run

    # --- faults ----------------------------------------------------------------------

    async def _run_steps(self, steps: Sequence[Step]) -> None:
        start_s = self._loop.time()
        for step in steps:
            await asyncio.sleep(max(0.0, start_s + step.at_s - self._loop.time()))
            late_ms = (self._loop.time() - start_s - step.at_s) * 1000.0
            self.strike_late_ms = max(self.strike_late_ms, late_ms)
            await self.strike(step)

    async def strike(self, step: Step) -> None:
        """Apply a step.

        Raises:
            ProgramError: If a helper rejects it.
        """
        match step.what:
            case "list":
                self.board.change(step.target, step.options["status"])
            case "registry":
                if "silent" in step.options:
                    self.board.hush(step.options["silent"])
                else:
                    self.board.delay_ms = step.options["delay_ms"]
            case "kill":
                await self._kill(step.target)
            case "restart":
                self._run_concurrently(self._restart(step.target))
            case _:
                if step.what == "start":
                    self.board.started(step.target)
                await self.hosts[self._zones[step.target]].act(step.target, step.what, **step.options)

    async def _kill(self, name: str) -> None:
        self.crashes.append(ledger.Crash(name, self._loop.time()))
        if name in self.stands:
            self._lists[name] = self.board.list_at(name)
            self._run_concurrently(self.stands[name].kill())
        else:
            self.callers[name].crash()

    async def _restart(self, name: str) -> None:
        """Restart a sidecar with only its last list."""
        if name in self.stands:
            await self.stands[name].start(self._lists[name])
        else:
            self.callers[name].down = False

    def _run_concurrently(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine concurrently, so that it does not delay the next step; its error ends the run."""

        def done(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if not task.cancelled() and (error := task.exception()) is not None:
                self._errors.append(error)

        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(done)

    # --- parts -------------------------------------------------------------------------

    def _stand(self, number: int, name: str, tree: Path, rate_per_s: float) -> Stand:
        assert self.peers is not None
        config = {
            "discovery": self.board.agents[name].address,
            "seed": f"{self.site.seed:04x}{number:04x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(self.site, number, rate_per_s),
            **self.peers.config_of(number),
        }
        return SidecarStand(name, tree, config)

    def _direct(self, name: str) -> Caller:
        rng = random.Random(f"direct/{self.site.seed}/{name}")

        def servers() -> list[tuple[str, Address]]:
            return [
                (row["name"], _address(row["address"]))
                for row in self.board.list_at(name)
                if row["status"] == "active"
            ]

        mode: Literal["random", "robin"] = "random" if self.peer == "random" else "robin"
        return Caller(name, None, Direct(mode, servers, rng, turn=rng.randrange(self.site.servers)))

    async def _run(self, seen: Seen, lag: LagWatch, wall_s: float) -> Run:
        for caller in self.callers.values():
            caller.close()
        await asyncio.sleep(SETTLE_S / 4.0)  # lets the servers record the cut requests
        call_ledger = ledger.Ledger(
            asked=seen.asked,
            notifications=self.board.notifications,
            crashes=self.crashes,
            strays=sum(caller.strays for caller in self.callers.values()),
            limits=ledger.Limits(DRAIN_GRACE_MS / 1000.0, KEY_WINDOW_MS / 1000.0),
        )
        falls: list[tuple[str, float]] = []
        lags = {"clients": max(lag.summary()["p99_ms"], quantile(seen.lag_ms, 0.99))}
        unrecorded, rig_cpu_s = 0, 0.0
        for zone, host in self.hosts.items():
            summary = await host.summary()
            call_ledger.executions += await host.executions()
            call_ledger.starts += [ledger.Start(**start) for start in summary["starts"]]
            falls += [(name, at_s) for name, at_s in summary["falls"]]
            lags[f"servers {zone}"] = summary["lag"]["p99_ms"]
            unrecorded += summary["unrecorded"]
            rig_cpu_s += summary["cpu_s"]
        return Run(
            score=Score(seen.outcomes),
            call_ledger=call_ledger,
            breaches=call_ledger.check(),
            falls=falls,
            lag_p99_ms=lags,
            strike_late_ms=self.strike_late_ms,
            cpu_s=sum(stand.cpu_s for stand in self.stands.values()),
            rig_cpu_s=rig_cpu_s,
            wall_s=wall_s,
            unrecorded=unrecorded,
        )


def _address(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return host, int(port)


@contextlib.asynccontextmanager
async def standing(tree: Path, peer: Peer, site: Site, rate_per_s: float) -> AsyncIterator[RunningFleet]:
    """Run a fleet and wait until it is ready.

    Raises:
        ProgramError: If a part fails to start.
    """
    fleet = RunningFleet(site, peer)
    try:
        await fleet.start(tree, rate_per_s)
        yield fleet
    finally:
        await fleet.stop()
