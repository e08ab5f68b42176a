"""Runs the control processes and sidecars of three regions as real processes on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

REGIONS = ("west", "middle", "east")
PORTS = {"control": 8140, "directory": 8141, "front": 8142, "readiness": 8143}
INTERNAL_PORT_RANGE = (8150, 8159)
STOP_TIMEOUT_S = 10.0
# Absolute: a relative path from PATH would not resolve when the process runs in another checkout.
INTERPRETER = os.path.abspath(sys.executable)
GRACE_S = 3.0  # short, so that a demonstration ends quickly


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """The limits that a machine's settings state, in MB and descriptors; the kernel enforces the second."""

    memory_mb: int
    max_fds: int

    def apply(self) -> None:
        """Set the kernel's limit on open descriptors for the calling process."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

    def settings(self) -> dict[str, int]:
        """Return the key `limits` of the settings file."""
        return {"memory_mb": self.memory_mb, "max_fds": self.max_fds}


@dataclass(frozen=True, slots=True)
class Program:
    """A version of the program: the arguments of the interpreter and the checkout that it runs in."""

    arguments: tuple[str, ...] = ("-m", "fordtrestle")
    checkout: Path | None = None  # None: this checkout


PROGRAM = Program()
NEXT_PROGRAM = Program(("-m", "rig.system.next_version"))


def host_of(region: str, machine_number: int) -> str:
    """Return the IP address of a machine.

    Regions differ in the third number. Deployments of different processes differ in the second number or in
    the block of third numbers.
    """
    network, block = 64 + os.getpid() % 128, os.getpid() // 128 % 64
    return f"127.{network}.{block * len(REGIONS) + REGIONS.index(region) + 1}.{machine_number}"


@dataclass
class Machine:
    """A machine that runs one process in one role."""

    region: str
    role: str
    host: str
    folder: Path
    number: int = 1  # counted from 1 among the machines of the same region and role
    grace_s: float = GRACE_S
    limits: ProcessLimits | None = None  # None: the defaults of the program
    process: asyncio.subprocess.Process | None = None
    log: list[str] = field(default_factory=list)

    @property
    def name(self) -> str:
        return f"{self.role}-{self.region}" + (f"-{self.number}" if self.number > 1 else "")

    def address(self, endpoint: str) -> str:
        """Return HOST:PORT of an endpoint."""
        return f"{self.host}:{PORTS[endpoint]}"

    def settings(self, bootstrap: bool) -> dict[str, object]:
        """Return the content of the settings file."""
        endpoints = ("control", "directory") if self.role == "control" else ("front", "readiness")
        data = self.folder / "data"
        return {
            "node_name": self.name,
            "role": self.role,
            "ip": self.host,
            "zone": f"{self.region}-1",
            "region": self.region,
            "zones": {f"{region}-1": region for region in REGIONS},
            "listen": {endpoint: self.address(endpoint) for endpoint in endpoints},
            "internal_port_range": INTERNAL_PORT_RANGE,
            "seeds": [f"{host_of(region, 1)}:{PORTS['control']}" for region in REGIONS],
            "bootstrap": bootstrap,
            "counts_for_quorum": self.role == "control",
            "data_dir": str(data) if self.role == "control" else None,
            "heartbeat_ms": 1000,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 1},
            "bounds": {"grace_s": self.grace_s},
            **({"limits": self.limits.settings()} if self.limits else {}),
        }

    async def start(self, bootstrap: bool = False, program: Program = PROGRAM) -> None:
        """Write the settings file and start the process."""
        file = self.folder / "boot.json"
        file.write_text(json.dumps(self.settings(bootstrap), indent=2))
        self.process = await asyncio.create_subprocess_exec(
            INTERPRETER,
            *program.arguments,
            self.role,
            cwd=program.checkout,
            env={**os.environ, "FORDTRESTLE_CONFIG": str(file)},
            stderr=(self.folder / "log").open("ab"),
            preexec_fn=self.limits.apply if self.limits else None,
        )

    def unexpected_log_lines(self) -> list[str]:
        """Return the lines of the log that are no events, and events of exceptions that nobody handled."""
        lines = (self.folder / "log").read_text(errors="replace").splitlines()
        return [line for line in lines if '"message_type"' not in line or "eliot:traceback" in line]

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit. The data directory stays."""
        await self._end(signal.SIGKILL)

    async def stop(self) -> None:
        """Send SIGTERM as the platform does, and SIGKILL if the process still runs after `STOP_TIMEOUT_S`."""
        await self._end(signal.SIGTERM)

    async def _end(self, signal_number: signal.Signals) -> None:
        process, self.process = self.process, None
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal_number)
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()


class Deployment:
    """One control process and a number of sidecars in each region."""

    def __init__(
        self,
        folder: Path,
        sidecars: int = 1,
        grace_s: float = GRACE_S,
        limits: ProcessLimits | None = None,
    ) -> None:
        self.machines: list[Machine] = []
        for region in REGIONS:
            roles = ["control", *(sidecars * ["sidecar"])]
            for position, role in enumerate(roles, start=1):
                number = max(1, position - 1)
                machine_folder = folder / f"{role}-{region}-{number}"
                machine = Machine(
                    region, role, host_of(region, position), machine_folder, number, grace_s, limits
                )
                machine.folder.mkdir(parents=True)
                self.machines.append(machine)

    def of_role(self, role: str) -> list[Machine]:
        """Return all machines of a role."""
        return [machine for machine in self.machines if machine.role == role]

    def machine(self, role: str, region: str, number: int = 1) -> Machine:
        """Return one machine of a role in a region."""
        return next(m for m in self.of_role(role) if (m.region, m.number) == (region, number))

    async def start(self) -> None:
        """Start all machines for the first time, so that they bootstrap."""
        for machine in self.machines:
            await machine.start(bootstrap=True)

    async def stop(self) -> None:
        """Stop all machines."""
        await asyncio.gather(*(machine.stop() for machine in self.machines))
