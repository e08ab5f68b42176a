"""The tables `[service.NAME]`: the calls of a service, and the figures for them. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import COUNT_MOST, Table, good

SEMANTICS = ("safe", "keyed", "unsafe")
GROUPS = ("all", "zone", "cell")
WORTH_BY = ("request", "work")
SHARE_TOLERANCE = 1e-9  # shares that make 1 in decimals may make a little more as binary fractions


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """`[service.NAME.class.CLASS]`: one class of calls; times in milliseconds.

    Attributes:
        aim_ms: The latency target: an answer within it is good.
        deadline_ms: When a caller gives up that names no deadline (over HTTP each does, by `X-Budget`).
        semantics: `safe` calls may be retried at will, `keyed` ones under their key, `unsafe` ones never
            once they may have run.
        group: Among which servers a keyed call may be retried after it may have run.
        key_window_ms: For how long it may be.
        worth: Its priority weight among the classes.
        late_worth: The share of it that an answer past the latency target keeps.
        in_turn: Whether calls with one key run one at a time.
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
    """One row of `tenants`: a caller and its allowance, which is one of the two figures; the other is None.

    Attributes:
        name: As requests name it.
        share: Of the service.
        allowance_per_s: Calls per second.
    """

    name: str
    share: float | None
    allowance_per_s: float | None


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """`[service.NAME]`; times in milliseconds.

    Attributes:
        source: The name of the source of its endpoint list.
        classes: Its classes of calls, by name.
        tenants: Its callers that have an allowance.
        attempts_most: Attempts of one call.
        open_most: Calls that are accepted and not answered.
        connect_timeout_ms: For a connection to a server.
        idle_close_ms: After which an idle connection is closed.
        retry_after_most_ms: The longest wait that a rejection asks for; 0: it asks for none.
        zones: All zones of the service's servers.
        zone: The zone of this process, one of `zones`.
        kinds: All kinds of machine of the service's servers.
        drain_grace_ms: For how long new calls may go to a server after the update that it leaves.
        cold_from_share: The share of its capacity that a started server has at first (slow start).
        warm_up_ms: After which it has all of it.
        fall_multiple: A server is taken to reject work once asked for this multiple of its capacity ...
        overload_ms: ... for so long.
        release_ms: Within which idle connections to a server that leaves are closed; 0: they may stay.
        settle_ms: The rest of a key after a call of a class `in_turn` that may still be running.
        probes: Whether servers may be probed.
        cancel: Whether attempts may be cancelled.
        parallel_tries: Whether a call may have several attempts in flight (hedging).
        warm_keys: Whether servers answer keys that they had before with less work.
        worth_by: Whether a call's worth counts once, or by its work.
        over_share_worth: The share of its worth that a call past its tenant's allowance keeps.
        load_reports: The fields of load reports that answers carry.
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
    """Read all services of a file; faults are recorded in its table."""
    return {name: _read_service(table) for name, table in root.named("service", needed=True)}


def _read_service(table: Table) -> ServiceSpec:
    spec = ServiceSpec(
        source=table.word("source"),
        classes={name: _read_class(row) for name, row in table.named("class", needed=True)},
        tenants=_read_tenants(table),
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
    if spec.zones and spec.zone and spec.zone not in spec.zones:
        table.fault("zone", f"{spec.zone} is not among zones")
    if spec.zone and not table.has("zones"):
        table.fault("zone", "zones is missing")
    table.end()
    return spec


def _read_class(table: Table) -> ClassSpec:
    deadline_ms = table.figure("deadline_ms", low=1.0, needed=True)
    semantics = table.one_of("semantics", SEMANTICS)
    spec = ClassSpec(
        aim_ms=good(table.figure("aim_ms", deadline_ms, 1.0)),
        deadline_ms=good(deadline_ms),
        semantics=semantics,
        group=table.one_of("group", GROUPS, "cell"),
        key_window_ms=good(table.figure("key_window_ms", 0.0, 1.0, needed=semantics == "keyed")),
        worth=good(table.figure("worth", 1.0, 0.0, 1e6)),
        late_worth=good(table.share("late_worth", 0.0)),
        in_turn=table.flag("in_turn", False),
    )
    if spec.deadline_ms < spec.aim_ms:
        table.fault("deadline_ms", f"{spec.deadline_ms:g} is less than aim_ms, {spec.aim_ms:g}")
    for key in ("group", "key_window_ms"):
        if table.has(key) and semantics in ("safe", "unsafe"):
            table.fault(key, f"only for keyed classes, and this one is {semantics}")
    table.end()
    return spec


def _read_tenants(table: Table) -> tuple[TenantSpec, ...]:
    rows = table.rows("tenants")
    tenants = tuple(_read_tenant(row) for row in rows)
    names = [tenant.name for tenant in tenants]
    for row, name in zip(rows, names, strict=True):
        if name and names.index(name) < rows.index(row):
            row.fault("name", f"{name} is there more than once")
    shares = [tenant.share for tenant in tenants if tenant.share is not None]
    if shares and len({tenant.share is None for tenant in tenants}) > 1:
        table.fault("tenants", "all with share or all with allowance_per_s")
    if sum(shares) > 1.0 + SHARE_TOLERANCE:
        table.fault("tenants", f"their shares make {sum(shares):g}, which is more than 1")
    return tenants


def _read_tenant(table: Table) -> TenantSpec:
    spec = TenantSpec(
        name=table.word("name"),
        share=table.figure("share", None, 1e-6, 1.0),
        allowance_per_s=table.figure("allowance_per_s", None, 1e-3, COUNT_MOST),
    )
    if table.has("share") == table.has("allowance_per_s"):
        table.fault("share", "one of share and allowance_per_s is needed, and no more")
    table.end()
    return spec
