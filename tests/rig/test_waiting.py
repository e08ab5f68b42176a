"""Tests of how tests treat runs with invalid measurements."""

from __future__ import annotations

import pytest

from tests.rig.waiting import MAX_PLAYS, UNSOUND, believed


def plays(*rows):
    """Return a test whose runs follow rows of (fails, unsound), and the list of its runs."""
    left, run = list(rows), []

    @believed
    def test():
        fails, unsound = left.pop(0)
        run.append(fails)
        UNSOUND.extend(["late"] if unsound else [])
        assert not fails

    return test, run


@pytest.mark.parametrize(
    ("rows", "count"),
    [([(False, False)], 1), ([(False, True)], 1), ([(True, True), (False, False)], 2)],
)
def test_an_unsound_failure_is_repeated_and_a_pass_is_not(rows, count):
    test, run = plays(*rows)
    test()
    assert len(run) == count


@pytest.mark.parametrize("rows", [[(True, False)], [(True, True), (True, False)]])
def test_a_sound_failure_fails_the_test(rows):
    test, run = plays(*rows)
    with pytest.raises(AssertionError):
        test()
    assert len(run) == len(rows)


def test_only_unsound_failures_skip_the_test_with_the_reason():
    test, run = plays(*[(True, True)] * MAX_PLAYS)
    with pytest.raises(pytest.skip.Exception, match="too busy: late"):
        test()
    assert len(run) == MAX_PLAYS
