"""Schedules of faults between nodes, as data: read, written, drawn by a seed, and shrunk. Pure.

A file has one JSON object per line: the first line is the `Head`, each further line a `Step`, in the order of
their times. A schedule is always written with the same bytes, and a seed always draws the same schedule.
Invalid input raises `ScheduleError`; its text is one line that names the file, the line and the field.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import ClassVar, Literal, TypeVar

import msgspec
from msgspec import Struct

T = TypeVar("T")

FORMAT = 1
MAX_NODES = 200
MAX_STEPS = 10_000
MAX_LENGTH_MS = 3_600_000
SHRINK_TRIES = 400
NEWS = 5  # steps that `draw` adds for the registry
SERVERS = 8  # of every cluster, named s0 and up
MAX_SETTINGS = 1000

Disk = Literal["kept", "emptied", "older"]
Way = Literal[
    "cut", "stall", "loss", "late", "reorder", "double", "narrow", "reset", "half_open", "flip"
]  # faults of a link
Writes = Literal["lose", "torn", "lie", "eio_once", "eio", "full", "slow", "changed", "lost_rename"]
Status = Literal["leaving", "left", "active", "rewind"]  # changes by the registry
Verdict = Literal["kept", "unknown", "broken"]


class ScheduleError(ValueError):
    """An invalid schedule. The text is one line."""


class Head(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What a schedule is played on: `nodes` nodes, named n0 and up, for `length_ms`. Times are milliseconds.

    `verdict` is the expected result, with contradictions of at most `bound_ms`; 0: the player sets the bound.
    """

    format: int
    seed: int
    nodes: int
    length_ms: int
    bound_ms: int = 0
    verdict: Verdict = "kept"


class Link(Struct, frozen=True, tag_field="kind", tag="link", forbid_unknown_fields=True):
    """A fault on each link from one of `src` to one of `dst`, in that direction only.

    `amount` is a share of messages or connections for loss, reorder, double, reset, half_open and flip,
    milliseconds for late, and bytes per second for narrow; cut and stall have none.
    """

    at_ms: int
    lasts_ms: int
    way: Way
    src: tuple[str, ...]
    dst: tuple[str, ...]
    amount: float = 0.0


class Kill(Struct, frozen=True, tag_field="kind", tag="kill", forbid_unknown_fields=True):
    """SIGKILL, and a start after `lasts_ms` with the disk kept, emptied, or replaced by an older copy."""

    at_ms: int
    lasts_ms: int
    node: str
    disk: Disk = "kept"


class Stop(Struct, frozen=True, tag_field="kind", tag="stop", forbid_unknown_fields=True):
    """SIGSTOP and SIGCONT.

    With a `share` below 1 the node is starved: it is stopped for that part of each 100 ms.
    """

    at_ms: int
    lasts_ms: int
    node: str
    share: float = 1.0


class DiskFault(Struct, frozen=True, tag_field="kind", tag="disk", forbid_unknown_fields=True):
    """A fault of a node's disk, for what is written, synced and read."""

    at_ms: int
    lasts_ms: int
    node: str
    writes: Writes


class Clock(Struct, frozen=True, tag_field="kind", tag="clock", forbid_unknown_fields=True):
    """A node's clock jumps by `jump_ms` and drifts by `drift_ppm`, and is reset at the end."""

    at_ms: int
    lasts_ms: int
    node: str
    jump_ms: int = 0
    drift_ppm: int = 0


class News(Struct, frozen=True, tag_field="kind", tag="news", forbid_unknown_fields=True):
    """The registry reports that a server is leaving, has left or is active.

    `rewind`, which names no server: the registry's list and index return to their state before the last
    change.
    """

    at_ms: int
    lasts_ms: int = 1
    server: str = ""
    status: Status = "leaving"


class Reload(Struct, frozen=True, tag_field="kind", tag="reload", forbid_unknown_fields=True):
    """A node's file changes to the settings of that number; all nodes begin with number 1."""

    at_ms: int
    lasts_ms: int = 1
    node: str = ""
    settings: int = 2


Step = Link | Kill | Stop | DiskFault | Clock | News | Reload
KINDS = ("links", "processes", "disks", "clocks", "reloads")
WAYS: tuple[Way, ...] = (
    "cut",
    "stall",
    "loss",
    "late",
    "reorder",
    "double",
    "narrow",
    "reset",
    "half_open",
    "flip",
)
SHARES: tuple[Way, ...] = ("loss", "reorder", "double", "reset", "half_open", "flip")
DISKS: tuple[Disk, ...] = ("kept", "emptied", "older")
WRITES: tuple[Writes, ...] = (
    "lose",
    "torn",
    "lie",
    "eio_once",
    "eio",
    "full",
    "slow",
    "changed",
    "lost_rename",
)


class Schedule(Struct, frozen=True):
    """A head and its steps, in the order of their times."""

    head: Head
    steps: tuple[Step, ...] = ()

    LINE: ClassVar[msgspec.json.Decoder[Step]] = msgspec.json.Decoder(Step)

    @property
    def healed_ms(self) -> int:
        """The end of the last fault; 0 if there is none. Changes of servers are no faults."""
        faults = [step for step in self.steps if not isinstance(step, News) or step.status == "rewind"]
        return max((step.at_ms + step.lasts_ms for step in faults), default=0)

    def encode(self) -> bytes:
        """Return the schedule as the content of a file."""
        lines = [msgspec.json.encode(part) for part in (self.head, *self.steps)]
        return b"\n".join(lines) + b"\n"


def names(count: int) -> list[str]:
    """Return the names of nodes: n0, n1 and up."""
    return [f"n{number}" for number in range(count)]


def servers(count: int = SERVERS) -> list[str]:
    """Return the names of servers: s0, s1 and up."""
    return [f"s{number}" for number in range(count)]


def read(text: bytes, file: str) -> Schedule:
    """Parse the content of a file.

    Raises:
        ScheduleError: It is invalid; the text names the file, the line and the field.
    """
    lines = text.split(b"\n")
    if lines and not lines[-1]:
        lines.pop()
    if not lines:
        raise ScheduleError(f"{file}:1: empty, expected a line with format, seed, nodes and length_ms")
    if len(lines) > MAX_STEPS + 1:
        raise ScheduleError(f"{file}:{MAX_STEPS + 2}: more than {MAX_STEPS} steps")
    head = _decoded(lines[0], file, 1, lambda line: msgspec.json.decode(line, type=Head))
    wrong = _wrong_head(head)
    if wrong:
        raise ScheduleError(f"{file}:1: {wrong}")
    steps: list[Step] = []
    for number, line in enumerate(lines[1:], 2):
        step = _decoded(line, file, number, Schedule.LINE.decode)
        wrong = wrong_step(step, head)
        if not wrong and steps and step.at_ms < steps[-1].at_ms:
            wrong = f"at_ms: {step.at_ms} is before the step above, at {steps[-1].at_ms}"
        if wrong:
            raise ScheduleError(f"{file}:{number}: {wrong}")
        steps.append(step)
    return Schedule(head, tuple(steps))


def _decoded(line: bytes, file: str, number: int, decode: Callable[[bytes], T]) -> T:
    try:
        return decode(line)
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(" - at `$.")
        raise ScheduleError(f"{file}:{number}: {where.rstrip('`') or 'line'}: {reason}") from None
    except msgspec.DecodeError as error:
        raise ScheduleError(f"{file}:{number}: line: {error}") from None


def _wrong_head(head: Head) -> str:
    if head.format != FORMAT:
        return f"format: {head.format} is unknown, expected {FORMAT}"
    if not 1 <= head.nodes <= MAX_NODES:
        return f"nodes: {head.nodes} is not from 1 to {MAX_NODES}"
    if not 1 <= head.length_ms <= MAX_LENGTH_MS:
        return f"length_ms: {head.length_ms} is not from 1 to {MAX_LENGTH_MS}"
    if not 0 <= head.bound_ms <= MAX_LENGTH_MS:
        return f"bound_ms: {head.bound_ms} is not from 0 to {MAX_LENGTH_MS}"
    return ""


def wrong_step(step: Step, head: Head) -> str:
    """Return the first invalid field and what is wrong with it; empty if the step is valid."""
    if not 0 <= step.at_ms < head.length_ms:
        return f"at_ms: {step.at_ms} is not from 0 to below {head.length_ms}"
    if not 1 <= step.lasts_ms <= head.length_ms - step.at_ms:
        return f"lasts_ms: {step.lasts_ms} is not from 1 to {head.length_ms - step.at_ms}, the schedule's end"
    if isinstance(step, News):
        return _wrong_news(step)
    known = set(names(head.nodes))
    if isinstance(step, Link):
        return _wrong_link(step, known)
    if step.node not in known:
        return f"node: no {step.node!r} of {head.nodes}"
    if isinstance(step, Stop) and not 0.0 < step.share <= 1.0:
        return f"share: {step.share:g} is not above 0 and up to 1"
    if isinstance(step, Clock) and not (
        abs(step.drift_ppm) <= 100_000 and abs(step.jump_ms) <= MAX_LENGTH_MS
    ):
        return "drift_ppm: beyond 100000 ppm, or jump_ms beyond 3600000 ms"
    if isinstance(step, Reload) and not 1 <= step.settings <= MAX_SETTINGS:
        return f"settings: {step.settings} is not from 1 to {MAX_SETTINGS}"
    return ""


def _wrong_news(step: News) -> str:
    if step.status == "rewind":
        return (
            f"server: {step.server!r}, expected none: a rewind concerns the whole list" if step.server else ""
        )
    return "" if step.server in servers() else f"server: no {step.server!r} of {SERVERS}"


def _wrong_link(step: Link, known: set[str]) -> str:
    for field, ends in (("src", step.src), ("dst", step.dst)):
        for end in ends:
            if end not in known and end not in OUTSIDE:
                return f"{field}: no {end!r} of {len(known)}"
        if not ends:
            return f"{field}: empty"
    if step.way in SHARES and not 0.0 < step.amount <= 1.0:
        return f"amount: {step.amount:g} of {step.way} is not a share above 0 and up to 1"
    if step.way in ("late", "narrow") and not 0.0 < step.amount <= 1e9:
        return f"amount: {step.amount:g} of {step.way} is not above 0 and up to 1e9"
    return ""


OUTSIDE = ("registry", "clients", "servers")  # ends of links that are not nodes


def line_of(step: Step) -> str:
    """Format a step as one line for people."""
    if isinstance(step, Link):
        amount = f" {step.amount:g}" if step.amount else ""
        action = f"{step.way}{amount} from {','.join(step.src)} to {','.join(step.dst)}"
    elif isinstance(step, News):
        action = f"news {step.server} {step.status}" if step.server else f"news {step.status}"
    else:
        fields = {name: getattr(step, name) for name in step.__struct_fields__[2:]}
        fields_text = " ".join(f"{name}={value}" for name, value in fields.items() if name != "node")
        action = f"{type(step).__name__.lower()} {step.node} {fields_text}".rstrip()
    return f"{step.at_ms:>8} .. {step.at_ms + step.lasts_ms:<8} {action}"


# --- drawing -----------------------------------------------------------------------------------


def draw(
    seed: int,
    nodes: int,
    length_ms: int,
    kinds: Sequence[str] = KINDS,
    steps: int = 12,
    news: bool = True,
) -> Schedule:
    """Draw a schedule by swarm testing: a random subset of the kinds is used, and most faults overlap.

    Each step has a random stream of its own, named after its number, so that taking one step out changes no
    other. All faults are over at three quarters of the length.

    Args:
        seed: The seed.
        nodes: The number of nodes.
        length_ms: The length of the schedule.
        kinds: The kinds of faults to choose from.
        steps: The number of faults.
        news: Whether rules change amid the faults, by `NEWS` further steps.

    Raises:
        ScheduleError: A kind is unknown, or a size is out of range.
    """
    unknown = [kind for kind in kinds if kind not in KINDS]
    if unknown or not kinds:
        raise ScheduleError(
            f"faults: no {', '.join(unknown) or 'kinds'}, expected some of {', '.join(KINDS)}"
        )
    head = Head(FORMAT, seed, nodes, length_ms)
    wrong = _wrong_head(head)
    if wrong:
        raise ScheduleError(f"draw: {wrong}")
    swarm = random.Random(f"{seed}/swarm")
    enabled_kinds = [kind for kind in kinds if swarm.random() < 0.6] or [swarm.choice(list(kinds))]
    ways = [way for way in WAYS if swarm.random() < 0.5] or [swarm.choice(WAYS)]
    # Faults are concentrated in a few stretches of time, so that they overlap.
    centres = [swarm.uniform(0.1, 0.5) * length_ms for _ in range(2)]
    drawn: list[Step] = _draw_news(seed, length_ms) if news else []
    for number in range(steps):
        rng = random.Random(f"{seed}/step/{number}")
        kind = rng.choice(enabled_kinds)
        at_ms = round(min(0.6 * length_ms, max(0.0, rng.gauss(rng.choice(centres), 0.06 * length_ms))))
        lasts_ms = max(1, min(round(rng.uniform(0.02, 0.25) * length_ms), round(0.75 * length_ms) - at_ms))
        drawn.append(_draw_step(rng, kind, at_ms, lasts_ms, nodes, ways))
    return Schedule(head, in_order(drawn))


def in_order(steps: Iterable[Step]) -> tuple[Step, ...]:
    """Return steps as a schedule has them: by time, and at the same time in a fixed order."""
    return tuple(sorted(steps, key=lambda step: (step.at_ms, msgspec.json.encode(step))))


def _draw_news(seed: int, length_ms: int) -> list[Step]:
    """Draw changes of the registry's list.

    Three servers begin to leave; in the end one of them has left, and another is active again.
    """
    rng = random.Random(f"{seed}/news")
    leaving = rng.sample(servers(), 3)
    times = sorted(round(rng.uniform(0.1, 0.6) * length_ms) for _ in leaving)
    news: list[Step] = [
        News(at_ms, 1, server, "leaving") for at_ms, server in zip(times, leaving, strict=True)
    ]
    ends: tuple[tuple[str, Status], ...] = ((leaving[0], "left"), (leaving[1], "active"))
    for server, status in ends:
        news.append(News(round(rng.uniform(0.62, 0.74) * length_ms), 1, server, status))
    return news


def _draw_step(
    rng: random.Random, kind: str, at_ms: int, lasts_ms: int, nodes: int, ways: Sequence[Way]
) -> Step:
    every = names(nodes)
    node = rng.choice(every)
    if kind == "processes":
        if rng.random() < 0.5:
            return Kill(at_ms, lasts_ms, node, rng.choice(("kept", "kept", "emptied", "older")))
        return Stop(at_ms, lasts_ms, node, rng.choice((1.0, 1.0, 0.5, 0.9)))
    if kind == "reloads":
        return Reload(at_ms, 1, node, rng.choice((2, 2, 3)))
    if kind == "disks":
        return DiskFault(at_ms, lasts_ms, node, rng.choice(WRITES))
    if kind == "clocks":
        return Clock(at_ms, lasts_ms, node, rng.choice((0, -10_000, 10_000, 300)), rng.choice((0, 500, -500)))
    way = rng.choice(ways)
    src, dst = draw_ends(rng, every)
    amount = 0.0
    if way in SHARES:
        amount = round(rng.uniform(0.05, 0.9), 2)
    elif way == "late":
        amount = float(rng.choice((20, 100, 400, 1500)))
    elif way == "narrow":
        amount = float(rng.choice((200, 2_000, 20_000)))
    return Link(at_ms, lasts_ms, way, tuple(src), tuple(dst), amount)


def draw_ends(rng: random.Random, every: Sequence[str]) -> tuple[list[str], list[str]]:
    """Draw the links of a fault: one, all to or from a node, one way between two halves, or from outside."""
    shape = rng.choice(("one", "to", "from", "split", "outside"))
    node = rng.choice(every)
    others = [name for name in every if name != node] or [node]
    if shape == "one":
        return [node], [rng.choice(others)]
    if shape == "to":
        return others, [node]
    if shape == "from":
        return [node], others
    if shape == "outside":
        return [rng.choice(OUTSIDE)], [node]
    half = sorted(rng.sample(every, max(1, len(every) // 2)))
    return half, [name for name in every if name not in half] or [node]


# --- groups and bridges ------------------------------------------------------------------------


def split(at_ms: int, lasts_ms: int, groups: Sequence[Sequence[str]], way: Way = "cut") -> list[Link]:
    """Return faults that cut groups off from one another, in both directions."""
    links = []
    for one, other in itertools.permutations(groups, 2):
        links.append(Link(at_ms, lasts_ms, way, tuple(one), tuple(other)))
    return links


def bridge(at_ms: int, lasts_ms: int, left: Sequence[str], middle: str, right: Sequence[str]) -> list[Link]:
    """Return faults that leave two groups connected only through one node, which reaches both."""
    return split(at_ms, lasts_ms, ([n for n in left if n != middle], [n for n in right if n != middle]))


def ring(at_ms: int, lasts_ms: int, every: Sequence[str]) -> list[Link]:
    """Return faults that leave each node connected only to its two neighbours."""
    count = len(every)
    links = []
    for index, node in enumerate(every):
        near = {node, every[(index + 1) % count], every[(index - 1) % count]}
        far = tuple(name for name in every if name not in near)
        if far:
            links.append(Link(at_ms, lasts_ms, "cut", (node,), far))
    return links


# --- one of each -------------------------------------------------------------------------------

ONE_OF_EACH_LENGTH_MS = 3_500
ONE_OF_EACH_BOUND_MS = 5_000  # beyond a fault's length, until contradictions themselves are bounded
ONE_OF_EACH_AT_MS, ONE_OF_EACH_LASTS_MS = 500, 1_500
ONE_OF_EACH_NEWS: tuple[Step, ...] = (
    News(300, 1, "s1", "leaving"),
    News(900, 1, "s2", "leaving"),
    News(1300, 1, "s1", "left"),
    News(2400, 1, "s2", "active"),
)
# A loss by the disk itself is no breach of the node. Nodes follow a registry whose index goes back, so that
# one version has two contents.
ONE_OF_EACH_VERDICTS: dict[str, Verdict] = {
    "disk-lie": "unknown", "disk-lost-rename": "unknown", "disk-changed": "unknown",
    "kill-emptied": "unknown", "kill-older": "unknown", "rewind": "broken",
}  # fmt: skip
AMOUNTS: dict[Way, float] = {
    "loss": 0.5, "late": 400.0, "reorder": 0.5, "double": 0.5, "narrow": 400.0, "reset": 0.5,
    "half_open": 0.5, "flip": 0.5,
}  # fmt: skip


def one_of_each(seed: int, nodes: int = 3) -> dict[str, Schedule]:
    """Return one short schedule for each kind of fault, by name.

    Servers leave before, during and after each fault. A fault of a disk overlaps changes that are stored, and
    the node is killed and restarted after it.

    Args:
        seed: The seed of the schedules.
        nodes: The number of nodes; a few schedules need up to 5.
    """
    every = names(nodes)
    at_ms, lasts_ms = ONE_OF_EACH_AT_MS, ONE_OF_EACH_LASTS_MS
    steps_by_name: dict[str, tuple[Step, ...]] = {}
    for way in WAYS:
        # Both directions between one node and all ends but its callers and servers; those are judged by the
        # rules.
        own, ends = ("n0",), ("registry", *every[1:])
        amount = AMOUNTS.get(way, 0.0)
        steps_by_name[f"link-{way.replace('_', '-')}"] = (
            Link(at_ms, lasts_ms, way, ends, own, amount),
            Link(at_ms, lasts_ms, way, own, ends, amount),
        )
    for disk in DISKS:
        steps_by_name[f"kill-{disk}"] = (Kill(1000, 500, "n0", disk),)
    steps_by_name["stop"] = (Stop(at_ms, lasts_ms, "n0"),)
    steps_by_name["starved"] = (Stop(at_ms, lasts_ms, "n0", 0.8),)
    for writes in WRITES:
        # Changed bytes show when they are read, as the node starts again.
        until_ms = 2300 if writes == "changed" else 1500
        steps_by_name[f"disk-{writes.replace('_', '-')}"] = (
            DiskFault(at_ms, until_ms - at_ms, "n0", writes),
            Kill(1600, 300, "n0"),
        )
    steps_by_name["clock-jump"] = (Clock(at_ms, lasts_ms, "n0", jump_ms=-10_000),)
    steps_by_name["clock-drift"] = (Clock(at_ms, lasts_ms, "n0", drift_ppm=50_000),)
    steps_by_name["reload"] = (Reload(at_ms, 1, "n0", 2),)
    steps_by_name["silent-registry"] = (Link(at_ms, lasts_ms, "stall", ("registry",), tuple(every)),)
    steps_by_name["rewind"] = (News(1600, 1, "", "rewind"),)
    schedules = {
        name: _each(seed, nodes, steps, ONE_OF_EACH_VERDICTS.get(name, "kept"))
        for name, steps in steps_by_name.items()
    }
    five_names = names(5)
    schedules["split"] = _each(seed, 4, split(at_ms, lasts_ms, (five_names[:2], five_names[2:4])))
    schedules["bridge"] = _each(
        seed, 5, bridge(at_ms, lasts_ms, five_names[:2], five_names[2], five_names[3:])
    )
    schedules["ring"] = _each(seed, 5, ring(at_ms, lasts_ms, five_names))
    return schedules


def _each(seed: int, nodes: int, steps: Iterable[Step], verdict: Verdict = "kept") -> Schedule:
    faults = tuple(steps)
    bound_ms = max(step.lasts_ms for step in faults) + ONE_OF_EACH_BOUND_MS
    head = Head(FORMAT, seed, nodes, ONE_OF_EACH_LENGTH_MS, bound_ms, verdict)
    return Schedule(head, in_order((*ONE_OF_EACH_NEWS, *faults)))


# --- shrinking ---------------------------------------------------------------------------------


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool], tries: int = SHRINK_TRIES) -> Schedule:
    """Return a smaller schedule that still fails: steps are removed, then times and ends are made smaller.

    Args:
        schedule: A schedule that fails; if it does not, it is returned unchanged.
        fails: Plays a schedule and returns whether it fails.
        tries: How often `fails` is called at most.
    """
    tries_left = tries
    best = schedule
    has_shrunk = True
    while has_shrunk and tries_left > 0:
        has_shrunk = False
        for smaller in _smaller(best):
            if tries_left <= 0:
                break
            tries_left -= 1
            if fails(smaller):
                best, has_shrunk = smaller, True
                break
    return best


def _smaller(schedule: Schedule) -> Iterator[Schedule]:
    """Yield each schedule that is one reduction smaller, the largest reductions first."""
    steps = schedule.steps
    size = len(steps) // 2
    while size >= 1:
        for start in range(0, len(steps), size):
            yield Schedule(schedule.head, steps[:start] + steps[start + size :])
        size //= 2
    for index, step in enumerate(steps):
        for other in _smaller_steps(step):
            yield Schedule(schedule.head, (*steps[:index], other, *steps[index + 1 :]))


def _smaller_steps(step: Step) -> Iterable[Step]:
    if step.lasts_ms >= 200:
        yield msgspec.structs.replace(step, lasts_ms=step.lasts_ms // 2)
    if isinstance(step, News) and step.status == "left":
        yield msgspec.structs.replace(step, status="leaving")
    if isinstance(step, Link):
        if len(step.src) > 1:
            yield msgspec.structs.replace(step, src=step.src[: len(step.src) // 2])
        if len(step.dst) > 1:
            yield msgspec.structs.replace(step, dst=step.dst[: len(step.dst) // 2])
