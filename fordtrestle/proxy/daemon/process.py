"""The services and HTTP servers of one process, from start to drain."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from fordtrestle.proxy.daemon import sockets
from fordtrestle.proxy.daemon.overload_monitor import OverloadMonitor
from fordtrestle.proxy.daemon.service import Service
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.lag import LoopLagMeter
from fordtrestle.proxy.engine.limits import Limits
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.outcome_counters import Counts, format_counts
from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.http.server import HttpServer

# New connections go on coming for up to 0.4 s after SIGTERM.
LISTEN_AFTER_SIGNAL_S = 0.5
# SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM: what is read later is refused.
ACCEPT_AFTER_SIGNAL_S = 0.7
DRAIN_POLL_S = 0.02  # short beside LAST_BYTES_TIMEOUT_S, so that a process ends soon after its last answer
LAST_BYTES_TIMEOUT_S = 0.3  # for clients that have yet to read their answer or to end their connection


@dataclass(frozen=True, slots=True)
class ServerBinding:
    """An HTTP server, and where it is to listen."""

    server: HttpServer
    listen: Sequence[Address]


class MachineResources:
    """What a process may use of its machine.

    Attributes:
        limits: The quotas.
        lag: How late the event loop runs.
        memory_mb: Resident memory (2^20 bytes) at which the process would be killed; None: not bounded.
        cores: CPU cores that it may use.
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
    """All services and HTTP servers of a process.

    Attributes:
        services: The services by their names.
        fronts: The HTTP servers by their names.
        overload: Watches the process.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        machine: MachineResources,
        services: Mapping[str, Service],
        fronts: Mapping[str, ServerBinding],
    ) -> None:
        self._loop = loop
        self._limits = machine.limits
        self.services = services
        self.fronts = fronts
        servers = self._servers()
        self.overload = OverloadMonitor(
            loop,
            machine.limits,
            machine.lag,
            servers,
            services.values(),
            machine.memory_mb,
            machine.cores,
        )
        for front in servers:
            front.wake = self.overload.wake
            front.intake.make_status_body = self._status

    def _servers(self) -> list[HttpServer]:
        return [binding.server for binding in self.fronts.values()]

    async def start(self) -> dict[str, list[Address]]:
        """Start the services, then listen.

        Returns:
            The addresses that are bound, by HTTP server.

        Raises:
            OSError: An address can't be bound.
        """
        for service in self.services.values():
            await service.start()
        bound: dict[str, list[Address]] = {}
        for name, binding in self.fronts.items():
            made = sockets.listen_all(binding.listen)
            bound[name] = [await binding.server.listen(sock) for sock in made]
        return bound

    def counts(self) -> dict[str, dict[str, Counts]]:
        """Return what was refused, failed or rejected since the start, by class, kind and cause.

        `service` has what each service's engine answered, `front` what each HTTP server answered without one.
        """
        services = {}
        for name, service in self.services.items():
            fronts = (front for front in self._servers() if front.call_handler is service.driver)
            classes = {number: kind for front in fronts for number, kind in front.class_names.items()}
            services[name] = service.driver.counters.counts(classes)
        by_front = {n: at.server.counters.counts(at.server.class_names) for n, at in self.fronts.items()}
        return {"service": services, "front": by_front}

    def _status(self) -> bytes:
        return json.dumps(self.counts()).encode() + b"\n"

    async def drain(self, signalled_at: float | None = None) -> None:
        """Stop listening, finish what was accepted, close connections between requests, and log the counts.

        It lasts until the last request that was accepted has its answer, which is at its deadline at the
        latest, and LAST_BYTES_TIMEOUT_S more for clients.

        Args:
            signalled_at: When the signal to end came, in the loop's seconds; None: LISTEN_AFTER_SIGNAL_S ago.
        """
        fronts = self._servers()
        now = self._loop.time()
        last = ACCEPT_AFTER_SIGNAL_S + (now - LISTEN_AFTER_SIGNAL_S if signalled_at is None else signalled_at)
        for front in fronts:
            front.stop_listening(last - now)
        while self._may_accept(fronts, last) or self._has_due_requests():
            await self._close_idle(fronts)
        for front in fronts:
            front.fail_unanswered()
        until = self._loop.time() + LAST_BYTES_TIMEOUT_S
        while not all(front.is_empty for front in fronts) and self._loop.time() < until:
            await self._close_idle(fronts)
        for front in fronts:
            front.close()  # cuts the clients that have not ended their connection, though it was ended here
        self._log_counts()

    def _has_due_requests(self) -> bool:
        return any(service.driver.has_due_requests for service in self.services.values())

    def _may_accept(self, fronts: list[HttpServer], last: float) -> bool:
        """Return whether a request may yet be accepted, or a connection has to be refused."""
        if any(front.is_accepting for front in fronts):
            return True
        return self._loop.time() <= last and not all(front.is_empty for front in fronts)

    @staticmethod
    async def _close_idle(fronts: list[HttpServer]) -> None:
        await asyncio.sleep(DRAIN_POLL_S)
        for front in fronts:
            front.close_idle()

    def _log_counts(self) -> None:
        for kind, by_name in self.counts().items():
            for name, counts in by_name.items():
                for line in format_counts(f"{kind} {name}", counts):
                    log(line)

    def close(self) -> None:
        """Close what is left."""
        self.overload.close()
        for front in self._servers():
            front.close()
        for service in self.services.values():
            service.close()

    def unreleased(self) -> list[str]:
        """Return what is still used of quotas though everything is closed: something leaks."""
        return self._limits.unreleased()
