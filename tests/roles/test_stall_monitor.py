"""A process that stood still: what it may trust, and since when a signal may have waited for it."""

from __future__ import annotations

import pytest

from fordtrestle.roles.control_contact import ControlContact
from fordtrestle.roles.stall_monitor import RECOVERY_S, StallMonitor

FROZEN_AT, THAWED_AT = 10.0, 14.0


def make_monitor(*ticks):
    monitor = StallMonitor()
    for at in ticks:
        monitor.tick(at)
    return monitor


@pytest.mark.parametrize(
    ("ticks", "now", "has_recovered", "earliest_arrival"),
    [
        pytest.param((9.75, FROZEN_AT), 10.2, True, 10.2, id="no stall"),
        pytest.param((9.75, FROZEN_AT), THAWED_AT, False, FROZEN_AT, id="before the first tick"),
        pytest.param((FROZEN_AT, THAWED_AT), THAWED_AT, False, FROZEN_AT, id="in the turn of that tick"),
        pytest.param((FROZEN_AT, THAWED_AT, 15.0), 15.1, False, 15.1, id="not recovered"),
        pytest.param((FROZEN_AT, THAWED_AT, 15.0, 16.0), THAWED_AT + RECOVERY_S, True, 16.0, id="recovered"),
        pytest.param((9.0, 9.9), 10.8, True, 10.8, id="a short delay"),
    ],
)
def test_after_a_stall_nothing_is_trusted_for_a_while_and_signals_may_be_old(
    ticks, now, has_recovered, earliest_arrival
):
    monitor = make_monitor(*ticks)
    assert (monitor.has_recovered(now), monitor.earliest_arrival(now)) == (has_recovered, earliest_arrival)


def test_contact_to_control_lasts_for_a_second_after_the_last_link():
    links = [True, False, False]
    contact = ControlContact(lambda: links.pop(0))
    assert not ControlContact(lambda: False).is_recent(10.0)
    contact.refresh(10.0)
    assert contact.is_recent(11.0)
    assert not contact.is_recent(11.1)
