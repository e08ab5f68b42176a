"""Reads the operator file, strictly typed TOML, into a tree of immutable values.

Each table has its own module, which reads and checks it; consistency between tables is checked here. All
faults of a file are reported at once, with one line each.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from fordtrestle.proxy.config.errors import OperatorFileError
from fordtrestle.proxy.config.events import EventsSpec, read_events
from fordtrestle.proxy.config.fronts import FrontSpec, read_fronts
from fordtrestle.proxy.config.limits import LimitsSpec
from fordtrestle.proxy.config.limits_table import read_limits_table
from fordtrestle.proxy.config.peers import PeersSpec, read_peers
from fordtrestle.proxy.config.services import SHARE_TOLERANCE, ServiceSpec, read_services
from fordtrestle.proxy.config.sources import SourceSpec, StaticSpec, read_sources
from fordtrestle.proxy.config.state import StateSpec, read_state
from fordtrestle.proxy.engine.schema import SchemaError, SchemaErrors, TomlTable

MAX_FILE_BYTES = 16 * 1024 * 1024  # a path may lead to an endless file, such as a device
MAX_SEED = 2**53
# A message of the TOML parser, which ends with the position of the fault.
ERROR_POSITION = re.compile(r"(.*?) \(at (?:line (\d+), column \d+|end of document)\)", re.DOTALL)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ProcessSpec:
    """`[process]`.

    Attributes:
        name: The name of this process in its fleet; empty for the host's name.
        seed: The seed of all random numbers; None for a new one at each start.
    """

    name: str = ""
    seed: int | None = None


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The content of an operator file; `state`, `events` and `peers` are None if the file lacks the table."""

    services: Mapping[str, ServiceSpec]
    fronts: Mapping[str, FrontSpec]
    sources: Mapping[str, SourceSpec]
    limits: LimitsSpec
    process: ProcessSpec
    state: StateSpec | None = None
    events: EventsSpec | None = None
    peers: PeersSpec | None = None


def read(file: str) -> OperatorConfig:
    """Read an operator file for `serve`.

    Raises:
        OperatorFileError: With all that is wrong with the file.
    """
    faults = SchemaErrors()
    root = TomlTable(_load(file), "", faults)
    config = OperatorConfig(
        services=read_services(root),
        fronts=read_fronts(root),
        sources=read_sources(root),
        limits=read_limits_table(root.table("limits")),
        process=_read_process(root.table("process")),
        state=_read_optional(root, "state", read_state),
        events=_read_optional(root, "events", read_events),
        peers=_read_optional(root, "peers", read_peers),
    )
    root.reject_unknown_keys()
    _check(config, faults)
    if faults.found:
        raise OperatorFileError(file, faults.found)
    return config


def read_limits(file: str) -> LimitsSpec:
    """Read the limits of an operator file for the platform, which configures everything else itself.

    Raises:
        OperatorFileError: With all that is wrong with the file.
    """
    faults = SchemaErrors()
    raw = _load(file)
    root = TomlTable(raw, "", faults)
    limits = read_limits_table(root.table("limits"))
    for key in raw:
        if key != "limits":
            root.add_error(key, "only [limits] is read on the platform, which configures the rest")
    if faults.found:
        raise OperatorFileError(file, faults.found)
    return limits


def _load(file: str) -> dict[str, Any]:
    """Return the parsed TOML of the file.

    Raises:
        OperatorFileError: The file can't be read, or is not TOML.
    """
    try:
        with open(file, "rb") as opened:
            data = opened.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
        text = data.decode()
        return tomllib.loads(text)
    except OSError as error:
        fault = SchemaError("", error.strerror or str(error))
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        fault = SchemaError(f"line {line}", "not UTF-8")
    except tomllib.TOMLDecodeError as error:
        fault = _syntax_fault(str(error), text)
    except RecursionError:
        fault = SchemaError("", "too deeply nested")
    except ValueError as error:  # numbers with too many digits
        fault = SchemaError("", " ".join(str(error).split()))
    raise OperatorFileError(file, [fault])


def _syntax_fault(message: str, text: str) -> SchemaError:
    """Return a message of the parser as a fault, whose position is the line."""
    match = ERROR_POSITION.fullmatch(message)
    reason = " ".join((match[1] if match else message).split())
    line = (match and match[2]) or text.rstrip().count("\n") + 1
    return SchemaError(f"line {line}", reason)


def _read_process(table: TomlTable) -> ProcessSpec:
    spec = ProcessSpec(name=table.identifier("name", ""), seed=table.integer("seed", None, 0, MAX_SEED))
    table.reject_unknown_keys()
    return spec


def _read_optional(root: TomlTable, key: str, read_table: Callable[[TomlTable], T]) -> T | None:
    """Read an optional table; return None if it is missing or not a table."""
    faults_before = len(root.errors.found)
    table = root.table(key)
    is_table = root.has(key) and len(root.errors.found) == faults_before
    return read_table(table) if is_table else None


# --- consistency between tables -------------------------------------------------


def _check(config: OperatorConfig, faults: SchemaErrors) -> None:
    for name, front in config.fronts.items():
        if front.service and front.service not in config.services:
            faults.add(f"front.{name}.service", f"there is no service {front.service}")
    for name, service in config.services.items():
        source = config.sources.get(service.source)
        if isinstance(source, StaticSpec):
            _check_localities(name, service, source, faults)
        elif service.source and source is None:
            faults.add(f"service.{name}.source", f"there is no source {service.source}")
    if config.peers is not None and len(config.services) > 1:
        faults.add("peers", f"only one service may have peers, and there are {len(config.services)} services")
    _check_shares(config, faults)


def _check_shares(config: OperatorConfig, faults: SchemaErrors) -> None:
    """Record faults for guarantees that exceed the limit, and for fronts without any share left."""
    available = config.limits.fronts_guaranteed_share
    shares = [front.guaranteed_share for front in config.fronts.values()]
    total = sum(share or 0.0 for share in shares)
    if total > available + SHARE_TOLERANCE:
        reason = (
            f"guaranteed_share sums to {total:g}, more than limits.fronts_guaranteed_share, {available:g}"
        )
        faults.add("front", reason)
    elif total > available - SHARE_TOLERANCE and None in shares:
        faults.add("front", "guaranteed_share leaves nothing for the fronts without guaranteed_share")


def _check_localities(name: str, service: ServiceSpec, source: StaticSpec, faults: SchemaErrors) -> None:
    """Record faults for unknown zones and kinds of servers, which would silently get index 0."""
    for i, server in enumerate(source.servers):
        path = f"source.{service.source}.server[{i}]"
        if server.zone and server.zone not in service.zones:
            faults.add(f"{path}.zone", f"{server.zone} is not among service.{name}.zones")
        if server.kind and server.kind not in service.kinds:
            faults.add(f"{path}.kind", f"{server.kind} is not among service.{name}.kinds")
