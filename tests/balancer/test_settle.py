"""Settings that change in the running program: what is open keeps to the stricter, what was learned stays."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fordtrestle.balancer import Balancer, Settings
from fordtrestle.balancer.model import Arrival, Cause, CloseIdle, Fail, Listing, Outcome, Refuse, Send, Timer
from fordtrestle.balancer.zones import Zone
from tests.balancer.helpers import arrival, balancer, of_type, raw_settings
from tests.balancer.test_rules_property import NEVER_RAN, STEPS, World, play, site

LIMITS = {"MaxAttempts": 4, "RetryAfter": True, "MaxRetryAfter": 50.0}


def told(*classes, gone=(), **changes):
    """Settings with these classes, each a helper's name or one with changes."""
    raw = raw_settings(*(c if isinstance(c, str) else c[0] for c in classes), **changes)
    for row, given_class in zip(raw["Profiles"], classes, strict=True):
        row.update({} if isinstance(given_class, str) else given_class[1])
    made = Settings.parse(raw)
    profiles = [dataclasses.replace(row, gone=number in gone) for number, row in enumerate(made.profiles)]
    return dataclasses.replace(made, profiles=tuple(profiles))


def changed(before, *after, now=10.0, **limits):
    """A balancer with one request out, whose settings change meanwhile."""
    made = Balancer(0.0, told(*before, **limits), 1)
    made.server_list(0.0, "all", [Listing(f"s{i}", zone=i % 2, cell=i // 2) for i in range(8)])
    assert of_type(made.request(0.0, arrival(1)), Send)
    for settings_ in after:
        assert made.settle(now, settings_) == []
    return made


def ended(made, status=Outcome.RESET, now=20.0, hop=0, spent=20.0):
    """What becomes of its request as that attempt ends: one action that is no timer."""
    (action,) = (a for a in made.outcome(now, 1, hop, status, spent) if not isinstance(a, Timer))
    return type(action)


# --- what is open ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("before", "after", "ran", "never_ran"),
    [
        ("unsafe", "safe", Fail, Send),  # it stays what it was taken as
        ("unsafe", "keyed", Fail, Send),
        ("keyed", "unsafe", Fail, Send),  # no repeat any more
        ("safe", "unsafe", Fail, Send),
        ("safe", "keyed", Fail, Send),  # it has no key
        ("keyed", "safe", Send, Send),  # within its own group and window
        ("keyed", ("keyed", {"Group": "zone"}), Fail, Send),  # neither holds the other
        ("keyed", ("keyed", {"KeyTtl": 15.0}), Fail, Send),
        ("keyed", ("keyed", {"Group": "all"}), Send, Send),
        (("keyed", {"Group": "all", "KeyTtl": 15.0}), "keyed", Fail, Send),  # else a refusal
        ("safe", "safe", Send, Send),
    ],
)
def test_a_repeat_of_what_is_out_is_what_old_and_new_allow(before, after, ran, never_ran):
    assert ended(changed([before], told(after))) is ran
    assert ended(changed([before], told(after)), Outcome.CONNECT_FAILED) is never_ran


def test_settings_that_come_back_allow_no_more_than_those_between():
    back = [told("safe"), told("unsafe"), told("safe")]
    assert ended(changed(["safe"], *back)) is Fail
    wide = [told(("keyed", {"KeyTtl": 15.0})), told("keyed")]
    assert ended(changed(["keyed"], *wide)) is Fail


def test_a_repeat_of_a_key_stays_in_the_group_that_both_hold():
    for group, others in (("all", "cell"), ("cell", "all")):
        made = changed([("keyed", {"Group": group})], told(("keyed", {"Group": others})))
        first = made._requests[1].attempts[0].server
        (send,) = of_type(made.outcome(20.0, 1, 0, Outcome.RESET, 20.0), Send)
        assert made._servers[send.server].cell == first.cell


def test_fewer_attempts_hold_for_what_is_out_and_more_do_not():
    limits = {"PolicyLimits": {"MaxAttempts": 3}}
    one = told("safe", PolicyLimits={"MaxAttempts": 1})
    assert ended(changed(["safe"], one, **limits)) is Refuse
    assert ended(changed(["safe"], one, told("safe", **limits), **limits)) is Refuse
    assert ended(changed(["safe"], told("safe", **limits), PolicyLimits={"MaxAttempts": 1})) is Refuse
    made = changed(["safe"], told("safe", PolicyLimits={"MaxAttempts": 2}), **limits)
    assert [ended(made), ended(made, hop=1, now=30.0)] == [Send, Refuse]


def test_a_refusal_tells_the_shorter_of_both_waits():
    for before, after, wait in ((50.0, 5.0, 5.0), (5.0, 50.0, 5.0), (50.0, 0.0, 0.0)):
        waits = [{**LIMITS, "MaxAttempts": 1, "MaxRetryAfter": most} for most in (before, after)]
        made = changed(["safe"], told("safe", PolicyLimits=waits[1]), PolicyLimits=waits[0])
        assert made.outcome(20.0, 1, 0, Outcome.RESET, 20.0)[-1] == Refuse(1, wait, Cause.ATTEMPTS)


def test_a_class_that_goes_begins_no_attempt_and_what_is_open_gets_its_one_answer():
    for status, answer in ((Outcome.CONNECT_FAILED, Refuse), (Outcome.RESET, Fail)):
        made = changed(["unsafe", "safe"], told("unsafe", "safe", gone=[0]))
        assert ended(made, status) is answer
        assert not made._requests
        assert made.outcome(30.0, 1, 0, status, 20.0) == []
    (refused,) = made.request(30.0, arrival(2, 30.0))
    assert isinstance(refused, Refuse)
    assert of_type(made.request(30.0, arrival(3, 30.0, traffic_class=1)), Send)
    made.settle(40.0, told("unsafe", "safe"))  # and it comes back
    assert of_type(made.request(40.0, arrival(4, 40.0)), Send)


def test_one_of_a_class_that_goes_is_no_trial_of_a_zone_that_is_cut_off():
    limits = {"PolicyLimits": {"MaxAttempts": 4, "ConnectTimeout": 50.0}}
    for gone, sent in (([], 1), ([0], 0)):
        made = changed(["safe"], told("safe", gone=gone, **limits), **limits)
        made._zones._partitioned, made._zones._checked_at, made._zones._zones[1] = {1}, 2000.0, Zone()
        assert len(of_type(made.request(2000.0, arrival(2, 2000.0)), Send)) == sent


IN_TURN = ("safe", {"InTurn": True})


def of_key(number, now=0.0, traffic_class=0):
    return Arrival(number, traffic_class, now + 1000.0, key=7)


def sent_by(actions):
    return [send.request for send in of_type(actions, Send)]


@pytest.mark.parametrize("first", [1, 2])
def test_once_calls_of_a_key_run_one_at_a_time_new_ones_wait_for_those_that_run_beside_each_other(first):
    made = balancer("safe")
    for number in (1, 2):
        assert sent_by(made.request(0.0, of_key(number))) == [number]
    made.settle(10.0, told(IN_TURN))
    assert not sent_by(made.request(20.0, of_key(3, 20.0)))
    assert not sent_by(
        made.outcome(30.0, first, 0, Outcome.ERROR, 30.0)
    )  # a retry would run beside the other
    assert sent_by(made.outcome(40.0, 3 - first, 0, Outcome.OK, 40.0, True)) == [3]
    made.outcome(50.0, 3, 0, Outcome.OK, 10.0, True)
    assert not made._key_order.queues
    assert not made._requests


@pytest.mark.parametrize("status", [Outcome.OK, Outcome.ERROR])
def test_and_so_does_a_line_that_stood_before_with_its_next_and_with_its_retries(status):
    made = Balancer(0.0, told(IN_TURN, "safe"), 1)
    made.server_list(0.0, "all", [Listing(f"s{i}") for i in range(8)])
    for number, traffic_class, sent in ((1, 0, [1]), (2, 0, []), (3, 1, [3])):
        assert sent_by(made.request(0.0, of_key(number, traffic_class=traffic_class))) == sent
    made.settle(10.0, told(IN_TURN, IN_TURN))
    assert not sent_by(made.outcome(20.0, 1, 0, status, 20.0, status == Outcome.OK))
    assert sent_by(made.outcome(30.0, 3, 0, Outcome.OK, 30.0, True)) == [2]


def test_a_key_rests_the_longer_of_both_rests():
    for before, after in ((100.0, 500.0), (500.0, 100.0)):
        rests = [{"SettleAfterDoubt": rest} for rest in (before, after)]
        made = balancer("safe", Rules=rests[0])
        made.settle(0.0, told(IN_TURN, Rules=rests[0]))
        made.request(0.0, of_key(1))
        made.outcome(50.0, 1, 0, Outcome.TIMEOUT, 50.0, True)
        made.settle(60.0, told(IN_TURN, Rules=rests[1]))
        assert not sent_by(made.request(70.0, of_key(2, 70.0)))
        for due, sent in ((540.0, []), (551.0, [2])):
            assert sent_by(made.timer(due, "turn:7")) == sent


# --- what was learned, and what rests on settings ---------------------------------------------------


def test_tenants_and_classes_that_are_added_find_their_places():
    made = balancer("safe", Tenants=[{"AllowancePerS": 5.0}])
    for number in range(20):
        made.request(number, Arrival(number, 0, 1000.0 + number))
    more = [{"AllowancePerS": 1.0}, {"AllowancePerS": 3.0}]
    learned = (
        made._throttle,
        made._servers,
        made._requests,
        made._shedder._arrivals_by_tenant[0],
        made._shedder._mix,
    )
    prices, made._locality._remote_shares = {"CrossZone": 0.5}, [0.4]
    made.settle(30.0, told("safe", ("safe", {"Worth": 3.0}), Tenants=more, Prices=prices))
    assert made._shedder._tenant_shares == [0.25, 0.75]
    assert made._locality.is_on
    assert learned[:3] == (made._throttle, made._servers, made._requests)
    assert made._shedder._arrivals_by_tenant == [learned[3], 0.0]
    assert made._shedder._mix == {}
    assert of_type(made.request(30.0, Arrival(50, 1, 1030.0, 1)), Send)
    made.outcome(40.0, 50, 0, Outcome.OK, 10.0, True)
    assert made._times.baselines[1].ms_per_work(0.0, 0.0) == 10.0
    assert made._locality._remote_shares[0] == 0.4
    assert len(made._locality._margins) == 2


def test_a_place_on_the_ring_and_a_shorter_release_hold_at_once():
    made = balancer("safe", servers=8, Me=0)
    made.server_list(5.0, "changes", [Listing("s1", state="leaving")])
    actions = made.settle(10.0, told("safe", Me=3, Locality=1, Rules={"ReleaseWithin": 100.0}))
    assert actions == [CloseIdle("s1"), Timer(40.0, "close:s1")]
    assert made._subset.servers[0].name != "s0"
    assert len(made._subset.servers) == 7
    assert made._subset.local == []


BY_CLASS_OR_TENANT = {
    "_remote_shares",
    "baselines",
    "_arrivals_by_tenant",
}  # only the first two are compared


def state(made):
    """All that a balancer and its parts hold, as text by where it is held."""
    held, seen = {}, set()

    def hold(path, value):
        if isinstance(value, random.Random):
            held[path] = repr(value.getstate())
        elif type(value).__module__.startswith("fordtrestle.balancer.") and hasattr(value, "__dict__"):
            if id(value) not in seen:  # parts know each other
                seen.add(id(value))
                for name, part in vars(value).items():
                    hold(f"{path}.{name}", part[:2] if name in BY_CLASS_OR_TENANT else part)
        elif not callable(value):
            held[path] = repr(value)

    hold("balancer", made)
    assert not [path for path, text in held.items() if " object at 0x" in text]
    return held


class Told(World):
    """A day whose every action is kept; with a seed of its own, the same settings are told at any moment."""

    own: random.Random | None = None
    settled = 0

    def apply(self, actions):
        self.trace = [*getattr(self, "trace", []), (self.now, list(actions))]
        super().apply(actions)

    def check_time(self):
        if self.own is not None and self.own.random() < 0.5:
            self.settled += 1
            assert self.balancer.settle(self.now, Settings.parse(self.told)) == []
        super().check_time()


@settings(derandomize=True, max_examples=200, deadline=None)
@given(site(), STEPS, st.integers(0, 2**32))
def test_who_is_told_the_same_again_decides_alike(raw, steps, seed):
    days = [Told(raw, seed) for _ in range(2)]
    days[1].own = random.Random(seed)
    for day in days:
        play(day, steps)
    assert days[0].trace == days[1].trace
    assert state(days[0].balancer) == state(days[1].balancer)
    assert days[1].settled or len(steps) < 9


class Changing(World):
    """A day on which the settings change at random moments; the oracle holds each call to all that it met."""

    def __init__(self, raws, seed):
        self.others, self.own, self.changes = raws, random.Random(seed), 0
        super().__init__(raws[0], seed)

    def rules(self, request):
        """The rules that a request has met, from when it was taken."""
        return request.setdefault("rules", [self.raw])

    def check_time(self):
        if self.own.random() < 0.2:
            for request in self.requests.values():
                self.rules(request)
            raw = self.own.choice(self.others)
            added = self.raw["Profiles"][len(raw["Profiles"]) :]
            self.raw = {**raw, "Profiles": raw["Profiles"] + added, "Discovery": self.raw["Discovery"]}
            self.told, self.changes = self.raw, self.changes + 1
            for request in self.requests.values():
                request["rules"].append(self.raw)
            self.apply(self.balancer.settle(self.now, Settings.parse(self.raw)))
        super().check_time()

    def sent(self, action):
        request = self.requests[action.request]
        rules = self.rules(request)
        profiles = [raw["Profiles"][request["traffic_class"]] for raw in rules]
        assert len(request["attempts"]) < min(raw["PolicyLimits"]["MaxAttempts"] for raw in rules)
        target = self.listed[action.server]
        for earlier in request["attempts"]:
            if not earlier["out"] and earlier["status"] in NEVER_RAN:
                continue
            place = earlier["entry"]
            for profile in profiles:
                keyed = profile["Semantics"] == "token" and profiles[0]["Semantics"] == "token"
                assert profile["Semantics"] == "pure" or keyed, "repeated though some rule forbids it"
                if keyed:
                    assert self.now - earlier["sent"] < profile["KeyTtl"]
                    assert profile["Group"] != "zone" or place.zone == target.zone
                    assert profile["Group"] != "cell" or place.cell == target.cell
        super().sent(action)

    def ended(self, action):
        request = self.requests[action.request]
        for raw in self.rules(request) if isinstance(action, Refuse) else ():
            profile = raw["Profiles"][request["traffic_class"]]
            ran = any(a["out"] or a["status"] not in NEVER_RAN for a in request["attempts"])
            anywhere = profile["Semantics"] == "token" and profile["Group"] == "all"
            assert profile["Semantics"] == "pure" or anywhere or not ran
        super().ended(action)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(site(), min_size=2, max_size=4), STEPS, st.integers(0, 2**32))
def test_on_days_of_changing_settings_each_call_keeps_all_rules_that_it_met(raws, steps, seed):
    play(Changing(raws, seed), steps)


# --- faults -----------------------------------------------------------------------------------------


def test_a_class_that_is_missing_is_refused_whole():
    made = changed(["unsafe", "safe"])
    with pytest.raises(ValueError, match="expected at least 2 classes, not 1"):
        made.settle(10.0, told("safe"))
    assert made._settings == told("unsafe", "safe")
    assert ended(made) is Fail


POISONED = ("me", "allowances", "report_fields", "prices", "max_attempts", "max_retry_after", "zones")


@pytest.mark.parametrize("field", [*POISONED, "settle_after_doubt"])
def test_after_a_fault_all_is_as_it_was(field):
    good = told("safe", "unsafe", Tenants=[{"AllowancePerS": 5.0}] * 2, Prices={"CrossZone": 1.0}, Me=2)
    made = Balancer(0.0, good, 1)
    made.server_list(0.0, "all", [Listing(f"s{i}", zone=i % 2) for i in range(8)])
    made.request(0.0, arrival(1, traffic_class=1))
    before = state(made)
    more = (*good.profiles, dataclasses.replace(good.profiles[0], worth=9.0))
    other = dataclasses.replace(good, me=5, locality=1, profiles=more, over_share_worth=0.5)
    poison = (None,) if field == "allowances" else None
    with pytest.raises((TypeError, AttributeError)):
        made.settle(10.0, dataclasses.replace(other, **{field: poison}))
    assert state(made) == before
    assert ended(made) is Fail
