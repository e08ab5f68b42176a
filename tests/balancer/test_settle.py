"""Changes of settings at run time: open requests follow the stricter settings, learned state is kept."""

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


def make_settings(*classes, gone=(), **changes):
    """Build settings with these classes; each is a name of `helpers.CLASSES`, or a name and changes."""
    raw = raw_settings(*(c if isinstance(c, str) else c[0] for c in classes), **changes)
    for row, given_class in zip(raw["Profiles"], classes, strict=True):
        row.update({} if isinstance(given_class, str) else given_class[1])
    parsed = Settings.parse(raw)
    profiles = [dataclasses.replace(row, gone=number in gone) for number, row in enumerate(parsed.profiles)]
    return dataclasses.replace(parsed, profiles=tuple(profiles))


def reconfigured(before, *after, now=10.0, **limits):
    """Build a balancer with one request in flight, whose settings change meanwhile."""
    instance = Balancer(0.0, make_settings(*before, **limits), 1)
    instance.server_list(0.0, "all", [Listing(f"s{i}", zone=i % 2, cell=i // 2) for i in range(8)])
    assert of_type(instance.request(0.0, arrival(1)), Send)
    for settings_ in after:
        assert instance.settle(now, settings_) == []
    return instance


def end_attempt(instance, status=Outcome.RESET, now=20.0, hop=0, spent=20.0):
    """End an attempt of request 1, and return the type of the only action that is no timer."""
    (action,) = (a for a in instance.outcome(now, 1, hop, status, spent) if not isinstance(a, Timer))
    return type(action)


# --- open requests --------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("before", "after", "ran", "never_ran"),
    [
        ("unsafe", "safe", Fail, Send),  # it keeps the semantics of its acceptance
        ("unsafe", "keyed", Fail, Send),
        ("keyed", "unsafe", Fail, Send),  # no retry any more
        ("safe", "unsafe", Fail, Send),
        ("safe", "keyed", Fail, Send),  # it has no idempotency key
        ("keyed", "safe", Send, Send),  # within its own group and key lifetime
        ("keyed", ("keyed", {"Group": "zone"}), Fail, Send),  # neither group contains the other
        ("keyed", ("keyed", {"KeyTtl": 15.0}), Fail, Send),
        ("keyed", ("keyed", {"Group": "all"}), Send, Send),
        (("keyed", {"Group": "all", "KeyTtl": 15.0}), "keyed", Fail, Send),  # otherwise it would be refused
        ("safe", "safe", Send, Send),
    ],
)
def test_an_open_request_is_retried_only_as_old_and_new_settings_allow(before, after, ran, never_ran):
    assert end_attempt(reconfigured([before], make_settings(after))) is ran
    assert end_attempt(reconfigured([before], make_settings(after)), Outcome.CONNECT_FAILED) is never_ran


def test_settings_that_are_restored_allow_no_more_than_those_in_between():
    settings_list = [make_settings("safe"), make_settings("unsafe"), make_settings("safe")]
    assert end_attempt(reconfigured(["safe"], *settings_list)) is Fail
    settings_list = [make_settings(("keyed", {"KeyTtl": 15.0})), make_settings("keyed")]
    assert end_attempt(reconfigured(["keyed"], *settings_list)) is Fail


def test_a_keyed_retry_stays_in_the_group_that_both_settings_allow():
    for group, other_group in (("all", "cell"), ("cell", "all")):
        instance = reconfigured(
            [("keyed", {"Group": group})], make_settings(("keyed", {"Group": other_group}))
        )
        first = instance._requests[1].attempts[0].server
        (send,) = of_type(instance.outcome(20.0, 1, 0, Outcome.RESET, 20.0), Send)
        assert instance._servers[send.server].cell == first.cell


def test_a_lower_limit_of_attempts_applies_to_open_requests_and_a_higher_one_does_not():
    limits = {"PolicyLimits": {"MaxAttempts": 3}}
    single = make_settings("safe", PolicyLimits={"MaxAttempts": 1})
    assert end_attempt(reconfigured(["safe"], single, **limits)) is Refuse
    assert end_attempt(reconfigured(["safe"], single, make_settings("safe", **limits), **limits)) is Refuse
    assert (
        end_attempt(reconfigured(["safe"], make_settings("safe", **limits), PolicyLimits={"MaxAttempts": 1}))
        is Refuse
    )
    instance = reconfigured(["safe"], make_settings("safe", PolicyLimits={"MaxAttempts": 2}), **limits)
    assert [end_attempt(instance), end_attempt(instance, hop=1, now=30.0)] == [Send, Refuse]


def test_a_refusal_states_the_shorter_of_both_retry_times():
    for before, after, retry_after_ms in ((50.0, 5.0, 5.0), (5.0, 50.0, 5.0), (50.0, 0.0, 0.0)):
        limits = [
            {**LIMITS, "MaxAttempts": 1, "MaxRetryAfter": max_retry_after_ms}
            for max_retry_after_ms in (before, after)
        ]
        instance = reconfigured(
            ["safe"], make_settings("safe", PolicyLimits=limits[1]), PolicyLimits=limits[0]
        )
        assert instance.outcome(20.0, 1, 0, Outcome.RESET, 20.0)[-1] == Refuse(
            1, retry_after_ms, Cause.ATTEMPTS
        )


def test_a_removed_class_starts_no_attempts_and_its_open_requests_get_one_final_answer():
    for status, answer in ((Outcome.CONNECT_FAILED, Refuse), (Outcome.RESET, Fail)):
        instance = reconfigured(["unsafe", "safe"], make_settings("unsafe", "safe", gone=[0]))
        assert end_attempt(instance, status) is answer
        assert not instance._requests
        assert instance.outcome(30.0, 1, 0, status, 20.0) == []
    (refused,) = instance.request(30.0, arrival(2, 30.0))
    assert isinstance(refused, Refuse)
    assert of_type(instance.request(30.0, arrival(3, 30.0, traffic_class=1)), Send)
    instance.settle(40.0, make_settings("unsafe", "safe"))  # the class is added again
    assert of_type(instance.request(40.0, arrival(4, 40.0)), Send)


def test_a_request_of_a_removed_class_is_no_trial_of_a_partitioned_zone():
    limits = {"PolicyLimits": {"MaxAttempts": 4, "ConnectTimeout": 50.0}}
    for gone, sent in (([], 1), ([0], 0)):
        instance = reconfigured(["safe"], make_settings("safe", gone=gone, **limits), **limits)
        instance._zones._partitioned, instance._zones._checked_at, instance._zones._zones[1] = (
            {1},
            2000.0,
            Zone(),
        )
        assert len(of_type(instance.request(2000.0, arrival(2, 2000.0)), Send)) == sent


IN_TURN = ("safe", {"InTurn": True})


def keyed_arrival(number, now=0.0, traffic_class=0):
    return Arrival(number, traffic_class, now + 1000.0, key=7)


def sent_requests(actions):
    return [send.request for send in of_type(actions, Send)]


@pytest.mark.parametrize("first", [1, 2])
def test_when_order_per_key_begins_new_requests_wait_for_those_that_already_run_concurrently(first):
    instance = balancer("safe")
    for number in (1, 2):
        assert sent_requests(instance.request(0.0, keyed_arrival(number))) == [number]
    instance.settle(10.0, make_settings(IN_TURN))
    assert not sent_requests(instance.request(20.0, keyed_arrival(3, 20.0)))
    assert not sent_requests(
        instance.outcome(30.0, first, 0, Outcome.ERROR, 30.0)
    )  # a retry would run concurrently with the other request
    assert sent_requests(instance.outcome(40.0, 3 - first, 0, Outcome.OK, 40.0, True)) == [3]
    instance.outcome(50.0, 3, 0, Outcome.OK, 10.0, True)
    assert not instance._key_order.queues
    assert not instance._requests


@pytest.mark.parametrize("status", [Outcome.OK, Outcome.ERROR])
def test_a_queue_that_existed_before_waits_with_its_next_request_and_its_retries(status):
    instance = Balancer(0.0, make_settings(IN_TURN, "safe"), 1)
    instance.server_list(0.0, "all", [Listing(f"s{i}") for i in range(8)])
    for number, traffic_class, sent in ((1, 0, [1]), (2, 0, []), (3, 1, [3])):
        assert (
            sent_requests(instance.request(0.0, keyed_arrival(number, traffic_class=traffic_class))) == sent
        )
    instance.settle(10.0, make_settings(IN_TURN, IN_TURN))
    assert not sent_requests(instance.outcome(20.0, 1, 0, status, 20.0, status == Outcome.OK))
    assert sent_requests(instance.outcome(30.0, 3, 0, Outcome.OK, 30.0, True)) == [2]


def test_a_key_is_blocked_for_the_longer_of_both_times():
    for before, after in ((100.0, 500.0), (500.0, 100.0)):
        rules = [{"SettleAfterDoubt": rest} for rest in (before, after)]
        instance = balancer("safe", Rules=rules[0])
        instance.settle(0.0, make_settings(IN_TURN, Rules=rules[0]))
        instance.request(0.0, keyed_arrival(1))
        instance.outcome(50.0, 1, 0, Outcome.TIMEOUT, 50.0, True)
        instance.settle(60.0, make_settings(IN_TURN, Rules=rules[1]))
        assert not sent_requests(instance.request(70.0, keyed_arrival(2, 70.0)))
        for due, sent in ((540.0, []), (551.0, [2])):
            assert sent_requests(instance.timer(due, "turn:7")) == sent


# --- learned state, and state that is derived from settings -----------------------------------------


def test_added_tenants_and_classes_get_state_of_their_own():
    instance = balancer("safe", Tenants=[{"AllowancePerS": 5.0}])
    for number in range(20):
        instance.request(number, Arrival(number, 0, 1000.0 + number))
    more = [{"AllowancePerS": 1.0}, {"AllowancePerS": 3.0}]
    learned = (
        instance._throttle,
        instance._servers,
        instance._requests,
        instance._shedder._arrivals_by_tenant[0],
        instance._shedder._mix,
    )
    prices, instance._locality._remote_shares = {"CrossZone": 0.5}, [0.4]
    instance.settle(30.0, make_settings("safe", ("safe", {"Worth": 3.0}), Tenants=more, Prices=prices))
    assert instance._shedder._tenant_shares == [0.25, 0.75]
    assert instance._locality.is_on
    assert learned[:3] == (instance._throttle, instance._servers, instance._requests)
    assert instance._shedder._arrivals_by_tenant == [learned[3], 0.0]
    assert instance._shedder._mix == {}
    assert of_type(instance.request(30.0, Arrival(50, 1, 1030.0, 1)), Send)
    instance.outcome(40.0, 50, 0, Outcome.OK, 10.0, True)
    assert instance._times.baselines[1].ms_per_work(0.0, 0.0) == 10.0
    assert instance._locality._remote_shares[0] == 0.4
    assert len(instance._locality._margins) == 2


def test_a_ring_position_and_a_shorter_time_to_close_connections_apply_at_once():
    instance = balancer("safe", servers=8, Me=0)
    instance.server_list(5.0, "changes", [Listing("s1", state="leaving")])
    actions = instance.settle(10.0, make_settings("safe", Me=3, Locality=1, Rules={"ReleaseWithin": 100.0}))
    assert actions == [CloseIdle("s1"), Timer(40.0, "close:s1")]
    assert instance._subset.servers[0].name != "s0"
    assert len(instance._subset.servers) == 7
    assert instance._subset.local == []


BY_CLASS_OR_TENANT = {
    "_remote_shares",
    "baselines",
    "_arrivals_by_tenant",
}  # only the first two are compared


def state(instance):
    """Return all state of a balancer and its parts, as text by its attribute path."""
    collected, seen = {}, set()

    def collect(path, value):
        if isinstance(value, random.Random):
            collected[path] = repr(value.getstate())
        elif type(value).__module__.startswith("fordtrestle.balancer.") and hasattr(value, "__dict__"):
            if id(value) not in seen:  # parts refer to each other
                seen.add(id(value))
                for name, part in vars(value).items():
                    collect(f"{path}.{name}", part[:2] if name in BY_CLASS_OR_TENANT else part)
        elif not callable(value):
            collected[path] = repr(value)

    collect("balancer", instance)
    assert not [path for path, text in collected.items() if " object at 0x" in text]
    return collected


class Told(World):
    """A day whose actions are recorded; with `own` set, the same settings are applied again at random."""

    own: random.Random | None = None
    settled = 0

    def apply(self, actions):
        self.trace = [*getattr(self, "trace", []), (self.now, list(actions))]
        super().apply(actions)

    def check_time(self):
        if self.own is not None and self.own.random() < 0.5:
            self.settled += 1
            assert self.balancer.settle(self.now, Settings.parse(self.balancer_raw)) == []
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
    """A day on which settings change at random; the oracle checks each request against all of them."""

    def __init__(self, raws, seed):
        self.others, self.own, self.changes = raws, random.Random(seed), 0
        super().__init__(raws[0], seed)

    def rules(self, request):
        """Return all settings that have applied to a request since its arrival."""
        return request.setdefault("rules", [self.raw])

    def check_time(self):
        if self.own.random() < 0.2:
            for request in self.requests.values():
                self.rules(request)
            raw = self.own.choice(self.others)
            added = self.raw["Profiles"][len(raw["Profiles"]) :]
            self.raw = {**raw, "Profiles": raw["Profiles"] + added, "Discovery": self.raw["Discovery"]}
            self.balancer_raw, self.changes = self.raw, self.changes + 1
            for request in self.requests.values():
                request["rules"].append(self.raw)
            self.apply(self.balancer.settle(self.now, Settings.parse(self.raw)))
        super().check_time()

    def on_send(self, action):
        request = self.requests[action.request]
        rules = self.rules(request)
        profiles = [raw["Profiles"][request["traffic_class"]] for raw in rules]
        assert len(request["attempts"]) < min(raw["PolicyLimits"]["MaxAttempts"] for raw in rules)
        target = self.listed[action.server]
        for earlier in request["attempts"]:
            if not earlier["in_flight"] and earlier["status"] in NEVER_RAN:
                continue
            place = earlier["entry"]
            for profile in profiles:
                keyed = profile["Semantics"] == "token" and profiles[0]["Semantics"] == "token"
                assert profile["Semantics"] == "pure" or keyed, "retried although a rule forbids it"
                if keyed:
                    assert self.now - earlier["sent"] < profile["KeyTtl"]
                    assert profile["Group"] != "zone" or place.zone == target.zone
                    assert profile["Group"] != "cell" or place.cell == target.cell
        super().on_send(action)

    def on_final_answer(self, action):
        request = self.requests[action.request]
        for raw in self.rules(request) if isinstance(action, Refuse) else ():
            profile = raw["Profiles"][request["traffic_class"]]
            ran = any(a["in_flight"] or a["status"] not in NEVER_RAN for a in request["attempts"])
            anywhere = profile["Semantics"] == "token" and profile["Group"] == "all"
            assert profile["Semantics"] == "pure" or anywhere or not ran
        super().on_final_answer(action)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(site(), min_size=2, max_size=4), STEPS, st.integers(0, 2**32))
def test_on_days_of_changing_settings_each_call_keeps_all_rules_that_it_met(raws, steps, seed):
    play(Changing(raws, seed), steps)


# --- faults -----------------------------------------------------------------------------------------


def test_settings_with_a_missing_class_are_rejected_and_change_nothing():
    instance = reconfigured(["unsafe", "safe"])
    with pytest.raises(ValueError, match="expected at least 2 classes, not 1"):
        instance.settle(10.0, make_settings("safe"))
    assert instance._settings == make_settings("unsafe", "safe")
    assert end_attempt(instance) is Fail


INVALID_FIELDS = ("me", "allowances", "report_fields", "prices", "max_attempts", "max_retry_after", "zones")


@pytest.mark.parametrize("field", [*INVALID_FIELDS, "settle_after_doubt"])
def test_after_an_exception_the_state_is_as_before(field):
    good = make_settings(
        "safe", "unsafe", Tenants=[{"AllowancePerS": 5.0}] * 2, Prices={"CrossZone": 1.0}, Me=2
    )
    instance = Balancer(0.0, good, 1)
    instance.server_list(0.0, "all", [Listing(f"s{i}", zone=i % 2) for i in range(8)])
    instance.request(0.0, arrival(1, traffic_class=1))
    before = state(instance)
    more = (*good.profiles, dataclasses.replace(good.profiles[0], worth=9.0))
    other = dataclasses.replace(good, me=5, locality=1, profiles=more, over_share_worth=0.5)
    invalid = (None,) if field == "allowances" else None
    with pytest.raises((TypeError, AttributeError)):
        instance.settle(10.0, dataclasses.replace(other, **{field: invalid}))
    assert state(instance) == before
    assert end_attempt(instance) is Fail
