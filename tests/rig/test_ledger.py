"""Tests of the ledger: each check detects a breach of its rule and accepts what the platform allows."""

from __future__ import annotations

import pytest

from rig.ledger import RULES, Asked, Crash, Execution, Ledger, Notification, Start

ANSWERS, EFFECTS, DRAINS, COLD = RULES


def ran(call="1", server="s0", at=10.0, zone="east", semantics="unsafe", **changes):
    row = Execution(call, "t" if semantics == "keyed" else "", server, zone, semantics, at, at, work_ms=10.0)
    row.began_s, row.end, row.ended_s = at, "served", at + 0.1
    for name, value in changes.items():
        setattr(row, name, value)
    if row.fate.startswith("turned away"):
        row.began_s, row.end = None, "turned away"
    return row


def tried(call="1", result="served", sent=9.99, ended=10.2, semantics="unsafe", **changes):
    fields = {"origin": call, "sidecar": "n0", "kind": "pay", "token": "", "budget_s": 2.0, **changes}
    return Asked(call=call, semantics=semantics, sent_s=sent, result=result, ended_s=ended, **fields)


def notified(status, changed, written="same", server="s0", **changes):
    return Notification("n0", server, status, changed, changed if written == "same" else written, **changes)


def broken(*rows, strays=0):
    """Return the broken rules with the calls that break them."""
    lists = {
        Execution: "executions",
        Asked: "asked",
        Notification: "notifications",
        Start: "starts",
        Crash: "crashes",
    }
    ledger = Ledger(strays=strays)
    for row in rows:
        getattr(ledger, lists[type(row)]).append(row)
    return {rule: [one.call for one in found] for rule, found in ledger.check().items() if found}


def test_a_correct_run_breaks_no_rule():
    assert broken(ran(), tried(), ran("2", semantics="keyed"), tried("2", semantics="keyed")) == {}


@pytest.mark.parametrize("result", ["cut", "unanswered", "mixed up"])
def test_an_accepted_request_without_its_own_answer_is_a_breach(result):
    assert broken(tried(result=result)) == {ANSWERS: ["1"]}


def test_unsent_requests_and_those_of_a_killed_sidecar_are_no_breach():
    assert broken(tried(result="unsent")) == {}
    assert broken(tried(result="cut"), Crash("n0", 10.1, 12.0)) == {}
    assert broken(tried(result="cut"), Crash("n1", 10.1)) == {ANSWERS: ["1"]}
    assert broken(tried(result="cut"), Crash("n0", 9.0)) == {ANSWERS: ["1"]}


@pytest.mark.parametrize("result", ["served", "late", "refused", "failed"])
def test_a_final_answer_after_the_budget_is_a_breach(result):
    assert broken(tried(result=result, ended=9.99 + 2.0 + 0.06)) == {}
    assert broken(tried(result=result, ended=9.99 + 2.0 + 0.08)) == {ANSWERS: ["1"]}


def test_a_second_answer_is_a_breach():
    assert broken(strays=1) == {ANSWERS: [""]}


def test_an_unsafe_request_that_may_have_run_must_not_be_resent():
    again = ran(server="s1", at=10.5)
    assert broken(ran(), again, tried()) == {EFFECTS: ["1"]}
    assert broken(ran(fate="lost", began_s=None), again, tried()) == {EFFECTS: ["1"]}
    assert broken(ran(fate="failed"), again, tried()) == {EFFECTS: ["1"]}
    assert broken(ran(fate="turned away: full"), again, tried()) == {}
    assert broken(ran(semantics="safe"), ran(semantics="safe", at=10.5), tried()) == {}


def test_a_close_after_forwarding_is_a_breach_even_if_the_client_resends():
    again = {"first_sent_s": 9.9, "resent_s": 10.1, "sent": 10.1, "resends": 1}
    assert broken(ran(semantics="safe"), tried(**again)) == {ANSWERS: ["1"]}
    assert broken(ran(semantics="safe", at=10.12), tried(**again)) == {}
    assert broken(ran(semantics="safe"), tried(**again), Crash("n0", 9.95)) == {}


def test_a_resend_by_the_client_allows_exactly_one_more_send():
    again = [ran(server="s1", at=10.5), ran(server="s2", at=10.7)]
    assert broken(ran(), again[0], tried(resends=1)) == {}
    assert broken(ran(), *again, tried(resends=1)) == {EFFECTS: ["1"]}


def test_a_keyed_request_is_resent_only_in_its_zone_and_within_its_window():
    first, asked = ran(semantics="keyed"), tried(semantics="keyed")
    for again, is_broken in [
        ({"server": "s1", "at": 11.2}, False),
        ({"server": "s1", "at": 11.3}, True),
        ({"server": "s1", "at": 10.1, "zone": "west"}, True),
    ]:
        found = broken(first, ran(semantics="keyed", **again), asked)
        assert found == ({EFFECTS: ["1"]} if is_broken else {}), again
    other = ran(semantics="keyed", at=10.1, zone="west")
    assert broken(ran(semantics="keyed", fate="turned away: draining"), other, asked) == {}


@pytest.mark.parametrize("semantics", ["keyed", "unsafe"])
def test_a_request_that_may_have_run_must_not_be_refused(semantics):
    refused = tried(result="refused", semantics=semantics)
    assert broken(ran(semantics=semantics, end="cut"), refused) == {EFFECTS: ["1"]}
    assert broken(ran(semantics=semantics, fate="turned away: full"), refused) == {}
    assert broken(ran(semantics="safe"), tried(result="refused", semantics="safe")) == {}


def test_an_effect_in_two_tries_is_a_breach():
    tries = [tried(result="refused"), tried("2", sent=11.0, ended=11.2, origin="1")]
    assert broken(ran(), ran("2", at=11.1), *tries) == {EFFECTS: ["1", "1"]}


@pytest.mark.parametrize("status", ["leaving", "left"])
def test_nothing_is_sent_later_than_the_grace_after_a_notification(status):
    for at, is_broken in [(10.0, False), (10.54, False), (10.56, True)]:
        found = broken(ran(at=at), tried(), notified(status, 9.0, 10.0))
        assert found == ({DRAINS: ["1"]} if is_broken else {}), at


def test_a_change_counts_as_notified_after_at_most_six_seconds():
    for written in (None, 12.0):
        assert broken(ran(at=9.5), tried(), notified("leaving", 3.0, written)) == {}
        assert broken(ran(at=9.6), tried(), notified("leaving", 3.0, written)) == {DRAINS: ["1"]}


def test_a_later_notification_of_a_departed_server_does_not_hide_a_late_send():
    rows = [notified("leaving", 9.0), notified("left", 9.9)]
    assert broken(ran(), tried(), *rows) == {DRAINS: ["1"]}


def test_notifications_overtaken_by_later_ones_do_not_count():
    rows = [notified("left", 3.0, None), notified("active", 4.0, 4.1)]
    assert broken(ran(at=12.0), tried(sent=11.9, ended=12.2), *rows) == {}
    rows = [notified("active", 1.0), notified("active", 3.0, None), notified("leaving", 4.0, 4.1)]
    assert broken(ran(at=6.0), tried(sent=5.9, ended=6.2), *rows) == {DRAINS: ["1"]}


def test_a_returned_server_accepts_requests_and_only_own_notifications_count():
    assert broken(ran(), tried(), notified("left", 5.0), notified("active", 9.9)) == {}
    assert broken(ran(), tried(sidecar="n1"), notified("left", 5.0)) == {}
    assert broken(ran(), tried(), notified("left", 5.0, server="s1")) == {}


def test_a_late_read_of_a_slow_server_counts_from_the_earlier_send():
    assert broken(ran(at=10.6, read_late_ms=300.0), tried(), notified("leaving", 10.0)) == {}
    assert broken(ran(at=10.9, read_late_ms=300.0), tried(), notified("leaving", 10.0)) == {DRAINS: ["1"]}


START = Start("s0", 9.0, capacity=1.0, cold_from=0.5, warm_up_ms=8000.0, fall_multiple=2.0, overload_ms=100.0)


def requests(known, count=13, every=0.001, at=9.5, **changes):
    """Return requests of 10 ms each; at 0.53 of the capacity, 106 ms of work may be sent in 100 ms."""
    rows = [notified("active", 9.0, 9.2)] if known else []
    for number in range(count):
        call = f"c{number}"
        rows += [ran(call, at=at + number * every, **changes), tried(call)]
    return rows


def test_informed_sidecars_must_not_send_a_cold_server_more_than_its_multiple():
    assert broken(START, *requests(True)) == {COLD: ["c10"]}
    assert broken(START, *requests(True, fate="turned away: full")) == {COLD: ["c10"]}
    assert broken(START, *requests(False)) == {}
    assert broken(START, *requests(True, every=0.02)) == {}
    assert broken(START, *requests(True, at=17.5)) == {}  # already warm
    assert broken(START, *requests(True, server="s1")) == {}


def test_a_notification_before_a_start_does_not_inform_of_it():
    assert broken(START, notified("active", 5.0), *requests(False)) == {}


def test_a_breach_lists_all_events_of_its_request():
    rows = [ran(), ran(server="s1", at=10.5), tried(), notified("leaving", 10.0), START]
    ledger = Ledger(executions=rows[:2], asked=[rows[2]], notifications=[rows[3]], starts=[START])
    (breach,) = ledger.check()[EFFECTS]
    text = breach.text()
    order = [
        "s0 started",
        "sent call 1, pay",
        "s0 is leaving; written to n0",
        "s0 (east) got",
        "s1 (east) got",
    ]
    places = [text.index(part) for part in order]
    assert places == sorted(places)
    assert "may have run" in breach.what
    assert breach.as_json()["call"] == "1"
