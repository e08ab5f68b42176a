"""What rulebooks say: typed and bounded values, their digests, and all that can be wrong with one. Pure."""

from __future__ import annotations

import contextlib
import ipaddress
import re
from collections.abc import Iterable, Iterator
from functools import cache, cached_property
from hashlib import blake2b
from typing import Annotated, Any, Literal, get_type_hints

import msgspec
from msgspec import Meta, Struct

SERVICES_MOST = 16
SERVERS_MOST = 10_000  # over all lists
BYTES_MOST = 2**20  # of one book, encoded
CLASSES_MOST = 256  # of one service
TENANTS_MOST = 4096
PLACES_MOST = 1024  # zones, and kinds
REPORTS_MOST = 64
DAY_MS = 86_400_000.0
COUNT_MOST = 2**40
HOST = re.compile(r"[A-Za-z0-9._-]{1,253}")
WHOLE = 1.0 + 1e-9  # shares that make one, less what sums of them lose

Word = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{1,64}\Z")]
WordOrNone = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{0,64}\Z")]
ServerName = Annotated[str, Meta(pattern=r"^[!-~]{1,128}\Z")]  # as a registry has it
Digest = Annotated[str, Meta(pattern=r"^([0-9a-f]{16})?\Z")]
Span = Annotated[float, Meta(ge=0.0, le=DAY_MS)]  # ms
SpanSome = Annotated[float, Meta(ge=1.0, le=DAY_MS)]  # ms
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=0, le=COUNT_MOST)]
Places = Annotated[tuple[Word, ...], Meta(max_length=PLACES_MOST)]

Status = Literal["active", "leaving"]
Semantics = Literal["safe", "keyed", "unsafe"]
Group = Literal["all", "zone", "cell"]


class ServerRules(Struct, frozen=True, array_like=True):
    """One server of a list. `incarnation`: when it started, in whole ms of Unix time, which only tells lives
    apart; `group`: its cell; `weight`: its size against the others'."""

    name: ServerName
    address: Annotated[str, Meta(pattern=r"^[!-~]{3,262}\Z")]
    status: Status = "active"
    incarnation: Annotated[int, Meta(ge=0, le=2**53)] = 0
    zone: WordOrNone = ""
    kind: WordOrNone = ""
    group: Annotated[int, Meta(ge=-(2**53), le=2**53)] = 0
    weight: Annotated[float, Meta(ge=1e-9, le=1e9)] = 1.0


class ClassRules(Struct, frozen=True):
    """One kind of call, as `ClassSpec` of `config/services.py` says it; times in ms."""

    name: Word
    semantics: Semantics
    aim_ms: SpanSome
    deadline_ms: SpanSome
    group: Group = "cell"
    key_window_ms: Span = 0.0
    worth: Annotated[float, Meta(ge=0.0, le=1e6)] = 1.0
    late_worth: Share = 0.0
    in_turn: bool = False


class TenantRules(Struct, frozen=True):
    """A caller's `share` of the service or `allowance_per_s` (calls a second); the other is None."""

    name: Word
    share: Annotated[float, Meta(ge=1e-6, le=1.0)] | None = None
    allowance_per_s: Annotated[float, Meta(ge=1e-3, le=float(COUNT_MOST))] | None = None


class ServiceRules(Struct, frozen=True):
    """One service, as `ServiceSpec` of `config/services.py` says it; times in ms.

    Source and zone are not in it: they are each process's own."""

    classes: Annotated[tuple[ClassRules, ...], Meta(max_length=CLASSES_MOST)]
    tenants: Annotated[tuple[TenantRules, ...], Meta(max_length=TENANTS_MOST)] = ()
    attempts_most: Annotated[int, Meta(ge=1, le=100)] = 2
    open_most: Annotated[int, Meta(ge=1, le=COUNT_MOST)] = 4096
    connect_timeout_ms: SpanSome = 250.0
    idle_close_ms: SpanSome = 15_000.0
    retry_after_most_ms: Span = 0.0
    zones: Places = ()
    kinds: Places = ()
    drain_grace_ms: Span = 500.0
    cold_from_share: Share = 1.0
    warm_up_ms: Span = 0.0
    fall_multiple: Annotated[float, Meta(ge=0.0, le=1000.0)] = 1.0
    overload_ms: Span = 0.0
    release_ms: Span = 0.0
    settle_ms: Span = 0.0
    probes: bool = False
    cancel: bool = True
    parallel_tries: bool = False
    warm_keys: bool = False
    worth_by: Literal["request", "work"] = "request"
    over_share_worth: Share = 1.0
    load_reports: Annotated[tuple[Word, ...], Meta(max_length=REPORTS_MOST)] = ()


Services = Annotated[dict[Word, ServiceRules], Meta(max_length=SERVICES_MOST)]
Listed = Annotated[tuple[ServerRules, ...], Meta(max_length=SERVERS_MOST)]
Lists = Annotated[dict[Word, Listed], Meta(max_length=SERVICES_MOST)]


class Rulebook(Struct, frozen=True, dict=True):
    """An immutable document; its number is one more than that before, whose digest is `parent`.

    `services` and `lists` go by the service's name; a list is sorted by its servers' names."""

    number: Count
    parent: Digest
    services: Services
    lists: Lists

    @cached_property
    def digest(self) -> str:
        """16 hex digits of number, parent and content."""
        return _digest(self, Rulebook)

    @cached_property
    def content(self) -> str:
        """16 hex digits of the content alone."""
        return _digest((self.services, self.lists), tuple[Services, Lists])


EMPTY = Rulebook(0, "", {}, {})  # what stands before the first


class Change(Struct, frozen=True):
    """What a proposal replaces, by the service's name; `removed` services go with their lists."""

    services: Services | None = None
    lists: Lists | None = None
    removed: Annotated[tuple[Word, ...], Meta(max_length=SERVICES_MOST)] = ()


_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_DECODER = msgspec.msgpack.Decoder(Rulebook)


def encode(book: Rulebook) -> bytes:
    """A book as bytes, the same in every process."""
    return _ENCODER.encode(book)


def decode(data: bytes) -> Rulebook:
    """A book from its bytes; `msgspec.ValidationError`, `msgspec.DecodeError` if it is none."""
    if len(data) > BYTES_MOST:
        raise msgspec.ValidationError(f"{len(data)} bytes, and a rulebook has {BYTES_MOST} at the most")
    return _DECODER.decode(data)


def digest_of(book: Rulebook) -> str:
    """16 hex digits of number, parent and content, the same in every process."""
    return book.digest


def content_digest(book: Rulebook) -> str:
    """16 hex digits of the content alone, likewise."""
    return book.content


def _digest(value: Any, kind: Any) -> str:
    """Guards against a 1 that stands for 1.0, which a reader on the other side would make of it."""
    data = _ENCODER.encode(value)
    with contextlib.suppress(msgspec.ValidationError):  # of which `check` tells
        data = _ENCODER.encode(msgspec.msgpack.decode(data, type=kind))
    return blake2b(data, digest_size=8).hexdigest()


def apply(book: Rulebook, change: Change, number: int) -> Rulebook:
    """The book that comes of a change, under its number; `check` tells whether it is a good one."""
    services = {**book.services, **(change.services or {})}
    lists = {**book.lists, **(change.lists or {})}
    for name in change.removed:
        services.pop(name, None)
        lists.pop(name, None)
    return Rulebook(
        number,
        digest_of(book) if book.number else "",
        services,
        {name: tuple(sorted(rows, key=_name)) for name, rows in lists.items()},
    )


def _name(row: Any) -> str:
    return str(row.name)


# --- checks -----------------------------------------------------------------------------------


def check(book: Rulebook, before: Rulebook | None = None) -> list[str]:
    """All that is wrong with a book, one line each; where `before` is given, also whether it follows that.

    A bad one never gets a number."""
    faults = [*_order(book, before), *_sizes(book)]
    for name, service in book.services.items():
        faults += _values(name, Word, "service")
        faults += _service(f"service.{name}", service)
    for name, rows in book.lists.items():
        if name not in book.services:
            faults.append(f"list.{name}: there is no service {name}")
        else:
            faults += _list(f"list.{name}", rows, book.services[name])
    if not faults and (size := len(encode(book))) > BYTES_MOST:
        faults.append(f"{size} bytes, and a rulebook has {BYTES_MOST} at the most")
    return faults


def _order(book: Rulebook, before: Rulebook | None) -> Iterator[str]:
    if before is None:
        if book.number < 1:
            yield f"number: {book.number}, and the first is 1"
        return
    if book.number != before.number + 1:
        yield f"number: {book.number} does not follow {before.number}"
    if book.parent != (digest_of(before) if before.number else ""):
        yield f"parent: {book.parent} is not the digest of number {before.number}"


def _sizes(book: Rulebook) -> Iterator[str]:
    if len(book.services) > SERVICES_MOST:
        yield f"service: {len(book.services)}, and there may be {SERVICES_MOST}"
    servers = sum(map(len, book.lists.values()))
    if servers > SERVERS_MOST:
        yield f"list: {servers} servers, and there may be {SERVERS_MOST}"


def _service(at: str, service: ServiceRules) -> Iterator[str]:
    yield from _fields(at, service)
    if not service.classes:
        yield f"{at}.class: at least one is needed"
    yield from _twice(f"{at}.class", service.classes)
    for row in service.classes:
        yield from _class(f"{at}.class.{row.name}", row)
    yield from _twice(f"{at}.tenants", service.tenants)
    for tenant in service.tenants:
        yield from _fields(f"{at}.tenants.{tenant.name}", tenant)
        if (tenant.share is None) == (tenant.allowance_per_s is None):
            yield f"{at}.tenants.{tenant.name}: one of share and allowance_per_s is needed, and no more"
    shares = [tenant.share for tenant in service.tenants if tenant.share is not None]
    if 0 < len(shares) < len(service.tenants):
        yield f"{at}.tenants: all with share or all with allowance_per_s"
    if sum(shares) > WHOLE:
        yield f"{at}.tenants: their shares make {sum(shares):g}, which is more than 1"


def _class(at: str, row: ClassRules) -> Iterator[str]:
    yield from _fields(at, row)
    if row.deadline_ms < row.aim_ms:
        yield f"{at}.deadline_ms: {row.deadline_ms:g} is less than aim_ms, {row.aim_ms:g}"
    if row.semantics == "keyed" and row.key_window_ms < 1.0:
        yield f"{at}.key_window_ms: a keyed class needs one of 1 at the least"


def _list(at: str, rows: tuple[ServerRules, ...], service: ServiceRules) -> Iterator[str]:
    names = [row.name for row in rows]
    if names != sorted(names):
        yield f"{at}: not sorted by name"
    yield from _twice(at, rows)
    taken: dict[str, str] = {}
    zones, kinds = {"", *service.zones}, {"", *service.kinds}
    sound = not list(_values(msgspec.to_builtins(rows), Listed, at))
    for row in rows:
        here = f"{at}.{row.name}"
        if not sound:
            yield from _fields(here, row)
        if not _is_address(row.address):
            yield f"{here}.address: {row.address!r} is not an address (host:port)"
        elif row.status == "active" and taken.setdefault(row.address, row.name) != row.name:
            yield f"{here}.address: taken by {taken[row.address]}"
        if row.zone not in zones:
            yield f"{here}.zone: {row.zone} is not among the zones of its service"
        if row.kind not in kinds:
            yield f"{here}.kind: {row.kind} is not among the kinds of its service"


def _twice(at: str, rows: Iterable[Any]) -> Iterator[str]:
    """Guards against two of one name, of which one would be forgotten."""
    seen: set[str] = set()
    for row in rows:
        if row.name in seen:
            yield f"{at}.{row.name}: there more than once"
        seen.add(row.name)


def _fields(at: str, value: Struct) -> Iterator[str]:
    for key, kind in _kinds(type(value)).items():
        yield from _values(getattr(value, key), kind, f"{at}.{key}")


def _values(value: Any, kind: Any, at: str) -> Iterator[str]:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        reason = str(error).replace("`", "").partition(" - at ")[0]
        yield f"{at}: {reason[:1].lower()}{reason[1:]}"


@cache
def _kinds(kind: type[Struct]) -> dict[str, Any]:
    return get_type_hints(kind, include_extras=True)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if re.fullmatch(r"[0-9]{1,5}", port) is None or not 0 < int(port) < 65536:
        return False
    if not host.startswith("["):
        return HOST.fullmatch(host) is not None
    try:
        ipaddress.IPv6Address(host[1:-1])
    except ValueError:
        return False
    return host.endswith("]")
