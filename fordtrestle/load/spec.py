"""Parses the load file: the target, the requests, their times, and the bounds of a run. Pure.

All errors of a file are reported at once, each as `FILE: table.key: reason`. docs/operate/load.md describes
every key.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Iterator

from fordtrestle.load import arrivals
from fordtrestle.load.errors import SpecError
from fordtrestle.load.mix import MAX_BODY_BYTES, MAX_KEYS
from fordtrestle.load.records import Arrivals, Bounds, Keys, Replay, Retries, Shape, Spec, TrafficClass
from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import SchemaErrors, TomlTable

HOST = re.compile(r"[A-Za-z0-9.:\[\]_-]{1,255}")
PATH = re.compile(r"/[!-~]{0,1000}")
FILE = re.compile(r"[^\x00-\x1f\x7f]{1,4096}")
MAX_NAMES = 64  # classes, tenants, sizes or arrivals; each class and tenant has statistics of its own
MAX_WORKERS = 64
MAX_SEED = 2**63
MAX_OPEN = 1_000_000  # open requests, and open connections
MAX_RATE_PER_S = 1_000_000.0  # one request per microsecond, the unit of send times
MAX_SHARE = 1e9
MAX_STEPS = 10_000
MAX_NOT_SENT = 2**40  # more requests than any run can have
DAY_S = 86_400.0
MIN_PIECE_S = 0.0001  # with shorter pieces a schedule would consist of rate changes only
MIN_WAVE_S = 0.01  # so that the linear pieces of a wave are not shorter than `MIN_PIECE_S`
MAX_BUDGET_MS = 60_000.0
SEMANTICS = ("pure", "keyed", "unsafe")
SHAPES = ("constant", "bursts", "ramp", "wave", "steps")
RETRIED_OUTCOMES = ("refused", "failed", "unanswered")


def parse(text: str, file: str) -> Spec:
    """Parse a load file.

    Args:
        text: The contents of the file.
        file: The name of the file, for error messages.

    Raises:
        SpecError: The file is not valid; the exception has all errors.
    """
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise SpecError([f"{file}: {' '.join(str(error).split())}"]) from None
    errors = SchemaErrors()
    spec = _read_spec(TomlTable(raw, "", errors))
    if errors.found:
        raise SpecError([": ".join(part for part in (file, *error) if part) for error in errors.found])
    return spec


# For an invalid value, the functions below record an error of the file and return any valid value instead.


def _number(table: TomlTable, key: str, default: float | None, low: float, high: float) -> float:
    """Return a number from `low` to `high`; the key is required if there is no default."""
    value = table.number(key, default, low, high, required=default is None)
    return low if value is None else value


def _integer(table: TomlTable, key: str, default: int | None, low: int, high: int) -> int:
    """Return an integer from `low` to `high`; the key is required if there is no default."""
    value = table.integer(key, default, low, high, required=default is None)
    return low if value is None else value


def _named_tables(root: TomlTable, key: str) -> Iterator[tuple[str, TomlTable]]:
    """Return the tables `[key.NAME]`; a name can't begin with -, which stands for no name in a trace."""
    for number, (name, table) in enumerate(root.named_tables(key)):
        if name.startswith("-") or number >= MAX_NAMES:
            root.add_error(key, f"{name}: at most {MAX_NAMES} names, and none begins with -")
        yield name, table


def _read_spec(root: TomlTable) -> Spec:
    run, target = root.table("run"), root.table("target")
    replay = _read_replay(root) if root.has("trace") else None
    length_s = 0.0 if replay else _number(run, "length_s", None, 0.001, DAY_S)
    spec = Spec(
        target=target.address("address", allow_host_name=True) or Address("", 0),
        length_s=length_s,
        seed=_integer(run, "seed", 1, 0, MAX_SEED),
        workers=_integer(run, "workers", 1, 1, MAX_WORKERS),
        open_most=_integer(run, "open_most", 10_000, 1, MAX_OPEN),
        connections_most=_integer(run, "connections_most", 10_000, 1, MAX_OPEN),
        grace_ms=_number(run, "grace_ms", 0.0, 0.0, MAX_BUDGET_MS),
        lag_p99_most_ms=_number(run, "lag_p99_most_ms", 1.0, 0.001, 10_000.0),
        spin_ms=_number(run, "spin_ms", 3.0, 0.0, 1000.0),
        host=target.text("host", "api.internal", HOST, "a value of the header Host"),
        classes=tuple(_read_class(name, table) for name, table in _named_tables(root, "class")),
        tenants=tuple((name, _read_share(table)) for name, table in _named_tables(root, "tenant"))
        or (("", 1.0),),
        sizes=_read_sizes(root),
        keys=_read_keys(root.table("keys")),
        arrivals=tuple(
            _read_arrivals(name, table, length_s) for name, table in _named_tables(root, "arrivals")
        ),
        replay=replay,
        retries=_read_retries(root.table("retries")),
        bounds=_read_bounds(root.table("bounds")),
    )
    for table in (run, target):
        table.reject_unknown_keys()
    _check_tables_together(root, spec)
    root.reject_unknown_keys()
    return spec


def _check_tables_together(root: TomlTable, spec: Spec) -> None:
    """Record the errors that involve several tables."""
    class_shares = [each.share for each in spec.classes]
    tenant_shares = [share for _, share in spec.tenants]
    for key, shares in (("class", class_shares), ("tenant", tenant_shares)):
        if not shares:
            root.add_error(key, "at least one is needed")
        elif not spec.replay and not sum(shares) > 0.0:
            root.add_error(key, "at least one share above 0 is needed")
    if not spec.replay and not spec.arrivals:
        root.add_error("arrivals", "at least one is needed, or a trace")
    if spec.replay:
        for key in ("arrivals", "tenant", "keys", "size"):
            if root.has(key):
                root.add_error(key, "not allowed with a trace, which determines it; remove one of the two")
    for name in ("open_most", "connections_most"):
        if getattr(spec, name) < spec.workers:
            root.errors.add(f"run.{name}", "each worker needs at least one")


def _read_share(table: TomlTable) -> float:
    share = _number(table, "share", 1.0, 0.0, MAX_SHARE)
    table.reject_unknown_keys()
    return share


def _read_class(name: str, table: TomlTable) -> TrafficClass:
    budget_ms = _number(table, "budget_ms", None, 0.001, MAX_BUDGET_MS)
    traffic_class = TrafficClass(
        name=name,
        semantics=table.choice("semantics", SEMANTICS),
        share=_number(table, "share", 1.0, 0.0, MAX_SHARE),
        budget_ms=budget_ms,
        aim_ms=_number(table, "aim_ms", budget_ms, 0.001, MAX_BUDGET_MS),
        worth=_number(table, "worth", 1.0, 0.0, MAX_SHARE),
        path=table.text("path", f"/{name}", PATH, "a path that begins with / and has no spaces"),
    )
    table.reject_unknown_keys()
    return traffic_class


def _read_sizes(root: TomlTable) -> tuple[tuple[int, float], ...]:
    sizes = []
    for table in root.array_of_tables("size")[: MAX_NAMES + 1]:  # one more than allowed, to detect too many
        size = _integer(table, "bytes", None, 0, MAX_BODY_BYTES)
        sizes.append((size, _number(table, "share", 1.0, 0.0, MAX_SHARE)))
        table.reject_unknown_keys()
    if len(sizes) > MAX_NAMES or (sizes and not sum(share for _, share in sizes) > 0.0):
        root.add_error("size", f"expected at most {MAX_NAMES} sizes, with at least one share above 0")
    return tuple(sizes) or ((0, 1.0),)


def _read_keys(table: TomlTable) -> Keys:
    keys = Keys(
        count=_integer(table, "count", 0, 0, MAX_KEYS),
        exponent=_number(table, "exponent", 1.0, 0.0, 10.0),
        share=_number(table, "share", 1.0, 0.0, 1.0),
    )
    table.reject_unknown_keys()
    return keys


def _read_arrivals(name: str, table: TomlTable, length_s: float) -> Arrivals:
    shape_name = table.choice("shape", SHAPES)
    spacing = table.choice("spacing", ("poisson", "even"), "poisson")
    starts_s = _number(table, "starts_s", 0.0, 0.0, DAY_S)
    if starts_s >= length_s > 0.0:
        table.add_error("starts_s", f"expected less than run.length_s ({length_s:g}), not {starts_s:g}")
    shape = Shape(arrivals.constant, (0.0,))
    if shape_name:  # otherwise the keys of the table are unknown
        shape = _read_shape(shape_name, table)
        table.reject_unknown_keys()
    return Arrivals(name, spacing == "poisson", starts_s, shape)


def _read_shape(name: str, table: TomlTable) -> Shape:
    def rate(key: str) -> float:
        return _number(table, key, None, 0.0, MAX_RATE_PER_S)

    def length(key: str, low: float = MIN_PIECE_S) -> float:
        return _number(table, key, None, low, DAY_S)

    match name:
        case "constant":
            return Shape(arrivals.constant, (rate("rate_per_s"),))
        case "bursts":
            arguments = (rate("on_per_s"), length("on_s"), rate("off_per_s"), length("off_s"))
            return Shape(arrivals.bursts, arguments)
        case "ramp":
            return Shape(arrivals.ramp, (rate("from_per_s"), rate("to_per_s"), length("over_s")))
        case "wave":
            mean, swing = rate("mean_per_s"), rate("swing_per_s")
            if swing > mean:
                table.add_error("swing_per_s", "expected at most mean_per_s")
            return Shape(arrivals.wave, (mean, swing, length("period_s", MIN_WAVE_S)))
    rates = table.numbers("rates_per_s", 0.0, MAX_RATE_PER_S, MAX_STEPS)
    return Shape(arrivals.steps, (rates, length("each_s")))


def _read_replay(root: TomlTable) -> Replay:
    table = root.table("trace")
    to_s = _number(table, "to_s", math.inf, MIN_PIECE_S, math.inf)
    replay = Replay(
        file=table.text("file", None, FILE, "the path of a file"),
        speed=_number(table, "speed", 1.0, 0.001, 1000.0),
        loop=_integer(table, "loop", 1, 1, 1_000_000),
        from_s=_number(table, "from_s", 0.0, 0.0, 7 * DAY_S),
        to_s=to_s if math.isfinite(to_s) else None,
    )
    if replay.to_s is not None and replay.to_s <= replay.from_s:
        table.add_error("to_s", "expected more than from_s")
    table.reject_unknown_keys()
    return replay


def _read_retries(table: TomlTable) -> Retries:
    default = Retries()
    on = table.identifiers("on") if table.has("on") else default.on
    if not all(outcome in RETRIED_OUTCOMES for outcome in on):
        table.add_error("on", f"expected some of {', '.join(RETRIED_OUTCOMES)}")
    retries = Retries(
        most=_integer(table, "most", default.most, 0, 10),
        on=on,
        wait_ms=_number(table, "wait_ms", default.wait_ms, 0.0, MAX_BUDGET_MS),
        doubled=table.boolean("doubled", default.doubled),
        try_share=_number(table, "try_share", default.try_share, 0.01, 1.0),
        honour_retry_after=table.boolean("honour_retry_after", default.honour_retry_after),
        honour_most_ms=_number(table, "honour_most_ms", default.honour_most_ms, 0.0, MAX_BUDGET_MS),
        marked=table.boolean("marked", default.marked),
        listen=table.boolean("listen", default.listen),
    )
    table.reject_unknown_keys()
    return retries


def _read_bounds(table: TomlTable) -> Bounds:
    # All keys are read, since `reject_unknown_keys` rejects keys that were not; those in the table are kept.
    in_aim_share_least = _number(table, "in_aim_share_least", 0.0, 0.0, 1.0)
    p99_most_ms = _number(table, "p99_most_ms", 0.0, 0.0, MAX_BUDGET_MS)
    not_sent_most = _integer(table, "not_sent_most", 0, 0, MAX_NOT_SENT)
    table.reject_unknown_keys()
    return Bounds(
        in_aim_share_least=in_aim_share_least if table.has("in_aim_share_least") else None,
        p99_most_ms=p99_most_ms if table.has("p99_most_ms") else None,
        not_sent_most=not_sent_most if table.has("not_sent_most") else None,
    )
