"""The tables `[service.NAME]`: what calls a service takes and by which figures it is kept. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import COUNT_MOST, Table, good

SEMANTICS = ("safe", "keyed", "unsafe")
GROUPS = ("all", "zone", "cell")
WORTH_BY = ("request", "work")


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """`[service.NAME.class.CLASS]`: one kind of call; times in milliseconds.

    `aim_ms`: an answer within it is good. `deadline_ms`: when a caller gives up who does not say (over
    HTTP each does, by `X-Budget`).
    `semantics`: `safe` calls may be repeated at will, `keyed` ones under their key, `unsafe` ones never
    once they may have run. `group` and `key_window_ms`: where, and for how long, a keyed call may be
    repeated after it may have run. `worth`: against other classes; `late_worth`: what an answer past
    the aim keeps of it (share). `in_turn`: calls with one key run one at a time.
    """

    aim_ms: float
    deadline_ms: float
    semantics: str
    group: str
    key_window_ms: float
    worth: float
    late_worth: float
    in_turn: bool


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """One row of `tenants`: a caller by name, and its allowance.

    `share` (of the service) or `allowance_per_s` (calls a second); one of the two, None the other.
    """

    name: str
    share: float | None
    allowance_per_s: float | None


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """`[service.NAME]`; times in milliseconds.

    `attempts_most`: of one call. `open_most`: calls taken and not answered. `retry_after_most_ms`: the
    most that a refusal asks to wait, 0 for no word of it. `zone`: this process's own, of `zones`.
    `drain_grace_ms`: nothing new to a server for longer after the news that it leaves. A started server
    has `cold_from_share` of its capacity, and all of it after `warm_up_ms`; one is held to turn away when
    asked for `fall_multiple` of what it holds for `overload_ms`. `load_reports`: the fields of
    reports that answers carry. `warm_keys`: servers answer keys that they had before with less work.
    `worth_by`: whether a call's worth counts by itself or by its work. `over_share_worth`: what a call
    past its tenant's allowance keeps of its worth. `settle_ms`: a key's rest after a call of a class
    `in_turn` that may be running still. `release_ms`: idle connections to a server that leaves are
    closed within it; 0: they may stay.
    """

    source: str
    classes: Mapping[str, ClassSpec]
    tenants: tuple[TenantSpec, ...]
    attempts_most: int
    open_most: int
    connect_timeout_ms: float
    idle_close_ms: float
    retry_after_most_ms: float
    zones: tuple[str, ...]
    zone: str
    kinds: tuple[str, ...]
    drain_grace_ms: float
    cold_from_share: float
    warm_up_ms: float
    fall_multiple: float
    overload_ms: float
    release_ms: float
    settle_ms: float
    probes: bool
    cancel: bool
    parallel_tries: bool
    warm_keys: bool
    worth_by: str
    over_share_worth: float
    load_reports: tuple[str, ...]


def read_services(root: Table) -> dict[str, ServiceSpec]:
    """All services of a file; faults are noted in its table."""
    return {name: _service(table) for name, table in root.named("service", needed=True)}


def _service(table: Table) -> ServiceSpec:
    read = ServiceSpec(
        source=table.word("source"),
        classes={name: _class(row) for name, row in table.named("class", needed=True)},
        tenants=_tenants(table),
        attempts_most=table.count("attempts_most", 2, 1, 100) or 0,
        open_most=table.count("open_most", 4096, 1) or 0,
        connect_timeout_ms=good(table.figure("connect_timeout_ms", 250.0, 1.0)),
        idle_close_ms=good(table.figure("idle_close_ms", 15_000.0, 1.0)),
        retry_after_most_ms=good(table.figure("retry_after_most_ms", 0.0)),
        zones=table.words("zones"),
        zone=table.word("zone", ""),
        kinds=table.words("kinds"),
        drain_grace_ms=good(table.figure("drain_grace_ms", 500.0)),
        cold_from_share=good(table.share("cold_from_share", 1.0)),
        warm_up_ms=good(table.figure("warm_up_ms", 0.0)),
        fall_multiple=good(table.figure("fall_multiple", 1.0, 0.0, 1000.0)),
        overload_ms=good(table.figure("overload_ms", 0.0)),
        release_ms=good(table.figure("release_ms", 0.0)),
        settle_ms=good(table.figure("settle_ms", 0.0)),
        probes=table.flag("probes", False),
        cancel=table.flag("cancel", True),
        parallel_tries=table.flag("parallel_tries", False),
        warm_keys=table.flag("warm_keys", False),
        worth_by=table.one_of("worth_by", WORTH_BY, "request"),
        over_share_worth=good(table.share("over_share_worth", 1.0)),
        load_reports=table.words("load_reports"),
    )
    if read.zones and read.zone and read.zone not in read.zones:
        table.fault("zone", f"{read.zone} is not among zones")
    if read.zone and not table.has("zones"):
        table.fault("zone", "zones is missing")
    table.end()
    return read


def _class(table: Table) -> ClassSpec:
    deadline_ms = table.figure("deadline_ms", low=1.0, needed=True)
    semantics = table.one_of("semantics", SEMANTICS)
    read = ClassSpec(
        aim_ms=good(table.figure("aim_ms", deadline_ms, 1.0)),
        deadline_ms=good(deadline_ms),
        semantics=semantics,
        group=table.one_of("group", GROUPS, "cell"),
        key_window_ms=good(table.figure("key_window_ms", 0.0, 1.0, needed=semantics == "keyed")),
        worth=good(table.figure("worth", 1.0, 0.0, 1e6)),
        late_worth=good(table.share("late_worth", 0.0)),
        in_turn=table.flag("in_turn", False),
    )
    if read.deadline_ms < read.aim_ms:
        table.fault("deadline_ms", f"{read.deadline_ms:g} is less than aim_ms, {read.aim_ms:g}")
    for key in ("group", "key_window_ms"):
        if table.has(key) and semantics in ("safe", "unsafe"):
            table.fault(key, f"only for keyed classes, and this one is {semantics}")
    table.end()
    return read


def _tenants(table: Table) -> tuple[TenantSpec, ...]:
    rows = table.rows("tenants")
    tenants = tuple(_tenant(row) for row in rows)
    names = [tenant.name for tenant in tenants]
    for row, name in zip(rows, names, strict=True):
        if name and names.index(name) < rows.index(row):
            row.fault("name", f"{name} is there more than once")
    shares = [tenant.share for tenant in tenants if tenant.share is not None]
    if shares and len({tenant.share is None for tenant in tenants}) > 1:
        table.fault("tenants", "all with share or all with allowance_per_s")
    if sum(shares) > 1.0 + 1e-9:
        table.fault("tenants", f"their shares make {sum(shares):g}, which is more than 1")
    return tenants


def _tenant(table: Table) -> TenantSpec:
    read = TenantSpec(
        name=table.word("name"),
        share=table.figure("share", None, 1e-6, 1.0),
        allowance_per_s=table.figure("allowance_per_s", None, 1e-3, COUNT_MOST),
    )
    if table.has("share") == table.has("allowance_per_s"):
        table.fault("share", "one of share and allowance_per_s is needed, and no more")
    table.end()
    return read
