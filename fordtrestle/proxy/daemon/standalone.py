"""A process configured by an operator file alone, with any number of services and HTTP servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from fordtrestle.proxy.config import changes, operator_file
from fordtrestle.proxy.config import operator_options as options
from fordtrestle.proxy.config.errors import OperatorFileError
from fordtrestle.proxy.config.limits import make_budget, make_reserve
from fordtrestle.proxy.config.operator_file import OperatorConfig
from fordtrestle.proxy.config.sources import StaticSpec
from fordtrestle.proxy.daemon.peers import PeerOptions
from fordtrestle.proxy.daemon.process import MachineResources, Process, ServerBinding
from fordtrestle.proxy.daemon.runner import run
from fordtrestle.proxy.daemon.seams import Seams
from fordtrestle.proxy.daemon.service import Service, Source
from fordtrestle.proxy.daemon.signals import Signals
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.schema import address_text
from fordtrestle.proxy.http.server import HttpServer
from fordtrestle.proxy.membership.discovery_client import DiscoveryClient
from fordtrestle.proxy.membership.static_endpoint_list import StaticEndpointList
from fordtrestle.proxy.membership.updates import UpdateListener
from fordtrestle.resources.quotas import Budget, QuotaShare

if TYPE_CHECKING:  # loaded only if used
    from fordtrestle.proxy.daemon.trace_recorder import TraceRecorder
    from fordtrestle.proxy.daemon.versions_in_force import VersionsInForce

DEFAULT_SEAMS = Seams()


class Standalone:
    """The services and HTTP servers of an operator file; a `Program` for the runner.

    Attributes:
        limits: The quotas of the process.
        services: The services by their names.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, file: str, config: OperatorConfig, seams: Seams = DEFAULT_SEAMS
    ) -> None:
        """Create a process that is not started.

        Args:
            loop: The event loop.
            file: The path of the operator file, which a reload reads again.
            config: The content of the operator file.
            seams: The parts that substitute those of the machine.

        Raises:
            OSError: Another process has locked the state folder, or the event file or a trace can't be
                written.
        """
        self._loop = loop
        self._file = file
        self._config = config
        self._start = options.start_options(config)
        self.limits = config.limits.make_limits(self._start.granted_descriptors)
        self._clock = Clock(loop, seams.wall)
        self._machine = MachineResources(loop, self._clock, self.limits, config.limits.memory_mb)
        self._trace_recorders: list[TraceRecorder] = []
        self._version = 0  # of static lists: the number of reloads
        self._versions = self._make_versions(seams)
        self.services = {name: self._service(name) for name in config.services}
        budgets = {
            name: make_budget(self.limits, f"front.{name}", options.front_share(config, name))
            for name in config.fronts
        }
        reserve = make_reserve(self.limits)
        fronts = {name: self._front(name, budget, reserve) for name, budget in budgets.items()}
        self._process = Process(loop, self._machine, self.services, fronts)

    def _make_versions(self, seams: Seams) -> VersionsInForce | None:
        """Return the recorder of versions in force; None if the file has neither `[state]` nor `[events]`."""
        if self._config.state is None and self._config.events is None:
            return None
        from fordtrestle.proxy.daemon.versions_in_force import VersionsInForce

        return VersionsInForce(self._loop, self._config, seams)

    def _service(self, name: str) -> Service:
        engine = options.engine_options(self._config, name, self._start)
        pool = options.pool_options(self._config, name)
        budget = make_budget(self.limits, f"service.{name}", options.upstream_share(self._config))
        versions = self._versions
        driver = None if versions is None else versions.make_driver(name, self._clock, engine)
        peers = peer_options(self._config)
        return Service(self._loop, self._clock, engine, pool, budget, self._source(name), peers, driver)

    def _front(self, name: str, budget: Budget, reserve: QuotaShare) -> ServerBinding:
        spec = self._config.fronts[name]
        front_options = options.front_options(self._config, name, self._start)
        driver = self.services[spec.service].driver
        front = HttpServer(self._loop, self._clock, front_options, driver, budget, reserve, self._machine.lag)
        if spec.trace_file is not None:
            from fordtrestle.proxy.daemon.trace_recorder import TraceRecorder  # loaded only if used

            path, max_bytes = Path(spec.trace_file), spec.trace_mb_most * 2**20
            recorder = TraceRecorder(path, max_bytes, front_options.names, self._clock.now)
            self._trace_recorders.append(recorder)
            front.intake.record = recorder.record
        return ServerBinding(front, spec.listen)

    def _source(self, name: str) -> Callable[[UpdateListener], Source]:
        service = self._config.services[name]
        spec = self._config.sources[service.source]

        def make(listener: UpdateListener) -> Source:
            versions = self._versions
            on_update = listener if versions is None else versions.recording_listener(name, listener)
            if isinstance(spec, StaticSpec):
                return StaticEndpointList(self._loop, options.server_list(spec, service, 0), on_update)
            known = None if versions is None else versions.known_lists.get(name)
            discovery_options = options.discovery_options(spec, service, self._start.seed, known)
            return DiscoveryClient(self._loop, discovery_options, on_update)

        return make

    async def start(self) -> None:
        """Start the process, and log the addresses that each HTTP server listens at.

        Raises:
            OSError: A server can't listen.
        """
        for name, addresses in (await self._process.start()).items():
            for address in addresses:
                log(f"front {name}: listens at {address_text(address)}")

    def reload(self) -> None:
        """Read the file again, and apply either all changes or, if any can't be applied, none."""
        try:
            config = operator_file.read(self._file)
        except OperatorFileError as error:
            for line in error.lines:
                log(f"reload: {line}")
            log("reload: nothing changes")
            return
        keys = changes.changed_keys(self._config, config)
        restarts = changes.keys_needing_restart(keys)
        if restarts:
            log(f"reload: {self._file}: {', '.join(restarts)}: needs a restart; nothing changes")
            return
        self._version += 1
        self._config = config
        if self._versions is not None:
            self._versions.apply_config(config)
        if any(key.startswith("limits.") for key in keys):
            self.limits.resize(*config.limits.capacities(self._start.granted_descriptors))
        for name, service in config.services.items():
            self._update_source(name, service.source, keys)
        log(f"reload: {', '.join(keys) or 'nothing'} changed")

    def _update_source(self, name: str, source_name: str, keys: list[str]) -> None:
        """Apply the changes of a service's source."""
        spec, source = self._config.sources[source_name], self.services[name].source
        if isinstance(spec, StaticSpec):
            if f"source.{source_name}.server" in keys and isinstance(source, StaticEndpointList):
                source.replace(options.server_list(spec, self._config.services[name], self._version))
        elif spec.address is not None and isinstance(source, DiscoveryClient):
            source.move(spec.address)

    def on_draining(self) -> None:
        """Record that the signal to end was received; the process goes on listening for a moment."""
        if self._versions is not None:
            self._versions.on_draining()

    async def drain(self, signalled_at: float | None = None) -> None:
        """Stop listening, finish what was accepted, close connections between requests."""
        await self._process.drain(signalled_at)

    def close(self) -> None:
        """Close everything that is still open."""
        self._process.close()
        for recorder in self._trace_recorders:
            recorder.close()
        if self._versions is not None:
            self._versions.close()

    def unreleased(self) -> list[str]:
        """Return a text for each quota that is still in use although everything is closed."""
        return self._process.unreleased()


def peer_options(config: OperatorConfig) -> PeerOptions | None:
    """Return the addresses of the other processes of the fleet; None if the file has no `[peers]`."""
    spec = config.peers
    return None if spec is None else PeerOptions(spec.listen, spec.me, spec.at)


def main(file: str, signals: Signals, seams: Seams = DEFAULT_SEAMS) -> int:
    """Run the process that an operator file configures; return the exit code."""
    try:
        config = operator_file.read(file)
    except OperatorFileError as error:
        for line in error.lines:
            log(line)
        return 2
    try:
        asyncio.run(run(lambda loop: Standalone(loop, file, config, seams), signals, Standalone.on_draining))
    except OSError as error:
        log(f"can't start: {error}")
        return 1
    except ModuleNotFoundError as error:
        log(f"can't start: {error.name} is missing: pip install 'fordtrestle[cluster]'")
        return 1
    return 0
