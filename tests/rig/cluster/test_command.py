"""`python -m rig.cluster`: draws, shows, plays on processes, verdicts and shrinking."""

from __future__ import annotations

import asyncio
import json
import math

import msgspec
import pytest

from rig.cluster import __main__ as command
from rig.cluster import report as reports
from rig.cluster.judging import Played
from rig.cluster.schedules import FORMAT, Head, Kill, Link, News, Schedule, read
from rig.ledger import Ledger
from tests.rig.cluster.logs import Log
from tests.rig.waiting import UNSOUND, believed

SCHEDULES = sorted(file.stem for file in command.REGRESSIONS_FOLDER.glob("*.jsonl"))
HEAD = Head(FORMAT, 3, 3, 4500)
CUT = Schedule(HEAD, (Link(300, 3800, "cut", ("registry",), ("n0",)), News(800, 1, "s1")))


def write(tmp_path, schedule, name="a"):
    path = tmp_path / f"{name}.jsonl"
    path.write_bytes(schedule.encode())
    return str(path)


def test_a_draw_depends_on_its_seed_only_and_can_be_shown(tmp_path, capfdbinary):
    words = ["draw", "--seed", "4", "--nodes", "3", "--steps", "5", "--no-news"]
    assert command.main(words) == 0
    first = capfdbinary.readouterr().out
    assert command.main(words) == 0
    assert capfdbinary.readouterr().out == first
    (tmp_path / "a.jsonl").write_bytes(first)
    assert len(read(first, "a").steps) == 5
    assert command.main(["show", str(tmp_path / "a.jsonl")]) == 0
    assert capfdbinary.readouterr().out.count(b"\n") == 6


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        (["draw", "--seed", "1", "--faults", "storms"], "faults: no storms"),
        (["draw", "--seed", "1", "--nodes", "900"], "draw: nodes: 900"),
        (["show", "no-such-file"], "no-such-file: No such file"),
        (["run", "no-such-file"], "no-such-file: No such file"),
        (["ci", "no-such-folder"], "no-such-folder: no schedules"),
        (["ci", "--only", "storms"], "cluster: no storms"),
        (["ci", "--breach", "no-such-breach"], "breach: no 'no-such-breach'"),
    ],
)
def test_bad_input_is_one_line_and_exit_code_2(words, expected, capsys):
    assert command.main(words) == 2
    error = capsys.readouterr().err
    assert expected in error
    assert error.count("\n") == 1


def test_a_bad_line_is_named_and_nothing_is_started(tmp_path, capsys, monkeypatch):
    monkeypatch.setattr(command, "play", None)
    path = tmp_path / "a.jsonl"
    path.write_bytes(CUT.encode() + b'{"kind":"kill"}\n')
    for words in (["run", str(path)], ["ci", str(tmp_path)]):
        assert command.main(words) == 2
        assert capsys.readouterr().err.startswith(f"{path}:4: ")


def test_a_run_finds_the_breach_of_its_schedule_and_draws_it(tmp_path, capsys):
    path, out, picture = write(tmp_path, CUT), tmp_path / "out.json", tmp_path / "out.svg"
    words = ["run", path, "--bound-ms", "600", "--live", "--json", str(out), "--svg", str(picture)]
    assert command.main(words) == 1
    report = reports.decode(out.read_bytes())
    assert report.verdict == "broken"
    assert report.longest.lists_ms > 600.0
    assert "n0" in report.longest.lines[0]
    assert report.findings[0].checker == "contradiction"
    assert report.findings[0].shown
    assert {use.node for use in report.used} == {"n0", "n1", "n2"}
    assert report.answers["served"] > 100
    output = capsys.readouterr()
    assert "broken: contradiction: list:shop/s1" in output.out
    assert "cut from registry to n0" in output.err  # the live display
    assert picture.read_text().count("<path") > 10


@pytest.mark.parametrize("name", SCHEDULES)
@believed
def test_each_kind_of_fault_has_the_verdict_of_its_file(name):
    """Plays a schedule on 3 to 5 processes; one test each, so that pytest workers share them."""
    given = command.parser().parse_args(["ci"])
    report = asyncio.run(command._play_in_process(command.REGRESSIONS_FOLDER / f"{name}.jsonl", given))
    UNSOUND.extend(report.unsound)
    assert report.verdict == report.stated, report.findings


def test_schedules_of_a_folder_are_played_side_by_side(capsys, monkeypatch):
    monkeypatch.setattr(command, "MAX_PLAYS", 2)
    code = command.main(["ci", "--only", "link-cut,split"])
    output = capsys.readouterr().out
    assert "where its file states" not in output, output
    if code and "UNSOUND" in output:
        pytest.skip("this machine is too busy: an unsound play says nothing")
    assert code == 0
    assert "2 passed, 0 failed" in output


def test_there_is_a_schedule_of_each_kind_of_fault():
    assert len(SCHEDULES) >= 32


# --- judging without processes ------------------------------------------------------------


def a_play(*acts, schedule=CUT, **more):
    """Return a play with acts on s1's entry: the node, the time, and whether by the newer list."""
    log = Log()
    for node in ("n0", "n1"):
        log.start(node, 0.0)
    for node, at_ms, newer in acts:
        version, entry = (2, "leaving/1") if newer else (1, "active/1")
        log.learn(node, at_ms - 1.0, version, "list:shop", str(version), s1=entry, s2="active/1")
        log.act(node, at_ms, version, "list:shop", str(version), server="s2" if newer else "s1")
    last_ms = max((event.at_ms for event in log.events), default=0.0)
    for node in ("n0", "n1"):
        log.end(node, last_ms)
    events = sorted(log.events, key=lambda event: event.at_ms)
    return Played(schedule, ["n0", "n1"], 0.0, events, Ledger(), **more)


def playing(monkeypatch, play):
    async def run(schedule, options):
        return play(schedule)

    monkeypatch.setattr(command, "play", run)


def test_the_bound_is_that_of_the_option_or_of_the_file(tmp_path, capsys, monkeypatch):
    playing(monkeypatch, lambda made: a_play(("n1", 10.0, True), ("n0", 3000.0, False)))
    loose = Schedule(Head(FORMAT, 3, 3, 4500, bound_ms=4000), CUT.steps)
    assert command.main(["run", write(tmp_path, loose)]) == 0
    assert command.main(["run", write(tmp_path, loose), "--bound-ms", "2000"]) == 1
    assert command.main(["run", write(tmp_path, CUT)]) == 1
    assert "n0 pick by version 1" in capsys.readouterr().out


def test_a_process_that_exits_by_itself_and_an_unsound_run_are_failures(tmp_path, capsys, monkeypatch):
    for more, expected in (
        ({"exit_errors": ["n0: ended"]}, "process: n0"),
        ({"unsound": ["late"]}, "UNSOUND: late"),
    ):
        playing(monkeypatch, lambda made, more=more: a_play(("n0", 5.0, True), **more))
        assert command.main(["run", write(tmp_path, CUT)]) == 1
        assert expected in capsys.readouterr().out


def test_plays_with_different_verdicts_are_reported(tmp_path, capsys, monkeypatch):
    ends = iter([5.0, 3000.0])
    playing(monkeypatch, lambda made: a_play(("n1", 10.0, True), ("n0", next(ends), False)))
    assert command.main(["run", write(tmp_path, CUT), "--times", "2"]) == 1
    assert "not the same each time: broken, kept" in capsys.readouterr().out


def test_shrinking_plays_smaller_ones_and_prints_the_smallest(tmp_path, capfdbinary, monkeypatch):
    noise = Kill(50, 100, "n2")

    def play(schedule):
        cut = any(isinstance(step, Link) for step in schedule.steps)
        return a_play(("n1", 10.0, True), ("n0", 3000.0 if cut else 5.0, False), schedule=schedule)

    playing(monkeypatch, play)
    assert command.main(["shrink", write(tmp_path, Schedule(HEAD, (noise, *CUT.steps)))]) == 0
    (step,) = read(capfdbinary.readouterr().out, "out").steps
    assert isinstance(step, Link)
    assert command.main(["shrink", write(tmp_path, Schedule(HEAD, (noise,)))]) == 1
    assert b"nothing to shrink" in capfdbinary.readouterr().err


def a_report(**changes):
    made = reports.report(a_play(("n0", 5.0, True)), [], 1000.0)
    return msgspec.structs.replace(made, **changes)


@pytest.mark.parametrize(
    ("changes", "passes"),
    [
        ({}, True),
        ({"verdict": "broken"}, False),
        ({"verdict": "broken", "stated": "broken"}, True),
        ({"stated": "broken"}, False),
        ({"unsound": ("late",)}, False),
    ],
)
def test_each_schedule_of_a_folder_must_have_the_verdict_of_its_file(
    changes, passes, tmp_path, capsys, monkeypatch
):
    async def one(file, given):
        return a_report(**changes)

    monkeypatch.setattr(command, "_play_in_process", one)
    write(tmp_path, CUT)
    assert command.main(["ci", str(tmp_path)]) == (0 if passes else 1)
    assert capsys.readouterr().out.endswith("1 passed, 0 failed\n" if passes else "0 passed, 1 failed\n")


@pytest.mark.parametrize(("unsound_plays", "plays", "code"), [(0, 1, 0), (1, 2, 0), (2, 3, 0), (99, 3, 1)])
def test_an_unsound_play_is_repeated_alone_a_bounded_number_of_times(
    unsound_plays, plays, code, tmp_path, monkeypatch
):
    played = []

    class Fake:
        tail = ()

        @classmethod
        async def start(cls, argv, **options):
            played.append(argv)
            unsound = ("late",) if len(played) <= unsound_plays else ()
            with open(argv[argv.index("--json") + 1], "wb") as file:
                file.write(reports.encode(a_report(unsound=unsound)))
            return cls()

        async def wait(self, within_s):
            return 0

        async def stop(self):
            return 0

    monkeypatch.setattr(command, "Program", Fake)
    write(tmp_path, CUT)
    assert command.main(["ci", str(tmp_path)]) == code
    assert len(played) == plays


def test_a_play_that_does_not_end_in_time_is_exit_code_2(tmp_path, capsys, monkeypatch):
    write(tmp_path, CUT)
    words = ["ci", str(tmp_path), "--tree", str(command.ROOT)]
    monkeypatch.setattr(command, "PLAY_S", 0.0)
    assert command.main(words) == 2
    assert "neither report nor output" in capsys.readouterr().err


def test_the_form_of_reports_is_a_schema_that_names_each_field(capfdbinary):
    assert command.main(["form"]) == 0
    schema = json.loads(capfdbinary.readouterr().out)
    fields = schema["$defs"]["Report"]["properties"]
    assert set(fields) == set(reports.Report.__struct_fields__)
    whole = a_report(recovery_ms=None)
    assert reports.decode(reports.encode(whole)) == whole
    assert math.isnan(a_play(schedule=Schedule(HEAD)).recovery_ms())
