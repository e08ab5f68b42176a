"""What a sidecar is told at its start: environment and JSON to typed values."""

from __future__ import annotations

import json
import math
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple

from poppypulley import model

KEY_BELOW = 2**53
RESERVED = 24  # descriptors for the log, the loop, discovery, peers and what opens for a moment
STATES = frozenset(("active", "leaving", "left"))


class ConfigError(Exception):
    """A configuration that no sidecar can start from; its text is one line."""


class Address(NamedTuple):
    """Where to listen or connect."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class as requests name it: its place in the settings and the method that it asks for."""

    band: int
    method: str
    keyed: bool


@dataclass(frozen=True, slots=True)
class Names:
    """The names on the sockets, and the index in the settings that each stands for."""

    classes: Mapping[str, RequestClass]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ServerList:
    """One message of discovery."""

    version: int
    whole: bool
    entries: list[model.Listing]
    addresses: dict[str, Address]


@dataclass(frozen=True, slots=True)
class Config:
    """All that this sidecar knows before its first event."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    descriptors: int  # for connections
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known: ServerList
    settings: model.Settings
    names: Names
    max_open: int
    drain_grace: float


def stable_number(text: str) -> int:
    """A text as a number below 2^53, the same in every process.

    Guards against `hash()`, which differs between processes: sidecars would disagree on a key."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) % KEY_BELOW


def load(environment: Mapping[str, str]) -> Config:
    """Read the configuration; `ConfigError` says what is wrong with it."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
        return parse(raw, environment)
    except OSError as error:
        raise ConfigError(f"configuration: {error.strerror}") from error
    except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError, RecursionError) as error:
        what = f"{error.args[0]} is missing" if isinstance(error, KeyError) else error
        raise ConfigError(" ".join(f"configuration: {what}".split())) from error


def reload(environment: Mapping[str, str]) -> Config:
    """Read the file anew: what it says of discovery now beats what the environment said at the start."""
    return load({name: value for name, value in environment.items() if name != "NODE_DISCOVERY"})


def parse(raw: Any, environment: Mapping[str, str]) -> Config:
    """The configuration from its JSON; the environment has the last word on addresses."""
    settings, names = raw["settings"], _names(raw["settings"])
    limits, rules = settings.get("PolicyLimits") or {}, settings.get("Rules") or {}
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    given = int((raw.get("limits") or {}).get("sockets", 1024))
    return Config(
        name=environment.get("NODE_NAME") or str(raw["name"]),
        listen=parse_address(environment.get("NODE_LISTEN") or raw["listen"]),
        discovery=parse_address(environment.get("NODE_DISCOVERY") or raw["discovery"]),
        seed=stable_number(str(raw.get("seed", ""))),
        descriptors=max(4, (given if allowed < 0 else min(given, allowed)) - RESERVED),
        peer_listen=parse_address(raw["peer_listen"]) if raw.get("peer_listen") else None,
        peers=tuple(parse_address(peer) for peer in raw.get("peers") or ()),
        peers_all=parse_address(raw["peers_all"]) if raw.get("peers_all") else None,
        known=parse_list(raw["known"], names),
        settings=model.Settings.parse(settings),
        names=names,
        max_open=int(limits.get("MaxOpen", 2**31)),
        drain_grace=_amount(rules.get("StopSendingWithin", 0.0)),
    )


def _names(settings: Mapping[str, Any]) -> Names:
    return Names(
        classes={row["Name"]: _request_class(i, row) for i, row in enumerate(settings["Profiles"])},
        tenants=_indices(row["Name"] for row in settings.get("Tenants") or ()),
        zones=_indices(settings.get("FailureDomains") or ()),
        kinds=_indices(settings.get("Kinds") or ()),
    )


def _request_class(band: int, row: Mapping[str, Any]) -> RequestClass:
    semantics = row["Semantics"]
    return RequestClass(band, "GET" if semantics == "pure" else "POST", semantics == "token")


def _indices(names: Any) -> dict[str, int]:
    return {str(name): i for i, name in enumerate(names)}


def parse_address(text: Any) -> Address:
    """`host:port` to an address."""
    host, found, port = str(text).rpartition(":")
    if not found or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address")
    return Address(host.strip("[]"), int(port))


def parse_list(raw: Any, names: Names) -> ServerList:
    """Read discovery's form of a list; `ValueError`, `KeyError` or `TypeError` if it is none."""
    entries, addresses = [], {}
    for row in raw["endpoints"]:
        entry = _listing(row, names)
        entries.append(entry)
        if row.get("address"):
            addresses[entry.server] = parse_address(row["address"])
    return ServerList(int(raw["index"]), bool(raw.get("snapshot")), entries, addresses)


def _listing(row: Mapping[str, Any], names: Names) -> model.Listing:
    state = row.get("status", "active")
    if state not in STATES:
        raise ValueError(f"status {state!r} is not known")
    return model.Listing(
        server=str(row["name"]),
        zone=names.zones.get(row.get("zone", ""), 0),
        kind=names.kinds.get(row.get("type", ""), 0),
        cell=int(row.get("group") or 0),
        state=state,
        weight=float(row.get("weight") or 1.0),
        # Unix time, on the clock that the module is given; 0 stays 0, which is long ago.
        started=_amount(row.get("since_ms") or 0.0),
    )


def _amount(value: Any) -> float:
    amount = float(value)
    if not math.isfinite(amount) or amount < 0.0:
        raise ValueError(f"{value!r} is no amount")
    return amount
