"""The platform's sidecar: one service and one HTTP server, configured by `NODE_CONFIG`."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping

from fordtrestle.proxy.config import platform_config
from fordtrestle.proxy.config.errors import PlatformConfigError
from fordtrestle.proxy.config.limits import DEFAULT_LIMITS, LimitsSpec, make_budget, make_reserve
from fordtrestle.proxy.config.platform_config import PlatformConfig
from fordtrestle.proxy.daemon.peers import PeerOptions
from fordtrestle.proxy.daemon.process import MachineResources, Process, ServerBinding
from fordtrestle.proxy.daemon.runner import run
from fordtrestle.proxy.daemon.service import Service
from fordtrestle.proxy.daemon.signals import Signals
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.http.server import HttpServer
from fordtrestle.proxy.membership.discovery_client import DiscoveryClient
from fordtrestle.proxy.membership.updates import UpdateListener

SIDECAR = "sidecar"  # the name of its one service, and of its one HTTP server


class Sidecar:
    """One sidecar with all its parts; a `Program` for the runner.

    Attributes:
        limits: The quotas of the process.
        driver: The engine.
        pool: The connections to servers.
        peers: The other sidecars.
        front: The HTTP server.
        discovery: The client of the registry.
        overload: Detects overload of the process.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: PlatformConfig,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Create a sidecar that is not started.

        Args:
            loop: The event loop.
            config: The platform's configuration.
            environment: Names the file that a reload reads; without it, a reload changes nothing.
        """
        self._environment = environment or {}

        def make_discovery(on_update: UpdateListener) -> DiscoveryClient:
            self.discovery = DiscoveryClient(loop, platform_config.discovery_options(config), on_update)
            return self.discovery

        clock = Clock(loop)
        engine, pool = platform_config.engine_options(config), platform_config.pool_options(config)
        limits = config.limits
        self.limits = limits.make_limits(config.max_descriptors)
        to_servers = make_budget(self.limits, "servers", limits.upstreams_guaranteed_share)
        to_clients = make_budget(self.limits, "clients", limits.fronts_guaranteed_share)
        service = Service(loop, clock, engine, pool, to_servers, make_discovery, peer_options(config))
        self.driver, self.pool, self.peers = service.driver, service.pool, service.peers
        machine = MachineResources(loop, clock, self.limits, limits.memory_mb, config.cores)
        front, at_limit = platform_config.front_options(config), make_reserve(self.limits)
        self.front = HttpServer(loop, clock, front, self.driver, to_clients, at_limit, machine.lag)
        fronts = {SIDECAR: ServerBinding(self.front, [config.listen])}
        self._process = Process(loop, machine, {SIDECAR: service}, fronts)
        self.overload = self._process.overload

    async def start(self) -> Address:
        """Start the sidecar, and return the address that it listens at.

        The last known list is applied before the first request.

        Raises:
            OSError: The sidecar can't listen.
        """
        bound = await self._process.start()
        return bound[SIDECAR][0]

    def reload(self) -> None:
        """Read the configuration again, and apply a changed address of the registry; nothing else can change.

        If the file can't be read at that moment, nothing changes.
        """
        try:
            config = platform_config.reload(self._environment)
        except PlatformConfigError as error:
            log(f"reload: {error}; nothing changes")
            return
        self.discovery.move(config.discovery)

    async def drain(self, signalled_at: float | None = None) -> None:
        """Stop listening, finish what was accepted, close connections between requests."""
        await self._process.drain(signalled_at)

    def close(self) -> None:
        """Close everything that is still open."""
        self._process.close()

    def unreleased(self) -> list[str]:
        """Return a text for each quota that is still in use although everything is closed."""
        return self._process.unreleased()


def peer_options(config: PlatformConfig) -> PeerOptions:
    """Return the addresses of the other sidecars; messages are received only if the settings allow it."""
    bind = config.peer_listen if config.settings.peer_messages else None
    return PeerOptions(bind, config.settings.me, config.peers, config.peers_all)


def main(signals: Signals, limits: LimitsSpec = DEFAULT_LIMITS) -> int:
    """Run the sidecar that the environment configures; return the exit code."""
    try:
        config = platform_config.load(os.environ, limits)
    except PlatformConfigError as error:
        log(str(error))
        return 2
    try:
        asyncio.run(run(lambda loop: Sidecar(loop, config, os.environ), signals))
    except OSError as error:
        log(f"can't start: {error}")
        return 1
    return 0
