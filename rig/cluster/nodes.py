"""Nodes: the unchanged program in processes of their own, each with an address, a folder and bounded memory.

What a node is told goes through its links; what happens to its process is done here: killed, stopped and
woken, starved, ended in order, and started again with its disk kept, emptied, or put back to an older copy.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from rig.balancers import answers_ready
from rig.cluster.links import Address, address_of, free_port
from rig.cluster.schedules import Disk, Kill, Step, Stop
from rig.helper import ROOT
from rig.process import Program, ProgramError, clean_environment

READY_S = 30.0
STARVE_S = 0.1  # of which a starved process stands still for its share
DISK = "disk"  # a node's folder for what must outlive its process
OLDER = "older"  # where the older copy of it lies


class Node:
    """One process of the program. `config(life)` gives what each of its starts is told."""

    def __init__(self, number: int, config: Callable[[int], Mapping[str, Any]], tree: Path = ROOT) -> None:
        self.name = f"n{number}"
        self.host = address_of(number)
        self.address: Address = (self.host, free_port(self.host))
        self.life = -1
        self.program: Program | None = None
        self.gone_cpu_s = 0.0
        self._config = config
        self._tree = tree
        self._folder = tempfile.TemporaryDirectory(prefix="rig-node-")
        self.disk.mkdir()

    @property
    def path(self) -> Path:
        """A folder of its own."""
        return Path(self._folder.name)

    @property
    def disk(self) -> Path:
        """What must outlive its process."""
        return self.path / DISK

    async def start(self) -> None:
        """Start it and wait until it is ready; `ProgramError` if it can't be."""
        self.life += 1
        told = {**self._config(self.life), "name": self.name, "listen": f"{self.host}:{self.address[1]}"}
        path = self.path / "config.json"
        path.write_text(json.dumps(told))
        self.program = await Program.start(
            [sys.executable, "-m", "fordtrestle"],
            cwd=self._tree,
            environment=clean_environment(NODE_CONFIG=str(path), TMPDIR=self._folder.name),
            descriptors=int(told["limits"]["sockets"]),
        )
        await self.program.until(lambda: answers_ready(*self.address), READY_S, f"({self.name}) is not ready")

    async def kill(self) -> None:
        """End it amid whatever it does; nothing it held in memory is kept."""
        if self.program is not None:
            with contextlib.suppress(ProcessLookupError):
                self.gone_cpu_s += self.program.usage().cpu_s
            program, self.program = self.program, None
            program.signal(signal.SIGKILL)
            await program.stop()

    async def stop(self) -> None:
        """End it in order, and remove its folder."""
        if self.program is not None:
            self.program.signal(signal.SIGCONT)
            await self.program.stop()
            self.program = None
        self._folder.cleanup()

    def signal(self, number: signal.Signals) -> None:
        """SIGSTOP, SIGCONT, SIGHUP and the like; none where it does not run."""
        if self.program is not None:
            self.program.signal(number)

    # --- its disk ------------------------------------------------------------------

    def remember_disk(self) -> None:
        """Keep a copy of its disk as it is now, for an older one to come back later."""
        shutil.rmtree(self.path / OLDER, ignore_errors=True)
        shutil.copytree(self.disk, self.path / OLDER)

    def put_disk(self, how: Disk) -> None:
        """Between a kill and the next start: what its disk is then."""
        if self.program is not None:
            raise ProgramError(f"{self.name} runs: its disk can't be changed under it")
        if how == "kept":
            return
        shutil.rmtree(self.disk)
        if how == "older" and (self.path / OLDER).is_dir():
            shutil.copytree(self.path / OLDER, self.disk)
        else:
            self.disk.mkdir()


class Processes:
    """Plays the steps of a schedule that happen to processes, each node's by itself."""

    def __init__(self, nodes: Mapping[str, Node], steps: tuple[Step, ...]) -> None:
        self._nodes = nodes
        self._steps = [step for step in steps if isinstance(step, Kill | Stop)]
        self.killed: list[tuple[str, float]] = []  # node and loop time, for its history

    async def run(self) -> None:
        """Play all; times count from now. Steps of one node that overlap are played one after the other."""
        by_node: dict[str, list[Kill | Stop]] = {}
        for step in self._steps:
            by_node.setdefault(step.node, []).append(step)
        async with asyncio.TaskGroup() as group:
            began = asyncio.get_running_loop().time()
            for name, steps in by_node.items():
                group.create_task(self._play(self._nodes[name], steps, began))

    async def _play(self, node: Node, steps: list[Kill | Stop], began: float) -> None:
        loop = asyncio.get_running_loop()
        for step in steps:
            await asyncio.sleep(max(0.0, began + step.at_ms / 1000.0 - loop.time()))
            until = loop.time() + step.lasts_ms / 1000.0
            if isinstance(step, Kill):
                self.killed.append((node.name, loop.time()))
                await node.kill()
                node.put_disk(step.disk)
                await asyncio.sleep(max(0.0, until - loop.time()))
                await node.start()
            else:
                await self._stand(node, step.share, until)

    async def _stand(self, node: Node, share: float, until: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            while (left := until - loop.time()) > 0.0:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(left if share >= 1.0 else min(left, STARVE_S * share))
                node.signal(signal.SIGCONT)
                await asyncio.sleep(min(max(0.0, until - loop.time()), STARVE_S * (1.0 - share)))
        finally:
            node.signal(signal.SIGCONT)
