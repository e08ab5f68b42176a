"""Starts the program under test from a checkout."""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rig.clients import ask_raw
from rig.helper import ROOT
from rig.messages import KNOWN_TENANT
from rig.process import Program, ProgramError, clean_environment
from rig.registry import Registry, entries, listed
from rig.servers import Fleet

MEMORY_MB = 192
SOCKETS = 384
READY_S = 10.0

SETTINGS: dict[str, Any] = {
    "Profiles": [
        {"Name": "look", "Semantics": "pure", "Objective": 2000.0, "Deadline": 5000.0},
        {
            "Name": "book",
            "Semantics": "token",
            "Group": "zone",
            "KeyTtl": 1200.0,
            "Objective": 2000.0,
            "Deadline": 5000.0,
        },
        {"Name": "pay", "Semantics": "side_effect", "Objective": 2000.0, "Deadline": 5000.0},
    ],
    "FailureDomains": ["east", "west"],
    "Kinds": ["big", "small"],
    "Tenants": [{"Name": KNOWN_TENANT, "AllowancePerS": 5000.0}],
    "Discovery": "automatic",
    "PolicyLimits": {
        "MaxAttempts": 3,
        "MayCancel": True,
        "MayProbe": False,
        "PeerMessages": False,
        "ConnectTimeout": 250.0,
        "IdleClose": 5000.0,
    },
    "Rules": {"StopSendingWithin": 500.0},
    "Report": {"How": "inline", "Fields": ["inflight", "queue"]},
    "Me": 0,
    "Balancers": 1,
}


@dataclass(frozen=True, slots=True)
class Target:
    """A program under test that is ready to serve."""

    program: Program
    host: str
    port: int
    descriptors: int
    config: Path

    @property
    def address(self) -> tuple[str, int]:
        """Address that applications connect to."""
        return self.host, self.port


@dataclass(frozen=True, slots=True)
class Stage:
    """A program under test with its servers and discovery."""

    target: Target
    fleet: Fleet
    registry: Registry


def config_for(known: dict[str, Any], registry: str, sockets: int, **changes: Any) -> dict[str, Any]:
    """Return the configuration of a sidecar with an initial server list; `changes` override its settings."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": registry,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets},
        "known": known,
        "settings": {**SETTINGS, **changes},
    }


@contextlib.asynccontextmanager
async def sidecar(tree: Path, config: dict[str, Any], core: int | None = None) -> AsyncIterator[Target]:
    """Run the sidecar of a checkout with its limits, on a given core if any, and wait until it is ready.

    Raises:
        ProgramError: If it does not get ready.
    """
    sockets = int(config["limits"]["sockets"])
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        program = await Program.start(
            [sys.executable, "-m", "fordtrestle"],
            cwd=tree,
            environment=clean_environment(NODE_CONFIG=str(path), TMPDIR=folder),
            descriptors=sockets,
            core=core,
        )
        async with _ready(program, sockets, path) as target:
            yield target


@contextlib.asynccontextmanager
async def serving(tree: Path, operator: str, sockets: int = SOCKETS) -> AsyncIterator[Target]:
    """Run the program of a checkout with an operator file that has one front, and wait until it is ready.

    Raises:
        ProgramError: If it does not get ready.
    """
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        path = Path(folder) / "operator.toml"
        path.write_text(operator)
        program = await Program.start(
            [sys.executable, "-m", "fordtrestle", "serve", str(path)],
            cwd=tree,
            environment=clean_environment(TMPDIR=folder),
            descriptors=sockets,
        )
        async with _ready(program, sockets, path) as target:
            yield target


@contextlib.asynccontextmanager
async def _ready(program: Program, sockets: int, path: Path) -> AsyncIterator[Target]:
    """Wait until a program is ready; stop it at the end of the block in any case."""
    try:
        port = await program.port(READY_S)
        host, deadline = "127.0.0.1", time.monotonic() + READY_S
        while not await answers_ready(host, port):
            if program.code is not None:
                raise program.ended()
            if time.monotonic() > deadline:
                raise ProgramError(f"process {program.pid} is not ready after {READY_S:g} s")
        yield Target(program, host, port, sockets, path)
    finally:
        await program.stop()


async def answers_ready(host: str, port: int) -> bool:
    """Return whether a program answers its readiness probe with 200."""
    answer = await ask_raw((host, port), b"GET /health/ready HTTP/1.1\r\nHost: rig\r\n\r\n", 1.0)
    return answer.status == 200


@contextlib.asynccontextmanager
async def stage(
    tree: Path = ROOT,
    *,
    servers: int = 8,
    seed: int = 1,
    work_ms: tuple[float, float] = (40.0, 60.0),
    sockets: int = SOCKETS,
    core: int | None = None,
    **changes: Any,
) -> AsyncIterator[Stage]:
    """Run servers, discovery and a program under test that uses them, and wait until it is ready.

    Raises:
        ProgramError: If a part does not start.
    """
    fleet = await Fleet.start(servers, seed=seed, work_ms=work_ms)
    rows = entries(fleet.addresses)
    registry = Registry(rows)
    try:
        await registry.start()
        made = sidecar(tree, config_for(listed(41, rows), registry.address, sockets, **changes), core)
        async with made as target:
            yield Stage(target, fleet, registry)
    finally:
        await registry.stop()
        await fleet.stop()


def revision(tree: Path) -> str:
    """Return the commit of a checkout, with a `+` if files differ from it, or `-` if it is unknown."""
    try:
        head = _git(tree, "rev-parse", "--short", "HEAD")
        return head + ("+" if _git(tree, "status", "--porcelain", "--untracked-files=no") else "")
    except (OSError, subprocess.SubprocessError):
        return "-"


def _git(tree: Path, *words: str) -> str:
    done = subprocess.run(
        ["git", "-C", str(tree), *words], capture_output=True, text=True, check=True, timeout=10
    )
    return done.stdout.strip()
