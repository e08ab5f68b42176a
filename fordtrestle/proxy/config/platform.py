"""What a sidecar is told at its start: environment and JSON to typed values."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from fordtrestle.balancer import model
from fordtrestle.proxy.config.limits import RETRY_AFTER_MS, LimitsOptions
from fordtrestle.proxy.engine.driver import EngineOptions
from fordtrestle.proxy.engine.ports import Address, ServerList, parse_address
from fordtrestle.proxy.http.front import FrontOptions
from fordtrestle.proxy.http.pool import PoolOptions
from fordtrestle.proxy.http.requests import RequestClass, RequestNames, stable_number
from fordtrestle.proxy.membership.discovery_client import DiscoveryOptions
from fordtrestle.proxy.membership.list_format import NameIndices, parse_amount, parse_list

USUAL = LimitsOptions()


class ConfigError(Exception):
    """A configuration that no sidecar can start from; its text is one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that this sidecar knows before its first event."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # descriptors that this process may hold; clients hold a third of them at the most
    cores: float  # of CPU time that this process may use
    limits: LimitsOptions  # an operator's, within the platform's
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known: ServerList
    settings: model.Settings
    names: RequestNames
    indices: NameIndices
    max_open: int
    drain_grace_ms: float


def load(environment: Mapping[str, str], limits: LimitsOptions = USUAL) -> Config:
    """Read the configuration; `ConfigError` says what is wrong with it.

    `limits` are an operator's: the platform's figures stay upper bounds of them.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
        return parse(raw, environment, limits)
    except OSError as error:
        raise ConfigError(f"configuration: {error.strerror}") from error
    except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError, RecursionError) as error:
        what = f"{error.args[0]} is missing" if isinstance(error, KeyError) else error
        raise ConfigError(" ".join(f"configuration: {what}".split())) from error


def reload(environment: Mapping[str, str]) -> Config:
    """Read the file anew: what it says of discovery now beats what the environment said at the start."""
    return load({name: value for name, value in environment.items() if name != "NODE_DISCOVERY"})


def parse(raw: Any, environment: Mapping[str, str], limits: LimitsOptions = USUAL) -> Config:
    """The configuration from its JSON; the environment has the last word on addresses."""
    settings, indices = raw["settings"], _name_indices(raw["settings"])
    policy, rules = settings.get("PolicyLimits") or {}, settings.get("Rules") or {}
    machine = raw.get("limits") or {}
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    given = int(machine.get("sockets", 1024))
    sockets = given if allowed < 0 else min(given, allowed)
    bounds = limits.within(sockets, _memory(machine.get("memory_mb")))
    return Config(
        name=environment.get("NODE_NAME") or str(raw["name"]),
        listen=parse_address(environment.get("NODE_LISTEN") or raw["listen"]),
        discovery=parse_address(environment.get("NODE_DISCOVERY") or raw["discovery"]),
        seed=stable_number(str(raw.get("seed", ""))),
        sockets=sockets,
        cores=_cores(machine.get("cores")),
        limits=bounds,
        peer_listen=parse_address(raw["peer_listen"]) if raw.get("peer_listen") else None,
        peers=tuple(parse_address(peer) for peer in raw.get("peers") or ()),
        peers_all=parse_address(raw["peers_all"]) if raw.get("peers_all") else None,
        known=parse_list(raw["known"], indices),
        settings=model.Settings.parse(settings),
        names=_names(settings),
        indices=indices,
        max_open=int(policy.get("MaxOpen", 2**31)),
        drain_grace_ms=parse_amount(rules.get("StopSendingWithin", 0.0)),
    )


def _memory(given: Any) -> int | None:
    """Megabytes, where the platform says so: a figure that is none is no bound, as it never was."""
    is_figure = isinstance(given, int | float) and not isinstance(given, bool)
    return int(given) if is_figure and 1 <= given < 2**40 else None


def _cores(given: Any) -> float:
    """Cores, where the platform says so: a figure that is none is one core."""
    is_figure = isinstance(given, int | float) and not isinstance(given, bool)
    return float(given) if is_figure and 0.0 < given < 2**20 else 1.0


def _names(settings: Mapping[str, Any]) -> RequestNames:
    return RequestNames(
        classes={row["Name"]: _request_class(i, row) for i, row in enumerate(settings["Profiles"])},
        tenants=_indices(row["Name"] for row in settings.get("Tenants") or ()),
    )


def _name_indices(settings: Mapping[str, Any]) -> NameIndices:
    return NameIndices(
        zones=_indices(settings.get("FailureDomains") or ()),
        kinds=_indices(settings.get("Kinds") or ()),
    )


def _request_class(number: int, row: Mapping[str, Any]) -> RequestClass:
    semantics = row["Semantics"]
    return RequestClass(number, "GET" if semantics == "pure" else "POST", semantics == "token")


def _indices(names: Any) -> dict[str, int]:
    return {str(name): i for i, name in enumerate(names)}


def engine_options(config: Config) -> EngineOptions:
    """What the one engine of the platform's sidecar is told."""
    return EngineOptions(config.settings, config.seed, config.max_open)


def pool_options(config: Config) -> PoolOptions:
    """What its pool is told."""
    settings = config.settings
    return PoolOptions(
        connect_timeout_ms=settings.connect_timeout,
        idle_close_ms=settings.idle_close,
        drain_grace_ms=config.drain_grace_ms,
        report_fields=settings.report_fields if settings.report_how != "off" else (),
    )


def front_options(config: Config) -> FrontOptions:
    """What its front is told."""
    back = min(RETRY_AFTER_MS, config.settings.max_retry_after) if config.settings.retry_after else 0.0
    return FrontOptions(config.names, max(4, config.sockets // 3), back)


def discovery_options(config: Config) -> DiscoveryOptions:
    """What its discovery is told."""
    pushed = config.settings.discovery == "automatic"
    return DiscoveryOptions(config.discovery, config.indices, pushed, config.known, config.seed)
