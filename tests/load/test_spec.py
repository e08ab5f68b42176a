"""The load file: strict keys and values, all errors at once, and the same schedule for the same seed."""

from __future__ import annotations

import re
from dataclasses import replace
from itertools import islice, pairwise

import pytest

from fordtrestle.load import schedule, spec, trace
from fordtrestle.load.errors import SpecError, TraceError
from fordtrestle.load.mix import Request

GOOD = """
[target]
address = "127.0.0.1:8080"

[run]
length_s = 4
seed = 3
workers = 2

[arrivals.base]
shape = "constant"
rate_per_s = 200

[arrivals.volley]
shape = "bursts"
spacing = "even"
on_per_s = 20000
on_s = 0.001
off_per_s = 0
off_s = 0.999
starts_s = 1

[class.look]
semantics = "pure"
share = 3
budget_ms = 500
aim_ms = 100

[class.pay]
semantics = "unsafe"
budget_ms = 1000
worth = 5

[tenant.acme]
share = 3
[tenant.other]

[keys]
count = 100
exponent = 0.9

[[size]]
bytes = 200
[[size]]
bytes = 4000
share = 0.1

[retries]
most = 2
on = ["refused", "failed"]

[bounds]
p99_most_ms = 100
"""
TRACE = re.sub(r"\[arrivals.*?(?=\[class)", '[trace]\nfile = "t.trace"\n', GOOD, flags=re.S)
TRACE = re.sub(r"\[tenant.*?(?=\[retries)", "", TRACE, flags=re.S).replace("length_s = 4\n", "")


def errors_of(text):
    with pytest.raises(SpecError) as caught:
        spec.parse(text, "f.toml")
    return caught.value.lines


def test_a_valid_file_is_read():
    parsed = spec.parse(GOOD, "f.toml")
    assert (parsed.length_s, parsed.seed, parsed.workers, parsed.keys.count) == (4.0, 3, 2, 100)
    assert [(c.name, c.semantics, c.aim_ms, c.worth) for c in parsed.classes] == [
        ("look", "pure", 100.0, 1.0),
        ("pay", "unsafe", 1000.0, 5.0),
    ]
    assert parsed.bounds.p99_most_ms == 100.0
    assert parsed.bounds.in_aim_share_least is None
    assert parsed.retries.on == ("refused", "failed")


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"127.0.0.1:8080"', '"127.0.0.1"', 'target.address: "127.0.0.1" is not an address (host:port)'),
        ("length_s = 4", "length_s = 0", "run.length_s: 0 is not within 0.001 to 86400"),
        ("length_s = 4", "length_s = nan", "run.length_s: NaN is not within"),
        ("length_s = 4\n", "", "run.length_s: missing"),
        ("length_s = 4", "length = 4", "run.length: no such key"),
        ("seed = 3", "seed = true", "run.seed: expected a whole number, not true"),
        ("workers = 2", "workers = 2\nopen_most = 1", "run.open_most: each worker needs at least one"),
        ('"constant"', '"flat"', "arrivals.base.shape: expected one of constant, bursts"),
        ("rate_per_s = 200", "rate_per_s = -1", "arrivals.base.rate_per_s: -1 is not within"),
        ("rate_per_s = 200", "rate_per_s = 200\nswing_per_s = 1", "arrivals.base.swing_per_s: no such key"),
        (
            "starts_s = 1",
            "starts_s = 4",
            "arrivals.volley.starts_s: expected less than run.length_s (4), not 4",
        ),
        ("share = 3\nbudget_ms = 500", "share = 3", "class.look.budget_ms: missing"),
        ('"unsafe"', '"bad"', 'class.pay.semantics: expected one of pure, keyed, unsafe, not "bad"'),
        ("[class.pay]", '[class."p y"]', 'class."p y": a name is a plain word'),
        ("worth = 5", 'path = "x y"', "class.pay.path: expected a path"),
        ("bytes = 200", "bytes = 65537", "size[0].bytes: 65537 is not within"),
        ("count = 100", "count = 1000001", "keys.count: 1000001 is not within"),
        ('"failed"]', '"late"]', "retries.on: expected some of refused"),
        ("[bounds]", '[trace]\nfile = "x"\n[bounds]', "arrivals: not allowed with a trace"),
        ("[bounds]", "[bonds]", "bonds: no such key; did you mean bounds?"),
        ("[class.pay]", "[class.-pay]", "class: -pay: at most 64 names, and none begins with -"),
        (
            '"constant"\nrate_per_s = 200',
            '"steps"\nrates_per_s = [1, true]\neach_s = 1',
            "arrivals.base.rates_per_s",
        ),
        ("seed = 3", "seed = 3\n[run.more]", "run.more: no such key"),
        ("[bounds]", "[bounds", "Expected ']'"),
    ],
)
def test_an_invalid_value_is_reported_by_its_key(old, new, expected):
    assert old in GOOD
    lines = errors_of(GOOD.replace(old, new, 1))
    assert any(line.startswith("f.toml: ") and expected in line for line in lines), lines
    assert all("\n" not in line for line in lines)


def test_all_errors_are_reported_at_once():
    lines = errors_of(GOOD.replace("seed = 3", "seed = -3").replace("budget_ms = 1000", "budget = 1"))
    assert [line.split(": ")[1] for line in lines] == ["run.seed", "class.pay.budget_ms", "class.pay.budget"]
    assert len(errors_of("")) == 4  # target, length, class and arrivals are missing


@pytest.mark.parametrize(
    "shape",
    [
        'shape = "ramp"\nfrom_per_s = 0\nto_per_s = 100\nover_s = 4',
        'shape = "wave"\nmean_per_s = 50\nswing_per_s = 50\nperiod_s = 2',
        'shape = "steps"\nrates_per_s = [0, 100]\neach_s = 2',
    ],
)
def test_every_shape_gives_its_number_of_requests_in_order(shape, tmp_path):
    text = GOOD.replace('shape = "constant"\nrate_per_s = 200', f'spacing = "even"\n{shape}')
    rows = list(schedule.make_schedule(spec.parse(text, "f"), tmp_path).requests())
    assert len(rows) == pytest.approx(200 + 60, abs=1)
    assert all(a.at_us <= b.at_us for a, b in pairwise(rows))


def test_a_wave_with_negative_rates_is_rejected():
    text = GOOD.replace(
        'shape = "constant"\nrate_per_s = 200',
        'shape = "wave"\nmean_per_s = 1\nswing_per_s = 2\nperiod_s = 1',
    )
    assert errors_of(text) == ["f.toml: arrivals.base.swing_per_s: expected at most mean_per_s"]


def test_the_same_seed_gives_the_same_schedule_byte_for_byte(tmp_path):
    parsed = spec.parse(GOOD, "f")
    files = []
    for number, seed in enumerate((3, 3, 4)):
        path = tmp_path / f"{number}.trace.gz"
        trace.write(path, schedule.make_schedule(replace(parsed, seed=seed), tmp_path).requests(), 4_000_000)
        files.append(path.read_bytes())
    assert files[0] == files[1] != files[2]


def test_the_mix_does_not_change_the_send_times(tmp_path):
    other = GOOD.replace("count = 100", "count = 50").replace("bytes = 200", "bytes = 300")
    a, b = (
        [row.at_us for row in schedule.make_schedule(spec.parse(text, "f"), tmp_path).requests()]
        for text in (GOOD, other)
    )
    assert a == b
    assert len(a) > 800


def write_trace(path, rows, length_us=2_000_000):
    trace.write(path, rows, length_us)


def test_a_trace_replaces_arrivals(tmp_path):
    rows = [Request(i * 1000, "look", "acme", "", 500_000, 0) for i in range(100)]
    write_trace(tmp_path / "t.trace", rows)
    text = TRACE.replace('file = "t.trace"', 'file = "t.trace"\nspeed = 2\nloop = 3')
    parsed = schedule.make_schedule(spec.parse(text, "f"), tmp_path)
    assert (parsed.length_us, parsed.tenants) == (3_000_000, ("acme",))
    assert [row.at_us for row in islice(parsed.requests(), 99, 102)] == [49_500, 1_000_000, 1_000_500]


@pytest.mark.parametrize(
    ("class_name", "more", "expected"),
    [
        ("book", "", r"t\.trace: class: the load has no \[class\.book\]"),
        ("look", "\nfrom_s = 2", r"t\.trace: from_s: nothing is left of 2 s"),
    ],
)
def test_a_trace_that_does_not_match_the_load_is_rejected_before_anything_is_sent(
    tmp_path, class_name, more, expected
):
    write_trace(tmp_path / "t.trace", [Request(0, class_name, "", "", 1, 0)])
    parsed = spec.parse(TRACE.replace('"t.trace"', f'"t.trace"{more}'), "f")
    with pytest.raises(TraceError, match=expected):
        schedule.make_schedule(parsed, tmp_path)


def test_spin_ms_is_read_and_must_not_be_negative():
    assert spec.parse(GOOD, "f").spin_ms == 3.0
    assert spec.parse(GOOD.replace("length_s = 4\n", "length_s = 4\nspin_ms = 50\n"), "f").spin_ms == 50.0
    (expected,) = errors_of(GOOD.replace("length_s = 4\n", "length_s = 4\nspin_ms = -1\n"))
    assert "spin_ms" in expected
