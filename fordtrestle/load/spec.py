"""The load file: what is sent, where, when, and the bounds that a run has to meet. Pure.

All errors of a file are reported at once, each as `FILE: table.key: reason`. Fields that are keys of the file
keep the key's name; docs/operate/load.md describes every key.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from fordtrestle.load import arrivals
from fordtrestle.load.arrivals import Piece
from fordtrestle.load.errors import SpecError
from fordtrestle.load.mix import MAX_BODY_BYTES, MAX_KEYS, ClassWeight
from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.engine.schema import SchemaErrors, TomlTable

HOST = re.compile(r"[A-Za-z0-9.:\[\]_-]{1,255}")
PATH = re.compile(r"/[!-~]{0,1000}")
FILE = re.compile(r"[^\x00-\x1f\x7f]{1,4096}")
MAX_NAMES = 64  # of classes, tenants, sizes and arrivals; classes and tenants have statistics each
MAX_WORKERS = 64
MAX_SEED = 2**63
MAX_OPEN = 1_000_000  # requests, and connections, that are open at the same time
MAX_RATE_PER_S = 1_000_000.0  # one request a microsecond, which is the unit of send times
MAX_SHARE = 1e9
MAX_STEPS = 10_000
MAX_NOT_SENT = 2**40  # more than any run can hold
DAY_S = 86_400.0
MIN_PIECE_S = 0.0001  # shorter ones would make a schedule of changes of rate only
MIN_WAVE_S = 0.01  # so that its linear pieces are no shorter than that
MAX_BUDGET_MS = 60_000.0
SEMANTICS = ("pure", "keyed", "unsafe")
SHAPES = ("constant", "bursts", "ramp", "wave", "steps")
RETRIED_OUTCOMES = ("refused", "failed", "unanswered")


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """One class of requests.

    Attributes:
        name: Its name.
        semantics: `pure` is a GET, `keyed` a POST with an idempotency key, `unsafe` a POST without one.
        share: Its weight among all classes.
        budget_ms: The time after which a client gives up.
        aim_ms: The latency target.
        worth: The priority weight.
        path: The path of its requests.
    """

    name: str
    semantics: str
    share: float
    budget_ms: float
    aim_ms: float
    worth: float
    path: str

    def weight(self) -> ClassWeight:
        """What the mix needs to know of it."""
        return ClassWeight(self.name, self.share, round(self.budget_ms * 1000), self.semantics != "pure")


@dataclass(frozen=True, slots=True)
class Shape:
    """A rate over time.

    Attributes:
        make: The function of `arrivals` that makes its pieces.
        arguments: What that function takes.
    """

    make: Callable[..., Iterator[Piece]]
    arguments: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Arrivals:
    """One schedule of those that are added up.

    Attributes:
        name: Its name, after which its random stream is named.
        is_poisson: Whether its times are those of a Poisson process, else evenly spaced.
        starts_s: When it starts.
        shape: Its rate over time.
    """

    name: str
    is_poisson: bool
    starts_s: float
    shape: Shape

    def pieces_until(self, length_s: float) -> Iterator[Piece]:
        """The pieces of its rate, from its start to the end of a run that lasts for `length_s`."""
        pieces = self.shape.make(*self.shape.arguments)
        return arrivals.pieces_until(pieces, length_s - self.starts_s)


@dataclass(frozen=True, slots=True)
class Keys:
    """The keys of requests.

    Attributes:
        count: Distinct keys; 0: requests have none.
        exponent: The exponent of Zipf's law, by which they are drawn.
        share: The share of requests that have one.
    """

    count: int
    exponent: float
    share: float


@dataclass(frozen=True, slots=True)
class Retries:
    """What a client does about a try that was not served.

    Attributes:
        most: Retries of a request at most.
        on: The outcomes after which a client tries again, of `RETRIED_OUTCOMES`.
        wait_ms: The wait before the first retry.
        doubled: Whether the wait doubles with each retry.
        try_share: The share of the budget after which a try is given up.
        honour_retry_after: Whether to wait for as long as the header Retry-After says.
        honour_most_ms: The longest such wait.
        marked: Whether retries have the header X-Again.
        listen: Whether an answer to a try that was given up still counts, until the request is over.
    """

    most: int = 0
    on: tuple[str, ...] = ("refused",)
    wait_ms: float = 50.0
    doubled: bool = False
    try_share: float = 1.0
    honour_retry_after: bool = True
    honour_most_ms: float = 1000.0
    marked: bool = True
    listen: bool = False


@dataclass(frozen=True, slots=True)
class Replay:
    """A trace in place of arrivals.

    Attributes:
        file: Its path as the load file has it.
        speed: How many times faster than it was recorded.
        loop: How often it is replayed.
        from_s: The first offset of the trace that is replayed.
        to_s: The offset before which the replay ends; None: the end of the trace.
    """

    file: str
    speed: float = 1.0
    loop: int = 1
    from_s: float = 0.0
    to_s: float | None = None


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a run has to meet; None: no bound."""

    in_aim_share_least: float | None = None
    p99_most_ms: float | None = None
    not_sent_most: int | None = None


@dataclass(frozen=True, slots=True)
class Spec:
    """A complete load.

    Attributes:
        target: Where requests are sent; a host name is resolved before the run.
        length_s: How long the run lasts; 0 where a trace says it.
        seed: Of all random streams.
        workers: Processes that send.
        open_most: Requests that are open at the same time at most, of all workers.
        connections_most: Connections at most, of all workers.
        grace_ms: How long after its budget an answer is still waited for.
        lag_p99_most_ms: The 99th percentile of the sends' lag above which a run is unsound.
        spin_ms: From so long before a request is due a worker does not sleep.
        host: The header Host.
        classes: The classes of requests.
        tenants: The name and the share of each tenant.
        sizes: The bytes and the share of each size of bodies.
        keys: The keys of requests.
        arrivals: The schedules that are added up; none where a trace is replayed.
        replay: The trace; None: arrivals.
        retries: What clients do about tries that were not served.
        bounds: What the run has to meet.
    """

    target: Address
    length_s: float
    seed: int
    workers: int
    open_most: int
    connections_most: int
    grace_ms: float
    lag_p99_most_ms: float
    spin_ms: float
    host: str
    classes: tuple[TrafficClass, ...]
    tenants: tuple[tuple[str, float], ...]
    sizes: tuple[tuple[int, float], ...]
    keys: Keys
    arrivals: tuple[Arrivals, ...]
    replay: Replay | None
    retries: Retries
    bounds: Bounds


def parse(text: str, file: str) -> Spec:
    """Parse a load file.

    Args:
        text: What the file holds.
        file: Its name, for errors.

    Raises:
        SpecError: The file is not valid; it holds all errors.
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


# Values that are not valid are added to the errors of the file, and any valid one is returned in their place.


def _number(table: TomlTable, key: str, default: float | None, low: float, high: float) -> float:
    """A number within `low` to `high`; required where it has no default."""
    value = table.number(key, default, low, high, required=default is None)
    return low if value is None else value


def _integer(table: TomlTable, key: str, default: int | None, low: int, high: int) -> int:
    """A whole number within `low` to `high`; required where it has no default."""
    value = table.integer(key, default, low, high, required=default is None)
    return low if value is None else value


def _named_tables(root: TomlTable, key: str) -> Iterator[tuple[str, TomlTable]]:
    """The tables `[key.NAME]`; no name begins with -, which means none in a trace."""
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
        host=target.text("host", "api.internal", HOST, "a name as the field Host has it"),
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
    """Add the errors that no table shows alone."""
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
                root.add_error(key, "a trace tells that; leave one of the two out")
    for name in ("open_most", "connections_most"):
        if getattr(spec, name) < spec.workers:
            root.errors.add(f"run.{name}", "each worker needs one at least")


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
    for table in root.array_of_tables("size")[: MAX_NAMES + 1]:  # one more shows that there are too many
        size = _integer(table, "bytes", None, 0, MAX_BODY_BYTES)
        sizes.append((size, _number(table, "share", 1.0, 0.0, MAX_SHARE)))
        table.reject_unknown_keys()
    if len(sizes) > MAX_NAMES or (sizes and not sum(share for _, share in sizes) > 0.0):
        root.add_error("size", f"at most {MAX_NAMES}, and one share above 0")
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
        table.add_error("starts_s", "it starts after the run has ended")
    shape = Shape(arrivals.constant, (0.0,))
    if shape_name:  # else it is not known which keys the table may have
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
            figures = (rate("on_per_s"), length("on_s"), rate("off_per_s"), length("off_s"))
            return Shape(arrivals.bursts, figures)
        case "ramp":
            return Shape(arrivals.ramp, (rate("from_per_s"), rate("to_per_s"), length("over_s")))
        case "wave":
            mean, swing = rate("mean_per_s"), rate("swing_per_s")
            if swing > mean:
                table.add_error("swing_per_s", "more than mean_per_s")
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
        table.add_error("to_s", "not after from_s")
    table.reject_unknown_keys()
    return replay


def _read_retries(table: TomlTable) -> Retries:
    default = Retries()
    on = table.identifiers("on") if table.has("on") else default.on
    if not all(word in RETRIED_OUTCOMES for word in on):
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
    # All keys are read, so that each is known, and then those that the table has are kept.
    in_aim_share_least = _number(table, "in_aim_share_least", 0.0, 0.0, 1.0)
    p99_most_ms = _number(table, "p99_most_ms", 0.0, 0.0, MAX_BUDGET_MS)
    not_sent_most = _integer(table, "not_sent_most", 0, 0, MAX_NOT_SENT)
    table.reject_unknown_keys()
    return Bounds(
        in_aim_share_least=in_aim_share_least if table.has("in_aim_share_least") else None,
        p99_most_ms=p99_most_ms if table.has("p99_most_ms") else None,
        not_sent_most=not_sent_most if table.has("not_sent_most") else None,
    )
