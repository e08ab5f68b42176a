"""Derives the options of each part of a process from an operator file."""

from __future__ import annotations

import dataclasses
import json
import os
import resource
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from fordtrestle.balancer import model
from fordtrestle.proxy.config.limits import RETRY_AFTER_MS
from fordtrestle.proxy.config.operator_file import OperatorConfig
from fordtrestle.proxy.config.services import ClassSpec, ServiceSpec, TenantSpec
from fordtrestle.proxy.config.sources import DEFAULT_ASK_WITHIN_MS, RegistrySpec, ServerSpec, StaticSpec
from fordtrestle.proxy.engine.driver import EngineOptions
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.http.connection_pool import ConnectionPoolOptions
from fordtrestle.proxy.http.requests import RequestClass, RequestNames, stable_number
from fordtrestle.proxy.http.server import HttpServerOptions
from fordtrestle.proxy.membership.discovery_client import DiscoveryOptions
from fordtrestle.proxy.membership.list_format import NameIndices

SEMANTICS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}  # names in the module's settings
NODE_NUMBER_RANGE = 2**16  # processes without `[peers]` have numbers below it
MIN_CLIENTS = 4  # of a front, even if its share is smaller
SEED_BYTES = 6


@dataclass(frozen=True, slots=True)
class StartOptions:
    """The options of one start of a process that the operator file does not fix.

    Attributes:
        number: The number of this process in the decision module's settings.
        seed: The seed of all its random numbers.
        granted_descriptors: The number of descriptors that the system grants; None if unbounded.
    """

    number: int
    seed: int
    granted_descriptors: int | None


def start_options(config: OperatorConfig) -> StartOptions:
    """Return the options of this start: those of the file, else those of the machine."""
    seed = config.process.seed
    granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return StartOptions(
        number=stable_number(node_name(config)) % NODE_NUMBER_RANGE,
        seed=int.from_bytes(os.urandom(SEED_BYTES)) if seed is None else seed,
        granted_descriptors=None if granted < 0 else granted,
    )


def node_name(config: OperatorConfig) -> str:
    """Return the name of this process in its fleet."""
    return config.process.name or socket.gethostname()


# --- a service ------------------------------------------------------------------


def engine_options(config: OperatorConfig, name: str, start: StartOptions) -> EngineOptions:
    """Return the options of a service's engine."""
    seed = stable_number(f"{start.seed}:{name}")
    return EngineOptions(settings(config, name, start), seed, config.services[name].open_most)


def pool_options(config: OperatorConfig, name: str) -> ConnectionPoolOptions:
    """Return the options of a service's connection pool."""
    service = config.services[name]
    return ConnectionPoolOptions(
        connect_timeout_ms=service.connect_timeout_ms,
        idle_close_ms=service.idle_close_ms,
        drain_grace_ms=service.drain_grace_ms,
        report_fields=service.load_reports,
    )


def request_names(service: ServiceSpec) -> RequestNames:
    """Return the classes and tenants of a service by their names in requests."""
    classes = {
        name: RequestClass(number, "GET" if spec.semantics == "safe" else "POST", spec.semantics == "keyed")
        for number, (name, spec) in enumerate(service.classes.items())
    }
    return RequestNames(classes, {tenant.name: i for i, tenant in enumerate(service.tenants)})


def name_indices(service: ServiceSpec) -> NameIndices:
    """Return the indices of a service's zones and machine kinds by their names in lists."""
    zones = {zone: i for i, zone in enumerate(service.zones)}
    return NameIndices(zones, {kind: i for i, kind in enumerate(service.kinds)})


def list_basis(service: ServiceSpec) -> str:
    """Return a digest (16 hex digits) of the names by which the zones and kinds of lists are numbered."""
    numbered = json.dumps([service.zones, service.kinds]).encode()
    return blake2b(numbered, digest_size=8).hexdigest()


def settings(config: OperatorConfig, name: str, start: StartOptions) -> model.Settings:
    """Return the decision module's settings of a service.

    Raises:
        ValueError: A setting is invalid; the message names the first one.
    """
    service = config.services[name]
    source = config.sources[service.source]
    registry = source if isinstance(source, RegistrySpec) else None
    peers = config.peers
    raw = {
        "Profiles": [_profile(spec) for spec in service.classes.values()],
        "Me": start.number if peers is None else peers.me,
        "Balancers": 1 if peers is None else len(peers.at),
        "Locality": service.zones.index(service.zone) if service.zone else 0,
        "FailureDomains": list(service.zones),
        "Kinds": list(service.kinds),
        "Discovery": "automatic" if registry is None or registry.pushed else "subscribe",
        "Domain": {"WarmKeys": service.warm_keys},
        "Tenants": [_tenant(spec) for spec in service.tenants],
        "OverShareWorth": service.over_share_worth,
        "WorthBy": service.worth_by,
        "PolicyLimits": {**_policy_limits(service), "PeerMessages": peers is not None},
        "Report": {"How": "inline" if service.load_reports else "off", "Fields": list(service.load_reports)},
        "Rules": _rules(service, DEFAULT_ASK_WITHIN_MS if registry is None else registry.ask_within_ms),
    }
    return model.Settings.parse(raw)


def _profile(spec: ClassSpec) -> dict[str, Any]:
    return {
        "Objective": spec.aim_ms,
        "Deadline": spec.deadline_ms,
        "Semantics": SEMANTICS[spec.semantics],
        "Group": spec.group,
        "KeyTtl": spec.key_window_ms,
        "LateWorth": spec.late_worth,
        "Worth": spec.worth,
        "InTurn": spec.in_turn,
    }


def _tenant(spec: TenantSpec) -> dict[str, Any]:
    """Return a tenant's allowance; only ratios matter, so a share of the service works as well as a rate."""
    return {"AllowancePerS": spec.share if spec.allowance_per_s is None else spec.allowance_per_s}


def _policy_limits(service: ServiceSpec) -> dict[str, Any]:
    return {
        "MaxAttempts": service.attempts_most,
        "MaxRetryAfter": service.retry_after_most_ms,
        "RetryAfter": service.retry_after_most_ms > 0.0,
        "MayCancel": service.cancel,
        "MayProbe": service.probes,
        "ParallelTries": service.parallel_tries,
        "ConnectTimeout": service.connect_timeout_ms,
        "IdleClose": service.idle_close_ms,
    }


def _rules(service: ServiceSpec, ask_within_ms: float) -> dict[str, Any]:
    return {
        "AskWithin": ask_within_ms,
        "ColdFrom": service.cold_from_share,
        "WarmUp": service.warm_up_ms,
        "FallMultiple": service.fall_multiple,
        "OverloadFor": service.overload_ms,
        "ReleaseWithin": service.release_ms,
        "SettleAfterDoubt": service.settle_ms,
    }


def settings_digest(config: OperatorConfig, name: str) -> str:
    """Return a digest (16 hex digits) of a service's settings, equal in all processes with the same settings.

    Settings specific to a process, such as its zone and its addresses, are left out.
    """
    service = config.services[name]
    source = config.sources[service.source]
    registry: tuple[object, ...] = ()
    if isinstance(source, RegistrySpec):
        registry = (source.pushed, source.ask_within_ms)
    content = [
        dataclasses.asdict(dataclasses.replace(service, zone="")),
        registry,
        dataclasses.asdict(config.limits),
    ]
    return blake2b(json.dumps(content).encode(), digest_size=8).hexdigest()


# --- fronts and sources -----------------------------------------------------------


def front_options(config: OperatorConfig, name: str, start: StartOptions) -> HttpServerOptions:
    """Return a front's options; its clients may use its guaranteed share and what nobody is guaranteed."""
    limits = config.limits
    common_share = 1.0 - limits.fronts_guaranteed_share - limits.upstreams_guaranteed_share
    share = front_share(config, name) + common_share
    max_clients = max(MIN_CLIENTS, int(limits.max_connections(start.granted_descriptors) * share))
    service = config.services[config.fronts[name].service]
    retry_after_ms = min(RETRY_AFTER_MS, service.retry_after_most_ms)
    return HttpServerOptions(request_names(service), max_clients, retry_after_ms)


def upstream_share(config: OperatorConfig) -> float:
    """Return the share of each resource guaranteed to a service's connections to servers, equal for all."""
    return config.limits.upstreams_guaranteed_share / len(config.services)


def front_share(config: OperatorConfig, name: str) -> float:
    """Return the share guaranteed to a front; without one in the file, an equal part of what is left."""
    share = config.fronts[name].guaranteed_share
    if share is None:
        shares = [front.guaranteed_share for front in config.fronts.values()]
        remaining = config.limits.fronts_guaranteed_share - sum(other or 0.0 for other in shares)
        share = max(0.0, remaining) / shares.count(None)
    return share


def discovery_options(
    source: RegistrySpec, service: ServiceSpec, seed: int, known_list: ServerList | None = None
) -> DiscoveryOptions:
    """Return the options of a discovery client; without a known list, it starts with an empty one."""
    assert source.address is not None
    known_list = known_list or ServerList(0, True, [], {})
    return DiscoveryOptions(source.address, name_indices(service), source.pushed, known_list, seed)


def server_list(source: StaticSpec, service: ServiceSpec, version: int) -> ServerList:
    """Return the servers of a static source as a complete list."""
    indices = name_indices(service)
    addresses: Mapping[str, Address | None] = {server.name: server.address for server in source.servers}
    return ServerList(
        version,
        True,
        [_listing(server, indices) for server in source.servers],
        {name: address for name, address in addresses.items() if address is not None},
    )


def _listing(server: ServerSpec, indices: NameIndices) -> model.Listing:
    return model.Listing(
        server=server.name,
        zone=indices.zones.get(server.zone, 0),
        kind=indices.kinds.get(server.kind, 0),
        cell=server.cell,
        weight=server.weight,
    )
