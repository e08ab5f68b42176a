"""Tests that the ablation table matches the source and that printed figures are parsed."""

from __future__ import annotations

import re
import sys

import pytest

from benchmarks.ablation import MECHANISMS, ROOT, WHOLE, compare, copy_without, play, play_all


@pytest.mark.parametrize("name", MECHANISMS)
def test_a_mechanism_can_be_switched_off(name):
    mechanism = MECHANISMS[name]
    text = (ROOT / mechanism.file).read_text()
    assert text.count(mechanism.lines) == 1
    compile(text.replace(mechanism.lines, mechanism.without), mechanism.file, "exec")


def test_a_copy_lacks_only_the_mechanism(tmp_path):
    mechanism = MECHANISMS["urgency of short prompts"]
    copy_without(mechanism, tmp_path)
    assert (tmp_path / mechanism.file).read_text() != (ROOT / mechanism.file).read_text()
    other = "fordtrestle/routing/pick_server.py"
    assert (tmp_path / other).read_text() == (ROOT / other).read_text()


def test_a_play_returns_the_printed_figure_or_none(tmp_path):
    figure = re.compile(r"^score (\S+)", re.MULTILINE)
    command = f"{sys.executable} -c \"print('score 0.{{seed}}')\""
    assert play(tmp_path, "25", command, figure) == 0.25
    assert play(tmp_path, "25", f"{sys.executable} -c pass", figure) is None


def test_all_cases_are_played_with_each_seed(tmp_path):
    played = []

    def play_one(folder, seed):
        played.append((folder.name, seed))
        return float(seed)

    name = "urgency of short prompts"
    figures = play_all([name], ["1", "2"], tmp_path, 1, play_one)
    assert figures == {WHOLE: {"1": 1.0, "2": 2.0}, name: {"1": 1.0, "2": 2.0}}
    assert sorted(played) == [("0", "1"), ("0", "2"), ("1", "1"), ("1", "2")]


def test_mechanisms_are_compared_by_pairs_of_one_seed():
    whole = {"1": 0.5, "2": 0.7, "3": None}
    assert compare(whole, {"1": 0.4, "2": 0.7, "3": 0.9}) == "-0.050 (spread 0.071, 2 pairs)"
    assert compare(whole, {"1": None, "2": None, "3": None}) == "no pair"
