"""One process: its services and fronts, from start to drain, and the signals that move it."""

from __future__ import annotations

import asyncio
import gc
import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from fordtrestle.proxy.daemon import sockets
from fordtrestle.proxy.daemon.overload import Overload
from fordtrestle.proxy.daemon.peers import PeerOptions, Peers
from fordtrestle.proxy.daemon.signals import Reloads, Signals
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import Driver, EngineOptions
from fordtrestle.proxy.engine.lag import LoopLagMeter
from fordtrestle.proxy.engine.limits import Budget, Limits
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.outcome_counters import Counts, format_counts
from fordtrestle.proxy.engine.ports import Address, Registry
from fordtrestle.proxy.http.connection_pool import ConnectionPool, ConnectionPoolOptions
from fordtrestle.proxy.http.server import HttpServer
from fordtrestle.proxy.membership.updates import UpdateListener

# New connections go on coming for up to 0.4 s after SIGTERM; SIGKILL comes no sooner than the
# longest deadline and 0.7 s after it: what is read past 0.7 s is refused.
STILL_LISTEN_S = 0.5
STILL_TAKE_S = 0.7
POLL_S = 0.02
LAST_BYTES_S = 0.3
CLOSING_TURNS = 4  # of the loop, until all that was closed has told so


class Source(Registry, Protocol):
    """What tells a service of its servers."""

    def start(self) -> None:
        """Tell of the list as last held, and go on from there."""

    def close(self) -> None:
        """Tell nothing more."""


class Service:
    """One service: its engine, its connections to servers, and what tells of them.

    `driver`: its engine where it is a special one; else one is made as `engine` tells.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        engine: EngineOptions,
        pool: ConnectionPoolOptions,
        budget: Budget,
        source: Callable[[UpdateListener], Source],
        peers: PeerOptions | None = None,
        driver: Driver | None = None,
    ) -> None:
        self._loop = loop
        self.driver = driver or Driver(loop, clock, engine)
        self.pool = ConnectionPool(loop, clock, pool, budget)
        self.source = source(self.driver.server_list)
        self.peers = Peers(peers or PeerOptions(), self.driver.peer_message)

    async def start(self) -> None:
        """Be ready for calls: the known list is taken in before the first."""
        await self.peers.listen(self._loop)
        self.driver.connect(self.pool, self.source, self.peers)
        self.source.start()

    def shrink(self, idle_ms: float) -> None:
        """Close connections to servers that have been idle for so long."""
        self.pool.shrink(idle_ms)

    def pressure(self, share: float) -> None:
        """Refuse such a share of the work, worth least first."""
        self.driver.pressure(share)

    def optional(self, allowed: bool) -> None:
        """Whether work that no request waits for may be done."""
        self.driver.allows_optional_work = allowed

    def close(self) -> None:
        """Close what is left."""
        self.pool.close()
        self.source.close()
        self.peers.close()


@dataclass(frozen=True, slots=True)
class FrontAt:
    """A front, and where it is to listen."""

    front: HttpServer
    listen: Sequence[Address]


class Machine:
    """What a process may use of its machine: the ledgers, how late its loop runs, and what is in no ledger.

    `memory_mb`: resident memory (2^20 bytes) at which it would be killed, None: not bounded. `cores`: of
    CPU time that it may use.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        limits: Limits,
        memory_mb: int | None = None,
        cores: float = 1.0,
    ) -> None:
        self.limits = limits
        self.lag = LoopLagMeter(loop, clock.now, lambda: limits.descriptors.used > 0)
        self.memory_mb = memory_mb
        self.cores = cores


class Process:
    """All services and fronts of a process, by their names."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        machine: Machine,
        services: Mapping[str, Service],
        fronts: Mapping[str, FrontAt],
    ) -> None:
        self._loop = loop
        self._limits = machine.limits
        self.services = services
        self.fronts = fronts
        pressed = [at.front for at in fronts.values()]
        self.overload = Overload(
            loop,
            machine.limits,
            machine.lag,
            pressed,
            services.values(),
            machine.memory_mb,
            machine.cores,
        )
        for front in pressed:
            front.wake = self.overload.wake
            front.intake.status_body = self._status

    async def start(self) -> dict[str, list[Address]]:
        """Be ready, then listen; the addresses bound, by front. `OSError` where one can't be."""
        for service in self.services.values():
            await service.start()
        bound: dict[str, list[Address]] = {}
        for name, at in self.fronts.items():
            made = sockets.listening(at.listen)
            bound[name] = [await at.front.listen(sock) for sock in made]
        return bound

    def counts(self) -> dict[str, dict[str, Counts]]:
        """What was refused, failed or rejected since the start: by service what its engine answered, by
        front what that did without one; each by class, end and cause.
        """
        services = {}
        for name, service in self.services.items():
            fronts = (at.front for at in self.fronts.values() if at.front.call_handler is service.driver)
            classes = {number: kind for front in fronts for number, kind in front.class_names.items()}
            services[name] = service.driver.counters.counts(classes)
        by_front = {n: at.front.counters.counts(at.front.class_names) for n, at in self.fronts.items()}
        return {"service": services, "front": by_front}

    def _status(self) -> bytes:
        return json.dumps(self.counts()).encode() + b"\n"

    async def drain(self, signalled_at: float | None = None) -> None:
        """Stop listening, finish what was taken, close connections between requests; then say
        what was refused or failed in all, and why.

        It lasts until the last request that was taken has its answer, which is at its deadline at the latest,
        and LAST_BYTES_S more for clients that have yet to read or to end their connection. `signalled_at`:
        when the signal to end came, in the loop's seconds; None: as long ago as it listens on.
        """
        fronts = [at.front for at in self.fronts.values()]
        now = self._loop.time()
        last = STILL_TAKE_S + (now - STILL_LISTEN_S if signalled_at is None else signalled_at)
        for front in fronts:
            front.stop_listening(last - now)
        while self._may_take(fronts, last) or any(
            service.driver.has_due_requests for service in self.services.values()
        ):
            await self._close_idle(fronts)
        for front in fronts:
            front.fail_waiting()
        until = self._loop.time() + LAST_BYTES_S
        while not all(front.is_empty for front in fronts) and self._loop.time() < until:
            await self._close_idle(fronts)
        for front in fronts:
            front.close()  # whoever does not end its connection, though it was ended here
        for kind, parts in self.counts().items():
            for name, counts in parts.items():
                for line in format_counts(f"{kind} {name}", counts):
                    log(line)

    def _may_take(self, fronts: list[HttpServer], last: float) -> bool:
        """Whether a request may come yet that is taken, or a connection that has to be told."""
        if any(front.is_accepting for front in fronts):
            return True
        return self._loop.time() <= last and not all(front.is_empty for front in fronts)

    @staticmethod
    async def _close_idle(fronts: list[HttpServer]) -> None:
        await asyncio.sleep(POLL_S)
        for front in fronts:
            front.close_idle()

    def close(self) -> None:
        """Close what is left."""
        self.overload.close()
        for at in self.fronts.values():
            at.front.close()
        for service in self.services.values():
            service.close()

    def unsettled(self) -> list[str]:
        """What the ledgers hold though all is closed: something leaks."""
        return self._limits.unreleased()


class Program(Protocol):
    """What `run` runs."""

    async def start(self) -> object:
        """Be ready."""

    def reload(self) -> None:
        """Read the configuration anew."""

    async def drain(self, signalled_at: float | None = None) -> None:
        """Stop listening and finish what was taken; `signalled_at`: when the signal to end came, in the
        loop's seconds.
        """

    def close(self) -> None:
        """Close what is left."""

    def unsettled(self) -> list[str]:
        """What the ledgers hold though all is closed."""


P = TypeVar("P", bound=Program)


def _nothing(program: object) -> None:
    pass


async def run(
    make: Callable[[asyncio.AbstractEventLoop], P],
    signals: Signals,
    ending: Callable[[P], None] = _nothing,
) -> None:
    """Run until SIGTERM, and then until all that was taken is answered; `OSError` where it can't start.

    `ending` is called with the program as soon as it is told to end. However it ends, no signal ends the
    process from then on.
    """
    loop = asyncio.get_running_loop()
    try:
        program = make(loop)
        await _run(loop, program, signals, lambda: ending(program))
    finally:
        signals.finish()


async def _run(
    loop: asyncio.AbstractEventLoop, program: Program, signals: Signals, ending: Callable[[], None]
) -> None:
    stop = asyncio.Event()
    reloads = Reloads(loop, program.reload)
    try:
        await program.start()
        signals.attach(loop, stop.set, reloads.ask)
        # What is there now stays: later collections need not walk it, and stop the loop for less.
        gc.collect()
        gc.freeze()
        await stop.wait()
        ending()
        # Guards against a signal that came as it was starting, or long before this turn of the loop: the time
        # to SIGKILL runs from then.
        signalled_at = loop.time() if signals.signalled_at is None else signals.signalled_at
        await asyncio.sleep(max(0.0, signalled_at + STILL_LISTEN_S - loop.time()))
        await program.drain(signalled_at)
    finally:
        reloads.close()
        program.close()
    for _ in range(CLOSING_TURNS):
        await asyncio.sleep(0)
    if program.unsettled():
        log(f"ledgers: not given back: {', '.join(program.unsettled())}")
