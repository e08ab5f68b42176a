"""Random valid event sequences, checked by an oracle of the rules that is independent of the module."""

from __future__ import annotations

import copy
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fordtrestle.balancer import Balancer, Settings
from fordtrestle.balancer.model import (
    Arrival,
    Cancel,
    CloseIdle,
    Fail,
    Listing,
    Outcome,
    Probe,
    Refuse,
    Send,
    Timer,
    Watch,
)

NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.ABANDONED}
ENDS = [
    Outcome.OK,
    Outcome.OK,
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.TIMEOUT,
]
TICK = 5.0
SLACK = 3 * TICK
SETTLE = 60.0
DOUBTS = {Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}


@st.composite
def site(draw):
    """Strategy for any settings that the wire allows, as plain values."""
    profiles = []
    for _ in range(draw(st.integers(1, 3))):
        semantics = draw(st.sampled_from(["pure", "token", "side_effect"]))
        profiles.append(
            {
                "Semantics": semantics,
                "Group": draw(st.sampled_from(["all", "zone", "cell"])),
                "KeyTtl": draw(st.sampled_from([50.0, 400.0])),
                "Objective": draw(st.sampled_from([60.0, 200.0])),
                "Deadline": 400.0,
                "LateWorth": draw(st.sampled_from([0.0, 0.5])),
                "Streaming": draw(st.booleans()),
                "InTurn": draw(st.booleans()),
            }
        )
    report = draw(st.sampled_from(["off", "inline", "on_probe"]))
    return {
        "Profiles": profiles,
        "FailureDomains": ["one", "two", "three"],
        "Kinds": ["one", "two"],
        "Discovery": draw(st.sampled_from(["automatic", "subscribe"])),
        "Domain": {"WarmKeys": draw(st.booleans())},
        "PolicyLimits": {
            "MaxAttempts": draw(st.integers(1, 6)),
            "ParallelTries": draw(st.booleans()),
            "MayCancel": draw(st.booleans()),
            "MayProbe": draw(st.booleans()),
            "PeerMessages": draw(st.booleans()),
            "RetryAfter": draw(st.booleans()),
            "MaxRetryAfter": 300.0,
        },
        "Report": {"How": report, "Fields": draw(st.sampled_from([[], ["inflight"]]))},
        "Rules": {
            "AskWithin": 2000.0,
            "ColdFrom": 0.2,
            "WarmUp": 3000.0,
            "SettleAfterDoubt": SETTLE,
            "ReleaseWithin": draw(st.sampled_from([0.0, 100.0])),
        },
        "Tenants": [{"AllowancePerS": 5.0}] * draw(st.integers(0, 2)),
        "WeightKind": draw(st.sampled_from(["off", "nominal"])),
    }


class World:
    """Plays one day of events against a balancer and keeps the oracle's own records.

    The balancer is given `balancer_raw`, which may differ from the settings `raw` that the oracle checks.
    """

    def __init__(self, raw, seed, balancer_raw=None):
        self.raw = raw
        self.balancer_raw = balancer_raw or raw
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.queue = []
        self.count = 0
        self.requests = {}
        self.listed = {}
        self.asked_at = self.now
        self.next_id = 1
        self.start_balancer()

    def start_balancer(self):
        """Start a new balancer and discard all records of the previous one."""
        self.queue = []
        self.requests = {}
        self.asked_at = self.now
        self.uncertain_ends = {}  # by key: the last end after which it may still run, and its request
        self.close_due_from = {}  # by leaving server: its list update, or its last send or outcome
        self.closed = {}
        self.balancer = Balancer(self.now, Settings.parse(self.balancer_raw), self.rng.getrandbits(40))
        entries = [self.entry(i) for i in range(self.rng.choice([0, 1, 5, 9]))]
        self.listed = {entry.server: entry for entry in entries}
        self.apply(self.balancer.server_list(self.now, "remembered", entries))

    def entry(self, number, state="active", started=0.0):
        weight = 1.0 + number % 3
        return Listing(f"s{number}", number % 3, number % 2, number // 3, state, weight, started)

    def schedule(self, delay, method, *args):
        self.count += 1
        self.queue.append((self.now + delay, self.count, method, args))

    def apply(self, actions):
        limits = self.raw["PolicyLimits"]
        for action in actions:
            if isinstance(action, Send):
                self.on_send(action)
            elif isinstance(action, Refuse | Fail):
                self.on_final_answer(action)
            elif isinstance(action, Cancel):
                assert limits["MayCancel"]
                assert action.attempt < len(self.requests[action.request]["attempts"])
            elif isinstance(action, Probe):
                assert limits["MayProbe"]
                assert action.server in self.listed
                delay = self.rng.choice([TICK, 20.0, 500.0])
                self.schedule(delay, "probed", action.server)
            elif isinstance(action, Timer):
                assert action.delay >= 0.0
                assert 1 <= len(action.token) <= 64
                self.schedule(max(action.delay, TICK), "timer", action.token)
            elif isinstance(action, CloseIdle):
                assert action.server in self.listed
                self.closed[action.server] = self.now
            elif isinstance(action, Watch):
                self.asked_at = self.now
                self.schedule(50.0, "listed", self.rng.random() < 0.5)

    def on_send(self, action):
        request = self.requests[action.request]
        profile = self.raw["Profiles"][request["traffic_class"]]
        attempts = request["attempts"]
        assert not request["ended"], "a send after the end"
        assert self.now < request["give_up_at"], "a send after the client gave up"
        assert len(attempts) < self.raw["PolicyLimits"]["MaxAttempts"]
        target = self.listed[action.server]
        assert target.state == "active", "a send to a server known to be leaving"
        if not self.raw["PolicyLimits"]["ParallelTries"]:
            assert all(not a["in_flight"] for a in attempts), "two attempts in flight at once"
        self.check_retry(attempts, profile, target)
        self.check_order(action.request, request, profile)
        if action.server in self.close_due_from:
            self.close_due_from[action.server] = self.now
        hop = len(attempts)
        attempts.append(
            {"sent": self.now, "entry": target, "in_flight": True, "status": None, "is_streaming": False}
        )
        limit = request["give_up_at"] - self.now
        if action.timeout > 0.0:
            limit = min(limit, action.timeout)
        took_ms = self.rng.choice([TICK, 30.0, 150.0, 1e9])
        if took_ms >= limit:
            self.schedule(max(limit, TICK), "outcome", action.request, hop, Outcome.TIMEOUT)
        elif profile["Streaming"] and self.rng.random() < 0.6:
            self.schedule(took_ms, "first", action.request, hop)
        else:
            end = self.rng.choice(ENDS)
            self.schedule(took_ms, "outcome", action.request, hop, end)

    def check_retry(self, attempts, profile, target):
        """Check which requests may be retried, and on which servers."""
        for earlier in attempts:
            if not earlier["in_flight"] and earlier["status"] in NEVER_RAN:
                continue
            assert profile["Semantics"] != "side_effect", "an unsafe request was retried"
            if profile["Semantics"] == "token":
                assert self.now - earlier["sent"] <= profile["KeyTtl"]
                first_entry = earlier["entry"]
                if profile["Group"] == "zone":
                    assert first_entry.zone == target.zone
                elif profile["Group"] == "cell":
                    assert first_entry.cell == target.cell

    def check_order(self, number, request, profile):
        """Check the order of requests with the same key."""
        key = request["key"]
        if not profile["InTurn"] or key is None:
            return
        for other, earlier in self.requests.items():
            if other >= number or earlier["key"] != key:
                continue
            if self.raw["Profiles"][earlier["traffic_class"]]["InTurn"]:
                is_over = earlier["ended"] and not any(a["in_flight"] for a in earlier["attempts"])
                assert is_over, "sent before an earlier request of its key had ended"
        uncertain_at, owner = self.uncertain_ends.get(key, (-1e9, None))
        assert owner == number or self.now >= uncertain_at + SETTLE, "sent while its key was blocked"

    def on_final_answer(self, action):
        request = self.requests[action.request]
        assert not request["ended"], "a second final answer"
        request["ended"] = True
        assert self.now <= request["give_up_at"] + SLACK, "an answer after the client left"
        profile = self.raw["Profiles"][request["traffic_class"]]
        if isinstance(action, Refuse) and profile["Semantics"] != "pure":
            may_have_run = [a for a in request["attempts"] if a["in_flight"] or a["status"] not in NEVER_RAN]
            is_keyed_by_all = profile["Semantics"] == "token" and profile["Group"] == "all"
            assert not may_have_run or is_keyed_by_all, "refused though it may have run"

    def arrive(self, left):
        number = self.next_id
        self.next_id += 1
        traffic_class = self.rng.randrange(len(self.raw["Profiles"]))
        give_up = self.now + left
        self.requests[number] = {
            "traffic_class": traffic_class, "give_up_at": give_up, "attempts": [], "ended": False, "key": None
        }  # fmt: skip
        key = self.requests[number]["key"] = self.rng.choice([None, 1, 2])
        work = self.rng.choice([None, 10.0, 80.0])
        new_arrival = Arrival(number, traffic_class, give_up, self.rng.randrange(3), key, work)
        self.apply(self.balancer.request(self.now, new_arrival))

    def outcome(self, number, hop, status):
        request = self.requests.get(number)
        if request is None:
            return
        attempt = request["attempts"][hop]
        attempt["in_flight"] = False
        attempt["status"] = status
        if status in DOUBTS and self.raw["Profiles"][request["traffic_class"]]["InTurn"]:
            self.uncertain_ends[request["key"]] = (self.now, number)
        name = attempt["entry"].server
        if name in self.close_due_from:
            self.close_due_from[name] = self.now
        if status == Outcome.OK or attempt["is_streaming"]:
            request["ended"] = True
        spent = self.now - attempt["sent"]
        report = {"inflight": 5.0, "x0": 1.0} if self.rng.random() < 0.5 else None
        last = request["ended"]
        self.apply(self.balancer.outcome(self.now, number, hop, status, spent, last, report))

    def first(self, number, hop):
        request = self.requests.get(number)
        if request is None:
            return
        if request["ended"]:
            self.outcome(number, hop, Outcome.CANCELLED)
            return
        request["attempts"][hop]["is_streaming"] = True
        # The answer streams to the client: no final answer is due any more.
        request["ended"] = True
        self.apply(self.balancer.answer_started(self.now, number, hop))
        end = self.rng.choice([Outcome.OK, Outcome.RESET])
        self.schedule(self.rng.choice([20.0, 900.0]), "outcome", number, hop, end)

    def timer(self, token):
        self.apply(self.balancer.timer(self.now, token))

    def probed(self, server):
        status = self.rng.choice([Outcome.OK, Outcome.OK, Outcome.FULL, Outcome.TIMEOUT])
        report = {"inflight": self.rng.choice([0.0, 9.0, 300.0])}
        ok_report = report if status == Outcome.OK else None
        self.apply(self.balancer.probe_result(self.now, server, status, TICK, ok_report))

    def lose_client(self):
        open_ids = [n for n, r in self.requests.items() if not r["ended"]]
        if open_ids:
            number = self.rng.choice(open_ids)
            self.requests[number]["ended"] = True
            self.apply(self.balancer.client_gone(self.now, number))
        self.apply(self.balancer.client_gone(self.now, 999_999))

    def change_server(self):
        number = self.rng.randrange(12)
        state = self.rng.choice(["active", "active", "leaving", "left"])
        started = self.now - self.rng.choice([0.0, 500.0]) if state == "active" else 0.0
        entry = self.entry(number, state, started)
        self.notice(entry)
        self.apply(self.balancer.server_list(self.now, "changes", [entry]))

    def full_list(self):
        kept = [e for e in self.listed.values() if e.state == "active"]
        kept = kept[: self.rng.randrange(len(kept) + 1)]
        for entry in list(self.listed.values()):
            if entry not in kept:
                self.notice(entry._replace(state="left"))
        self.apply(self.balancer.server_list(self.now, "all", kept))

    def notice(self, entry):
        """Record what the balancer is told about one server."""
        before = self.listed.get(entry.server)
        self.listed[entry.server] = entry
        if entry.state == "active":
            self.close_due_from.pop(entry.server, None)
        elif before is not None and before.state == "active":
            self.close_due_from[entry.server] = self.now

    def answer_discovery(self, well):
        if well:
            self.change_server()
        else:
            self.apply(self.balancer.server_list(self.now, "refused", []))

    def advance(self, until):
        while True:
            due = [event for event in self.queue if event[0] <= until]
            if not due:
                break
            event = min(due)
            self.queue.remove(event)
            self.now = max(self.now, event[0])
            method = {"listed": "answer_discovery"}.get(event[2], event[2])
            getattr(self, method)(*event[3])
            self.check_time()
        self.now = until
        self.check_time()

    def check_time(self):
        for request in self.requests.values():
            assert request["ended"] or self.now <= request["give_up_at"] + SLACK, "lost"
        if self.raw["Discovery"] == "subscribe":
            assert self.now - self.asked_at <= 4 * 2000.0
        release_within_ms = self.raw["Rules"]["ReleaseWithin"]
        for name, due_from in self.close_due_from.items():
            if release_within_ms and self.now > due_from + release_within_ms + 2 * TICK:
                assert self.closed.get(name, -1e9) >= due_from, "idle connections were left open on a drain"


STEPS = st.lists(
    st.sampled_from(
        ["arrive", "arrive", "arrive", "burst", "short", "lose_client", "change_server", "full_list", "wait",
         "long", "peer", "unknown_ids", "restart", "discovery_refused"]
    ),
    max_size=40,
)  # fmt: skip


def take_step(world, raw, step):
    """Play one step of a random day."""
    if step in ("arrive", "short"):
        world.arrive(TICK if step == "short" else 400.0)
    elif step == "burst":
        for _ in range(8):
            world.arrive(300.0)
    elif step in ("wait", "long"):
        world.advance(world.now + (40.0 if step == "wait" else 600.0))
    elif step == "peer" and raw["PolicyLimits"]["PeerMessages"]:
        world.apply(world.balancer.peer_message(world.now, 1, b"\x00hello"))
    elif step == "unknown_ids":
        send_unknown_ids(world)
    elif step == "restart":
        world.start_balancer()
    elif step == "discovery_refused" and raw["Discovery"] == "subscribe":
        world.answer_discovery(False)
    elif step in ("lose_client", "change_server", "full_list"):
        getattr(world, step)()


def send_unknown_ids(world):
    """Send events for requests and servers that the balancer does not know."""
    world.apply(world.balancer.outcome(world.now, 999_999, 0, Outcome.OK))
    for token in ("due:999999:0", "late:999999", "turn:999999", "close:nobody", "unknown"):
        world.apply(world.balancer.timer(world.now, token))


def play(world, steps):
    """Play a random day from its first step to its last answer."""
    raw = world.raw
    for step in steps:
        take_step(world, raw, step)
        world.advance(world.now + TICK)
    world.advance(world.now + 3000.0)
    assert all(request["ended"] for request in world.requests.values())
    assert not world.balancer._requests or any(r["in_flight"] for r in open_streams(world))
    assert not world.balancer._key_order.queues or world.balancer._requests


def open_streams(world):
    """Yield for each request whether an attempt is still in flight after the day, at a hung server."""
    for request in world.requests.values():
        yield {"in_flight": any(attempt["in_flight"] for attempt in request["attempts"])}


@settings(derandomize=True, max_examples=400, deadline=None)
@given(site(), STEPS, st.integers(0, 2**32))
def test_random_days_keep_the_rules(raw, steps, seed):
    play(World(raw, seed), steps)


@pytest.mark.parametrize(
    ("part", "message"),
    [("order", "before an earlier request"), ("rest", "was blocked"), ("release", "left open")],
)
def test_each_further_oracle_fails_if_the_module_does_not_know_the_setting(part, message):
    raw = {
        "Profiles": [
            {
                "Semantics": "pure", "Objective": 60.0, "Deadline": 400.0, "LateWorth": 0.5, "InTurn": True,
                "Streaming": False,
            }
        ],
        "FailureDomains": ["one", "two", "three"],
        "Discovery": "automatic",
        "PolicyLimits": {"MaxAttempts": 2, "ParallelTries": False, "MayCancel": True, "PeerMessages": False},
        "Rules": {"ColdFrom": 0.2, "WarmUp": 3000.0, "SettleAfterDoubt": SETTLE, "ReleaseWithin": 100.0},
    }  # fmt: skip
    balancer_raw = copy.deepcopy(raw)
    if part == "order":
        balancer_raw["Profiles"][0]["InTurn"] = False
    else:
        del balancer_raw["Rules"]["SettleAfterDoubt" if part == "rest" else "ReleaseWithin"]
    steps = ["arrive", "burst", "change_server", "wait", "arrive", "long"] * 8
    play_seeds(raw, raw, steps)
    with pytest.raises(AssertionError, match=message):
        play_seeds(raw, balancer_raw, steps)


def play_seeds(raw, balancer_raw, steps):
    for seed in range(5):
        play(World(raw, seed, balancer_raw), steps)
