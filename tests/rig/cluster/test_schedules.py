"""Schedules of the cluster rig: invalid input, draws, groups, and shrinking."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rig.cluster import schedules
from rig.cluster.schedules import (
    DISKS,
    NEWS,
    WAYS,
    WRITES,
    DiskFault,
    Head,
    Kill,
    Link,
    News,
    Reload,
    Schedule,
    ScheduleError,
    Stop,
    bridge,
    draw,
    one_of_each,
    read,
    ring,
    shrink,
)
from rig.helper import ROOT

HEAD = b'{"format":1,"seed":7,"nodes":3,"length_ms":1000}\n'
CUT = b'{"kind":"link","at_ms":10,"lasts_ms":50,"way":"cut","src":["n0"],"dst":["n1"]}\n'


def test_a_schedule_is_the_same_after_writing_and_reading():
    made = read(HEAD + CUT, "a.jsonl")
    assert made.steps == (Link(10, 50, "cut", ("n0",), ("n1",)),)
    assert read(made.encode(), "b") == made
    assert made.healed_ms == 60


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"", "f:1: empty"),
        (b"{}\n", "f:1: line: Object missing required field `format`"),
        (HEAD.replace(b'"format":1', b'"format":2'), "f:1: format: 2"),
        (HEAD.replace(b'"nodes":3', b'"nodes":900'), "f:1: nodes: 900"),
        (HEAD + b"{oops\n", "f:2: line:"),
        (HEAD + CUT.replace(b'"cut"', b'"cat"'), "f:2: way: Invalid enum value 'cat'"),
        (HEAD + CUT.replace(b'"n1"', b'"n9"'), "f:2: dst: no 'n9' of 3"),
        (HEAD + CUT.replace(b'"lasts_ms":50', b'"lasts_ms":5000'), "f:2: lasts_ms: 5000"),
        (HEAD + CUT.replace(b'"at_ms":10', b'"at_ms":"x"'), "f:2: at_ms: Expected `int`"),
        (HEAD + CUT.replace(b'"dst"', b'"dts"'), "f:2: line: Object contains unknown field `dts`"),
        (HEAD + CUT.replace(b'"cut"', b'"loss"'), "f:2: amount: 0 of loss"),
        (HEAD + CUT + CUT.replace(b'"at_ms":10', b'"at_ms":9'), "f:3: at_ms: 9 is before"),
        (HEAD + b'{"kind":"kill","at_ms":1,"lasts_ms":5,"node":"n3"}\n', "f:2: node: no 'n3'"),
        (HEAD + b'{"kind":"stop","at_ms":1,"lasts_ms":5,"node":"n1","share":0}\n', "f:2: share: 0"),
        (HEAD + b'{"kind":"flood","at_ms":1}\n', "f:2: kind:"),
        (HEAD + b'{"kind":"news","at_ms":1,"server":"s8"}\n', "f:2: server: no 's8' of 8"),
        (HEAD + b'{"kind":"news","at_ms":1}\n', "f:2: server: no ''"),
        (HEAD + b'{"kind":"news","at_ms":1,"server":"s1","status":"gone"}\n', "f:2: status: Invalid enum"),
        (
            HEAD + b'{"kind":"news","at_ms":1,"server":"s1","status":"rewind"}\n',
            "f:2: server: 's1', expected none: ",
        ),
        (HEAD + b'{"kind":"reload","at_ms":1,"node":"n7"}\n', "f:2: node: no 'n7'"),
        (HEAD + b'{"kind":"reload","at_ms":1,"node":"n1","settings":0}\n', "f:2: settings: 0"),
        (HEAD.replace(b"1000}", b'1000,"bound_ms":-1}'), "f:1: bound_ms: -1"),
        (HEAD.replace(b"1000}", b'1000,"verdict":"fine"}'), "f:1: verdict: Invalid enum"),
    ],
)
def test_bad_input_is_one_line_with_file_line_and_field(text, expected):
    with pytest.raises(ScheduleError) as error:
        read(text, "f")
    assert str(error.value).startswith(expected)
    assert "\n" not in str(error.value)


@given(st.integers(0, 2**32), st.integers(1, 40), st.integers(1, 30))
@settings(max_examples=60, deadline=None)
def test_a_draw_is_valid_repeats_byte_for_byte_and_heals_in_time(seed, nodes, steps):
    made = draw(seed, nodes, 20_000, steps=steps)
    assert made.encode() == draw(seed, nodes, 20_000, steps=steps).encode()
    assert read(made.encode(), "drawn") == made
    assert len(made.steps) == steps + NEWS
    assert made.healed_ms <= 15_000


def test_swarms_differ_and_one_more_step_changes_no_other():
    kinds = {
        tuple(sorted({type(step).__name__ for step in draw(seed, 5, 10_000).steps})) for seed in range(40)
    }
    assert len(kinds) > 5
    fewer, more = draw(3, 5, 10_000, steps=8), draw(3, 5, 10_000, steps=9)
    assert set(fewer.steps) < set(more.steps)


def test_changes_of_rules_do_not_depend_on_the_faults_drawn():
    news = [step for step in draw(3, 5, 10_000).steps if isinstance(step, News)]
    assert [step.status for step in news].count("leaving") == 3
    assert {"left", "active"} < {step.status for step in news}
    assert news == [step for step in draw(3, 9, 10_000, ["clocks"], 1).steps if isinstance(step, News)]
    assert not any(isinstance(step, News) for step in draw(3, 5, 10_000, news=False).steps)
    drawn = [step for seed in range(30) for step in draw(seed, 5, 10_000, ["reloads"]).steps]
    assert {step.settings for step in drawn if isinstance(step, Reload)} == {2, 3}


def test_a_schedule_of_each_kind_is_short_valid_and_equal_to_its_file():
    made = one_of_each(1)
    folder = ROOT / "tests" / "regressions" / "cluster"
    assert {file.stem for file in folder.glob("*.jsonl")} >= set(made)  # and schedules that once failed
    for name, schedule in made.items():
        assert (folder / f"{name}.jsonl").read_bytes() == schedule.encode(), name
        assert read(schedule.encode(), name) == schedule
        assert schedule.head.length_ms <= 3500
        assert 3 <= schedule.head.nodes <= 5
        assert schedule.head.bound_ms > schedule.head.length_ms
    steps = [step for schedule in made.values() for step in schedule.steps]
    assert {step.way for step in steps if isinstance(step, Link)} == set(WAYS)
    assert {step.disk for step in steps if isinstance(step, Kill)} == set(DISKS)
    for writes in WRITES:
        (fault,) = [step for step in steps if isinstance(step, DiskFault) and step.writes == writes]
        (schedule,) = [made for made in made.values() if fault in made.steps]
        over_ms = fault.at_ms + fault.lasts_ms
        news = [step for step in schedule.steps if isinstance(step, News)]
        assert any(fault.at_ms < step.at_ms < over_ms for step in news), "nothing is written amid the fault"
        (kill,) = [step for step in schedule.steps if isinstance(step, Kill)]
        assert kill.at_ms > max(step.at_ms for step in news if step.at_ms < over_ms)


def test_unknown_faults_are_reported():
    with pytest.raises(ScheduleError, match="no storms, expected some of links"):
        draw(1, 3, 1000, kinds=["storms"])


def reaches(links, count):
    """Return which nodes each node reaches directly."""
    every = schedules.names(count)
    cut = {(src, dst) for link in links for src in link.src for dst in link.dst}
    return {src: {dst for dst in every if dst != src and (src, dst) not in cut} for src in every}


def test_groups_rings_and_bridges():
    apart = reaches(schedules.split(0, 10, (["n0"], ["n1", "n2"])), 3)
    assert apart == {"n0": set(), "n1": {"n2"}, "n2": {"n1"}}
    over = reaches(bridge(0, 10, ["n0", "n1"], "n2", ["n3", "n4"]), 5)
    assert over["n0"] == {"n1", "n2"}
    assert over["n2"] == {"n0", "n1", "n3", "n4"}
    assert over["n4"] == {"n2", "n3"}
    round_ = reaches(ring(0, 10, schedules.names(5)), 5)
    assert all(len(near) == 2 for near in round_.values())
    assert round_["n0"] == {"n1", "n4"}


def test_shrinking_keeps_the_steps_that_fail_and_little_else():
    head = Head(1, 1, 5, 10_000)
    noise = tuple(Stop(100 * index, 1000, "n4") for index in range(10))
    guilty = (Link(300, 4000, "cut", ("n0", "n1"), ("n2", "n3")), Kill(700, 2000, "n2"))
    whole = Schedule(head, tuple(sorted((*noise, *guilty), key=lambda step: step.at_ms)))

    def fails(made):
        cuts = [s for s in made.steps if isinstance(s, Link) and "n0" in s.src and s.lasts_ms >= 500]
        return bool(cuts) and any(isinstance(s, Kill) for s in made.steps)

    small = shrink(whole, fails)
    assert fails(small)
    assert len(small.steps) == 2
    (link,) = [s for s in small.steps if isinstance(s, Link)]
    assert link.src == ("n0",)
    assert len(link.dst) == 1
    assert link.lasts_ms < 1000


def test_changes_by_the_registry_shrink_by_status():
    whole = Schedule(Head(1, 1, 3, 9000), (News(5, 1, "s1", "left"), Reload(9, 1, "n1"), News(9, 1, "s2")))
    small = shrink(whole, lambda made: any(isinstance(step, News) for step in made.steps))
    assert small.steps == (News(5, 1, "s1", "leaving"),) or small.steps == (News(9, 1, "s2"),)


def test_shrinking_is_bounded():
    asked = []

    def fails(made):
        asked.append(made)
        return len(asked) % 3 == 0

    shrink(draw(1, 5, 10_000, steps=30), fails, tries=25)
    assert len(asked) == 25
