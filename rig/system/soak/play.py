"""Plays a schedule on real processes over loopback and records the results."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import aiohttp

from rig.system.deployment import NEXT_PROGRAM, PROGRAM, REGIONS, Deployment, Machine, Program
from rig.system.fleet import until_ready
from rig.system.soak import crowds
from rig.system.soak.applications import SHORT_HOLDS, Applications, LockUse
from rig.system.soak.clients import KINDS, STANDARD_MIX, Client, RequestMix, standing_rules
from rig.system.soak.operator import Operator
from rig.system.soak.record import ProcessLifetime, Record
from rig.system.soak.route_changes import RouteRule, RuleSource
from rig.system.soak.schedule import Action, Schedule, Step
from rig.system.soak.servers import ServerFaults, Servers

GRACE_S = 8.0
RESTART_DELAY_S = 0.2
START_TIMEOUT_S = 60.0
CLIENT_REQUESTS_PER_S = 2.0  # while it has no request in flight
CALL_TIMEOUT_S = 3.0
ZONE_SUFFIX = "-1"  # of the only zone of a region
EXITED = "Z"


def state_of(pid: int) -> str:
    """Return the kernel's state letter and the thread count of a child process, or `Z` if it has exited."""
    try:
        status = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        threads = len(list(Path(f"/proc/{pid}/task").iterdir()))
    except OSError:  # the process has been reaped
        return EXITED
    return EXITED if status == EXITED else f"{status}, {threads} threads"


class Supervisor:
    """Starts the process of a machine, ends it as the platform does, and restarts it."""

    def __init__(self, machine: Machine, record: Record, program: Program) -> None:
        self.machine = machine
        self._record = record
        self._program = program
        self._lifetime: ProcessLifetime | None = None
        self._kill_task: asyncio.Task[None] | None = None
        self._exit_task: asyncio.Task[None] | None = None
        self.is_closing = False

    async def start(self, bootstrap: bool = False) -> None:
        """Start the process, and restart it whenever it exits."""
        machine = self.machine
        await machine.start(bootstrap, self._program)
        front = machine.address("front") if machine.role == "sidecar" else ""
        lifetime = ProcessLifetime(machine.name, machine.role, machine.region, front, time.monotonic())
        self._record.lifetimes.append(lifetime)
        self._lifetime = lifetime
        self._exit_task = asyncio.create_task(self._await_exit(lifetime))

    async def _await_exit(self, lifetime: ProcessLifetime) -> None:
        process = self.machine.process
        assert process is not None
        lifetime.code = await process.wait()
        lifetime.ended = time.monotonic()
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.is_closing:
            await self.start()

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        process = self.machine.process
        if process is not None and process.returncode is None:
            # Not `process.send_signal`: it would reap a process that has just exited, and lose its exit code.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal_number)

    def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace time, which counts from the first SIGTERM."""
        lifetime = self._lifetime
        self.send(signal.SIGTERM)
        if lifetime and lifetime.sigterm_at is None and lifetime.ended is None:
            lifetime.sigterm_at = time.monotonic()
            self._kill_task = asyncio.create_task(self._kill_after_grace(lifetime))

    async def _kill_after_grace(self, lifetime: ProcessLifetime) -> None:
        await asyncio.sleep(GRACE_S)
        process = self.machine.process
        if lifetime.ended is None and process is not None and (state := state_of(process.pid)) != EXITED:
            lifetime.overdue_state = state
            self.send(signal.SIGKILL)

    def replace(self, program: Program) -> None:
        """Terminate the process so that it restarts with another program."""
        self._program = program
        self.terminate()

    def send_unplanned(self, signal_number: signal.Signals) -> None:
        """Send a signal that is not planned work, and record its time."""
        if self._lifetime:
            self._lifetime.disturbed_at.append(time.monotonic())
        self.send(signal_number)

    async def close(self) -> None:
        """Terminate the process without a restart."""
        self.is_closing = True
        self.send(signal.SIGCONT)
        self.terminate()
        if self._exit_task:
            await self._exit_task
        if self._kill_task:
            self._kill_task.cancel()


@dataclass(frozen=True, slots=True)
class PlayOptions:
    """What is played.

    Attributes:
        sidecars: Number of sidecars in each region.
        clients: Number of clients in each region.
        program: Version that all machines start with and are reverted to.
        updated: Version that they are updated to.
        server_faults: How the servers fail requests; `None` if they do not.
        changes_rules: Whether changes touch the routes' rules while servers fail requests.
        lock_use: How the applications use locks.
        keeps_connections: Whether all callers use connections for as long as they are open.
        has_crowds: Whether processes have the limits that crowds of misbehaving clients are meant for.
        mix: What the clients send.
        repeats_ids: Whether clients send a request that was refused again with its id.
    """

    sidecars: int
    clients: int
    program: Program = PROGRAM
    updated: Program = NEXT_PROGRAM
    server_faults: ServerFaults | None = None
    changes_rules: bool = True
    lock_use: LockUse = SHORT_HOLDS
    keeps_connections: bool = False
    has_crowds: bool = False
    mix: RequestMix = STANDARD_MIX
    repeats_ids: bool = False


class Play:
    """One run of a schedule on a deployment with clients, an operator and applications."""

    def __init__(self, schedule: Schedule, folder: Path, options: PlayOptions) -> None:
        """Create the deployment and its clients.

        Args:
            schedule: Steps of the play.
            folder: Folder for the settings, data and logs of the machines.
            options: What is played.
        """
        self.record = Record(GRACE_S)
        self._schedule = schedule
        self._options = options
        limits = crowds.LIMITS if options.has_crowds else None
        self._deployment = Deployment(folder, options.sidecars, GRACE_S, limits)
        self._crowds_rng = random.Random(f"crowds {schedule.seed}")
        self._supervisors = {
            machine.name: Supervisor(machine, self.record, options.program)
            for machine in self._deployment.machines
        }
        self._rng = random.Random(schedule.seed)
        # Separate, so that the draws of the other parts stay the same.
        applications_rng = random.Random(f"applications {schedule.seed}")
        self._applications = Applications(self._deployment, self.record, applications_rng, options.lock_use)
        operator_rng = random.Random(self._rng.random())
        self._operator = Operator(self._deployment, self.record, operator_rng, self._rules())
        keeps_fronts = options.keeps_connections or options.server_faults is not None
        self._clients = [
            Client(
                self._deployment,
                region,
                self.record,
                random.Random(self._rng.random()),
                keeps_fronts,
                options.mix,
                options.repeats_ids,
            )
            for region in REGIONS
            for _ in range(options.clients)
        ]

        self.record.has_server_faults = options.server_faults is not None
        faults_rng = random.Random(f"faults {schedule.seed}")
        self._servers = Servers(self._deployment, self.record.runs.append, faults_rng, options.server_faults)

    def _rules(self) -> Callable[[], tuple[RouteRule, ...]]:
        """Return the source of the rules of each configuration."""
        if self._options.server_faults is None or not self._options.changes_rules:
            return standing_rules
        rules_rng = random.Random(f"rules {self._schedule.seed}")
        source = RuleSource(rules_rng, [kind.path for kind in KINDS])
        streaming = [kind.path for kind in KINDS if kind.streaming]
        return partial(source.next_rules, streaming)

    async def run(self) -> Record:
        """Play the schedule and return its record."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0, force_close=not self._options.keeps_connections)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            try:
                await self._servers.start()
                await self._start(session)
                await self._traffic(session)
            finally:
                await asyncio.gather(*(supervisor.close() for supervisor in self._supervisors.values()))
                await self._servers.stop()
        self._collect_logs()
        return self.record

    async def _start(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            for supervisor in self._supervisors.values():
                await supervisor.start(bootstrap=True)
            await self._operator.change(session, time.monotonic() + START_TIMEOUT_S)
            for machine in self._deployment.of_role("sidecar"):
                await until_ready(session, machine)

    async def _traffic(self, session: aiohttp.ClientSession) -> None:
        started = time.monotonic()
        until = started + self._schedule.duration_s
        async with asyncio.TaskGroup() as tasks:
            for client in self._clients:
                tasks.create_task(client.run(session, until, CLIENT_REQUESTS_PER_S))
            tasks.create_task(self._operator.read(session, until))
            tasks.create_task(self._applications.run(session, until))
            memory = tasks.create_task(self._record_memory())
            for step in self._schedule.steps:
                await asyncio.sleep(max(0.0, started + step.at - time.monotonic()))
                self._execute(step, session, until, tasks)
            await asyncio.sleep(max(0.0, until - time.monotonic()))
            memory.cancel()

    async def _record_memory(self) -> None:
        if self._options.has_crowds:
            await crowds.record_memory(self._deployment.machines, self.record)

    def _execute(
        self, step: Step, session: aiohttp.ClientSession, until: float, tasks: asyncio.TaskGroup
    ) -> None:
        match step.action:
            case Action.CHANGE:
                tasks.create_task(self._operator.change(session, until))
            case Action.EVACUATE:
                zone = step.target + ZONE_SUFFIX
                tasks.create_task(self._operator.evacuate(session, zone, step.for_s, until))
            case Action.CROWD:
                machine = self._supervisors[step.target].machine
                tasks.create_task(crowds.send_crowd(machine, self._crowds_rng, step.for_s))
            case Action.SERVER_CRASH | Action.SERVER_REUSE | Action.SERVER_FREEZE:
                tasks.create_task(self._servers.execute(step))
            case _:
                self._signal(step, tasks)

    def _signal(self, step: Step, tasks: asyncio.TaskGroup) -> None:
        """Execute a step that sends signals to a machine."""
        match step.action:
            case Action.ROLL:
                self._supervisors[step.target].terminate()
            case Action.UPDATE:
                self._supervisors[step.target].replace(self._options.updated)
            case Action.REVERT:
                self._supervisors[step.target].replace(self._options.program)
            case Action.HUP:
                self._supervisors[step.target].send(signal.SIGHUP)
            case Action.KILL:
                self._supervisors[step.target].send_unplanned(signal.SIGKILL)
            case Action.FREEZE:
                tasks.create_task(self._freeze(self._supervisors[step.target], step.for_s))

    async def _freeze(self, supervisor: Supervisor, for_s: float) -> None:
        supervisor.send_unplanned(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        supervisor.send_unplanned(signal.SIGCONT)

    def _collect_logs(self) -> None:
        for machine in self._deployment.machines:
            text = (machine.folder / "log").read_text(errors="replace")
            self.record.log_lines += [(machine.name, line) for line in text.splitlines()]
