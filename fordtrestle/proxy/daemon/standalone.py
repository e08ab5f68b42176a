"""A process as an operator file alone tells: any number of services and fronts."""

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
from fordtrestle.proxy.daemon.process import FrontAt, Machine, Process, Service, Source, run
from fordtrestle.proxy.daemon.seams import Seams
from fordtrestle.proxy.daemon.signals import Signals
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.limits import Budget, QuotaShare
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.schema import address_text
from fordtrestle.proxy.http.server import HttpServer
from fordtrestle.proxy.membership.discovery_client import DiscoveryClient
from fordtrestle.proxy.membership.static_endpoint_list import StaticEndpointList
from fordtrestle.proxy.membership.updates import UpdateListener

if TYPE_CHECKING:  # each is loaded only where it is on
    from fordtrestle.proxy.daemon.recording import Recording
    from fordtrestle.proxy.daemon.rules import Rulebook

USUAL = Seams()


class Standalone:
    """The services and fronts of an operator file, wired together; `seams` stand for the machine's own parts.

    `OSError` where another process holds its state, or its events or traces can't be written.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, file: str, config: OperatorConfig, seams: Seams = USUAL
    ) -> None:
        self._loop = loop
        self._file = file
        self._config = config
        self._start = options.start_options(config)
        self.limits = config.limits.make_limits(self._start.granted_descriptors)
        self._clock = Clock(loop, seams.wall)
        self._machine = Machine(loop, self._clock, self.limits, config.limits.memory_mb)
        self._recordings: list[Recording] = []
        self._version = 0  # of static lists
        self._rules = self._rulebook(seams)
        self.services = {name: self._service(name) for name in config.services}
        parts = {
            name: make_budget(self.limits, f"front.{name}", options.front_share(config, name))
            for name in config.fronts
        }
        at_limit = make_reserve(self.limits)
        fronts = {name: self._front(name, part, at_limit) for name, part in parts.items()}
        self._process = Process(loop, self._machine, self.services, fronts)

    def _rulebook(self, seams: Seams) -> Rulebook | None:
        """What tells and keeps the rules in force, if the file asks for it."""
        if self._config.state is None and self._config.events is None:
            return None
        from fordtrestle.proxy.daemon.rules import Rulebook

        return Rulebook(self._loop, self._config, seams)

    def _service(self, name: str) -> Service:
        engine = options.engine_options(self._config, name, self._start)
        pool = options.pool_options(self._config, name)
        part = make_budget(self.limits, f"service.{name}", options.upstream_share(self._config))
        driver = None if self._rules is None else self._rules.driver(name, self._clock, engine)
        peers = peer_options(self._config)
        return Service(self._loop, self._clock, engine, pool, part, self._source(name), peers, driver)

    def _front(self, name: str, part: Budget, at_limit: QuotaShare) -> FrontAt:
        spec = self._config.fronts[name]
        front_options = options.front_options(self._config, name, self._start)
        driver = self.services[spec.service].driver
        front = HttpServer(self._loop, self._clock, front_options, driver, part, at_limit, self._machine.lag)
        if spec.trace_file is not None:
            from fordtrestle.proxy.daemon.recording import Recording  # loaded only where it is on

            bytes_most = spec.trace_mb_most * 2**20
            recording = Recording(Path(spec.trace_file), bytes_most, front_options.names, self._clock.now)
            self._recordings.append(recording)
            front.intake.record = recording.note
        return FrontAt(front, spec.listen)

    def _source(self, name: str) -> Callable[[UpdateListener], Source]:
        service = self._config.services[name]
        spec = self._config.sources[service.source]

        def make(listener: UpdateListener) -> Source:
            on_update = listener if self._rules is None else self._rules.first(name, listener)
            if isinstance(spec, StaticSpec):
                return StaticEndpointList(self._loop, options.server_list(spec, service, 0), on_update)
            known = None if self._rules is None else self._rules.known.get(name)
            discovery_options = options.discovery_options(spec, service, self._start.seed, known)
            return DiscoveryClient(self._loop, discovery_options, on_update)

        return make

    async def start(self) -> None:
        """Be ready, and say where each front listens."""
        for name, addresses in (await self._process.start()).items():
            for address in addresses:
                log(f"front {name}: listens at {address_text(address)}")

    def reload(self) -> None:
        """Read the file anew: what it says takes effect whole, or nothing does."""
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
        if self._rules is not None:
            self._rules.settle(config)
        if any(key.startswith("limits.") for key in keys):
            self.limits.resize(*config.limits.capacities(self._start.granted_descriptors))
        for name, service in config.services.items():
            self._change(name, service.source, keys)
        log(f"reload: {', '.join(keys) or 'nothing'} changed")

    def _change(self, name: str, source: str, keys: list[str]) -> None:
        """Tell one service of what is new in its source."""
        spec, holder = self._config.sources[source], self.services[name].source
        if isinstance(spec, StaticSpec):
            if f"source.{source}.server" in keys and isinstance(holder, StaticEndpointList):
                holder.replace(options.server_list(spec, self._config.services[name], self._version))
        elif spec.address is not None and isinstance(holder, DiscoveryClient):
            holder.move(spec.address)

    def ending(self) -> None:
        """Told to end: it goes on listening for a moment."""
        if self._rules is not None:
            self._rules.ending()

    async def drain(self, signalled_at: float | None = None) -> None:
        """Stop listening, finish what was taken, close connections between requests."""
        await self._process.drain(signalled_at)

    def close(self) -> None:
        """Close what is left."""
        self._process.close()
        for recording in self._recordings:
            recording.close()
        if self._rules is not None:
            self._rules.close()

    def unsettled(self) -> list[str]:
        """What the ledgers hold though all is closed."""
        return self._process.unsettled()


def peer_options(config: OperatorConfig) -> PeerOptions | None:
    """Where the other processes of the fleet are, if the file says so."""
    spec = config.peers
    return None if spec is None else PeerOptions(spec.listen, spec.me, spec.at)


def main(file: str, signals: Signals, seams: Seams = USUAL) -> int:
    """Run as an operator file tells; the exit code."""
    try:
        config = operator_file.read(file)
    except OperatorFileError as error:
        for line in error.lines:
            log(line)
        return 2
    try:
        asyncio.run(run(lambda loop: Standalone(loop, file, config, seams), signals, Standalone.ending))
    except OSError as error:
        log(f"can't start: {error}")
        return 1
    except ModuleNotFoundError as error:
        log(f"can't start: {error.name} is missing: pip install 'fordtrestle[cluster]'")
        return 1
    return 0
