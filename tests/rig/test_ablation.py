"""Each mechanism of the ablation stands where the table says, and a play is read as it was printed."""

from __future__ import annotations

import re
import sys

import pytest

from benchmarks.ablation import MECHANISMS, ROOT, compare, copy_without, play


@pytest.mark.parametrize("name", MECHANISMS)
def test_a_mechanism_can_be_switched_off(name):
    mechanism = MECHANISMS[name]
    text = (ROOT / mechanism.file).read_text()
    assert text.count(mechanism.lines) == 1
    compile(text.replace(mechanism.lines, mechanism.without), mechanism.file, "exec")


def test_a_copy_lacks_the_mechanism_and_nothing_else(tmp_path):
    mechanism = MECHANISMS["urgency of short prompts"]
    copy_without(mechanism, tmp_path)
    assert (tmp_path / mechanism.file).read_text() != (ROOT / mechanism.file).read_text()
    other = "fordtrestle/routing/pick.py"
    assert (tmp_path / other).read_text() == (ROOT / other).read_text()


def test_a_play_gives_the_figure_that_it_prints_or_none(tmp_path):
    figure = re.compile(r"^score (\S+)", re.MULTILINE)
    says = f"{sys.executable} -c \"print('score 0.{{seed}}')\""
    assert play(tmp_path, says, figure, "25") == 0.25
    assert play(tmp_path, f"{sys.executable} -c pass", figure, "25") is None


def test_mechanisms_are_compared_by_pairs_of_one_seed():
    whole = {"1": 0.5, "2": 0.7, "3": None}
    assert compare(whole, {"1": 0.4, "2": 0.7, "3": 0.9}) == "-0.050 (spread 0.071, 2 pairs)"
    assert compare(whole, {"1": None, "2": None, "3": None}) == "no pair"
