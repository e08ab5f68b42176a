"""A load as its file tells: what is sent, where, when and within which bounds. Pure; typed and strict.

All faults of a file are told at once, each as `FILE: table.key: reason`. Every key is told in
docs/operate/load.md.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from fordtrestle.load import arrivals
from fordtrestle.load.arrivals import Piece
from fordtrestle.load.errors import SpecError
from fordtrestle.load.mix import KEYS_MOST, SIZE_MOST, Kind
from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import SchemaErrors, TomlTable

HOST = re.compile(r"[A-Za-z0-9.:\[\]_-]{1,255}")
PATH = re.compile(r"/[!-~]{0,1000}")
FILE = re.compile(r"[^\x00-\x1f\x7f]{1,4096}")
NAMES_MOST = 64
RATE_MOST = 1_000_000.0
DAY_S = 86_400.0
SHORTEST_S = 0.0001  # guards against schedules that are all changes of rate
BUDGET_MOST_MS = 60_000.0
SEMANTICS = ("pure", "keyed", "unsafe")
SHAPES = ("constant", "bursts", "ramp", "wave", "steps")
OUTCOMES = ("refused", "failed", "unanswered")


@dataclass(frozen=True, slots=True)
class Class:
    """What clients ask: `pure` is a GET, `keyed` a POST with a key, `unsafe` a POST without."""

    name: str
    semantics: str
    share: float
    budget_ms: float
    aim_ms: float
    worth: float
    path: str

    def kind(self) -> Kind:
        """What the mix draws of it."""
        return Kind(self.name, self.share, round(self.budget_ms * 1000), self.semantics != "pure")


@dataclass(frozen=True, slots=True)
class Arrivals:
    """One schedule of a sum."""

    name: str
    poisson: bool
    starts_s: float
    pieces: tuple[Any, ...]  # the maker of pieces and its figures

    def curve(self, length_s: float) -> Iterator[Piece]:
        """The rate from its start to the end of the run."""
        make, *figures = self.pieces
        return arrivals.within(make(*figures), length_s - self.starts_s)


@dataclass(frozen=True, slots=True)
class Retries:
    """What a client does about a try that was not served; `most` of 0: nothing."""

    most: int = 0
    on: tuple[str, ...] = ("refused",)
    wait_ms: float = 50.0
    doubled: bool = False
    try_share: float = 1.0  # of the budget, after which a try is given up
    honour: bool = True
    honour_most_ms: float = 1000.0
    marked: bool = True
    listen: bool = False  # to a try that was given up, until the request is over


@dataclass(frozen=True, slots=True)
class Replay:
    """A trace in place of arrivals; `file` is as the spec has it."""

    file: str
    speed: float = 1.0
    loop: int = 1
    from_s: float = 0.0
    to_s: float | None = None


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the run is to meet; None: not asked."""

    in_aim_share_least: float | None = None
    p99_most_ms: float | None = None
    not_sent_most: int | None = None


@dataclass(frozen=True, slots=True)
class Spec:
    """A whole load. `length_s` is 0 where a trace tells it."""

    target: Address
    length_s: float
    seed: int
    workers: int
    open_most: int
    connections_most: int
    grace_ms: float
    lag_p99_most_ms: float
    spin_ms: float  # before a request is due a worker sleeps no more
    host: str
    classes: tuple[Class, ...]
    tenants: tuple[tuple[str, float], ...]
    sizes: tuple[tuple[int, float], ...]
    keys: int
    key_exponent: float
    keyed_share: float
    arrivals: tuple[Arrivals, ...]
    replay: Replay | None
    retries: Retries
    bounds: Bounds


def parse(text: str, file: str) -> Spec:
    """The load that a file's text tells; `SpecError` with all that is wrong."""
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise SpecError([f"{file}: {' '.join(str(error).split())}"]) from None
    faults = SchemaErrors()
    spec = _spec(TomlTable(raw, "", faults))
    if faults.found:
        raise SpecError([": ".join(part for part in (file, *fault) if part) for fault in faults.found])
    return spec


def _number(table: TomlTable, key: str, default: float | None, low: float, high: float) -> float:
    """A figure, needed where it has no default; where it is bad the lowest stands for it."""
    value = table.number(key, default, low, high, required=default is None)
    return low if value is None else value


def _count(table: TomlTable, key: str, default: int | None, low: int, high: int) -> int:
    value = table.integer(key, default, low, high, required=default is None)
    return low if value is None else value


def _named(whole: TomlTable, key: str) -> Iterator[tuple[str, TomlTable]]:
    """The tables `[key.NAME]`; a name that begins with - has no place in a trace, where that is none."""
    for number, (name, table) in enumerate(whole.named_tables(key)):
        if name.startswith("-") or number >= NAMES_MOST:
            whole.add_error(key, f"{name}: at most {NAMES_MOST} names, and none begins with -")
        yield name, table


def _spec(whole: TomlTable) -> Spec:
    run, target = whole.table("run"), whole.table("target")
    replay = _replay(whole) if whole.has("trace") else None
    length_s = 0.0 if replay else _number(run, "length_s", None, 0.001, DAY_S)
    spec = Spec(
        target=target.address("address", allow_host_name=True) or Address("", 0),
        length_s=length_s,
        seed=_count(run, "seed", 1, 0, 2**63),
        workers=_count(run, "workers", 1, 1, 64),
        open_most=_count(run, "open_most", 10_000, 1, 1_000_000),
        connections_most=_count(run, "connections_most", 10_000, 1, 1_000_000),
        grace_ms=_number(run, "grace_ms", 0.0, 0.0, BUDGET_MOST_MS),
        lag_p99_most_ms=_number(run, "lag_p99_most_ms", 1.0, 0.001, 10_000.0),
        spin_ms=_number(run, "spin_ms", 3.0, 0.0, 1000.0),
        host=target.text("host", "api.internal", HOST, "a name as the field Host has it"),
        classes=tuple(_class(name, table) for name, table in _named(whole, "class")),
        tenants=tuple((name, _share(table)) for name, table in _named(whole, "tenant")) or (("", 1.0),),
        sizes=_sizes(whole),
        **_keys(whole.table("keys")),
        arrivals=tuple(_arrivals(name, table, length_s) for name, table in _named(whole, "arrivals")),
        replay=replay,
        retries=_retries(whole.table("retries")),
        bounds=_bounds(whole.table("bounds")),
    )
    for table in (run, target):
        table.reject_unknown_keys()
    _whole(whole, spec)
    whole.reject_unknown_keys()
    return spec


def _whole(whole: TomlTable, spec: Spec) -> None:
    """What one table alone can't tell."""
    for key, shares in (("class", [c.share for c in spec.classes]), ("tenant", [s for _, s in spec.tenants])):
        if not shares:
            whole.add_error(key, "at least one is needed")
        elif not spec.replay and not sum(shares) > 0.0:
            whole.add_error(key, "at least one share above 0 is needed")
    if not spec.replay and not spec.arrivals:
        whole.add_error("arrivals", "at least one is needed, or a trace")
    if spec.replay:
        for key in ("arrivals", "tenant", "keys", "size"):
            if whole.has(key):
                whole.add_error(key, "a trace tells that; leave one of the two out")
    for name in ("open_most", "connections_most"):
        if getattr(spec, name) < spec.workers:
            whole.errors.add(f"run.{name}", "each worker needs one at least")


def _share(table: TomlTable) -> float:
    share = _number(table, "share", 1.0, 0.0, 1e9)
    table.reject_unknown_keys()
    return share


def _class(name: str, table: TomlTable) -> Class:
    budget_ms = _number(table, "budget_ms", None, 0.001, BUDGET_MOST_MS)
    made = Class(
        name=name,
        semantics=table.choice("semantics", SEMANTICS),
        share=_number(table, "share", 1.0, 0.0, 1e9),
        budget_ms=budget_ms,
        aim_ms=_number(table, "aim_ms", budget_ms, 0.001, BUDGET_MOST_MS),
        worth=_number(table, "worth", 1.0, 0.0, 1e9),
        path=table.text("path", f"/{name}", PATH, "a path that begins with / and has no spaces"),
    )
    table.reject_unknown_keys()
    return made


def _sizes(whole: TomlTable) -> tuple[tuple[int, float], ...]:
    found = []
    for table in whole.array_of_tables("size")[: NAMES_MOST + 1]:
        found.append((_count(table, "bytes", None, 0, SIZE_MOST), _number(table, "share", 1.0, 0.0, 1e9)))
        table.reject_unknown_keys()
    if len(found) > NAMES_MOST or (found and not sum(share for _, share in found) > 0.0):
        whole.add_error("size", f"at most {NAMES_MOST}, and one share above 0")
    return tuple(found) or ((0, 1.0),)


def _keys(table: TomlTable) -> dict[str, Any]:
    keys = {
        "keys": _count(table, "count", 0, 0, KEYS_MOST),
        "key_exponent": _number(table, "exponent", 1.0, 0.0, 10.0),
        "keyed_share": _number(table, "share", 1.0, 0.0, 1.0),
    }
    table.reject_unknown_keys()
    return keys


def _arrivals(name: str, table: TomlTable, length_s: float) -> Arrivals:
    shape = table.choice("shape", SHAPES)
    spacing = table.choice("spacing", ("poisson", "even"), "poisson")
    starts_s = _number(table, "starts_s", 0.0, 0.0, DAY_S)
    if starts_s >= length_s > 0.0:
        table.add_error("starts_s", "it starts after the run has ended")
    pieces = _pieces(shape, table) if shape else ()
    if shape:  # else it is not known which keys there are
        table.reject_unknown_keys()
    return Arrivals(name, spacing == "poisson", starts_s, pieces)


def _pieces(shape: str, table: TomlTable) -> tuple[Any, ...]:
    def rate(key: str) -> float:
        return _number(table, key, None, 0.0, RATE_MOST)

    def length(key: str, low: float = SHORTEST_S) -> float:
        return _number(table, key, None, low, DAY_S)

    match shape:
        case "constant":
            return (arrivals.constant, rate("rate_per_s"))
        case "bursts":
            return (arrivals.bursts, rate("on_per_s"), length("on_s"), rate("off_per_s"), length("off_s"))
        case "ramp":
            return (arrivals.ramp, rate("from_per_s"), rate("to_per_s"), length("over_s"))
        case "wave":
            mean, swing = rate("mean_per_s"), rate("swing_per_s")
            if swing > mean:
                table.add_error("swing_per_s", "more than mean_per_s")
            return (arrivals.wave, mean, swing, length("period_s", 0.01))
    return (arrivals.steps, table.numbers("rates_per_s", 0.0, RATE_MOST, 10_000), length("each_s"))


def _replay(whole: TomlTable) -> Replay:
    table = whole.table("trace")
    to_s = _number(table, "to_s", math.inf, SHORTEST_S, math.inf)
    made = Replay(
        file=table.text("file", None, FILE, "the path of a file"),
        speed=_number(table, "speed", 1.0, 0.001, 1000.0),
        loop=_count(table, "loop", 1, 1, 1_000_000),
        from_s=_number(table, "from_s", 0.0, 0.0, 7 * DAY_S),
        to_s=to_s if math.isfinite(to_s) else None,
    )
    if made.to_s is not None and made.to_s <= made.from_s:
        table.add_error("to_s", "not after from_s")
    table.reject_unknown_keys()
    return made


def _retries(table: TomlTable) -> Retries:
    plain = Retries()
    on = table.identifiers("on") if table.has("on") else plain.on
    if not all(word in OUTCOMES for word in on):
        table.add_error("on", f"expected some of {', '.join(OUTCOMES)}")
    made = Retries(
        most=_count(table, "most", plain.most, 0, 10),
        on=on,
        wait_ms=_number(table, "wait_ms", plain.wait_ms, 0.0, BUDGET_MOST_MS),
        doubled=table.boolean("doubled", plain.doubled),
        try_share=_number(table, "try_share", plain.try_share, 0.01, 1.0),
        honour=table.boolean("honour_retry_after", plain.honour),
        honour_most_ms=_number(table, "honour_most_ms", plain.honour_most_ms, 0.0, BUDGET_MOST_MS),
        marked=table.boolean("marked", plain.marked),
        listen=table.boolean("listen", plain.listen),
    )
    table.reject_unknown_keys()
    return made


def _bounds(table: TomlTable) -> Bounds:
    made = Bounds(
        in_aim_share_least=_number(table, "in_aim_share_least", 0.0, 0.0, 1.0),
        p99_most_ms=_number(table, "p99_most_ms", 0.0, 0.0, BUDGET_MOST_MS),
        not_sent_most=_count(table, "not_sent_most", 0, 0, 2**40),
    )
    table.reject_unknown_keys()
    asked = {key: value if table.has(key) else None for key, value in _fields(made).items()}
    return Bounds(**asked)


def _fields(bounds: Bounds) -> dict[str, Any]:
    return {key: getattr(bounds, key) for key in Bounds.__slots__}
