"""Measures how long a fleet keeps rejecting requests after a short trigger, in virtual time.

`python -m benchmarks.lock_in [--quick] [--seed N] [--seeds COUNT] [--json FILE] [--tree DIR]
[--only NAME[,NAME]] [--use SHARE] [--jobs N] [--plain] [--free]`. The decision module (of another checkout
with `--tree`) plays a day with steady load around one trigger, for `--seeds` seeds starting at `--seed`:

- calm: nothing happens; a module that locks here does so without a trigger.
- release: a quarter to half of the servers are replaced by cold ones within 4 s, without any fault.
- blip: all servers stall for 1 s. burst: twice the capacity of the servers for 2 to 3 s.
- outage: all servers are down for 3 s and return, warm or cold. cold: all restart at once.
- scale_down: a quarter of the servers leaves for good. errors: a third of them returns errors for 3 s.
- tenant: one of four tenants sends four times its share for 3 s.
- mixed: a burst, with two classes of which one has ten times the aim and deadline of the other.
- overload: 1.5 times the capacity of the servers until the end of the day.

A seed draws the use (0.6, 0.8 or 0.85 of the capacity left after the trigger; `--use` sets it), the sidecars
(1, 6, 32, and in the long form 200), their rate (1 to 50 requests per second), the tries of clients (1, 3 or
9), the share of clients that ignore the wait that a rejection asks for, and whether keys are kept together,
servers slow down (choke) when crowded, and responses are errors or are lost. If the traffic is so low that
matching servers would be too slow for the aims, the use is lower.

A request is in time if its first try succeeds within its aim. A window begins at each arrival after the end
of the trigger and lasts 2 s, or longer until it contains 200 requests. A run has recovered when every later
window has 95% in time; the recovery time is that from the end of the trigger to the first such window. The
run is locked if the last complete window of the day, which begins about 14 s after the end of the trigger,
has fewer in time. If servers started cold, the trigger ends when the last of them has had its time to warm
up. A server that crashes because it received too much while cold restarts 1 s later, which does not move the
end of the trigger. `--plain` plays a policy that rejects nothing (`rig.sim.plain`) instead of the module, to
show what each world allows.

Since connections have a price, a module may keep each sidecar to few servers and so overload some servers and
leave others idle for good. `--free` sets no such prices, which separates this effect from rejections.

An overload never ends. The worth served from 3 s after its beginning (late responses count half) is divided
by the largest worth that the capacity of the servers allows. The share must be at least `MIN_KEPT` in each
run.

Exit codes: 0 no run locked, all p95 are under `MAX_P95_S` and no overload collapsed; 1 otherwise; 2 bad
input.
"""

from __future__ import annotations

import contextlib
import itertools
import math
import multiprocessing
import os
import random
import statistics
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from benchmarks import fleet_size
from benchmarks.common import (
    BAD_INPUT,
    DONE,
    NOT_MET,
    create_parser,
    format_figure,
    select_names,
    table,
    write_json,
)
from benchmarks.fleet_size import ZONES, balancer_of
from fordtrestle.balancer import Balancer, model
from fordtrestle.balancer.model import Settings
from rig.model import Make
from rig.sim.plain import Plain
from rig.sim.policy import Asked, Decides, End, Flow, Host, World

MAX_P95_S = 3.0
MIN_KEPT = 0.5
IN_TIME = 0.95
WINDOW_MS, WINDOW_REQUESTS = 2000.0, 200  # enough to distinguish 98% from 95%
SEEDS, QUICK_SEEDS = 50, 3
TRIGGER_MS = 8000.0  # beginning of the trigger, when the module has learned rates and speeds
LEARNED_MS, LAST_MS = 3000.0, 6500.0  # interval before the trigger in which a run is measured
AFTER_MS, WINDOWS_SPARE = 14_000.0, 1.2  # from the end of the trigger until the last complete window begins
GRACE_MS = 10_000.0  # after the last arrival, when all requests have ended
OVERLOAD, OVERLOAD_SETTLED_MS = 1.5, 3000.0
WARM_UP_MS = 7800.0
CRASH_CHECK_MS, CRASH_DOWN_MS = 100.0, 1000.0
LATE_WORTH = 0.5

USES = (0.6, 0.8, 0.85)
TRIES = (1, 3, 9)
RATES = {1: (20.0, 35.0, 50.0), 6: (5.0, 20.0, 50.0), 32: (1.0, 4.0, 10.0), 200: (1.0, 1.5)}
MANY, MANY_INTERVAL = 200, 5  # in the long form, every fifth seed has this many sidecars
RATE_PER_SERVER, MIN_SERVERS, MIN_SERVERS_FOR_ONE = 30.0, 4, 3
MIN_SPEED = 0.7  # a slower server would use up too much of the aim
SPOILT = (0.0, 0.005)  # with more, too few would be in time under any policy
TENANTS, TENANT_TIMES = 4, 4.0
CHOKE_TIMES, CHOKE_USE = 1.3, 0.65  # up to this use, choked servers still carry the load

CLASSES = fleet_size.CLASSES
# The same classes with aims and deadlines that differ tenfold.
MIXED = (
    ("port-check", 0.63, 35.0, 84.0, 600.0, 800.0, 10.0),
    ("port-commit", 0.37, 43.5, 106.0, 6000.0, 8000.0, 2.0),
)

# Results after which clients retry: the first class may be repeated, the others only after a rejection.
SAFE_AGAIN: tuple[End, ...] = ("refused", "failed", "unanswered")
UNSAFE_AGAIN: tuple[End, ...] = ("refused",)

Factory = Callable[[float, Settings, int], Any]


@dataclass(frozen=True, slots=True)
class Conditions:
    """Conditions that a seed draws for a trigger. Rates are requests per second, shares are of 1."""

    trigger: str
    seed: int
    sidecars: int
    rate: float  # first tries at all sidecars together
    use: float  # of the capacity that remains after the trigger
    servers: int
    leaving: int  # servers that leave for good
    speed: float
    tries: int  # of a client, including the first
    wait_ms: float  # of a client before its second try
    honours: float  # share of clients that wait as long as a rejection asks for
    keyed: bool
    chokes: bool
    spoilt: float  # share of responses that are errors; an equal share is lost
    priced: bool  # whether connections and zone crossings have a price, as at the site

    @property
    def after_ms(self) -> float:
        """Time from the end of the trigger to the end of the day (ms).

        It is long enough for a complete window to begin `AFTER_MS` after the end of the trigger.
        """
        return AFTER_MS + WINDOWS_SPARE * max(WINDOW_MS, 1000.0 * WINDOW_REQUESTS / self.rate)


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of a run. Shares are of 1; all but `before` and `kept` are of arrivals after the trigger."""

    before: float  # in time, before the trigger
    back_s: float | None  # None: locked
    after: float  # in time
    refused: float
    failed: float
    tries_a_request: float  # of clients
    sends_a_request: float
    kept: float | None  # share of the largest possible worth, in an overload


def draw_conditions(
    trigger: str, seed: int, long: bool, use: float | None = None, priced: bool = True
) -> Conditions:
    """Draw the conditions of a run; the same arguments give the same conditions."""
    rng = random.Random(f"lock_in/{trigger}/{seed}")
    sidecars = MANY if long and seed % MANY_INTERVAL == 0 else (1, 6, 32)[seed % 3]
    rate = sidecars * rng.choice(RATES[sidecars])
    # With so many sidecars, balancing is no better than chance.
    drawn_use = rng.choice(USES if sidecars < MANY else USES[:2])
    use = drawn_use if use is None else use
    least = MIN_SERVERS_FOR_ONE if sidecars == 1 else MIN_SERVERS
    servers = max(least, round(rate / RATE_PER_SERVER))
    leaving = max(1, servers // 4) if trigger == "scale_down" else 0
    # In cores of speed 1.
    load_per_server = rate * _mean_work_ms() / 1000.0 / (servers - leaving)
    speed = max(MIN_SPEED, load_per_server / use)
    use = load_per_server / speed
    chokes = rng.random() < 0.4
    return Conditions(
        trigger=trigger,
        seed=seed,
        sidecars=sidecars,
        rate=rate,
        use=use,
        servers=servers,
        leaving=leaving,
        speed=speed,
        tries=rng.choice(TRIES),
        wait_ms=rng.uniform(20.0, 100.0),
        honours=rng.choice((0.0, 0.5, 1.0)),
        keyed=rng.random() < 0.5 and trigger != "overload",
        chokes=chokes and use <= CHOKE_USE and trigger != "overload",
        spoilt=rng.choice(SPOILT),
        priced=priced,
    )


def _mean_work_ms() -> float:
    return sum(share * work for _, share, work, *_ in CLASSES)


class Day:
    """A run: its simulated world, its clients and the end of its trigger."""

    def __init__(self, drawn: Conditions, balancer: Factory) -> None:
        self.drawn = drawn
        self.rng = random.Random(f"lock_in/day/{drawn.trigger}/{drawn.seed}")
        self.classes = MIXED if drawn.trigger == "mixed" else CLASSES
        self.tenants = TENANTS if drawn.trigger == "tenant" else 0
        self.make = Make(
            speed=drawn.speed,
            warm_up_ms=WARM_UP_MS,
            key_saving=0.5 if drawn.keyed else 0.0,
            keys=70,
            choke_at=8 if drawn.chokes else 0,
            choke_times=CHOKE_TIMES,
            choke_rest_ms=100.0,
        )
        names = [f"s{number}" for number in range(drawn.servers)]
        self.world = World(
            {name: replace(self.make, speed=drawn.speed * self.rng.uniform(0.95, 1.05)) for name in names},
            balancer=lambda me, seed: balancer(0.0, self._settings(me), seed),
            sidecars=drawn.sidecars,
            seed=drawn.seed,
            half_ms=0.6,
            zones={name: number % len(ZONES) for number, name in enumerate(names)},
            idle_ms=fleet_size.IDLE_MS * fleet_size.POOL_IDLE_SHARE,
        )
        for host in self.world.hosts.values():
            host.error_share = host.lost_share = drawn.spoilt
        self.weights = tuple(self.rng.gammavariate(2.0, 1.0) for _ in range(drawn.sidecars))
        self.end_ms = TRIGGER_MS
        self.asked_by_end = self.sends_by_end = 0

    def _settings(self, me: int) -> Settings:
        """Return the settings of a sidecar: those of `fleet_size` with the classes of this day."""
        fleet_settings = fleet_size.settings(me, self.drawn.sidecars)
        profiles = tuple(
            replace(profile, objective=aim, deadline=deadline)
            for profile, (_, _, _, _, aim, deadline, _) in zip(
                fleet_settings.profiles, self.classes, strict=True
            )
        )
        allowances = (self.drawn.rate / TENANTS,) * self.tenants
        return replace(
            fleet_settings,
            profiles=profiles,
            allowances=allowances,
            over_share_worth=0.1,
            warm_keys=self.drawn.keyed,
            max_retry_after=2000.0,
            prices=fleet_settings.prices if self.drawn.priced else {},
        )

    # --- clients -------------------------------------------------------------------

    def add_load(self, rate: float, from_ms: float, until_ms: float, tenant: int = 0) -> None:
        """Add client requests of all classes at a rate (1/s).

        Clients that wait as long as a rejection asks for get flows of their own.
        """
        honours = self.drawn.honours
        for flow_share, waits in ((honours, True), (1.0 - honours, False)):
            for traffic_class, (name, share, work, io, aim, deadline, worth) in enumerate(self.classes):
                if flow_share <= 0.0:
                    continue
                flow = Flow(
                    rate_per_s=rate * share * flow_share,
                    budget_ms=deadline,
                    work_ms=work,
                    io_ms=io,
                    spread=0.8,
                    traffic_class=traffic_class,
                    tenant=tenant,
                    from_ms=from_ms,
                    until_ms=until_ms,
                    aim_ms=aim,
                    retries=self.drawn.tries - 1,
                    wait_ms=self.drawn.wait_ms,
                    honours=waits,
                    again=UNSAFE_AGAIN if traffic_class else SAFE_AGAIN,
                    weights=self.weights,
                    keys=fleet_size.KEYS,
                    key_zipf=1.0,
                    worth=worth,
                    name=name,
                )
                self.world.flow(flow, until_ms)

    def add_steady_load(self, until_ms: float) -> None:
        """Add the load of the whole day."""
        count = max(1, self.tenants)
        for tenant in range(count):
            self.add_load(self.drawn.rate / count, 0.0, until_ms, tenant)

    def add_overload(self, times: float, until_ms: float) -> None:
        """Add load from the beginning of the trigger, so that the total is `times` the capacity."""
        self.add_load(self.drawn.rate * (times / self.drawn.use - 1.0), TRIGGER_MS, until_ms)

    # --- servers -------------------------------------------------------------------

    def draw_servers(self, share: float) -> list[Host]:
        """Draw a share of the servers, at least one."""
        hosts = list(self.world.hosts.values())
        return self.rng.sample(hosts, max(1, round(share * len(hosts))))

    def announce(self, entries: Sequence[model.Listing]) -> None:
        """Announce list changes to all sidecars, which learn of them 0.3 to 1.6 s from now."""
        for me in range(self.drawn.sidecars):
            heard_ms = self.world.now + self.rng.uniform(300.0, 1600.0)
            self.world.at(heard_ms, lambda me=me: self.world.tell("changes", entries, [me]))  # type: ignore[misc]

    def replace_server(self, old: Host) -> None:
        """Drain a server and add a cold one in its place; the old one serves what still reaches it."""
        new = f"t{old.name[1:]}"
        listing = model.Listing(new, old.listing.zone, started=self.world.now)
        self.world.add(new, old.make, listing)
        self.world.hosts[new].error_share = self.world.hosts[new].lost_share = self.drawn.spoilt
        self.announce([old.listing._replace(state="left"), listing])

    def restart(self, host: Host, away_ms: float, cold: bool) -> None:
        """End the process of a server; a new one listens there later and is announced by discovery."""
        back_ms = self.world.now + away_ms
        host.die(back_ms, cold)
        started = back_ms if cold else host.listing.started

        def announce() -> None:
            host.listing = host.listing._replace(started=started)
            self.announce([host.listing])

        self.world.at(back_ms, announce)

    def _restart_crashed(self) -> None:
        """Restart the servers that crashed."""
        for host in self.world.hosts.values():
            if host.how == "up" and host.machine.fallen_ms is not None:
                self.restart(host, CRASH_DOWN_MS, cold=True)
        self.world.at(self.world.now + CRASH_CHECK_MS, self._restart_crashed)

    # --- the run -------------------------------------------------------------------

    def play(self) -> Figures:
        """Play the run to its end and return its results."""
        until_ms = self.end_ms + self.drawn.after_ms
        self.add_steady_load(until_ms)
        self.world.at(CRASH_CHECK_MS, self._restart_crashed)
        self.world.run(self.end_ms)
        sends = self.world.sends
        self.world.run(until_ms + GRACE_MS)
        rows = sorted(self.world.asked, key=lambda request: request.at_ms)
        after = [request for request in rows if request.at_ms >= self.end_ms]
        before = [request for request in rows if LEARNED_MS <= request.at_ms < LAST_MS]
        count = max(1, len(after))
        is_overload = self.drawn.trigger == "overload"
        return Figures(
            before=sum(map(in_time, before)) / max(1, len(before)),
            back_s=0.0 if is_overload else recovery_s(after, self.end_ms),
            after=sum(map(in_time, after)) / count,
            refused=sum(request.end == "refused" for request in after) / count,
            failed=sum(request.end in (None, "failed", "unanswered") for request in after) / count,
            tries_a_request=sum(request.tries for request in after) / count,
            sends_a_request=(self.world.sends - sends) / count,
            kept=self._kept(after) if is_overload else None,
        )

    def _kept(self, rows: Sequence[Asked]) -> float:
        """Return the worth served in an overload over the largest worth that its servers can serve."""
        worth_share = {"served": 1.0, "late": LATE_WORTH}
        served = sum(a.flow.worth * a.work_ms * worth_share.get(a.end or "", 0.0) for a in rows)
        left = sum(host.make.speed for host in self.world.hosts.values()) * self.drawn.after_ms
        best = 0.0
        for worth in sorted({request.flow.worth for request in rows}, reverse=True):
            work = min(left, sum(request.work_ms for request in rows if request.flow.worth == worth))
            best += worth * work
            left -= work
        return served / best


def in_time(request: Asked) -> bool:
    """Return whether the first try of a request succeeded within its aim."""
    return request.end == "served" and request.tries == 1


def recovery_s(rows: Sequence[Asked], end_ms: float) -> float | None:
    """Return the seconds from the end of the trigger until all later windows are in time.

    Args:
        rows: Requests that arrived after the trigger until the end of the load, ordered by time.
        end_ms: End of the trigger.

    Returns:
        The recovery time (s), or None if the last window is not in time.
    """
    in_time_counts = [0]
    for request in rows:
        in_time_counts.append(in_time_counts[-1] + in_time(request))
    back_ms: float | None = end_ms
    until, last_ms = 0, rows[-1].at_ms if rows else end_ms
    for first, request in enumerate(rows):
        while until < len(rows) and rows[until].at_ms < request.at_ms + WINDOW_MS:
            until += 1
        past = max(until, first + WINDOW_REQUESTS)
        if past > len(rows) or request.at_ms + WINDOW_MS > last_ms:
            break  # no complete window begins here or later
        if in_time_counts[past] - in_time_counts[first] < IN_TIME * (past - first):
            back_ms = None
        elif back_ms is None:
            back_ms = request.at_ms
    return None if back_ms is None else (back_ms - end_ms) / 1000.0


# --- the triggers ----------------------------------------------------------------------


def calm(day: Day) -> None:
    """Let nothing happen."""


def release(day: Day) -> None:
    hosts = day.draw_servers(day.rng.uniform(0.25, 0.5))
    span_ms = day.rng.uniform(0.0, 4000.0)
    for number, host in enumerate(hosts):
        at_ms = TRIGGER_MS + span_ms * number / len(hosts)
        day.world.at(at_ms, lambda host=host: day.replace_server(host))  # type: ignore[misc]
        day.end_ms = at_ms + WARM_UP_MS


def blip(day: Day) -> None:
    for host in day.world.hosts.values():
        day.world.at(TRIGGER_MS, lambda host=host: host.stand_still(1000.0))  # type: ignore[misc]
    day.end_ms = TRIGGER_MS + 1000.0


def burst(day: Day) -> None:
    day.end_ms = TRIGGER_MS + day.rng.uniform(2000.0, 3000.0)
    day.add_overload(2.0, day.end_ms)


def outage(day: Day) -> None:
    cold = day.rng.random() < 0.5
    for host in day.world.hosts.values():
        day.world.at(TRIGGER_MS, lambda host=host: day.restart(host, 3000.0, cold))  # type: ignore[misc]
    day.end_ms = TRIGGER_MS + 3000.0 + WARM_UP_MS * cold


def cold(day: Day) -> None:
    for host in day.world.hosts.values():
        away_ms = day.rng.uniform(300.0, 1000.0)
        day.world.at(TRIGGER_MS, lambda host=host, away=away_ms: day.restart(host, away, True))  # type: ignore[misc]
        day.end_ms = max(day.end_ms, TRIGGER_MS + away_ms + WARM_UP_MS)


def scale_down(day: Day) -> None:
    leaving = day.rng.sample(list(day.world.hosts.values()), day.drawn.leaving)
    entries = [host.listing._replace(state="left") for host in leaving]
    day.world.at(TRIGGER_MS, lambda: day.announce(entries))


def errors(day: Day) -> None:
    day.end_ms = TRIGGER_MS + 3000.0

    def set_share(host: Host, share: float) -> None:
        host.error_share = share

    for host in day.draw_servers(1.0 / 3.0):
        day.world.at(TRIGGER_MS, lambda host=host: set_share(host, 1.0))  # type: ignore[misc]
        day.world.at(day.end_ms, lambda host=host: set_share(host, day.drawn.spoilt))  # type: ignore[misc]


def tenant(day: Day) -> None:
    day.end_ms = TRIGGER_MS + 3000.0
    day.add_load(day.drawn.rate / TENANTS * (TENANT_TIMES - 1.0), TRIGGER_MS, day.end_ms)


def overload(day: Day) -> None:
    day.end_ms = TRIGGER_MS + OVERLOAD_SETTLED_MS
    day.add_overload(OVERLOAD, day.end_ms + day.drawn.after_ms)


TRIGGERS: dict[str, Callable[[Day], None]] = {
    "calm": calm, "release": release, "blip": blip, "burst": burst, "outage": outage, "cold": cold,
    "scale_down": scale_down, "errors": errors, "tenant": tenant, "mixed": burst, "overload": overload,
}  # fmt: skip


def play(drawn: Conditions, balancer: Factory) -> Figures:
    """Play one run."""
    day = Day(drawn, balancer)
    TRIGGERS[drawn.trigger](day)
    return day.play()


# --- all runs --------------------------------------------------------------------------


def plain(now: float, settings: Settings, seed: int) -> Decides:
    """Create the policy that rejects nothing, instead of the module."""
    return Plain(settings.max_attempts, seed)


def _play(drawn: Conditions, use_plain: bool) -> tuple[Conditions, Figures]:
    return drawn, play(drawn, plain if use_plain else Balancer)


@contextlib.contextmanager
def module_of(tree: Path) -> Iterator[None]:
    """Let processes started in this context import the decision module and its interface from a checkout.

    Module and interface must be of one checkout, since the names of fields may differ between them.
    """
    with tempfile.TemporaryDirectory(prefix="lock-in-") as folder:
        (Path(folder) / "fordtrestle").symlink_to(tree / "fordtrestle")
        sys.path.insert(0, folder)
        try:
            yield
        finally:
            sys.path.remove(folder)


def play_all(
    runs: Sequence[Conditions], tree: Path, jobs: int, use_plain: bool = False
) -> dict[str, list[tuple[Conditions, Figures]]]:
    """Play runs in `jobs` processes and return the results by trigger, in the order of the seeds."""
    played: dict[str, list[tuple[Conditions, Figures]]] = {}
    fresh = multiprocessing.get_context("spawn")
    with module_of(tree), ProcessPoolExecutor(jobs, fresh) as pool:
        for conditions, figures in pool.map(_play, runs, itertools.repeat(use_plain)):
            played.setdefault(conditions.trigger, []).append((conditions, figures))
    return played


def summarize(runs: Sequence[Figures]) -> dict[str, Any]:
    """Summarize the runs of a trigger in seconds and shares of 1. A locked run counts as the slowest."""
    seconds = sorted(math.inf if run.back_s is None else run.back_s for run in runs)

    def finite(value: float) -> float | None:
        return value if math.isfinite(value) else None

    kept_shares = [run.kept for run in runs if run.kept is not None]
    return {
        "runs": len(runs),
        "locked": sum(run.back_s is None for run in runs),
        "median_s": finite(statistics.median_high(seconds)),
        "p95_s": finite(seconds[math.ceil(0.95 * len(seconds)) - 1]),
        "worst_s": finite(seconds[-1]),
        "before": statistics.fmean(run.before for run in runs),
        "after": statistics.fmean(run.after for run in runs),
        "refused": statistics.fmean(run.refused for run in runs),
        "failed": statistics.fmean(run.failed for run in runs),
        "tries_a_request": statistics.fmean(run.tries_a_request for run in runs),
        "sends_a_request": statistics.fmean(run.sends_a_request for run in runs),
        "kept_worst": min(kept_shares) if kept_shares else None,
    }


def is_met(row: dict[str, Any]) -> bool:
    """Return whether the runs of a trigger meet the bounds."""
    if row["kept_worst"] is not None:
        return bool(row["kept_worst"] >= MIN_KEPT)
    return row["locked"] == 0 and row["p95_s"] is not None and row["p95_s"] < MAX_P95_S


HEADS = (
    *("trigger", "runs", "locked", "median s", "p95 s", "worst s", "before%", "after%", "refused%"),
    *("failed%", "tries/req", "sends/req", "worth kept%"),
)


def cells(name: str, row: dict[str, Any]) -> list[str]:
    """Return the table row of a trigger; the time of a run that never recovered is `never`."""
    if row["kept_worst"] is None:
        back = [row[key] for key in ("median_s", "p95_s", "worst_s")]
        seconds = [str(row["locked"]), *("never" if s is None else format_figure(s, ".1f") for s in back)]
    else:
        seconds = ["-"] * 4
    kept_percent = None if row["kept_worst"] is None else 100.0 * row["kept_worst"]
    return [
        name,
        str(row["runs"]),
        *seconds,
        *(format_figure(100.0 * row[key], ".1f") for key in ("before", "after", "refused", "failed")),
        *(format_figure(row[key], ".2f") for key in ("tries_a_request", "sends_a_request")),
        format_figure(kept_percent, ".0f"),
    ]


def main() -> int:
    """Play, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = create_parser("lock_in", __doc__)
    parser.add_argument(
        "--quick", action="store_true", help=f"{QUICK_SEEDS} seeds, and never {MANY} sidecars"
    )
    parser.add_argument("--seeds", type=int, help=f"of each trigger; {SEEDS} in the long form")
    parser.add_argument("--only", metavar="NAME[,NAME]", help=f"of {', '.join(TRIGGERS)}")
    parser.add_argument("--use", type=float, help="share of the capacity after the trigger")
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2), help="processes")
    parser.add_argument("--plain", action="store_true", help="play a policy that rejects nothing")
    parser.add_argument("--free", action="store_true", help="set no price for connections and zone crossings")
    options = parser.parse_args()
    names = select_names(options.only, list(TRIGGERS), parser)
    count = options.seeds if options.seeds is not None else QUICK_SEEDS if options.quick else SEEDS
    if min(count, options.jobs) < 1:
        parser.error("--seeds, --jobs: expected at least 1")
    if options.use is not None and not 0.1 <= options.use <= 0.95:
        parser.error("--use: expected 0.1 to 0.95")
    try:
        balancer_of(options.tree)  # fails here rather than in the processes
    except ValueError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    seeds = range(options.seed, options.seed + count)
    runs = [
        draw_conditions(name, seed, not options.quick, options.use, not options.free)
        for name in names
        for seed in seeds
    ]
    played = play_all(runs, options.tree, options.jobs, options.plain)
    rows = {name: summarize([figures for _, figures in pairs]) for name, pairs in played.items()}
    print(table(HEADS, [cells(name, row) for name, row in rows.items()]))
    is_all_met = all(map(is_met, rows.values()))
    report = {
        "seed": options.seed,
        "plain": options.plain,
        "free": options.free,
        "met": is_all_met,
        "triggers": rows,
        "runs": [
            asdict(conditions) | asdict(figures) for pairs in played.values() for conditions, figures in pairs
        ],
    }
    write_json(options.json, options.tree, report)
    return DONE if is_all_met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())
