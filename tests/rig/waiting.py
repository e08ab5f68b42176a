"""Helpers of rig tests: time limits of the loopback tests, and repeated plays."""

from __future__ import annotations

import functools

import pytest

from tests.loopback import PATIENCE_S, until
from tests.loopback import loopback as bounded

__all__ = ["MAX_PLAYS", "PATIENCE_S", "UNSOUND", "address_of", "believed", "bounded", "until"]

MAX_PLAYS = 3
UNSOUND: list[str] = []  # reasons for which the rig rejects the measurements of the current test


def address_of(address):
    """Split `host:port` into a pair."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def believed(test):
    """Repeat a failed test that added reasons to `UNSOUND`, since the rig rejected its measurements.

    Only a run with valid measurements can fail the test. A machine that is always too busy for one shows
    nothing about the program, so the test is then skipped with the reasons.
    """

    @functools.wraps(test)
    def run(*args, **kwargs):
        for _ in range(MAX_PLAYS):
            UNSOUND.clear()
            try:
                return test(*args, **kwargs)
            except AssertionError:
                if not UNSOUND:
                    raise
        pytest.skip(f"this machine is too busy: {'; '.join(UNSOUND)}")

    return run
