"""The model servers of a play: they fail requests, crash, freeze, and give their addresses away."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rig.system.deployment import REGIONS, Deployment
from rig.system.fleet import SERVERS_PER_REGION, make_server
from rig.system.model_server import SERVICE, TOKEN_INTERVAL_S, ModelServer, Run
from rig.system.server_faults import NO_FAULTS, REFUSAL_COPIES, SINGLE_FAULTS, Fault, FaultSource
from rig.system.soak.schedule import Action, Step

OTHER_SERVICE = "others"  # has no route


@dataclass(frozen=True, slots=True)
class ServerFaults:
    """How the servers of a play fail requests.

    Attributes:
        share: The share of requests that meet a fault.
        max_hold_s: The longest time for which a request is held before its fault.
        faults: The faults to draw from.
        max_token_interval_s: The longest time between two tokens; each incarnation of a server draws its own.
    """

    share: float
    max_hold_s: float
    faults: tuple[Fault, ...] = SINGLE_FAULTS
    max_token_interval_s: float = TOKEN_INTERVAL_S


SERVER_FAULTS = ServerFaults(share=0.25, max_hold_s=6.0)
SLOW_SERVERS = ServerFaults(
    share=0.1,
    max_hold_s=3.0,
    faults=(Fault.BREAK_OFF, Fault.BREAK_OFF_UNFRAMED),
    max_token_interval_s=0.05,  # half of what lets an event of four tokens come in time
)
# Most sends are refused, so that requests come back, and find servers that have refused them before.
REFUSING_SERVERS = ServerFaults(share=0.6, max_hold_s=1.0, faults=(*REFUSAL_COPIES, Fault.DUPLICATE))


def server_names() -> list[str]:
    """Return the names of all servers of a play."""
    return [f"{region}/{number}" for region in REGIONS for number in range(SERVERS_PER_REGION)]


class Servers:
    """All model servers of a play, by name."""

    def __init__(
        self,
        deployment: Deployment,
        on_run: Callable[[Run], None],
        rng: random.Random,
        faults: ServerFaults | None,
    ) -> None:
        """Create the servers.

        Args:
            deployment: The deployment whose control processes receive the heartbeats.
            on_run: Called with each request that a server begins to process.
            rng: Random source for faults.
            faults: How the servers fail requests; `None` if they do not.
        """
        self._deployment = deployment
        self._on_run = on_run
        self._source = NO_FAULTS
        if faults:
            self._source = FaultSource(rng, faults.share, faults.max_hold_s, faults.faults)
        self._max_token_interval_s = faults.max_token_interval_s if faults else TOKEN_INTERVAL_S
        self._rng = rng
        self._starts = 0
        self._servers = {name: self._make(name, SERVICE) for name in server_names()}
        self._busy: set[str] = set()  # servers with a step in progress

    async def start(self) -> None:
        """Start all servers."""
        for server in self._servers.values():
            await server.start()

    async def stop(self) -> None:
        """Stop all servers."""
        for server in self._servers.values():
            await server.crash()

    async def execute(self, step: Step) -> None:
        """Execute a step on a server; skip it if another one is in progress there."""
        if step.target in self._busy:
            return
        self._busy.add(step.target)
        try:
            if step.action is Action.SERVER_FREEZE:
                await self._freeze(step)
            else:
                await self._replace(step)
        finally:
            self._busy.discard(step.target)

    async def _freeze(self, step: Step) -> None:
        server = self._servers[step.target]
        server.freeze()
        await asyncio.sleep(step.for_s)
        server.thaw()

    async def _replace(self, step: Step) -> None:
        """Let a server crash, and another incarnation return to its address after a while."""
        await self._servers[step.target].crash()
        if step.action is Action.SERVER_REUSE:
            await self._put(step.target, OTHER_SERVICE)
            await asyncio.sleep(step.for_s)
            await self._servers[step.target].crash()
        else:
            await asyncio.sleep(step.for_s)
        await self._put(step.target, SERVICE)

    async def _put(self, name: str, service: str) -> None:
        self._servers[name] = self._make(name, service)
        await self._servers[name].start()

    def _make(self, name: str, service: str) -> ModelServer:
        region, _, number = name.partition("/")
        self._starts += 1
        suffix = f"{number}-{self._starts}"
        token_interval_s = TOKEN_INTERVAL_S
        if self._max_token_interval_s > TOKEN_INTERVAL_S:
            token_interval_s = self._rng.uniform(TOKEN_INTERVAL_S, self._max_token_interval_s)
        return make_server(
            self._deployment,
            region,
            int(number),
            suffix,
            self._on_run,
            self._source,
            service,
            token_interval_s,
        )


def faulty_runs(runs: Iterable[Run]) -> int:
    """Return the number of runs that a server failed."""
    return sum(bool(run.fault) for run in runs)
