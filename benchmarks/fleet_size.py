"""Plays days of 200 sidecars and 120 servers in virtual time and sums the effects of their own decisions.

`python -m benchmarks.fleet_size [--quick] [--seed N] [--json FILE] [--tree DIR] [--only NAME[,NAME]]
[--sidecars N]`. The decision module (of another checkout with `--tree`) plays against the simulated servers
of the rig. The days calm, roll, herd, zone, split and join follow those of the permanent fleet test
(`docs/fleet-test.md`). The same seed gives the same day.

Exit codes: 0 all days were played and calm opened new connections for at most `MAX_FRESH_SHARE` of its
requests, 1 otherwise, 2 bad input.
"""

from __future__ import annotations

import importlib
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

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
from fordtrestle import balancer as package
from fordtrestle.balancer import model
from fordtrestle.balancer.model import Settings
from rig.model import Make
from rig.sim.policy import Asked, Flow, World

ZONES = ("north", "middle", "south")
SERVERS, QUICK_SERVERS = 120, 36
SIDECARS, QUICK_SIDECARS = 200, 60
RATE_PER_SERVER = 11.0  # requests per second
LENGTH_MS, QUICK_MS = 24_000.0, 12_000.0
IDLE_MS, POOL_IDLE_SHARE = 5000.0, 0.9
GRACE_MS = 2500.0  # after the last arrival, when all requests have ended
KEYS = 3000
WINDOW_MS = 5000.0  # length of the windows of which the worst is taken
MAX_FRESH_SHARE = 0.35  # new connections per request on calm

CLASSES = (
    # name, share, work, io, aim, deadline, worth
    ("port-check", 0.63, 35.0, 84.0, 600.0, 2000.0, 10.0),
    ("port-commit", 0.37, 43.5, 106.0, 1500.0, 5000.0, 2.0),
)


def settings(me: int, sidecars: int) -> Settings:
    """Return the settings of a sidecar.

    Args:
        me: Number of the sidecar.
        sidecars: How many sidecars share the traffic.
    """
    return Settings.parse(
        {
            "Profiles": [
                {
                    "Semantics": "token" if name == "port-check" else "side_effect",
                    "Group": "zone",
                    "KeyTtl": 1200.0,
                    "Objective": aim,
                    "Deadline": deadline,
                    "LateWorth": 0.5,
                    "Worth": worth,
                }
                for name, _, _, _, aim, deadline, worth in CLASSES
            ],
            "FailureDomains": list(ZONES),
            "Locality": me % len(ZONES),
            "Domain": {"WarmKeys": True},
            "Me": me,
            "Balancers": sidecars,
            "Discovery": "automatic",
            "WorthBy": "work",
            "Prices": {"Connection": 0.03, "Handshake": 0.03, "CrossZone": 0.01},
            "PolicyLimits": {
                "MaxAttempts": 3,
                "ConnectTimeout": 250.0,
                "IdleClose": IDLE_MS,
                "RetryAfter": True,
            },
            "Rules": {"ColdFrom": 0.31, "WarmUp": 7800.0, "FallMultiple": 3.0, "OverloadFor": 2000.0},
        }
    )


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a day."""

    servers: int
    sidecars: int
    length_ms: float


class Day:
    """A day: the simulated world, its events and its results."""

    def __init__(self, size: Size, seed: int, balancer: Callable[[float, Settings, int], Any]) -> None:
        self.size = size
        self.rng = random.Random(f"fleet_size/{seed}")
        names = [f"s{number}" for number in range(size.servers)]
        self.zones = {name: number % len(ZONES) for number, name in enumerate(names)}
        speeds = [self.rng.choice((0.6, 1.0)) * self.rng.uniform(0.85, 1.15) for _ in names]
        self.makes = {
            name: Make(
                speed=speed,
                slots=16,
                queue=300,
                key_saving=0.5,
                key_memory_ms=8000.0,
                keys=70,
                warm_up_ms=6000.0,
            )
            for name, speed in zip(names, speeds, strict=True)
        }
        self.world = World(
            self.makes,
            balancer=lambda me, module_seed: balancer(0.0, settings(me, size.sidecars), module_seed),
            sidecars=size.sidecars,
            seed=seed,
            half_ms=0.6,
            zones=self.zones,
            idle_ms=IDLE_MS * POOL_IDLE_SHARE,
        )
        self.world.zone_of = lambda number: number % len(ZONES)
        # Most sidecars have little traffic, and some several times the mean.
        weights = tuple(self.rng.gammavariate(2.0, 1.0) for _ in range(size.sidecars))
        for traffic_class, (name, share, work, io, aim, deadline, worth) in enumerate(CLASSES):
            flow = Flow(
                rate_per_s=RATE_PER_SERVER * size.servers * share,
                budget_ms=deadline,
                work_ms=work,
                io_ms=io,
                spread=0.8,
                traffic_class=traffic_class,
                aim_ms=aim,
                retries=1,
                weights=weights,
                keys=KEYS,
                key_zipf=1.0,
                worth=worth,
                name=name,
            )
            self.world.flow(flow, size.length_ms)

    # --- events ------------------------------------------------------------------

    def restart_sidecars(
        self, share: float, away_ms: tuple[float, float], from_ms: float, over_ms: float
    ) -> None:
        """Kill a share of the sidecars within `over_ms`; they return with the server list of the start."""
        listings = [host.listing for host in self.world.hosts.values()]
        count = round(share * self.size.sidecars)
        for number in self.rng.sample(range(self.size.sidecars), count):
            at_ms = from_ms + self.rng.random() * over_ms
            back_ms = at_ms + self.rng.uniform(*away_ms)
            self.world.at(at_ms, lambda n=number, back=back_ms: self.world.kill(n, back, listings))  # type: ignore[misc]

    def replace_servers(self, share: float, from_ms: float, over_ms: float) -> None:
        """Drain a share of the servers, each replaced by a cold one.

        All sidecars learn of a replacement 0.3 to 1.6 s later.
        """
        world = self.world
        for number in self.rng.sample(range(self.size.servers), round(share * self.size.servers)):
            old, new = f"s{number}", f"t{number}"
            at_ms = from_ms + self.rng.random() * over_ms

            def swap(old: str = old, new: str = new) -> None:
                listing = model.Listing(new, self.zones[old], started=world.now)
                world.add(new, self.makes[old], listing)
                for me in range(self.size.sidecars):
                    entries = [model.Listing(old, self.zones[old], state="left"), listing]
                    heard_ms = world.now + self.rng.uniform(300.0, 1600.0)
                    world.at(heard_ms, lambda me=me, entries=entries: world.tell("changes", entries, [me]))  # type: ignore[misc]

            world.at(at_ms, swap)

    def lose_zone(self, zone: int, from_ms: float, lasts_ms: float) -> None:
        """Let all servers of a zone vanish without notice and return."""
        for name in [name for name, of in self.zones.items() if of == zone]:
            host = self.world.hosts[name]
            self.world.at(from_ms, lambda host=host: host.vanish(from_ms + lasts_ms))  # type: ignore[misc]

    def cut_zone(self, zone: int, from_ms: float, lasts_ms: float) -> None:
        """Cut a zone off from the others in both directions."""
        others = [other for other in range(len(ZONES)) if other != zone]
        pairs = [(zone, other) for other in others] + [(other, zone) for other in others]
        self.world.at(from_ms, lambda: self.world.cut(pairs, from_ms + lasts_ms))

    def make_slow(self, share: float, from_ms: float) -> None:
        """Stall a share of the servers for 300 ms about every second."""
        for number in self.rng.sample(range(self.size.servers), round(share * self.size.servers)):
            host = self.world.hosts[f"s{number}"]
            at_ms = from_ms
            while at_ms < self.size.length_ms:
                self.world.at(at_ms, lambda host=host: host.stand_still(300.0))  # type: ignore[misc]
                at_ms += self.rng.uniform(800.0, 1200.0)

    # --- results ---------------------------------------------------------------

    def play(self) -> dict[str, float]:
        """Play the day to its end and return its figures: shares of 1, unless their names say otherwise."""
        self.world.run(self.size.length_ms + GRACE_MS)
        rows = [request for request in self.world.asked if request.at_ms < self.size.length_ms]
        by_window: dict[int, list[Asked]] = {}
        for request in rows:
            by_window.setdefault(int(request.at_ms // WINDOW_MS), []).append(request)
        opened, requests = self.world.counts.opened, max(1, len(rows))
        sends = Counter(self.world.counts.sends)
        mean = sum(sends.values()) / max(1, len(self.world.hosts))
        return {
            "served": _served(rows),
            "worst": min(map(_served, by_window.values()), default=0.0),
            "refused": sum(request.end == "refused" for request in rows) / requests,
            "failed": sum(request.end in (None, "failed", "unanswered") for request in rows) / requests,
            "fresh": opened / requests,
            "connections_a_sidecar": self.world.connections_ms / self.world.now / self.size.sidecars,
            "sends_a_request": self.world.sends / requests,
            "busiest_over_mean": max(sends.values(), default=0) / max(1.0, mean),
        }


def _served(rows: list[Asked]) -> float:
    """Return the worth served over the worth requested.

    Late responses count half. The worth of a request is proportional to its work.
    """
    worth = {"served": 1.0, "late": 0.5}
    total = sum(request.flow.worth * request.work_ms for request in rows)
    return sum(
        request.flow.worth * request.work_ms * worth.get(request.end or "", 0.0) for request in rows
    ) / (total or 1.0)


def calm(day: Day) -> None:
    """Play without faults."""


def roll(day: Day) -> None:
    """Replace half of the servers while all sidecars are restarted."""
    length = day.size.length_ms
    day.replace_servers(0.5, 0.2 * length, 0.6 * length)
    day.restart_sidecars(1.0, (300.0, 600.0), 0.2 * length, 0.6 * length)


def herd(day: Day) -> None:
    """Kill seven of ten sidecars at once, while one of eight servers stalls."""
    day.make_slow(0.125, 0.2 * day.size.length_ms)
    day.restart_sidecars(0.7, (1100.0, 5000.0), 0.4 * day.size.length_ms, 200.0)


def zone(day: Day) -> None:
    """Lose a zone for 5 s and later cut another one off, while one of eight servers stalls."""
    length = day.size.length_ms
    day.make_slow(0.125, 0.0)
    day.lose_zone(1, 0.2 * length, min(5000.0, 0.25 * length))
    day.cut_zone(2, 0.6 * length, min(5000.0, 0.25 * length))


def split(day: Day) -> None:
    """Cut a zone off for 6 s."""
    day.cut_zone(0, 0.3 * day.size.length_ms, min(6000.0, 0.4 * day.size.length_ms))


def join(day: Day) -> None:
    """Replace six of ten servers within 7 s."""
    day.replace_servers(0.6, 0.3 * day.size.length_ms, min(7000.0, 0.5 * day.size.length_ms))


DAYS: dict[str, Callable[[Day], None]] = {
    "calm": calm, "roll": roll, "herd": herd, "zone": zone, "split": split, "join": join,
}  # fmt: skip
HEADS = (
    "day",
    "served%",
    "worst 5 s",
    "refused%",
    "failed%",
    "new conn/req",
    "conn held",
    "sends/req",
    "busiest/mean",
)


def balancer_of(tree: Path) -> Callable[[float, Settings, int], Any]:
    """Load the decision module of a checkout with all its parts.

    Only its interface, `fordtrestle.balancer.model`, remains that of this checkout, since the rig uses it.

    Raises:
        ValueError: The module cannot be loaded.
    """
    path = tree / "fordtrestle" / "balancer" / "balancer.py"
    prefix = f"{package.__name__}."
    own_modules = {name: sys.modules[name] for name in list(sys.modules) if name.startswith(prefix)}
    attributes, own_path = dict(vars(package)), package.__path__
    for name in own_modules.keys() - {model.__name__}:
        del sys.modules[name]
    package.__path__ = [str(path.parent)]
    try:
        module = importlib.import_module(f"{prefix}balancer")
    except (OSError, SyntaxError, ImportError) as error:
        raise ValueError(f"{path}: {error}") from error
    finally:
        for name in [name for name in sys.modules if name.startswith(prefix)]:
            del sys.modules[name]
        sys.modules.update(own_modules)
        vars(package).update(attributes)
        package.__path__ = own_path
    factory: Callable[[float, Settings, int], Any] = module.Balancer
    return factory


def cells(name: str, row: dict[str, float]) -> list[str]:
    """Return the table row of a day."""
    percent = [format_figure(100.0 * row[key], ".1f") for key in ("served", "worst", "refused", "failed")]
    connections = [format_figure(row["fresh"], ".3f"), format_figure(row["connections_a_sidecar"], ".1f")]
    return [
        name,
        *percent,
        *connections,
        format_figure(row["sends_a_request"], ".3f"),
        format_figure(row["busiest_over_mean"], ".2f"),
    ]


def main() -> int:
    """Play, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = create_parser("fleet_size", __doc__)
    parser.add_argument(
        "--quick", action="store_true", help=f"{QUICK_SIDECARS} sidecars, {QUICK_SERVERS} servers"
    )
    parser.add_argument("--only", metavar="NAME[,NAME]", help=f"of {', '.join(DAYS)}")
    parser.add_argument("--sidecars", type=int, help="number of sidecars that share the traffic")
    options = parser.parse_args()
    names = select_names(options.only, list(DAYS), parser)
    if options.sidecars is not None and options.sidecars < 1:
        parser.error("--sidecars: expected at least 1")
    size = Size(
        QUICK_SERVERS if options.quick else SERVERS,
        options.sidecars or (QUICK_SIDECARS if options.quick else SIDECARS),
        QUICK_MS if options.quick else LENGTH_MS,
    )
    try:
        balancer = balancer_of(options.tree)
    except ValueError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    rows = {}
    for name in names:
        day = Day(size, options.seed, balancer)
        DAYS[name](day)
        rows[name] = day.play()
        print(f"{name}: played", file=sys.stderr, flush=True)
    print(table(HEADS, [cells(name, row) for name, row in rows.items()]))
    met = rows["calm"]["fresh"] <= MAX_FRESH_SHARE if "calm" in rows else True
    summary = {
        "seed": options.seed,
        "servers": size.servers,
        "sidecars": size.sidecars,
        "met": met,
        "days": rows,
    }
    write_json(options.json, options.tree, summary)
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())
