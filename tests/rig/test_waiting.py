"""What a test of plays makes of those that can't be believed."""

from __future__ import annotations

import pytest

from tests.rig.waiting import PLAYS_MOST, UNSOUND, believed


def plays(*rows):
    """A test that fails or passes, and is unsound or not, as the rows say; and how often it was run."""
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
def test_what_passes_passes_and_what_fails_unsoundly_is_played_again(rows, count):
    test, run = plays(*rows)
    test()
    assert len(run) == count


@pytest.mark.parametrize("rows", [[(True, False)], [(True, True), (True, False)]])
def test_a_sound_play_that_fails_fails_it(rows):
    test, run = plays(*rows)
    with pytest.raises(AssertionError):
        test()
    assert len(run) == len(rows)


def test_unsound_plays_alone_are_a_skip_that_tells_why():
    test, run = plays(*[(True, True)] * PLAYS_MOST)
    with pytest.raises(pytest.skip.Exception, match="too busy: late"):
        test()
    assert len(run) == PLAYS_MOST
