"""The tables `[service.NAME]`: the settings of a service and of its classes of calls. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fordtrestle.proxy.engine.schema import MAX_COUNT, TomlTable, or_nan

SEMANTICS = ("safe", "keyed", "unsafe")
GROUPS = ("all", "zone", "cell")
WORTH_BY = ("request", "work")
SHARE_TOLERANCE = 1e-9  # shares that sum to 1 as decimals may exceed it as binary fractions


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """`[service.NAME.class.CLASS]`: one class of calls; times in milliseconds.

    Attributes:
        aim_ms: The latency target: a response within it is good.
        deadline_ms: The deadline of a call that names none (over HTTP each call does, by `X-Budget`).
        semantics: `safe` calls may be retried at will, `keyed` ones under their key, `unsafe` ones never
            once they may have run.
        group: The group of servers among which a keyed call may be retried after it may have run.
        key_window_ms: For how long such a call may be retried.
        worth: The priority weight of the class.
        late_worth: The share of `worth` that a response past the latency target keeps.
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
    """One row of `tenants`: a caller and its allowance.

    Either `share` or `allowance_per_s` is set; the other is None.

    Attributes:
        name: The name of the tenant in requests.
        share: The allowance as a share of the service.
        allowance_per_s: The allowance in calls per second.
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
        attempts_most: The largest number of attempts of one call.
        open_most: The largest number of calls in flight, which are accepted and not yet answered.
        connect_timeout_ms: The timeout for a connection to a server.
        idle_close_ms: The idle time after which a connection is closed.
        retry_after_most_ms: The longest wait that a rejection asks for; 0 if rejections ask for none.
        zones: All zones of the service's servers.
        zone: The zone of this process, one of `zones`.
        kinds: All machine kinds of the service's servers.
        drain_grace_ms: For how long new calls may go to a server after the update that marks it as leaving.
        cold_from_share: The share of its capacity that a server has when it starts (slow start).
        warm_up_ms: The time after which a started server has its whole capacity.
        fall_multiple: A server is assumed to reject work under a load of this multiple of its capacity ...
        overload_ms: ... that lasts this long.
        release_ms: The time within which idle connections to a leaving server are closed; 0 to keep them.
        settle_ms: The wait before the next call with a key after a call of a class `in_turn` that may still
            be running.
        probes: Whether servers may be probed.
        cancel: Whether attempts may be cancelled.
        parallel_tries: Whether a call may have several attempts in flight (hedging).
        warm_keys: Whether a server needs less work for a key that it has served before.
        worth_by: Whether the worth of a call counts once per call, or by the work of the call.
        over_share_worth: The share of its worth that a call past its tenant's allowance keeps.
        load_reports: The fields of the load reports in responses.
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


def read_services(root: TomlTable) -> dict[str, ServiceSpec]:
    """Read all services of a file, and record their faults in `root`."""
    return {name: _read_service(table) for name, table in root.named_tables("service", required=True)}


def _read_service(table: TomlTable) -> ServiceSpec:
    spec = ServiceSpec(
        source=table.identifier("source"),
        classes={name: _read_class(row) for name, row in table.named_tables("class", required=True)},
        tenants=_read_tenants(table),
        attempts_most=table.integer("attempts_most", 2, 1, 100) or 0,
        open_most=table.integer("open_most", 4096, 1) or 0,
        connect_timeout_ms=or_nan(table.number("connect_timeout_ms", 250.0, 1.0)),
        idle_close_ms=or_nan(table.number("idle_close_ms", 15_000.0, 1.0)),
        retry_after_most_ms=or_nan(table.number("retry_after_most_ms", 0.0)),
        zones=table.identifiers("zones"),
        zone=table.identifier("zone", ""),
        kinds=table.identifiers("kinds"),
        drain_grace_ms=or_nan(table.number("drain_grace_ms", 500.0)),
        cold_from_share=or_nan(table.share("cold_from_share", 1.0)),
        warm_up_ms=or_nan(table.number("warm_up_ms", 0.0)),
        fall_multiple=or_nan(table.number("fall_multiple", 1.0, 0.0, 1000.0)),
        overload_ms=or_nan(table.number("overload_ms", 0.0)),
        release_ms=or_nan(table.number("release_ms", 0.0)),
        settle_ms=or_nan(table.number("settle_ms", 0.0)),
        probes=table.boolean("probes", False),
        cancel=table.boolean("cancel", True),
        parallel_tries=table.boolean("parallel_tries", False),
        warm_keys=table.boolean("warm_keys", False),
        worth_by=table.choice("worth_by", WORTH_BY, "request"),
        over_share_worth=or_nan(table.share("over_share_worth", 1.0)),
        load_reports=table.identifiers("load_reports"),
    )
    if spec.zones and spec.zone and spec.zone not in spec.zones:
        table.add_error("zone", f"{spec.zone} is not among zones")
    if spec.zone and not table.has("zones"):
        table.add_error("zone", "zones is missing")
    table.reject_unknown_keys()
    return spec


def _read_class(table: TomlTable) -> ClassSpec:
    deadline_ms = table.number("deadline_ms", low=1.0, required=True)
    semantics = table.choice("semantics", SEMANTICS)
    spec = ClassSpec(
        aim_ms=or_nan(table.number("aim_ms", deadline_ms, 1.0)),
        deadline_ms=or_nan(deadline_ms),
        semantics=semantics,
        group=table.choice("group", GROUPS, "cell"),
        key_window_ms=or_nan(table.number("key_window_ms", 0.0, 1.0, required=semantics == "keyed")),
        worth=or_nan(table.number("worth", 1.0, 0.0, 1e6)),
        late_worth=or_nan(table.share("late_worth", 0.0)),
        in_turn=table.boolean("in_turn", False),
    )
    if spec.deadline_ms < spec.aim_ms:
        table.add_error("deadline_ms", f"{spec.deadline_ms:g} is less than aim_ms, {spec.aim_ms:g}")
    for key in ("group", "key_window_ms"):
        if table.has(key) and semantics in ("safe", "unsafe"):
            table.add_error(key, f"only for keyed classes, and this one is {semantics}")
    table.reject_unknown_keys()
    return spec


def _read_tenants(table: TomlTable) -> tuple[TenantSpec, ...]:
    rows = table.array_of_tables("tenants")
    tenants = tuple(_read_tenant(row) for row in rows)
    names = [tenant.name for tenant in tenants]
    for row, name in zip(rows, names, strict=True):
        if name and names.index(name) < rows.index(row):
            row.add_error("name", f"{name} occurs more than once")
    shares = [tenant.share for tenant in tenants if tenant.share is not None]
    if shares and len({tenant.share is None for tenant in tenants}) > 1:
        table.add_error("tenants", "either all tenants need share, or all need allowance_per_s")
    if sum(shares) > 1.0 + SHARE_TOLERANCE:
        table.add_error("tenants", f"the sum of the shares is {sum(shares):g}, more than 1")
    return tenants


def _read_tenant(table: TomlTable) -> TenantSpec:
    spec = TenantSpec(
        name=table.identifier("name"),
        share=table.number("share", None, 1e-6, 1.0),
        allowance_per_s=table.number("allowance_per_s", None, 1e-3, MAX_COUNT),
    )
    if table.has("share") == table.has("allowance_per_s"):
        table.add_error("share", "exactly one of share and allowance_per_s is needed")
    table.reject_unknown_keys()
    return spec
