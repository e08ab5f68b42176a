"""A simulated operator, who changes the configuration, evacuates zones and reads the configuration back."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable, Sequence

import aiohttp

from rig.system.deployment import Deployment
from rig.system.soak.clients import HOST, KINDS, RETRY_DELAY_S, standing_rules
from rig.system.soak.record import DEADLINE_S, ConfigurationRead, Record
from rig.system.soak.route_changes import ConfigurationVersion, RouteRule


def configuration(generation: int, rules: Sequence[RouteRule] | None = None) -> dict[str, object]:
    """Return a configuration with one service and one route for each rule, or for each kind of request."""
    routes = [_route(rule) for rule in rules or standing_rules()]
    return {"generation": generation, "routes": routes, "services": [{"name": "models"}], "limits": {}}


def _route(rule: RouteRule) -> dict[str, object]:
    kind = next(kind for kind in KINDS if rule.path_prefix.startswith(kind.path))
    return {
        "name": rule.path_prefix.strip("/").replace("/", "-"),
        "authority": HOST,
        "path_prefix": rule.path_prefix,
        "route_type": rule.route_type,
        "timeout_ms": round(DEADLINE_S * 1000),
        "target_latency_ms": 800,
        "priority": 0,
        "backend": "models",
        "max_attempts": rule.max_attempts,
        "sticky": kind.streaming,
        "resumable": rule.is_resumable,
        "gap_aim_ms": 400,
        "home_regions": list(kind.home_regions),
    }


class Operator:
    """Changes the configuration and reads it back."""

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        rng: random.Random,
        next_rules: Callable[[], tuple[RouteRule, ...]] = standing_rules,
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._rng = rng
        self._next_rules = next_rules
        self._lock = asyncio.Lock()
        self.acknowledged = 0

    def _url(self, path: str) -> str:
        return f"http://{self._rng.choice(self._deployment.of_role('control')).address('control')}{path}"

    async def change(self, session: aiohttp.ClientSession, until: float) -> None:
        """Send the next configuration to random control processes until one acknowledges it."""
        async with self._lock:
            generation = self.acknowledged + 1
            rules = self._next_rules()
            body = json.dumps(configuration(generation, rules))
            headers = {"X-Base-Version": str(self.acknowledged), "Content-Type": "application/json"}
            version = ConfigurationVersion(generation, rules, time.monotonic())
            self._record.versions.append(version)
            while time.monotonic() < until:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    url = self._url("/v1/config/put")
                    async with session.post(url, data=body, headers=headers) as response:
                        if response.status == 200:
                            self.acknowledged = generation
                            version.acknowledged = time.monotonic()
                            self._record.changes += 1
                            return
                await asyncio.sleep(RETRY_DELAY_S)

    async def evacuate(self, session: aiohttp.ClientSession, zone: str, for_s: float, until: float) -> None:
        """Evacuate a zone and end the evacuation after `for_s`."""
        await self._post_until_accepted(session, f"/v1/evacuations/{zone}/start", until)
        await asyncio.sleep(for_s)
        await self._post_until_accepted(session, f"/v1/evacuations/{zone}/finish", until + DEADLINE_S)

    async def _post_until_accepted(self, session: aiohttp.ClientSession, path: str, until: float) -> None:
        while time.monotonic() < until:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with session.post(self._url(path)) as response:
                    if response.status < 300:
                        return
            await asyncio.sleep(RETRY_DELAY_S)

    async def read(self, session: aiohttp.ClientSession, until: float) -> None:
        """Read the configuration periodically."""
        while time.monotonic() < until:
            acknowledged = self.acknowledged
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with session.get(self._url("/v1/config/get")) as response:
                    if response.status == 200:
                        generation = (await response.json())["generation"]
                        self._record.reads.append(
                            ConfigurationRead(time.monotonic(), generation, acknowledged)
                        )
            await asyncio.sleep(RETRY_DELAY_S)
