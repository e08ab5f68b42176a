"""Configuration of a cluster's nodes: one service with three classes, by a settings number.

Each node has a file of its own; all begin with settings number 1.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from rig.callers import CallClass, Demand
from rig.cluster.link_types import Address
from rig.model import Make
from rig.registry import Entry, entry

SERVICE = "shop"
LIST_RULE, SETTINGS_RULE = f"list:{SERVICE}", f"settings:{SERVICE}"
ZONES = ("east", "west")
TENANT = "site"
CLASSES = (
    CallClass("look", "safe", 0.6, 2.0, 4.0, 500.0, 1500.0, 1.0),
    CallClass("book", "keyed", 0.25, 2.0, 4.0, 500.0, 1500.0, 3.0),
    CallClass("pay", "unsafe", 0.15, 2.0, 4.0, 500.0, 1500.0, 5.0),
)
KEY_WINDOW_MS = 1200.0
DRAIN_GRACE_MS = 500.0
IDLE_CLOSE_MS = 5000.0
MEMORY_MB = 96
DESCRIPTORS = 256
EVENTS_MB = 64
PEERS_ALL = 20  # up to so many nodes, all exchange messages with one another;
PEERS_NEAR = 4  # beyond that, each with so many on either side on a ring


@dataclass(frozen=True, slots=True)
class Peers:
    """Where a node receives from other nodes, and where it reaches each of them.

    Attributes:
        listen: Its own address.
        me: Its own index in `at`.
        at: The addresses at which it reaches the nodes, by index.
    """

    listen: Address
    me: int
    at: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class StartOptions:
    """Options of one start of a node."""

    name: str
    number: int
    seed: int
    listen: Address
    settings: int
    registry: Address | None  # None: the file lists the servers
    servers: Sequence[Entry]
    state: str
    events: str
    peers: Peers | None


def neighbours(number: int, count: int) -> list[int]:
    """Return the nodes that a node exchanges messages with, itself included, sorted."""
    if count <= PEERS_ALL:
        return list(range(count))
    return sorted({(number + step) % count for step in range(-PEERS_NEAR, PEERS_NEAR + 1)})


def pairs(count: int) -> list[tuple[int, int]]:
    """Return the pairs of nodes that exchange messages, the lower number first."""
    return [(one, other) for one in range(count) for other in neighbours(one, count) if one < other]


def server_model() -> Make:
    """Return the model of each server: fast and with spare capacity, so that nodes cause what goes wrong."""
    return Make(slots=64, handshake_ms=0.2, probe_ms=0.2)


def zone(number: int) -> str:
    """Return the data centre of the n-th server or node."""
    return ZONES[number % len(ZONES)]


def rows(addresses: Mapping[str, str]) -> list[Entry]:
    """Return the registry's entries of servers at these addresses, by name."""
    return [
        entry(name, address, zone=zone(number), group=number % len(ZONES))
        for number, (name, address) in enumerate(addresses.items())
    ]


def demand(seed: int, nodes: int, rate_a_node: float, length_s: float) -> Demand:
    """Return the load of all callers."""
    return Demand(
        rate_per_s=rate_a_node * nodes,
        duration_s=length_s,
        classes=CLASSES,
        tenants={TENANT: 1.0},
        weights=(1.0,),
        seed=seed,
        keys=200,
        swing=0.0,
    )


def listed_servers(servers: Sequence[Entry], settings: int) -> list[Entry]:
    """Return the servers that a static file lists.

    Each settings number above 1 leaves out one more of the first ones.
    """
    return list(servers[min(settings - 1, len(servers) - 1) :])


def operator_file(start: StartOptions) -> str:
    """Return the operator file, as TOML.

    Settings change the priority weight (`worth`) of the classes, which only a restart applies.
    """
    parts = [
        f'[process]\nname = "{start.name}"\nseed = {start.seed}',
        f"[limits]\ndescriptors = {DESCRIPTORS}\nmemory_mb = {MEMORY_MB}",
        f'[front.web]\nprotocol = "http"\nlisten = "{_address(start.listen)}"\nservice = "{SERVICE}"',
        _service(start),
        *(_class(kind, start) for kind in CLASSES),
        *_source(start),
        f'[state]\nfolder = "{start.state}"',
        f'[events]\nfile = "{start.events}"\nmb_most = {EVENTS_MB}',
    ]
    if start.peers is not None:
        at = ", ".join(f'"{_address(address)}"' for address in start.peers.at)
        parts.append(
            f'[peers]\nlisten = "{_address(start.peers.listen)}"\nme = {start.peers.me}\nat = [{at}]'
        )
    return "\n\n".join(parts) + "\n"


def _service(start: StartOptions) -> str:
    return f"""[service.{SERVICE}]
source = "fleet"
attempts_most = 3
connect_timeout_ms = 250
idle_close_ms = {IDLE_CLOSE_MS:g}
retry_after_most_ms = 500
drain_grace_ms = {DRAIN_GRACE_MS:g}
zones = [{", ".join(f'"{name}"' for name in ZONES)}]
zone = "{zone(start.number)}"
kinds = ["small"]
tenants = [{{ name = "{TENANT}", share = 1.0 }}]"""


def _class(kind: CallClass, start: StartOptions) -> str:
    # If the file lists the servers, the settings change that list, which SIGHUP applies.
    priority_weight = kind.worth * (start.settings if start.registry is not None else 1)
    keyed = f'\ngroup = "zone"\nkey_window_ms = {KEY_WINDOW_MS:g}' if kind.semantics == "keyed" else ""
    return (
        f'[service.{SERVICE}.class.{kind.name}]\nsemantics = "{kind.semantics}"\naim_ms = {kind.aim_ms:g}\n'
        f"deadline_ms = {kind.deadline_ms:g}\nworth = {priority_weight:g}{keyed}"
    )


def _source(start: StartOptions) -> list[str]:
    if start.registry is not None:
        return [f'[source.fleet]\nkind = "registry"\naddress = "{_address(start.registry)}"']
    return [
        '[source.fleet]\nkind = "static"',
        *(
            f'[[source.fleet.server]]\nname = "{row["name"]}"\naddress = "{row["address"]}"\n'
            f'zone = "{row["zone"]}"\nkind = "small"\ncell = {row["group"]}'
            for row in listed_servers(start.servers, start.settings)
        ),
    ]


def _address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
