"""Pressure actions: hysteresis, grading, and one report with a cause for each change."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.proxy.engine.pressure import (
    RULES,
    Monitor,
    PressureAction,
    PressureChange,
    PressureRule,
    PressureRules,
)

ALL_ZERO = dict.fromkeys(Monitor, 0.0)


def test_an_action_turns_on_and_off_with_hysteresis_and_each_change_is_reported_once():
    pressure = PressureRules([PressureRule(PressureAction.SHORTEN_IDLE, Monitor.DESCRIPTORS, 0.9, 0.75)])
    changes = [
        pressure.update(at, {Monitor.DESCRIPTORS: share}) for at, share in enumerate((0.5, 0.9, 0.8, 0.91))
    ]
    on = PressureChange(PressureAction.SHORTEN_IDLE, True, "descriptors held 0.90")
    assert changes == [[], [on], [], []]
    assert pressure.is_on(PressureAction.SHORTEN_IDLE)
    assert not pressure.is_on(PressureAction.SHRINK_POOLS)
    off = PressureChange(PressureAction.SHORTEN_IDLE, False, "descriptors held 0.74", lasted_ms=499.0)
    assert pressure.update(500.0, {Monitor.DESCRIPTORS: 0.74}) == [off]
    assert pressure.update(501.0, {Monitor.DESCRIPTORS: 0.8}) == []


def test_the_level_of_a_graded_action_follows_its_worst_reading():
    pressure = PressureRules()
    pressure.update(0.0, {**ALL_ZERO, Monitor.CALLS: 0.9, Monitor.LAG: 180.0})
    assert pressure.level(PressureAction.REFUSE_BY_WORTH) == pytest.approx(0.5)
    pressure.update(1.0, {**ALL_ZERO, Monitor.CALLS: 0.9, Monitor.LAG: 900.0})
    assert pressure.level(PressureAction.REFUSE_BY_WORTH) == 1.0
    pressure.update(2.0, {**ALL_ZERO, Monitor.CALLS: 0.7})
    assert pressure.is_on(PressureAction.REFUSE_BY_WORTH)  # between the two thresholds it stays on at level 0
    assert pressure.level(PressureAction.REFUSE_BY_WORTH) == 0.0
    pressure.update(3.0, ALL_ZERO)
    assert not pressure.is_on(PressureAction.REFUSE_BY_WORTH)


def test_a_missing_reading_changes_nothing():
    pressure = PressureRules()
    pressure.update(0.0, {Monitor.DESCRIPTORS: 0.99})
    assert pressure.update(1.0, {}) == []
    assert pressure.is_on(PressureAction.SHORTEN_IDLE)


def memory(pressure, at, resident, buffered):
    pressure.update(at, {**ALL_ZERO, Monitor.MEMORY: resident, Monitor.BUFFERED: buffered})
    return pressure.level(PressureAction.REFUSE_BY_WORTH)


def test_resident_memory_raises_pressure_and_the_quotas_release_it():
    """The interpreter returns little memory: without this rule the process would refuse work forever."""
    pressure = PressureRules()
    assert memory(pressure, 0.0, 0.95, 0.5) == pytest.approx(0.5)
    assert memory(pressure, 1.0, 0.95, 0.3) == pytest.approx(0.5)
    assert (
        memory(pressure, 2.0, 0.95, 0.1) == 0.0
    )  # the buffered bytes are released, but resident memory stays
    assert memory(pressure, 3.0, 0.96, 0.5) == 0.0  # no higher than when it was released
    assert memory(pressure, 4.0, 0.99, 0.5) == pytest.approx(0.9)  # it has grown beyond that


@pytest.mark.parametrize("figures", [(0.5, 0.5, 0.0), (0.5, 0.6, 0.0), (0.5, 0.4, 0.5), (0.5, 0.4, 0.3)])
def test_rules_with_thresholds_out_of_order_are_rejected(figures):
    with pytest.raises(ValueError, match="out of order"):
        PressureRules([PressureRule(PressureAction.SHRINK_POOLS, Monitor.LAG, *figures)])


def test_each_rule_turns_its_action_on_and_off():
    assert {rule.action for rule in RULES} == set(PressureAction)
    for rule in RULES:
        pressure = PressureRules()
        # Resident memory counts only while bytes are buffered.
        beside = {Monitor.BUFFERED: 0.3} if rule.monitor is Monitor.MEMORY else {}
        pressure.update(0.0, {**ALL_ZERO, **beside, rule.monitor: rule.on_at})
        assert pressure.is_on(rule.action)
        pressure.update(1.0, {**ALL_ZERO, **beside, rule.monitor: rule.off_below - 0.001})
        assert not pressure.is_on(rule.action)


@given(st.lists(st.floats(0.0, 1.2), min_size=1, max_size=60))
def test_readings_that_stay_between_the_two_figures_never_change_an_action(shares):
    made = PressureRules([PressureRule(PressureAction.SHRINK_POOLS, Monitor.DESCRIPTORS, 0.9, 0.7)])
    on = False
    for at, share in enumerate(shares):
        changes = made.update(float(at), {Monitor.DESCRIPTORS: share})
        if 0.7 <= share < 0.9:
            assert changes == []
        on = share >= 0.9 or (on and share >= 0.7)
        assert made.is_on(PressureAction.SHRINK_POOLS) == on
        assert made.level(PressureAction.SHRINK_POOLS) == float(on)
