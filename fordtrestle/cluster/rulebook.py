"""Where rulebooks contradict, what several allow in common, and what a sidecar may do by them. Pure.

`contradicts`, `meet` and `allows` are this table (`docs/design/agreement.md`):

| rule | contradicts where | meet |
| --- | --- | --- |
| service or class missing in one | any act of it | refused |
| server's status | active in one, leaving or absent in the other | active only where active in both |
| server's incarnation, address | differ | not sent to |
| server's zone, group | split servers otherwise, and keyed repeats go by it | repeats where one in both |
| semantics | differ | the stricter: unsafe, then keyed, then safe |
| key's group | differ | `zone` or `cell` under `all`; of `zone` and `cell` none: no repeat |
| key window, attempts, calls open, drain grace, retry-after | differ | the smaller |
| time-out of connecting, idle close, release | differ | the smaller |
| rest of a key | differs | the longer |
| probes, cancelling, parallel tries; calls of a key at once | differ | only where both allow it |
| aims, deadlines, worths, tenants and their shares | differ (order) | effective |
| figures of servers, warm keys, reports | differ (order) | effective |
| server's zone, kind, weight, for placement | differ (order) | newest |

An act is what `Act` says. Books contradict in it where one allows it and another does not: kind "permission".
What only orders acts has no least: kind "order".
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Hashable, Iterable, Iterator, Mapping, Sequence
from functools import cached_property, reduce
from typing import Any, Literal

from msgspec import Struct
from msgspec.structs import replace

from fordtrestle.cluster.content import (
    BYTES_MOST,
    EMPTY,
    SERVERS_MOST,
    SERVICES_MOST,
    Change,
    ClassRules,
    Rulebook,
    ServerRules,
    ServiceRules,
    TenantRules,
    apply,
    check,
    content_digest,
    decode,
    digest_of,
    encode,
)
from fordtrestle.cluster.difference import Delta, Difference, delta, difference, patch

__all__ = [
    "BYTES_MOST",
    "EMPTY",
    "SERVERS_MOST",
    "SERVICES_MOST",
    "Act",
    "Acting",
    "ActingServer",
    "ActingService",
    "Change",
    "ClassRules",
    "Contradiction",
    "Delta",
    "Difference",
    "Rulebook",
    "ServerRules",
    "ServiceRules",
    "TenantRules",
    "View",
    "allows",
    "apply",
    "check",
    "content_digest",
    "contradicts",
    "decode",
    "delta",
    "difference",
    "digest_of",
    "encode",
    "floor",
    "meet",
    "patch",
    "permissions",
]

STRICTNESS = ("safe", "keyed", "unsafe")
SENDS = ("first", "retry", "repeat")
# Of a service: bounds of which the smaller is the stricter, and what may be done or may not.
SMALLER = (
    *("attempts_most", "open_most", "drain_grace_ms", "retry_after_most_ms"),
    *("connect_timeout_ms", "idle_close_ms"),
)
FLAGS = ("probes", "cancel", "parallel_tries")
# What only orders acts, of a service and of a class.
ORDER = (
    *("tenants", "over_share_worth", "worth_by", "cold_from_share", "warm_up_ms", "fall_multiple"),
    *("overload_ms", "warm_keys", "load_reports"),
)
CLASS_ORDER = ("aim_ms", "deadline_ms", "worth", "late_worth")


class Act(Struct, frozen=True):
    """Something that a sidecar does for a service.

    `what`: a send (first, retry or repeat), one of `FLAGS`, or the name of a bound in ms or calls, with the
    `amount` that is made of it (of `drain_grace_ms`: from the news that its server leaves to a send's start).

    Of a send: the class of its call, the server with the incarnation and address at which it is sent to, and
    `hop`, the attempts of the call before it. A retry follows attempts none of which can have run. A repeat
    follows one that may have, on the server `ran_at`, `amount` ms before it; `keyed`: the call has a key.
    `parallel`: another attempt is out. `beside`: a call with the same key is running."""

    service: str
    what: str
    name: str = ""  # of the class
    server: str = ""
    incarnation: int = 0
    address: str = ""
    hop: int = 0
    amount: float = 0.0
    ran_at: str = ""
    keyed: bool = False
    parallel: bool = False
    beside: bool = False


class Contradiction(Struct, frozen=True, order=True):
    """Where two books contradict. `rule`: settings:SERVICE or list:SERVICE/SERVER."""

    rule: str
    kind: Literal["permission", "order"]
    why: str


class ActingServer(Struct, frozen=True):
    """A server that all books list: active where it may be sent to. Its placement is the newest book's.

    Servers of one `zone_part` are in one zone by every book; `group_part` likewise of cells."""

    rules: ServerRules
    zone_part: int
    group_part: int


class ActingService(Struct, frozen=True, dict=True):
    """What may be done for a service, and by which figures.

    `rules`: bounds and classes as all books allow them, the zones and kinds of the newest, all else of the
    effective one. `forms`: by class, the semantics by which requests are written: the effective ones.
    `servers` by name, in order."""

    rules: ServiceRules
    forms: dict[str, str]
    servers: dict[str, ActingServer]

    @cached_property
    def classes(self) -> dict[str, ClassRules]:
        """The classes by name."""
        return {row.name: row for row in self.rules.classes}


class Acting(Struct, frozen=True):
    """What several books allow in common. `first` and `last`: the numbers of the effective and newest one.

    `bare`: what is left with the lease run out; see `floor`."""

    services: dict[str, ActingService]
    first: int
    last: int
    bare: bool = False


class View(Struct, frozen=True, dict=True):
    """What a sidecar acts on: the effective book, the pending one (or the same again), and all `between`."""

    effective: Rulebook
    pending: Rulebook
    between: tuple[Rulebook, ...] = ()

    @property
    def books(self) -> tuple[Rulebook, ...]:
        """All of them, the oldest first."""
        last = () if self.pending.number == self.effective.number else (self.pending,)
        return (self.effective, *self.between, *last)

    @cached_property
    def acting(self) -> Acting:
        """Their meet."""
        return meet(self.books)


# --- meet -------------------------------------------------------------------------------------


def meet(books: Sequence[Rulebook]) -> Acting:
    """What all books allow, the effective one first, the newest last; `ValueError` where there is none.

    What it allows, each of them allows. What all of them allow, it allows but for repeats: none where a class
    goes by zones in one book and by cells in another, or goes by another group, or is safe, in a book that
    tells of other zones or cells."""
    if not books:
        raise ValueError("no rulebook")
    return reduce(_both, map(_alone, books))


def _alone(book: Rulebook) -> Acting:
    services = {
        name: ActingService(
            replace(rules, classes=tuple(map(_plain, rules.classes))),
            {row.name: row.semantics for row in rules.classes},
            _servers(book.lists.get(name, ()), rules),
        )
        for name, rules in sorted(book.services.items())
    }
    return Acting(services, book.number, book.number)


def _plain(row: ClassRules) -> ClassRules:
    """Guards against a group or window of a class that has none."""
    return row if row.semantics == "keyed" else replace(row, group="cell", key_window_ms=0.0)


def _servers(rows: Iterable[ServerRules], rules: ServiceRules) -> dict[str, ActingServer]:
    """One that names no zone counts as of the first, as the decision module has it."""
    rows = sorted(rows, key=lambda row: row.name)
    places = {zone: place for place, zone in enumerate(rules.zones)}
    zones = _parts(places.get(row.zone, 0) for row in rows)
    groups = _parts(row.group for row in rows)
    return {row.name: ActingServer(row, *parts) for row, *parts in zip(rows, zones, groups, strict=True)}


def _parts(labels: Iterable[Hashable]) -> list[int]:
    """Labels numbered by their first places, so that what splits servers alike has like numbers."""
    seen: dict[Hashable, int] = {}
    return [seen.setdefault(label, len(seen)) for label in labels]


def _both(one: Acting, other: Acting) -> Acting:
    services = {
        name: _service(service, other.services[name])
        for name, service in one.services.items()
        if name in other.services
    }
    return Acting(services, one.first, other.last)


def _service(one: ActingService, other: ActingService) -> ActingService:
    classes = [
        _strictest(row, other.classes[row.name]) for row in one.rules.classes if row.name in other.classes
    ]
    least = {key: min(getattr(one.rules, key), getattr(other.rules, key)) for key in SMALLER}
    flags = {key: getattr(one.rules, key) and getattr(other.rules, key) for key in FLAGS}
    rules = replace(
        one.rules,
        classes=tuple(classes),
        settle_ms=max(one.rules.settle_ms, other.rules.settle_ms),
        release_ms=_released(min(map(_release, (one.rules, other.rules)))),
        zones=other.rules.zones,
        kinds=other.rules.kinds,
        **least,
        **flags,
    )
    forms = {row.name: one.forms[row.name] for row in classes}
    servers = one.servers if one.servers == other.servers else _common(one.servers, other.servers)
    return ActingService(rules, forms, servers)


def _strictest(one: ClassRules, other: ClassRules) -> ClassRules:
    in_turn = one.in_turn or other.in_turn
    if one.semantics != other.semantics:
        strict = max(one, other, key=lambda row: STRICTNESS.index(row.semantics))
        semantics, group, window_ms = strict.semantics, strict.group, strict.key_window_ms
    else:
        semantics, group = one.semantics, one.group
        window_ms = min(one.key_window_ms, other.key_window_ms)
        if "all" in (one.group, other.group):
            group = other.group if one.group == "all" else one.group
        elif one.group != other.group:  # neither holds the other
            semantics, group, window_ms = "unsafe", "cell", 0.0
    return replace(one, semantics=semantics, group=group, key_window_ms=window_ms, in_turn=in_turn)


def _common(one: Mapping[str, ActingServer], other: Mapping[str, ActingServer]) -> dict[str, ActingServer]:
    pairs = [(row, other[name]) for name, row in one.items() if name in other]
    zones = _parts((old.zone_part, new.zone_part) for old, new in pairs)
    groups = _parts((old.group_part, new.group_part) for old, new in pairs)
    return {
        new.rules.name: ActingServer(_sendable(old.rules, new.rules), *parts)
        for (old, new), *parts in zip(pairs, zones, groups, strict=True)
    }


def _sendable(old: ServerRules, new: ServerRules) -> ServerRules:
    same = (old.status, old.address, old.incarnation) == (new.status, new.address, new.incarnation)
    return new if same else replace(new, status="leaving")


def _release(rules: ServiceRules) -> float:
    """Its 0 is no bound."""
    return rules.release_ms or math.inf


def _released(bound_ms: float) -> float:
    return 0.0 if bound_ms == math.inf else bound_ms


def floor(acting: Acting) -> Acting:
    """What may be done with the lease run out where serving goes on: first attempts by the last list.

    No retry, repeat, probe or cancelling, nothing sent to who leaves, no word of when to come back; no aim,
    worth or share is enforced. Each send that it allows is allowed by all books that have its service and
    class, and in which its server is active as it was. Not so where a later book takes one of them away: for
    that there is the list's own news. Time-outs, calls open and figures of servers stay as they were."""
    services = {
        name: ActingService(_bare(service.rules), service.forms, service.servers)
        for name, service in acting.services.items()
    }
    return Acting(services, acting.first, acting.last, bare=True)


def _bare(rules: ServiceRules) -> ServiceRules:
    return replace(
        rules,
        classes=tuple(map(_bare_class, rules.classes)),
        attempts_most=1,
        drain_grace_ms=0.0,
        retry_after_most_ms=0.0,
        over_share_worth=1.0,
        worth_by="request",
        **dict.fromkeys(FLAGS, False),
    )


def _bare_class(row: ClassRules) -> ClassRules:
    return ClassRules(row.name, "unsafe", row.deadline_ms, row.deadline_ms, in_turn=row.in_turn)


def permissions(acting: Acting) -> Any:
    """All that bears on what is allowed, as a value to compare: what orders acts is not in it."""
    return {
        name: (
            sorted(
                (row.name, row.semantics, row.group, row.key_window_ms, row.in_turn) for row in rules.classes
            ),
            [getattr(rules, key) for key in (*SMALLER, *FLAGS, "settle_ms", "release_ms")],
            {at: _permitted(row) for at, row in service.servers.items()},
        )
        for name, service in acting.services.items()
        for rules in [service.rules]
    }


def _permitted(row: ActingServer) -> tuple[object, ...]:
    active = row.rules.status == "active"
    at = (row.rules.address, row.rules.incarnation) if active else None
    return at, row.zone_part, row.group_part


# --- acts -------------------------------------------------------------------------------------


def allows(acting: Acting, act: Act) -> bool:
    """Whether an act is allowed; what is no act is not."""
    service = acting.services.get(act.service)
    if service is None:
        return act.what == "retry_after_most_ms" and act.amount <= 0.0
    if act.what in SENDS:
        return _may_send(service, act)
    rules = service.rules
    if act.what in FLAGS:
        return bool(getattr(rules, act.what))
    if act.what == "settle_ms":
        return act.amount >= rules.settle_ms
    if act.what == "release_ms":
        return act.amount <= _release(rules)
    return act.what in SMALLER and act.amount <= getattr(rules, act.what)


def _may_send(service: ActingService, act: Act) -> bool:
    row, server = service.classes.get(act.name), service.servers.get(act.server)
    if row is None or server is None or server.rules.status != "active":
        return False
    if (act.address, act.incarnation) != (server.rules.address, server.rules.incarnation):
        return False
    if act.hop >= service.rules.attempts_most or (
        act.what != "repeat" and (act.hop > 0) == (act.what == "first")
    ):
        return False
    if (act.parallel and not service.rules.parallel_tries) or (act.beside and row.in_turn):
        return False
    return act.what != "repeat" or _may_repeat(service, row, server, act)


def _may_repeat(service: ActingService, row: ClassRules, server: ActingServer, act: Act) -> bool:
    if row.semantics != "keyed":
        return row.semantics == "safe"
    if not act.keyed or act.amount >= row.key_window_ms:
        return False
    ran = service.servers.get(act.ran_at)
    if row.group == "all" or ran is None:
        return row.group == "all"
    if row.group == "zone":
        return ran.zone_part == server.zone_part
    return ran.group_part == server.group_part


# --- contradictions ---------------------------------------------------------------------------


def contradicts(one: Rulebook, other: Rulebook) -> list[Contradiction]:
    """All in which two books contradict; the same whichever is named first.

    With no "permission" among them, no act is allowed by one and not by the other. Each of them stands for
    such an act, as long as the service has servers between which it could be done."""
    first, second = _alone(one).services, _alone(other).services
    found: list[Contradiction] = []
    for name in first.keys() | second.keys():
        if name not in first or name not in second:
            found.append(Contradiction(f"settings:{name}", "permission", "the service is in one only"))
        else:
            found += _settings(f"settings:{name}", first[name], second[name])
            found += _listed(f"list:{name}", first[name], second[name])
    return sorted(found)


def _settings(rule: str, one: ActingService, other: ActingService) -> Iterator[Contradiction]:
    yield from _unlike(
        rule, "permission", "", (*SMALLER, *FLAGS, "release_ms", "settle_ms"), one.rules, other.rules
    )
    yield from _unlike(rule, "order", "", ORDER, one.rules, other.rules)
    for name in one.classes.keys() | other.classes.keys():
        at = f"class {name}"
        if name not in one.classes or name not in other.classes:
            yield Contradiction(rule, "permission", f"{at}: in one only")
            continue
        first, second = one.classes[name], other.classes[name]
        keys: tuple[str, ...] = ("semantics", "in_turn")
        if first.semantics == second.semantics:
            keys += ("group", "key_window_ms")
        yield from _unlike(rule, "permission", f"{at}: ", keys, first, second)
        yield from _unlike(rule, "order", f"{at}: ", CLASS_ORDER, first, second)


def _unlike(
    rule: str,
    kind: Literal["permission", "order"],
    at: str,
    keys: Iterable[str],
    one: Struct,
    other: Struct,
) -> Iterator[Contradiction]:
    for key in keys:
        values = getattr(one, key), getattr(other, key)
        if key == "tenants":
            values = _by_name(values[0]), _by_name(values[1])
        if values[0] != values[1]:
            yield Contradiction(rule, kind, f"{at}{key}: {_shown(*values)}")


def _by_name(rows: Iterable[TenantRules]) -> dict[str, float | None]:
    return {row.name: row.allowance_per_s if row.share is None else row.share for row in rows}


def _shown(one: object, other: object) -> str:
    """Both, in an order that does not tell which is whose."""
    return " and ".join(
        sorted(f"{value:g}" if isinstance(value, float) else str(value) for value in (one, other))
    )


def _listed(rule: str, one: ActingService, other: ActingService) -> Iterator[Contradiction]:
    if one.servers == other.servers:
        return
    groups = _groups(one) & _groups(other)
    common = [name for name in one.servers if name in other.servers]
    zones = _split(common, *({n: s.servers[n].zone_part for n in common} for s in (one, other)))
    cells = _split(common, *({n: s.servers[n].group_part for n in common} for s in (one, other)))
    apart = (zones if "zone" in groups else set()) | (cells if "cell" in groups else set())
    grouped = "zone" in groups or "cell" in groups
    for name in one.servers.keys() | other.servers.keys():
        at = f"{rule}/{name}"
        first, second = one.servers.get(name), other.servers.get(name)
        if first is None or second is None:
            yield from _absent(at, first or second, grouped)
            continue
        yield from _statuses(at, first.rules, second.rules)
        yield from _unlike(at, "order", "", ("zone", "kind", "weight"), first.rules, second.rules)
        if name in apart:
            yield Contradiction(at, "permission", "its zone or group holds other servers")


def _groups(service: ActingService) -> set[str]:
    """By what its keyed classes may be repeated."""
    return {row.group for row in service.rules.classes if row.semantics == "keyed"}


def _absent(at: str, row: ActingServer | None, grouped: bool) -> Iterator[Contradiction]:
    if row is not None and row.rules.status == "active":
        yield Contradiction(at, "permission", "active in one, not listed in the other")
    elif grouped:
        yield Contradiction(
            at, "permission", "not listed in one: nothing that may have run there is repeated"
        )


def _statuses(at: str, one: ServerRules, other: ServerRules) -> Iterator[Contradiction]:
    yield from _unlike(at, "permission", "", ("status",), one, other)
    if one.status == other.status == "active":
        yield from _unlike(at, "permission", "", ("incarnation", "address"), one, other)


def _split(names: Sequence[str], one: Mapping[str, int], other: Mapping[str, int]) -> set[str]:
    """Whose part holds other servers in the one than in the other."""
    first, second = Counter(one.values()), Counter(other.values())
    both = Counter((one[name], other[name]) for name in names)
    return {
        name for name in names if not first[one[name]] == second[other[name]] == both[one[name], other[name]]
    }
