"""The services and HTTP servers of one process, from their start to their drain."""

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
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.outcome_counters import Counts, format_counts
from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.http.server import HttpServer
from fordtrestle.resources.quotas import Limits

# New connections may arrive for up to 0.4 s after SIGTERM.
LISTEN_AFTER_SIGNAL_S = 0.5
# SIGKILL follows SIGTERM after the longest deadline plus 0.7 s at the earliest, so requests that are read
# later than this are rejected.
ACCEPT_AFTER_SIGNAL_S = 0.7
DRAIN_POLL_S = 0.02  # well below LAST_BYTES_TIMEOUT_S, so that a process ends soon after its last response
LAST_BYTES_TIMEOUT_S = 0.3  # for clients to read their response and to close their connection


@dataclass(frozen=True, slots=True)
class ServerBinding:
    """An HTTP server, and the addresses that it is to listen at."""

    server: HttpServer
    listen: Sequence[Address]


class MachineResources:
    """The resources of its machine that a process may use.

    Attributes:
        limits: The quotas.
        lag: Measures the lag of the event loop.
        memory_mb: Resident memory (2^20 bytes) at which the process would be killed; None if unbounded.
        cores: CPU cores that the process may use.
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
        overload: Detects overload of the process.
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
            The bound addresses of each HTTP server, by its name.

        Raises:
            OSError: An address can't be bound.
        """
        for service in self.services.values():
            await service.start()
        bound: dict[str, list[Address]] = {}
        for name, binding in self.fronts.items():
            listeners = sockets.listen_all(binding.listen)
            bound[name] = [await binding.server.listen(sock) for sock in listeners]
        return bound

    def counts(self) -> dict[str, dict[str, Counts]]:
        """Return the numbers of rejected and failed requests since the start, by class, kind and cause.

        `service` has those that each service's engine answered, `front` those that each HTTP server answered
        without an engine.
        """
        services = {}
        for name, service in self.services.items():
            fronts = (front for front in self._servers() if front.call_handler is service.driver)
            classes = {number: kind for front in fronts for number, kind in front.class_names.items()}
            services[name] = service.driver.counters.counts(classes)
        by_front = {
            name: binding.server.counters.counts(binding.server.class_names)
            for name, binding in self.fronts.items()
        }
        return {"service": services, "front": by_front}

    def _status(self) -> bytes:
        return json.dumps(self.counts()).encode() + b"\n"

    async def drain(self, signalled_at: float | None = None) -> None:
        """Stop listening, finish what was accepted, close connections between requests, and log the counts.

        Waits until the last accepted request is answered, which happens at its deadline at the latest, and
        then up to LAST_BYTES_TIMEOUT_S for clients to read their responses.

        Args:
            signalled_at: When the signal to end was received, on the loop's clock in seconds; None for
                LISTEN_AFTER_SIGNAL_S ago.
        """
        fronts = self._servers()
        now = self._loop.time()
        accept_until = ACCEPT_AFTER_SIGNAL_S + (
            now - LISTEN_AFTER_SIGNAL_S if signalled_at is None else signalled_at
        )
        for front in fronts:
            front.stop_listening(accept_until - now)
        while self._may_accept(fronts, accept_until) or self._has_due_requests():
            await self._close_idle(fronts)
        for front in fronts:
            front.fail_unanswered()
        close_at = self._loop.time() + LAST_BYTES_TIMEOUT_S
        while not all(front.is_empty for front in fronts) and self._loop.time() < close_at:
            await self._close_idle(fronts)
        for front in fronts:
            front.close()  # aborts connections that clients have not closed although this side has
        self._log_counts()

    def _has_due_requests(self) -> bool:
        return any(service.driver.has_due_requests for service in self.services.values())

    def _may_accept(self, fronts: list[HttpServer], accept_until: float) -> bool:
        """Return whether a request may still be accepted, or a connection still has to be rejected."""
        if any(front.is_accepting for front in fronts):
            return True
        return self._loop.time() <= accept_until and not all(front.is_empty for front in fronts)

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
        """Close the servers, the services and the overload monitor."""
        self.overload.close()
        for front in self._servers():
            front.close()
        for service in self.services.values():
            service.close()

    def unreleased(self) -> list[str]:
        """Return a text for each quota that is still in use although everything is closed: a leak."""
        return self._limits.unreleased()
