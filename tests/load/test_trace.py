"""Traces: written requests are read back unchanged, and errors name the line and the field."""

from __future__ import annotations

import gzip

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.load import trace
from fordtrestle.load.errors import TraceError
from fordtrestle.load.mix import Request
from fordtrestle.load.trace import ReplayRange, TraceReader, inspect, replay

ROWS = [
    Request(0, "look", "acme", "00ff", 500_000, 0),
    Request(10, "pay", "", "", 900_000, 65_536),
    Request(10, "look", "other", "k-1", 1, 0),
    Request(2_500_000, "look", "acme", "", 500_000, 0),
]
GOOD = (
    "#fordtrestle-trace 1\n0 look acme 00ff 500000 0\n10 pay - - 900000 65536\n10 look other k-1 1 0\n"
    "2500000 look acme - 500000 0\n#end 4 3000000\n"
)


@pytest.fixture(params=["x.trace", "x.trace.gz"])
def path(request, tmp_path):
    return tmp_path / request.param


def write_file(path, text):
    data = text if isinstance(text, bytes) else text.encode()
    path.write_bytes(gzip.compress(data) if path.suffix == ".gz" else data)
    return path


def test_the_format_is_the_documented_one(path):
    assert trace.write(path, iter(ROWS), 3_000_000) == 4
    data = path.read_bytes()
    assert (gzip.decompress(data) if path.suffix == ".gz" else data).decode() == GOOD
    assert list(TraceReader(path)) == ROWS


def test_the_same_requests_are_the_same_bytes(path):
    trace.write(path, ROWS)
    first = path.read_bytes()
    other = path.with_name("y" + path.name)
    trace.write(other, ROWS)
    assert other.read_bytes() == first


def test_a_summary_counts_requests_classes_and_tenants(path):
    summary = inspect(write_file(path, GOOD))
    assert (summary.requests, summary.length_us, summary.max_requests_per_second) == (4, 3_000_000, 3)
    assert summary.classes == {"look": 3, "pay": 1}
    assert summary.tenants == {"acme": 2, "": 1, "other": 1}


@pytest.mark.parametrize(
    ("old", "new", "line", "expected"),
    [
        ("#fordtrestle-trace 1", "#fordtrestle-trace 2", 1, "expected '#fordtrestle-trace 1'"),
        ("10 pay", "10  pay", 3, "expected 6 fields, not 7"),
        ("0 look acme 00ff 500000 0", "x look acme 00ff 500000 0", 2, "offset_us: 'x'"),
        ("0 look acme 00ff 500000 0", "-1 look acme 00ff 500000 0", 2, "offset_us: '-1'"),
        ("10 look other", "9 look other", 4, "offset_us: expected at least 10 as in the line before, not 9"),
        ("10 pay", "10 p/y", 3, "class: 'p/y'"),
        ("10 pay -", "10 pay \x00", 3, "tenant"),
        ("look other k-1", "look other k\t1", 4, "key"),
        ("k-1 1 0", "k-1 0 0", 4, "budget_us: 0 is not within"),
        ("65536", "65537", 3, "size: 65537 is not within"),
        ("65536", "6\u00e95536", 3, "not ASCII"),
        ("#end 4 3000000\n", "", 6, "the file is truncated"),
        ("#end 4 3000000\n", "#end 4 30", 6, "the file is truncated"),
        ("#end 4", "#end 5", 6, "requests: the file has 4, but its last line says 5"),
        ("#end 4 3000000", "#end 4 2499999", 6, "length_us"),
        ("#end 4 3000000", "#end 4", 6, "expected '#end REQUESTS LENGTH_US'"),
        ("#end 4 3000000\n", "#end 4 3000000\n\n", 7, "expected no line after '#end'"),
        ("10 pay", "1" * 600 + " pay", 3, "longer than 512 bytes"),
    ],
)
def test_damage_is_reported_with_its_line(path, old, new, line, expected):
    write_file(path, GOOD.replace(old, new, 1))
    with pytest.raises(TraceError) as caught:
        inspect(path)
    text = str(caught.value)
    assert text.startswith(f"{path}:{line}: ")
    assert expected in text
    assert "\n" not in text


def test_a_truncated_compressed_file_is_rejected(tmp_path):
    path = tmp_path / "x.gz"
    trace.write(path, ROWS)
    path.write_bytes(path.read_bytes()[:-12])
    with pytest.raises(TraceError, match=r"x\.gz:\d+: "):
        inspect(path)
    path.write_bytes(b"not compressed")
    with pytest.raises(TraceError, match=r"x\.gz:1: can't be read"):
        inspect(path)


def test_a_missing_file_is_named(tmp_path):
    with pytest.raises(TraceError, match=r"no\.trace: No such file"):
        inspect(tmp_path / "no.trace")


@pytest.mark.parametrize("rows", [[ROWS[3], ROWS[0]], [Request(0, "a b", "", "", 1, 0)]])
def test_requests_out_of_order_or_with_invalid_names_are_not_written(path, rows):
    with pytest.raises(
        ValueError, match=r"is due before the previous one|class: 'a'|expected 6 fields, not 7"
    ):
        trace.write(path, rows)


def offsets(path, **options):
    return [row.at_us for row in replay(path, ReplayRange(**options), 3_000_000)]


def test_a_replay_is_sped_up_looped_and_cut(path):
    write_file(path, GOOD)
    assert offsets(path) == [0, 10, 10, 2_500_000]
    assert offsets(path, speed=2.0) == [0, 5, 5, 1_250_000]
    assert offsets(path, loop=2)[4:] == [3_000_000, 3_000_010, 3_000_010, 5_500_000]
    assert offsets(path, speed=0.5, loop=2)[4] == 6_000_000
    assert offsets(path, from_us=10, to_us=2_500_000, loop=2) == [0, 0, 2_499_990, 2_499_990]
    assert offsets(path, from_us=11) == [2_499_989]


@pytest.mark.parametrize(
    "options", [{"speed": 0.0}, {"loop": 0}, {"from_us": 5, "to_us": 5}, {"from_us": -1}]
)
def test_invalid_ranges_are_rejected(options):
    with pytest.raises(ValueError, match=r"a finite speed above 0|a range that ends after its start"):
        ReplayRange(**options)


NAMES = st.from_regex(trace.NAME, fullmatch=True)
REQUESTS = st.builds(
    Request,
    st.integers(0, trace.MAX_OFFSET_US),
    NAMES,
    st.just("") | NAMES,
    st.just("") | NAMES,
    st.integers(1, trace.MAX_BUDGET_US),
    st.integers(0, 65_536),
)


@given(st.lists(REQUESTS, max_size=8))
def test_any_requests_are_read_back_as_they_were_written(tmp_path_factory, rows):
    path = tmp_path_factory.mktemp("any") / "t"
    rows.sort()
    trace.write(path, rows)
    assert list(TraceReader(path)) == rows
