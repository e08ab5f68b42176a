"""Recorded days of the decision module: events that balancers received, and the actions that they returned.

`python -m tests.balancer.recording` plays all days and writes them to `tests/balancer/recorded/`. Run it only
if decisions are meant to change: until then, the recordings show that they did not. A file contains
compressed JSON lines: one for each balancer that is created, and one for each of its events, with the
returned actions.
"""

from __future__ import annotations

import json
import lzma
import random
from collections.abc import Iterator, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest.mock import patch

from benchmarks import fleet_size
from benchmarks.fleet_size import Day, Size
from fordtrestle.balancer import Balancer, Settings, model
from rig.sim.policy import Flow, Host
from tests.balancer import test_rules_property

FOLDER = Path(__file__).resolve().parent / "recorded"
SIZE = Size(servers=36, sidecars=12, length_ms=10_000.0)
RECORDED_SIDECARS = 2  # of each day; the other sidecars take part without being recorded
RULES_SITES = 12  # sites with random rules and steps, see `test_rules_property`
REPORTED_SHARE = 0.7  # of the outcomes, if a site has reports

ACTIONS = {
    kind.__name__: kind
    for kind in (
        *(model.Send, model.Refuse, model.Fail, model.Cancel, model.Timer, model.Fetch, model.Watch),
        *(model.Probe, model.CloseIdle, model.Tell, model.Log),
    )
}


def encode_action(action: model.Action) -> list[Any]:
    """Encode an action for JSON, as its type name and its fields."""
    fields = [repr(field) if isinstance(field, bytes) else field for field in action]
    return [type(action).__name__, *fields]


def _encode_argument(argument: Any) -> Any:
    if isinstance(argument, bytes):
        return repr(argument)
    if isinstance(argument, list):
        return [list(entry) for entry in argument]
    return argument


class Recorder:
    """A balancer that records its events and the actions that it returns."""

    def __init__(self, rows: list[Any], number: int, now: float, raw: Mapping[str, Any], seed: int) -> None:
        self._rows, self._number = rows, number
        rows.append([number, now, "made", [raw, seed], []])
        self._balancer = Balancer(now, Settings.parse(raw), seed)

    def __getattr__(self, name: str) -> Any:
        # Tests read other attributes of the balancer.
        return getattr(self._balancer, name)

    def _call(self, now: float, name: str, *arguments: Any) -> list[model.Action]:
        actions = getattr(self._balancer, name)(now, *arguments)
        encoded = [_encode_argument(argument) for argument in arguments]
        row = [self._number, now, name, encoded, [encode_action(action) for action in actions]]
        self._rows.append(json.loads(json.dumps(row)))
        return actions

    def request(self, now, arrival):
        return self._call(now, "request", arrival)

    def outcome(self, now, request_id, hop, status, spent=0.0, last=False, report=None):
        return self._call(now, "outcome", request_id, hop, int(status), spent, last, report)

    def answer_started(self, now, request_id, hop):
        return self._call(now, "answer_started", request_id, hop)

    def timer(self, now, token):
        return self._call(now, "timer", token)

    def server_list(self, now, form, entries):
        return self._call(now, "server_list", form, list(entries))

    def pressure(self, now, share):
        return self._call(now, "pressure", share)

    def probe_result(self, now, server, status, spent=0.0, report=None):
        return self._call(now, "probe_result", server, int(status), spent, report)

    def peer_message(self, now, peer, data):
        return self._call(now, "peer_message", peer, data)

    def client_gone(self, now, request_id):
        return self._call(now, "client_gone", request_id)

    def settle(self, now, raw):
        """Change the settings, which are given as plain values."""
        actions = self._balancer.settle(now, Settings.parse(raw))
        self._rows.append([self._number, now, "settle", [raw], [encode_action(a) for a in actions]])
        return actions


class FleetRecorder(Recorder):
    """A recorder that adds what the simulated servers and clients lack: reports, work, tenants."""

    def __init__(self, *arguments: Any, extras: Mapping[str, Any]) -> None:
        super().__init__(*arguments)
        self._extras, self._rng = extras, random.Random(f"told/{arguments[1]}")

    def request(self, now, arrival):
        if self._extras.get("work"):
            arrival = arrival._replace(work=round(self._rng.uniform(10.0, 90.0), 3))
        tenants = self._extras.get("tenants", 1)
        return super().request(now, arrival._replace(tenant=self._rng.randrange(tenants)))

    def outcome(self, now, request_id, hop, status, spent=0.0, last=False, report=None):
        if self._extras.get("reports") and self._rng.random() < REPORTED_SHARE:
            report = {"queue": float(self._rng.randrange(6)), "util": round(self._rng.random(), 3)}
        return super().outcome(now, request_id, hop, status, spent, last, report)


def _site(me: int, changes: Mapping[str, Any]) -> dict[str, Any]:
    """Build the plain settings of a sidecar of a fleet; `changes` are merged into their sections."""
    profiles = [
        {
            "Semantics": "token" if name == "port-check" else "side_effect",
            "Group": "zone",
            "KeyTtl": 1200.0,
            "Objective": latency_target_ms,
            "Deadline": deadline,
            "LateWorth": 0.5,
            "Worth": worth,
        }
        for name, _, _, _, latency_target_ms, deadline, worth in fleet_size.CLASSES
    ]
    raw: dict[str, Any] = {
        "Profiles": profiles,
        "FailureDomains": list(fleet_size.ZONES),
        "Locality": me % len(fleet_size.ZONES),
        "Domain": {"WarmKeys": True},
        "Me": me,
        "Balancers": SIZE.sidecars,
        "Discovery": "automatic",
        "WorthBy": "work",
        "Prices": {"Connection": 0.03, "Handshake": 0.03, "CrossZone": 0.01},
        "PolicyLimits": {
            "MaxAttempts": 3, "ConnectTimeout": 250.0, "IdleClose": 5000.0, "RetryAfter": True,
            "MaxRetryAfter": 500.0,
        },
        "Rules": {"ColdFrom": 0.31, "WarmUp": 7800.0, "FallMultiple": 3.0, "OverloadFor": 2000.0},
    }  # fmt: skip
    for part, change in changes.items():
        if part == "Profiles":
            for profile, changed in zip(profiles, change, strict=True):
                profile.update(changed)
        elif isinstance(change, dict):
            raw[part] = {**raw.get(part, {}), **change}
        else:
            raw[part] = change
    return raw


def _leave_room(host: Host, slots: int, queue: int) -> None:
    """Set the numbers of requests that a server processes at once and queues."""
    host.machine.make = replace(host.make, slots=slots, queue=queue)


def _herd(day: Day) -> None:
    """Kill sidecars while servers are slow, and lose the answers of a few servers."""
    fleet_size.herd(day)
    for host in list(day.world.hosts.values())[::5]:
        day.world.at(1500.0, lambda host=host: setattr(host, "lost_share", 1.0))


def _crowd(day: Day) -> None:
    """Triple the load for 3 s on servers with short queues, with sidecars under pressure and new settings."""
    for host in day.world.hosts.values():
        day.world.at(4000.0, lambda h=host: _leave_room(h, slots=2, queue=1))
    day.world.flow(Flow(1200.0, 400.0, 40.0, 90.0, from_ms=3000.0, until_ms=6000.0, keys=40), SIZE.length_ms)
    for number in range(RECORDED_SIDECARS):
        for at_ms, share in ((2000.0, 0.3), (2600.0, 0.0), (8000.0, 0.8), (8400.0, 0.0)):
            day.world.at(
                at_ms, lambda n=number, s=share: day.world.sidecars[n].balancer.pressure(day.world.now, s)
            )
        other = _site(number, SITES["crowd"][1])
        other["Profiles"][0].update({"Group": "cell", "Worth": 4.0, "InTurn": True})
        other["PolicyLimits"]["MaxAttempts"] = 2
        other["Rules"]["ReleaseWithin"] = 400.0
        day.world.at(
            6500.0, lambda n=number, raw=other: day.world.sidecars[n].balancer.settle(day.world.now, raw)
        )


def _outage(day: Day) -> None:
    """Crash all servers for 2 s; later, one in eight hangs and one in eight fails."""
    hosts = list(day.world.hosts.values())
    for host in hosts:
        day.world.at(2500.0, lambda host=host: host.die(4500.0))
    for host in hosts[::8]:
        day.world.at(6500.0, lambda host=host: host.vanish(9000.0))
    for host in hosts[1::8]:
        day.world.at(6500.0, lambda host=host: setattr(host, "error_share", 0.6))


def _full(day: Day) -> None:
    """Play the zone failures of `fleet_size.zone` while, for 3 s, all servers but a few reject requests."""
    fleet_size.zone(day)
    for number, host in enumerate(day.world.hosts.values()):
        if number % 8:
            day.world.at(5000.0, lambda h=host: _leave_room(h, slots=1, queue=0))
            day.world.at(8000.0, lambda h=host: _leave_room(h, h.make.slots, h.make.queue))


def _errors(day: Day) -> None:
    """Make most answers of all servers immediate errors for 4 s."""
    for host in day.world.hosts.values():
        day.world.at(3000.0, lambda host=host: setattr(host, "error_share", 0.8))
        day.world.at(7000.0, lambda host=host: setattr(host, "error_share", 0.0))


# By day: what happens, how its settings differ, and what `FleetRecorder` adds to its events.
SITES: dict[str, tuple[Any, dict[str, Any], dict[str, Any]]] = {
    "roll": (
        fleet_size.roll,
        {"Discovery": "subscribe", "Rules": {"ReleaseWithin": 500.0, "AskWithin": 3000.0}},
        {},
    ),
    "herd": (
        _herd,
        {"Profiles": [{"Semantics": "pure", "LateWorth": 0.0}, {}], "Prices": {"Handshake": 0.0}},
        {"work": True},
    ),
    "zone": (
        _full,
        {
            "Domain": {"WarmKeys": False},
            "Prices": {"Connection": 0.0, "CrossZone": 0.3},
            "Report": {"How": "inline", "Fields": ["queue", "util"]},
        },
        {"reports": True, "work": True},
    ),
    "crowd": (
        _crowd,
        {
            "Domain": {"WarmKeys": False},
            "Tenants": [{"AllowancePerS": 30.0}, {"AllowancePerS": 10.0}],
            "OverShareWorth": 0.3,
            "Goal": {"Whole": 0.6, "WorstClass": 0.4},
            "Profiles": [{"Group": "all", "LateWorth": 0.0}, {"Semantics": "pure"}],
        },
        {"tenants": 3, "work": True},
    ),
    "outage": (
        _outage,
        {
            "Rules": {"SettleAfterDoubt": 40.0},
            "Profiles": [{"InTurn": True, "LateWorth": 0.0}, {"Semantics": "pure"}],
            "PolicyLimits": {"ParallelTries": True, "MayCancel": True, "MaxAttempts": 4},
        },
        {},
    ),
    "errors": (
        _errors,
        {"Domain": {"WarmKeys": False}, "Profiles": [{"Semantics": "pure"}, {}]},
        {},
    ),
}


def record_fleet_day(name: str, seed: int) -> list[Any]:
    """Record the events of the first sidecars on a day of a fleet."""
    run_day, changes, extras = SITES[name]
    rows: list[Any] = []
    numbers = iter(range(10**6))

    def balancer(now: float, settings: Settings, own_seed: int) -> Any:
        raw = _site(settings.me, changes)
        if settings.me >= RECORDED_SIDECARS:
            return Balancer(now, Settings.parse(raw), own_seed)
        return FleetRecorder(rows, next(numbers), now, raw, own_seed, extras=extras)

    day = Day(SIZE, seed, balancer)
    run_day(day)
    day.play()
    return rows


def read(path: Path) -> Iterator[list[Any]]:
    """Read the rows of a recorded day: balancer number, time, event, arguments, actions."""
    with lzma.open(path, "rt", encoding="utf-8") as lines:
        for line in lines:
            yield json.loads(line)


def write(path: Path, rows: list[Any]) -> None:
    """Write a recorded day."""
    with lzma.open(path, "wt", encoding="utf-8", preset=9) as lines:
        for row in rows:
            lines.write(json.dumps(row, separators=(",", ":")) + "\n")


def decode_arguments(name: str, arguments: list[Any]) -> list[Any]:
    """Decode the arguments of an event."""
    if name == "request":
        return [model.Arrival(*arguments[0])]
    if name == "server_list":
        return [arguments[0], [model.Listing(*entry) for entry in arguments[1]]]
    if name == "settle":
        return [Settings.parse(arguments[0])]
    if name == "peer_message":
        return [arguments[0], arguments[1].encode()]
    return arguments


def replay(rows: Iterator[list[Any]]) -> Iterator[tuple[list[Any], list[Any]]]:
    """Yield each recorded event with the actions that the current code returns."""
    balancers: dict[int, Balancer] = {}
    for row in rows:
        number, now, name, arguments, _ = row
        if name == "made":
            balancers[number] = Balancer(now, Settings.parse(arguments[0]), arguments[1])
            continue
        actions = getattr(balancers[number], name)(now, *decode_arguments(name, arguments))
        yield row, json.loads(json.dumps([encode_action(action) for action in actions]))


def _rules_site(rng: random.Random) -> dict[str, Any]:
    """Build the settings of a site with random rules, as `test_rules_property.World` needs them."""
    profiles = [
        {
            "Semantics": rng.choice(["pure", "token", "side_effect"]),
            "Group": rng.choice(["all", "zone", "cell"]),
            "KeyTtl": rng.choice([50.0, 400.0]),
            "Objective": rng.choice([60.0, 200.0]),
            "Deadline": 400.0,
            "LateWorth": rng.choice([0.0, 0.5]),
            "Streaming": rng.random() < 0.5,
            "InTurn": rng.random() < 0.5,
        }
        for _ in range(rng.randrange(1, 4))
    ]
    return {
        "Profiles": profiles,
        "FailureDomains": ["one", "two", "three"],
        "Kinds": ["one", "two"],
        "Discovery": rng.choice(["automatic", "subscribe"]),
        "Domain": {"WarmKeys": rng.random() < 0.5},
        "Prices": rng.choice([{}, {"CrossZone": 0.2}, {"Connection": 0.1, "Handshake": 0.1}]),
        "PolicyLimits": {
            "MaxAttempts": rng.randrange(2, 7),
            "ParallelTries": rng.random() < 0.5,
            "MayCancel": rng.random() < 0.5,
            "MayProbe": rng.random() < 0.5,
            "PeerMessages": rng.random() < 0.5,
            "RetryAfter": rng.random() < 0.5,
            "MaxRetryAfter": 300.0,
        },
        "Report": {"How": rng.choice(["off", "inline"]), "Fields": ["inflight"]},
        "Rules": {
            "AskWithin": 2000.0,
            "ColdFrom": 0.2,
            "WarmUp": 3000.0,
            "SettleAfterDoubt": test_rules_property.SETTLE,
            "ReleaseWithin": rng.choice([0.0, 100.0]),
        },
        "Tenants": [{"AllowancePerS": 5.0}] * rng.randrange(3),
    }


def record_rules(sites: int) -> list[Any]:
    """Record random days on sites with random rules, which `test_rules_property` plays."""
    steps = [
        "arrive",
        "arrive",
        "arrive",
        "burst",
        "short",
        "lose_client",
        "change_server",
        "full_list",
        "wait",
        "long",
        "peer",
    ]
    steps += ["unknown_ids", "discovery_refused", "restart"]
    rows: list[Any] = []
    numbers = iter(range(10**6))
    for number in range(sites):
        rng = random.Random(f"rules/{number}")
        raw = _rules_site(rng)

        def recorder(now: float, _: Settings, seed: int, raw: dict[str, Any] = raw) -> Recorder:
            return Recorder(rows, next(numbers), now, raw, seed)

        with patch.object(test_rules_property, "Balancer", recorder):
            test_rules_property.play(test_rules_property.World(raw, number), rng.choices(steps, k=60))
    return rows


def record(name: str) -> list[Any]:
    """Record one day and return its rows."""
    if name == "rules":
        return record_rules(RULES_SITES)
    return record_fleet_day(name, list(SITES).index(name))


def main() -> None:
    """Record all days."""
    for name in (*SITES, "rules"):
        write(FOLDER / f"{name}.jsonl.xz", record(name))


if __name__ == "__main__":
    main()
