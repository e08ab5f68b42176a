"""Parses the configuration of the platform's sidecar, JSON and environment, into typed values."""

from __future__ import annotations

import json
import resource
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from fordtrestle.balancer import model
from fordtrestle.proxy.config.errors import PlatformConfigError
from fordtrestle.proxy.config.limits import DEFAULT_LIMITS, RETRY_AFTER_MS, LimitsSpec
from fordtrestle.proxy.engine.driver import EngineOptions
from fordtrestle.proxy.engine.ports import Address, ServerList, parse_address
from fordtrestle.proxy.http.connection_pool import ConnectionPoolOptions
from fordtrestle.proxy.http.requests import RequestClass, RequestNames, stable_number
from fordtrestle.proxy.http.server import HttpServerOptions
from fordtrestle.proxy.membership.discovery_client import DiscoveryOptions
from fordtrestle.proxy.membership.list_format import PARSE_ERRORS, NameIndices, parse_amount, parse_list

DEFAULT_SOCKETS = 1024  # the usual soft limit of descriptors on Linux
DEFAULT_MAX_OPEN_CALLS = 2**31  # in effect no limit
DEFAULT_CORES = 1.0
# Limits of the platform at or above these are ignored.
MEMORY_MB_BELOW = 2**40
CORES_BELOW = 2**20
SOCKETS_PER_CLIENT = 3  # the others are for connections to servers and for other files
MIN_CLIENTS = 4


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The configuration of a sidecar at its start.

    Attributes:
        name: The name of this sidecar.
        listen: The address that clients connect to.
        discovery: The address of the registry.
        seed: The seed of all random number generators.
        max_descriptors: Descriptors that this process may use; clients use a third of them at most.
        cores: CPU time that this process may use, in cores.
        limits: The operator's limits, lowered to those of the platform.
        peer_listen: The address at which messages of other sidecars are received (UDP).
        peers: The address of each sidecar, by its number.
        peers_all: An address that reaches all sidecars.
        known_list: The endpoint list as last known.
        settings: The settings of the decision module.
        request_names: Classes and tenants by their names in requests.
        name_indices: The indices of zones and machine kinds by their names in lists.
        max_open_calls: The limit of calls in flight, which are accepted and not yet answered.
        drain_grace_ms: For how long new calls may go to a server after the update that marks it as leaving.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    cores: float
    limits: LimitsSpec
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known_list: ServerList
    settings: model.Settings
    request_names: RequestNames
    name_indices: NameIndices
    max_open_calls: int
    drain_grace_ms: float


def load(environment: Mapping[str, str], limits: LimitsSpec = DEFAULT_LIMITS) -> PlatformConfig:
    """Read the configuration file that the environment names.

    Args:
        environment: `NODE_CONFIG` is the path of the file; `NODE_NAME`, `NODE_LISTEN` and `NODE_DISCOVERY`
            override its content.
        limits: The limits of an operator, which are lowered to those of the platform.

    Raises:
        PlatformConfigError: The file can't be read or used; the message says why.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise PlatformConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
        return parse(raw, environment, limits)
    except OSError as error:
        raise PlatformConfigError(f"configuration: {error.strerror}") from error
    except PARSE_ERRORS as error:
        reason = f"{error.args[0]} is missing" if isinstance(error, KeyError) else error
        raise PlatformConfigError(" ".join(f"configuration: {reason}".split())) from error


def reload(environment: Mapping[str, str]) -> PlatformConfig:
    """Read the file again; the registry in it now takes precedence over that of the environment."""
    return load({name: value for name, value in environment.items() if name != "NODE_DISCOVERY"})


def parse(raw: Any, environment: Mapping[str, str], limits: LimitsSpec = DEFAULT_LIMITS) -> PlatformConfig:
    """Parse the configuration's JSON; the environment overrides the name and addresses.

    Raises:
        ValueError: A value is invalid. A value of a wrong type may raise any of `PARSE_ERRORS`.
    """
    settings = raw["settings"]
    name_indices = _parse_name_indices(settings)
    policy, rules = settings.get("PolicyLimits") or {}, settings.get("Rules") or {}
    machine = raw.get("limits") or {}
    max_descriptors = _max_descriptors(machine)
    return PlatformConfig(
        name=environment.get("NODE_NAME") or str(raw["name"]),
        listen=parse_address(environment.get("NODE_LISTEN") or raw["listen"]),
        discovery=parse_address(environment.get("NODE_DISCOVERY") or raw["discovery"]),
        seed=stable_number(str(raw.get("seed", ""))),
        max_descriptors=max_descriptors,
        cores=_parse_cores(machine.get("cores")),
        limits=limits.within(max_descriptors, _parse_memory_mb(machine.get("memory_mb"))),
        peer_listen=parse_address(raw["peer_listen"]) if raw.get("peer_listen") else None,
        peers=tuple(parse_address(peer) for peer in raw.get("peers") or ()),
        peers_all=parse_address(raw["peers_all"]) if raw.get("peers_all") else None,
        known_list=parse_list(raw["known"], name_indices),
        settings=model.Settings.parse(settings),
        request_names=_parse_request_names(settings),
        name_indices=name_indices,
        max_open_calls=int(policy.get("MaxOpen", DEFAULT_MAX_OPEN_CALLS)),
        drain_grace_ms=parse_amount(rules.get("StopSendingWithin", 0.0)),
    )


def _max_descriptors(machine: Mapping[str, Any]) -> int:
    """Return the smaller of the numbers that the platform and the system grant."""
    granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = int(machine.get("sockets", DEFAULT_SOCKETS))
    return sockets if granted < 0 else min(sockets, granted)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _parse_memory_mb(value: Any) -> int | None:
    """Return the limit in megabytes; None, which is no bound, if the value is no number in range."""
    return int(value) if _is_number(value) and 1 <= value < MEMORY_MB_BELOW else None


def _parse_cores(value: Any) -> float:
    """Return the number of cores; the default if the value is no number in range."""
    return float(value) if _is_number(value) and 0.0 < value < CORES_BELOW else DEFAULT_CORES


def _parse_request_names(settings: Mapping[str, Any]) -> RequestNames:
    return RequestNames(
        classes={row["Name"]: _parse_class(i, row) for i, row in enumerate(settings["Profiles"])},
        tenants=_indices(row["Name"] for row in settings.get("Tenants") or ()),
    )


def _parse_name_indices(settings: Mapping[str, Any]) -> NameIndices:
    return NameIndices(
        zones=_indices(settings.get("FailureDomains") or ()),
        kinds=_indices(settings.get("Kinds") or ()),
    )


def _parse_class(number: int, row: Mapping[str, Any]) -> RequestClass:
    semantics = row["Semantics"]
    return RequestClass(number, "GET" if semantics == "pure" else "POST", semantics == "token")


def _indices(names: Iterable[Any]) -> dict[str, int]:
    return {str(name): i for i, name in enumerate(names)}


# --- the options of each part of the sidecar --------------------------------------


def engine_options(config: PlatformConfig) -> EngineOptions:
    """Return the options of the engine."""
    return EngineOptions(config.settings, config.seed, config.max_open_calls)


def pool_options(config: PlatformConfig) -> ConnectionPoolOptions:
    """Return the options of the connection pool."""
    settings = config.settings
    return ConnectionPoolOptions(
        connect_timeout_ms=settings.connect_timeout,
        idle_close_ms=settings.idle_close,
        drain_grace_ms=config.drain_grace_ms,
        report_fields=settings.report_fields if settings.report_how != "off" else (),
    )


def front_options(config: PlatformConfig) -> HttpServerOptions:
    """Return the options of the HTTP server."""
    settings = config.settings
    retry_after_ms = min(RETRY_AFTER_MS, settings.max_retry_after) if settings.retry_after else 0.0
    max_clients = max(MIN_CLIENTS, config.max_descriptors // SOCKETS_PER_CLIENT)
    return HttpServerOptions(config.request_names, max_clients, retry_after_ms)


def discovery_options(config: PlatformConfig) -> DiscoveryOptions:
    """Return the options of the discovery client."""
    is_pushed = config.settings.discovery == "automatic"
    return DiscoveryOptions(config.discovery, config.name_indices, is_pushed, config.known_list, config.seed)
