"""Tests of messages: bodies that identify their call, and acts encoded in a query."""

from __future__ import annotations

import pytest

from rig.messages import Act, act_of, act_of_query, body_for, call_ids, request


def test_each_call_has_its_own_body():
    ids = [call for call, _ in zip(call_ids("a"), range(50), strict=False)]
    bodies = {body_for(call, size) for call in ids for size in (0, 100)}
    assert len(bodies) == 100
    assert {len(body_for(call, 4096)) for call in ids} == {4096}
    assert ids == [call for call, _ in zip(call_ids("a"), range(50), strict=False)]
    assert not set(ids) & {call for call, _ in zip(call_ids("b"), range(50), strict=False)}


@pytest.mark.parametrize(
    "act",
    [
        Act(size_bytes=65536, delay_ms=0.0),
        Act(status=503, rejected=True, behind="answer"),
        Act(way="reset", delay_ms=12.5, close=True),
        Act(copy_after_ms=10.0),
    ],
)
def test_an_act_round_trips_through_a_query_and_json(act):
    assert act_of_query(act.query()) == act
    assert act_of(act.as_json()) == act
    assert f"?{act.query()} HTTP/1.1".encode() in request("1", act=act)


@pytest.mark.parametrize("query", ["", "a=b", "other=1&x"])
def test_an_unrelated_query_contains_no_act(query):
    assert act_of_query(query) is None


@pytest.mark.parametrize("fields", [{"way": "dance"}, {"size_bytes": -1}, {"status": 99}, {"delay_ms": 1e9}])
def test_invalid_acts_are_rejected(fields):
    with pytest.raises(ValueError):
        act_of(fields)
