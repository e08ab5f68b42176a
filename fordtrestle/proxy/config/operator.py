"""The operator file: TOML, typed and strict, read to a tree of frozen values.

Each table has its own module, which reads it and checks it by itself; what holds between tables is
checked here. All that is wrong with a file is told at once, one line each.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from fordtrestle.proxy.config.events import EventsSpec, read_events
from fordtrestle.proxy.config.fronts import FrontSpec, read_fronts
from fordtrestle.proxy.config.limits import LimitsOptions
from fordtrestle.proxy.config.peers import PeersSpec, read_peers
from fordtrestle.proxy.config.services import ServiceSpec, read_services
from fordtrestle.proxy.config.sources import SourceSpec, StaticSpec, read_sources
from fordtrestle.proxy.config.state import StateSpec, read_state
from fordtrestle.proxy.engine.schema import Fault, Faults, Table, good

__all__ = ["LimitsOptions", "Operator", "OperatorError", "ProcessSpec", "read", "read_limits"]

FILE_MOST = 16 * 1024 * 1024  # guards against a path that never ends, such as a device
T = TypeVar("T")
PLACE = re.compile(r"(.*?) \(at (?:line (\d+), column \d+|end of document)\)", re.DOTALL)


class OperatorError(Exception):
    """An operator file that can't be used; `faults` holds all that is wrong with it."""

    def __init__(self, file: str, faults: Iterable[Fault]) -> None:
        self.file = file
        self.faults = tuple(faults)
        super().__init__("\n".join(self.lines))

    @property
    def lines(self) -> list[str]:
        """One line for each fault, as `FILE: table.key: reason`."""
        return [": ".join(part for part in (self.file, *fault) if part) for fault in self.faults]


@dataclass(frozen=True, slots=True)
class ProcessSpec:
    """`[process]`: `name`, empty for the host's, tells processes of one fleet apart. `seed`: for
    random numbers; None: new with each start.
    """

    name: str = ""
    seed: int | None = None


@dataclass(frozen=True, slots=True)
class Operator:
    """All that an operator file says. `state`, `events` and `peers` are off where None."""

    services: Mapping[str, ServiceSpec]
    fronts: Mapping[str, FrontSpec]
    sources: Mapping[str, SourceSpec]
    limits: LimitsOptions
    process: ProcessSpec
    state: StateSpec | None = None
    events: EventsSpec | None = None
    peers: PeersSpec | None = None


def read(file: str) -> Operator:
    """An operator file for `serve`; `OperatorError` holds all that is wrong with it."""
    faults = Faults()
    root = Table(_raw(file), "", faults)
    config = Operator(
        services=read_services(root),
        fronts=read_fronts(root),
        sources=read_sources(root),
        limits=_limits(root.table("limits")),
        process=_process(root.table("process")),
        state=_optional(root, "state", read_state),
        events=_optional(root, "events", read_events),
        peers=_optional(root, "peers", read_peers),
    )
    root.end()
    _check(config, faults)
    if faults.found:
        raise OperatorError(file, faults.found)
    return config


def read_limits(file: str) -> LimitsOptions:
    """An operator file for the platform, which tells all but the limits itself; raises as `read`."""
    faults = Faults()
    raw = _raw(file)
    limits = _limits(Table(raw, "", faults).table("limits"))
    for key in raw:
        if key != "limits":
            Table(raw, "", faults).fault(key, "only [limits] is read on the platform, which tells the rest")
    if faults.found:
        raise OperatorError(file, faults.found)
    return limits


def _raw(file: str) -> dict[str, Any]:
    try:
        with open(file, "rb") as opened:
            data = opened.read(FILE_MOST + 1)
        if len(data) > FILE_MOST:
            raise ValueError(f"larger than {FILE_MOST} bytes")
        text = data.decode()
        return tomllib.loads(text)
    except OSError as error:
        fault = Fault("", error.strerror or str(error))
    except UnicodeDecodeError as error:
        fault = Fault(f"line {data[: error.start].count(10) + 1}", "not UTF-8")
    except tomllib.TOMLDecodeError as error:
        fault = _syntax(str(error), text)
    except RecursionError:
        fault = Fault("", "too deeply nested")
    except ValueError as error:  # figures of too many digits
        fault = Fault("", " ".join(str(error).split()))
    raise OperatorError(file, [fault])


def _syntax(message: str, text: str) -> Fault:
    """The parser's message with its line to the front, as with any other fault."""
    match = PLACE.fullmatch(message)
    reason = " ".join((match[1] if match else message).split())
    return Fault(f"line {(match and match[2]) or text.rstrip().count(chr(10)) + 1}", reason)


def _limits(table: Table) -> LimitsOptions:
    usual = LimitsOptions()
    fronts = table.share("fronts_guaranteed_share", usual.fronts_guaranteed_share)
    upstreams = table.share("upstreams_guaranteed_share", usual.upstreams_guaranteed_share)
    reserved = table.count("reserved_descriptors", usual.reserved_descriptors)
    read = LimitsOptions(
        descriptors=table.count("descriptors", None, 32, 2**30),
        reserved_descriptors=reserved or 0,
        memory_mb=table.count("memory_mb", None, 16),
        buffered_bytes_most=table.count("buffered_bytes_most", None, 2**17),
        open_calls_most=table.count("open_calls_most", None, 1),
        fronts_guaranteed_share=good(fronts),
        upstreams_guaranteed_share=good(upstreams),
    )
    if read.descriptors is not None and read.reserved_descriptors > read.descriptors - 4:
        table.fault("reserved_descriptors", f"leaves fewer than 4 of {read.descriptors} descriptors")
    whole = read.fronts_guaranteed_share + read.upstreams_guaranteed_share
    if whole > 1.0 + 1e-9:
        table.fault(
            "upstreams_guaranteed_share", f"with fronts_guaranteed_share it makes {whole:g}, more than 1"
        )
    table.end()
    return read


def _process(table: Table) -> ProcessSpec:
    read = ProcessSpec(name=table.word("name", ""), seed=table.count("seed", None, 0, 2**53))
    table.end()
    return read


def _optional(root: Table, key: str, read: Callable[[Table], T]) -> T | None:
    """What a table says that may be missing; None where it is, or is no table."""
    before = len(root.faults.found)
    table = root.table(key)
    return read(table) if root.has(key) and len(root.faults.found) == before else None


# --- what holds between tables ------------------------------------------------


def _check(config: Operator, faults: Faults) -> None:
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
        faults.add("peers", f"one service may speak to its peers, and there are {len(config.services)}")
    _check_shares(config, faults)


def _check_shares(config: Operator, faults: Faults) -> None:
    """Guards against guarantees that can't all be kept, and fronts that would get nothing."""
    most = config.limits.fronts_guaranteed_share
    shares = [front.guaranteed_share for front in config.fronts.values()]
    whole = sum(share or 0.0 for share in shares)
    if whole > most + 1e-9:
        reason = f"guaranteed_share makes {whole:g} in all, limits.fronts_guaranteed_share is {most:g}"
        faults.add("front", reason)
    elif whole > most - 1e-9 and None in shares:
        faults.add("front", "guaranteed_share leaves nothing for the fronts that have none")


def _check_localities(name: str, service: ServiceSpec, source: StaticSpec, faults: Faults) -> None:
    """Guards against a server that would silently count as one of the first zone or kind."""
    for i, server in enumerate(source.servers):
        at = f"source.{service.source}.server[{i}]"
        if server.zone and server.zone not in service.zones:
            faults.add(f"{at}.zone", f"{server.zone} is not among service.{name}.zones")
        if server.kind and server.kind not in service.kinds:
            faults.add(f"{at}.kind", f"{server.kind} is not among service.{name}.kinds")
