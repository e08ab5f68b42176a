"""What tests of the rig wait with: the bounds of the loopback partners, by names that fit here."""

from __future__ import annotations

import functools

import pytest

from tests.loopback import PATIENCE_S, until
from tests.loopback import loopback as bounded

__all__ = ["PATIENCE_S", "PLAYS_MOST", "UNSOUND", "address_of", "believed", "bounded", "until"]

PLAYS_MOST = 3
UNSOUND: list[str] = []  # why the rig says that the plays of the test at hand can't be believed


def address_of(address):
    """`host:port` as a pair."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def believed(test):
    """A test of plays, which notes in `UNSOUND` what they tell: what fails then is played again.

    Only a play that the rig itself believes can fail it. A machine that is never calm enough for one says
    nothing of the program: that is a skip, which tells why.
    """

    @functools.wraps(test)
    def run(*args, **kwargs):
        for _ in range(PLAYS_MOST):
            UNSOUND.clear()
            try:
                return test(*args, **kwargs)
            except AssertionError:
                if not UNSOUND:
                    raise
        pytest.skip(f"this machine is too busy: {'; '.join(UNSOUND)}")

    return run
