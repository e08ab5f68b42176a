"""`python -m rig.cluster`: schedules drawn, shown, played on processes, judged and shrunk."""

from __future__ import annotations

import json

import pytest

from rig.cluster import __main__ as command
from rig.cluster.history import Acted
from rig.cluster.schedules import FORMAT, Head, Kill, Link, Schedule, read

HEAD = Head(FORMAT, 3, 3, 4500)
CUT = Schedule(HEAD, (Link(300, 3800, "cut", ("registry",), ("n0",)),))


def write(tmp_path, schedule):
    path = tmp_path / "a.jsonl"
    path.write_bytes(schedule.encode())
    return str(path)


def test_a_draw_is_what_its_seed_says_and_can_be_shown(tmp_path, capfdbinary):
    words = ["draw", "--seed", "4", "--nodes", "3", "--steps", "5"]
    assert command.main(words) == 0
    first = capfdbinary.readouterr().out
    assert command.main(words) == 0
    assert capfdbinary.readouterr().out == first
    (tmp_path / "a.jsonl").write_bytes(first)
    assert len(read(first, "a").steps) == 5
    assert command.main(["show", str(tmp_path / "a.jsonl")]) == 0
    assert capfdbinary.readouterr().out.count(b"\n") == 6


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["draw", "--seed", "1", "--faults", "storms"], "faults: no storms"),
        (["draw", "--seed", "1", "--nodes", "900"], "draw: nodes: 900"),
        (["show", "no-such-file"], "no-such-file: No such file"),
        (["run", "no-such-file"], "no-such-file: No such file"),
    ],
)
def test_bad_input_is_one_line_and_exit_code_2(words, said, capsys):
    assert command.main(words) == 2
    assert capsys.readouterr().err.startswith(said)


def test_a_bad_line_is_named_and_nothing_is_started(tmp_path, capsys, monkeypatch):
    monkeypatch.setattr(command, "play", None)
    path = tmp_path / "a.jsonl"
    path.write_bytes(CUT.encode() + b'{"kind":"kill"}\n')
    assert command.main(["run", str(path)]) == 2
    assert capsys.readouterr().err.startswith(f"{path}:3: ")


def test_a_run_finds_the_breach_that_its_schedule_makes_and_draws_it(tmp_path, capsys):
    path, report, picture = write(tmp_path, CUT), tmp_path / "out.json", tmp_path / "out.svg"
    words = ["run", path, "--bound-ms", "600", "--json", str(report), "--svg", str(picture)]
    assert command.main(words) == 1
    told = json.loads(report.read_text())
    assert told["verdict"] == "broken" and told["longest_ms"] > 600.0 and "n0" in told["contradictions"][0]
    assert "broken: contradiction: list:" in capsys.readouterr().out
    assert picture.read_text().count("<path") > 10


# --- judging without processes ------------------------------------------------------------


def seen(*acts):
    numbers = {}
    events = []
    for node, at_ms, version in acts:
        numbers[node] = numbers.get(node, 0) + 1
        events.append(Acted(node, numbers[node], at_ms, "list:s1", version))
    return {"events": events, "began_ms": 0.0, "answers": {}, "unsound": "", "nodes": ["n0", "n1"]}


def test_a_node_that_goes_back_after_a_kill_is_a_breach():
    made = seen(("n0", 10.0, 2), ("n1", 20.0, 2), ("n1", 700.0, 2), ("n0", 900.0, 1), ("n0", 950.0, 2))
    findings, told = command.judged(Schedule(HEAD, (Kill(100, 500, "n0"),)), made, 2000.0)
    assert told["verdict"] == "broken" and "back to 1" in findings[0].text
    assert told["recovery_ms"] == 350.0


def test_what_no_node_can_be_made_to_take_is_said():
    text = b'{"kind":"disk","at_ms":1,"lasts_ms":5,"node":"n0","writes":"lie"}\n'
    schedule = read(Schedule(HEAD).encode() + text, "f")
    _, told = command.judged(schedule, seen(("n0", 10.0, 1), ("n1", 20.0, 1)), 2000.0)
    assert told["verdict"] == "kept" and told["not_played"] == ["1 .. 6        diskfault n0 writes=lie"]


def test_shrinking_plays_smaller_ones_and_prints_the_smallest(tmp_path, capfdbinary, monkeypatch):
    noise = Kill(50, 100, "n2")
    whole = Schedule(HEAD, (noise, *CUT.steps))

    async def play(schedule, live=False):
        cut = any(isinstance(step, Link) for step in schedule.steps)
        return seen(("n1", 10.0, 2), ("n0", 3000.0 if cut else 5.0, 1))

    monkeypatch.setattr(command, "play", play)
    assert command.main(["shrink", write(tmp_path, whole)]) == 0
    (step,) = read(capfdbinary.readouterr().out, "out").steps
    assert isinstance(step, Link)
    assert command.main(["shrink", write(tmp_path, Schedule(HEAD, (noise,)))]) == 1
    assert b"nothing to shrink" in capfdbinary.readouterr().err
