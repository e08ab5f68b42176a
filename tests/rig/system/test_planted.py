"""Planted faults are guards that exist."""

from __future__ import annotations

from tests.guards import GUARDS
from tests.rig.system.planted import PLANTED


def test_each_planted_fault_is_a_guard():
    assert set(PLANTED) <= set(GUARDS)
