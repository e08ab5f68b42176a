"""What an operator file says, as each part of a process is told it."""

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
from fordtrestle.proxy.config.operator import Operator
from fordtrestle.proxy.config.services import ClassSpec, ServiceSpec, TenantSpec
from fordtrestle.proxy.config.sources import RegistrySpec, ServerSpec, StaticSpec
from fordtrestle.proxy.engine.driver import EngineOptions
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.http.front import FrontOptions
from fordtrestle.proxy.http.pool import PoolOptions
from fordtrestle.proxy.http.requests import RequestClass, RequestNames, stable_number
from fordtrestle.proxy.membership.discovery_client import DiscoveryOptions
from fordtrestle.proxy.membership.list_format import NameIndices

SEMANTICS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}  # as the settings name them
OPEN_CALLS_MOST = 2**31


@dataclass(frozen=True, slots=True)
class Start:
    """What one start of a process is told beside its file: its number on the ring, its seed, and the
    descriptors that the system grants it (None: no bound).
    """

    number: int
    seed: int
    granted: int | None


def start_of(config: Operator) -> Start:
    """What this start is told: by the file, and where it is silent by the machine."""
    seed = config.process.seed
    granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return Start(
        number=stable_number(node_name(config)) % 2**16,
        seed=int.from_bytes(os.urandom(6)) if seed is None else seed,
        granted=None if granted < 0 else granted,
    )


def node_name(config: Operator) -> str:
    """The name of this process among those of its fleet."""
    return config.process.name or socket.gethostname()


# --- a service ------------------------------------------------------------------


def engine_options(config: Operator, name: str, start: Start) -> EngineOptions:
    """What the engine of a service is told."""
    most = config.services[name].open_most
    seed = stable_number(f"{start.seed}:{name}")
    return EngineOptions(settings(config, name, start), seed, OPEN_CALLS_MOST if most is None else most)


def pool_options(config: Operator, name: str, start: Start) -> PoolOptions:
    """What its pool is told."""
    service = config.services[name]
    return PoolOptions(
        connect_timeout_ms=service.connect_timeout_ms,
        idle_close_ms=service.idle_close_ms,
        drain_grace_ms=service.drain_grace_ms,
        report_fields=service.load_reports,
    )


def names(service: ServiceSpec) -> RequestNames:
    """Its classes and tenants, as requests name them."""
    classes = {
        name: RequestClass(number, "GET" if kind.semantics == "safe" else "POST", kind.semantics == "keyed")
        for number, (name, kind) in enumerate(service.classes.items())
    }
    return RequestNames(classes, {tenant.name: i for i, tenant in enumerate(service.tenants)})


def indices_of(service: ServiceSpec) -> NameIndices:
    """Its zones and kinds of machine, as lists name them."""
    zones = {zone: i for i, zone in enumerate(service.zones)}
    return NameIndices(zones, {kind: i for i, kind in enumerate(service.kinds)})


def basis(service: ServiceSpec) -> str:
    """16 hex digits of what the zones and kinds of its lists are numbered by."""
    numbered = json.dumps([service.zones, service.kinds]).encode()
    return blake2b(numbered, digest_size=8).hexdigest()


def settings(config: Operator, name: str, start: Start) -> model.Settings:
    """The decision module's settings; `ValueError` names the first that is senseless."""
    service = config.services[name]
    source = config.sources[service.source]
    asked = isinstance(source, RegistrySpec) and not source.pushed
    raw = {
        "Profiles": [_profile(row) for row in service.classes.values()],
        "Me": start.number if config.peers is None else config.peers.me,
        "Balancers": 1 if config.peers is None else len(config.peers.at),
        "Locality": service.zones.index(service.zone) if service.zone else 0,
        "FailureDomains": list(service.zones),
        "Kinds": list(service.kinds),
        "Discovery": "subscribe" if asked else "automatic",
        "Domain": {"WarmKeys": service.warm_keys},
        "Tenants": [_tenant(row) for row in service.tenants],
        "OverShareWorth": service.over_share_worth,
        "WorthBy": service.worth_by,
        "PolicyLimits": {**_policy_limits(service), "PeerMessages": config.peers is not None},
        "Report": {"How": "inline" if service.load_reports else "off", "Fields": list(service.load_reports)},
        "Rules": _rules(service, source.ask_within_ms if isinstance(source, RegistrySpec) else 10_000.0),
    }
    return model.Settings.parse(raw)


def _profile(row: ClassSpec) -> dict[str, Any]:
    return {
        "Objective": row.aim_ms,
        "Deadline": row.deadline_ms,
        "Semantics": SEMANTICS[row.semantics],
        "Group": row.group,
        "KeyTtl": row.key_window_ms,
        "LateWorth": row.late_worth,
        "Worth": row.worth,
        "InTurn": row.in_turn,
    }


def _tenant(row: TenantSpec) -> dict[str, Any]:
    """Only the ratio of allowances counts, so shares of the service are as good as rates."""
    return {"AllowancePerS": row.share if row.allowance_per_s is None else row.allowance_per_s}


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


def settings_digest(config: Operator, name: str) -> str:
    """16 hex digits that tell the settings of a service from others, alike in all processes that are told the
    same: nothing counts that is a process's own, such as its zone and addresses.
    """
    service = config.services[name]
    source = config.sources[service.source]
    if isinstance(source, RegistrySpec):
        asked: tuple[object, ...] = (source.pushed, source.ask_within_ms)
    else:
        asked = ()
    counted = [
        dataclasses.asdict(dataclasses.replace(service, zone="")),
        asked,
        dataclasses.asdict(config.limits),
    ]
    return blake2b(json.dumps(counted).encode(), digest_size=8).hexdigest()


# --- fronts and sources -----------------------------------------------------------


def front_options(config: Operator, name: str, start: Start) -> FrontOptions:
    """What a front is told; its clients may hold what it is guaranteed, and the common rest."""
    limits = config.limits
    common = 1.0 - limits.fronts_guaranteed_share - limits.upstreams_guaranteed_share
    clients_most = max(4, int(limits.connections_most(start.granted) * (front_share(config, name) + common)))
    service = config.services[config.fronts[name].service]
    return FrontOptions(names(service), clients_most, min(RETRY_AFTER_MS, service.retry_after_most_ms))


def upstream_share(config: Operator) -> float:
    """What a service's connections to servers are guaranteed of each resource: equal parts."""
    return config.limits.upstreams_guaranteed_share / len(config.services)


def front_share(config: Operator, name: str) -> float:
    """What a front is guaranteed: where the file is silent, an equal part of what the others leave."""
    share = config.fronts[name].guaranteed_share
    if share is None:
        given = [other.guaranteed_share for other in config.fronts.values()]
        left = config.limits.fronts_guaranteed_share - sum(part or 0.0 for part in given)
        share = max(0.0, left) / given.count(None)
    return share


def discovery_options(
    source: RegistrySpec, service: ServiceSpec, seed: int, known: ServerList | None = None
) -> DiscoveryOptions:
    """What a registry's watch is told; where no list is known from before, it begins with an empty one."""
    assert source.address is not None
    known = known or ServerList(0, True, [], {})
    return DiscoveryOptions(source.address, indices_of(service), source.pushed, known, seed)


def server_list(source: StaticSpec, service: ServiceSpec, version: int) -> ServerList:
    """A static source's servers, as lists hold them."""
    at = indices_of(service)
    addresses: Mapping[str, Address | None] = {server.name: server.address for server in source.servers}
    return ServerList(
        version,
        True,
        [_listing(server, at) for server in source.servers],
        {name: address for name, address in addresses.items() if address is not None},
    )


def _listing(server: ServerSpec, at: NameIndices) -> model.Listing:
    return model.Listing(
        server=server.name,
        zone=at.zones.get(server.zone, 0),
        kind=at.kinds.get(server.kind, 0),
        cell=server.cell,
        weight=server.weight,
    )
