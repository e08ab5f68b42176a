"""Plays a schedule on real processes over loopback, and gives back what was seen."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path

import aiohttp

from rig.system.deployment import NEXT_PROGRAM, PROGRAM, REGIONS, Deployment, Machine, Program
from rig.system.fleet import servers_of, until_ready
from rig.system.soak.applications import Applications
from rig.system.soak.clients import Client, Operator
from rig.system.soak.record import Life, Record
from rig.system.soak.schedule import Action, Schedule, Step

GRACE_S = 8.0
RESTART_S = 0.2
START_S = 60.0
CLIENT_RATE_S = 2.0  # requests of a client, while none of its own is open
CALL_S = 3.0
ZONE = "-1"  # behind a region's name
ENDED = "Z"


def state_of(pid: int) -> str:
    """What the kernel says of a child: its state's letter, and how many threads it has. `Z`: it has ended."""
    try:
        status = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        threads = len(list(Path(f"/proc/{pid}/task").iterdir()))
    except OSError:  # it has been waited for
        return ENDED
    return ENDED if status == ENDED else f"{status}, {threads} threads"


class Supervisor:
    """Starts a machine's process, ends it as the platform does, and starts it again."""

    def __init__(self, machine: Machine, record: Record, program: Program) -> None:
        self.machine = machine
        self._record = record
        self._program = program
        self._life: Life | None = None
        self._ending: asyncio.Task[None] | None = None
        self._watch: asyncio.Task[None] | None = None
        self.closing = False

    async def start(self, bootstrap: bool = False) -> None:
        """Start the process, and again whenever it ends."""
        machine = self.machine
        await machine.start(bootstrap, self._program)
        front = machine.address("front") if machine.role == "sidecar" else ""
        life = Life(machine.name, machine.role, machine.region, front, time.monotonic())
        self._record.lives.append(life)
        self._life = life
        self._watch = asyncio.create_task(self._follow(life))

    async def _follow(self, life: Life) -> None:
        process = self.machine.process
        assert process is not None
        life.code = await process.wait()
        life.ended = time.monotonic()
        await asyncio.sleep(RESTART_S)
        if not self.closing:
            await self.start()

    def send(self, what: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        process = self.machine.process
        if process is not None and process.returncode is None:
            process.send_signal(what)

    def tell_to_end(self) -> None:
        """SIGTERM, and SIGKILL after the grace. A process that is told twice has the grace of the first."""
        life = self._life
        self.send(signal.SIGTERM)
        if life and life.told_at is None and life.ended is None:
            life.told_at = time.monotonic()
            self._ending = asyncio.create_task(self._kill_late(life))

    async def _kill_late(self, life: Life) -> None:
        await asyncio.sleep(GRACE_S)
        process = self.machine.process
        if life.ended is None and process is not None and (state := state_of(process.pid)) != ENDED:
            life.overdue = state
            self.send(signal.SIGKILL)

    def replace(self, program: Program) -> None:
        """Start another program from the next start on, and let the process end for it."""
        self._program = program
        self.tell_to_end()

    def disturb(self, what: signal.Signals) -> None:
        """A signal that is no planned work."""
        if self._life:
            self._life.disturbed.append(time.monotonic())
        self.send(what)

    async def close(self) -> None:
        """End for good."""
        self.closing = True
        self.send(signal.SIGCONT)
        self.tell_to_end()
        if self._watch:
            await self._watch
        if self._ending:
            self._ending.cancel()


class Play:
    """One play."""

    def __init__(
        self,
        schedule: Schedule,
        folder: Path,
        sidecars: int,
        clients: int,
        program: Program = PROGRAM,
        updated: Program = NEXT_PROGRAM,
    ) -> None:
        """Set the machines up.

        Args:
            schedule: What is done to them, and when.
            folder: Where their settings, data and logs go.
            sidecars: How many there are of each region.
            clients: How many there are of each region.
            program: The version that all start as, and are reverted to.
            updated: The version that they are updated to.
        """
        self.record = Record(GRACE_S)
        self._schedule = schedule
        self._program, self._updated = program, updated
        self._deployment = Deployment(folder, sidecars, GRACE_S)
        self._supervisors = {m.name: Supervisor(m, self.record, program) for m in self._deployment.machines}
        self._rng = random.Random(schedule.seed)
        applications_rng = random.Random(f"applications {schedule.seed}")  # so that older draws stay
        self._applications = Applications(self._deployment, self.record, applications_rng)
        self._operator = Operator(self._deployment, self.record, random.Random(self._rng.random()))
        self._clients = [
            Client(self._deployment, region, self.record, random.Random(self._rng.random()))
            for region in REGIONS
            for _ in range(clients)
        ]

    async def run(self) -> Record:
        """Play it."""
        servers = [
            server
            for region in REGIONS
            for server in servers_of(self._deployment, region, 1, self.record.runs.append)
        ]
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            try:
                for server in servers:
                    await server.start()
                await self._start(session)
                await self._traffic(session)
            finally:
                await asyncio.gather(*(one.close() for one in self._supervisors.values()))
                for server in servers:
                    await server.crash()
        self._collect_logs()
        return self.record

    async def _start(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(START_S):
            for supervisor in self._supervisors.values():
                await supervisor.start(bootstrap=True)
            await self._operator.change(session, time.monotonic() + START_S)
            for machine in self._deployment.of_role("sidecar"):
                await until_ready(session, machine)

    async def _traffic(self, session: aiohttp.ClientSession) -> None:
        began = time.monotonic()
        until = began + self._schedule.lasts_s
        async with asyncio.TaskGroup() as tasks:
            for client in self._clients:
                tasks.create_task(client.run(session, until, CLIENT_RATE_S))
            tasks.create_task(self._operator.read(session, until))
            tasks.create_task(self._applications.run(session, until))
            for step in self._schedule.steps:
                await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
                self._do(step, session, until, tasks)

    def _do(self, step: Step, session: aiohttp.ClientSession, until: float, tasks: asyncio.TaskGroup) -> None:
        match step.action:
            case Action.CHANGE:
                tasks.create_task(self._operator.change(session, until))
            case Action.EVACUATE:
                zone = step.target + ZONE
                tasks.create_task(self._operator.evacuate(session, zone, step.for_s, until))
            case Action.ROLL:
                self._supervisors[step.target].tell_to_end()
            case Action.UPDATE:
                self._supervisors[step.target].replace(self._updated)
            case Action.REVERT:
                self._supervisors[step.target].replace(self._program)
            case Action.HUP:
                self._supervisors[step.target].send(signal.SIGHUP)
            case Action.KILL:
                self._supervisors[step.target].disturb(signal.SIGKILL)
            case Action.FREEZE:
                tasks.create_task(self._freeze(self._supervisors[step.target], step.for_s))

    async def _freeze(self, supervisor: Supervisor, for_s: float) -> None:
        supervisor.disturb(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        supervisor.disturb(signal.SIGCONT)

    def _collect_logs(self) -> None:
        for machine in self._deployment.machines:
            text = (machine.folder / "log").read_text(errors="replace")
            self.record.log_lines += [(machine.name, line) for line in text.splitlines()]
