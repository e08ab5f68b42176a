"""The table `[cluster]`: what it says, and all that is wrong with it at once."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from fordtrestle.cluster.lease import LeaseConfig
from fordtrestle.config import cluster, operator
from fordtrestle.config.operator import OperatorError
from fordtrestle.daemon import standalone
from fordtrestle.daemon.signals import Signals
from fordtrestle.engine.ports import Address

ROOT = Path(__file__).resolve().parents[2]
GOOD = (ROOT / "deploy" / "example-agreed.toml").read_text()
N1 = '[cluster.member.n1]\naddress = "127.0.0.2:7100"'


def read(tmp_path, *changes):
    """The example with these texts replaced."""
    text = GOOD
    for old, new in changes:
        assert text.count(old) == 1, old
        text = text.replace(old, new)
    (tmp_path / "file.toml").write_text(text)
    return operator.read(str(tmp_path / "file.toml"))


def lines(tmp_path, *changes):
    """What is wrong with it, without the file's name."""
    with pytest.raises(OperatorError) as raised:
        read(tmp_path, *changes)
    return [line.removeprefix(f"{tmp_path}/file.toml: ") for line in raised.value.lines]


def without(name):
    """The example without one table."""
    start = GOOD.index(f"\n[{name}]") + 1
    return GOOD[start : GOOD.index("\n[", start)], ""


def test_the_example_says_all_of_it_and_the_usual_figures_need_not_be_said(tmp_path):
    told = read(tmp_path).cluster
    figures = ["contradiction_ms", "check_ms", "drift_ppm", "message_ms", "election_ms"]
    assert (told.id, told.mode, told.listen) == ("porting-east", "consistent", Address("127.0.0.1", 7100))
    assert [getattr(told, key) for key in figures] == [2000.0, 50.0, 1000.0, 40.0, 500.0]
    assert told.voters == ("n0", "n1", "n2") and told.addresses["n3"] == Address("127.0.0.4", 7100)
    rows = [row for row in GOOD.splitlines() if row.startswith((*figures, "mode ="))]
    assert len(rows) == 6 and read(tmp_path, *((row, "") for row in rows)).cluster == told
    assert read(tmp_path, ('mode = "consistent"', 'mode = "available"')).cluster.mode == "available"


def test_a_process_that_is_no_member_follows(tmp_path):
    assert read(tmp_path, ('name = "n0"', 'name = "n9"')).cluster.voters == ("n0", "n1", "n2")


def test_it_is_off_where_it_is_missing_and_loads_nothing_then(tmp_path):
    """Guards against a platform that has none of these libraries."""
    code = (
        "import sys; from fordtrestle.config import operator; "
        "assert operator.read('deploy/example-http.toml').cluster is None; "
        "assert not {'msgspec', 'crc32c', 'fordtrestle.cluster'} & set(sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, timeout=60).returncode == 0


def test_a_library_that_is_missing_is_told_in_one_line(tmp_path, monkeypatch):
    monkeypatch.setitem(sys.modules, "fordtrestle.cluster.lease", None)
    missing = "fordtrestle.cluster.lease is missing: pip install 'fordtrestle[cluster]'"
    assert lines(tmp_path) == [f"cluster: {missing}"]


FAULTS = [
    ('id = "porting-east"', "", "cluster.id: missing"),
    ('id = "porting-east"', 'id = "a b"', 'cluster.id: "a b" is no plain word (letters, digits, _ and -)'),
    ('listen = "127.0.0.1:7100"', "", "cluster.listen: missing"),
    ('mode = "consistent"', 'mode = "fast"', "cluster.mode: expected one of consistent, available,"),
    ("check_ms = 50", "check_ms = 0", "cluster.check_ms: 0 is not within 1 to 1000"),
    ("check_ms = 50", "chek_ms = 50", "cluster.chek_ms: no such key; did you mean check_ms?"),
    ("drift_ppm = 1000", "drift_ppm = nan", "cluster.drift_ppm: NaN is not within 0 to 100000"),
    (
        "election_ms = 500",
        "election_ms = 150",
        "cluster.election_ms: 150 is below 160, four times message_ms",
    ),
    (
        "contradiction_ms = 2000",
        "contradiction_ms = 450",
        "cluster.contradiction_ms: 450 is below 451, the smallest with check_ms 50, drift_ppm 1000 and",
    ),
    (N1, N1[:20], "cluster.member.n1.address: missing"),
    (N1, N1.replace("127.0.0.2", "n1"), 'cluster.member.n1.address: "n1:7100" is not an address (IP:port)'),
    (N1, N1.replace("7100", "0"), "cluster.member.n1.address: a port to connect to is needed"),
    (N1, N1.replace("0.2", "0.1"), "cluster.member.n1.address: 127.0.0.1:7100 is taken by member n0"),
    (N1, f"{N1}\nvotes = 1", "cluster.member.n1.votes: no such key; did you mean voter?"),
    (f"{N1}\nvoter = true", N1, "cluster.member: 2 voters, and there may be 1, 3, 5 or 7"),
    ("[cluster.member.n1]", '[cluster.member."@n1"]', 'cluster.member."@n1": a name is a plain word'),
    ('name = "n0" ', "# ", "cluster: process.name is needed, to tell this process from the other members"),
    (*without("state"), "cluster: [state] is needed, to keep what this process has promised"),
]


@pytest.mark.parametrize(("old", "new", "line"), FAULTS)
def test_a_fault_is_one_line_that_names_the_key_and_why(tmp_path, old, new, line):
    found = lines(tmp_path, (old, new))
    assert found[0].startswith(line)
    assert len(found) == 1 or "@n1" in line  # without that name there are two voters


def test_all_that_is_wrong_is_told_at_once_and_one_fault_brings_no_others(tmp_path):
    found = lines(
        tmp_path,
        ("contradiction_ms = 2000", 'contradiction_ms = "2 s"'),
        ("message_ms = 40", "message_ms = 0"),
        ('name = "n0"', 'name = "n 0"'),
        (N1, f"{N1}\nvote = 1"),
    )
    assert [line.split(": ")[0] for line in found] == [
        "process.name",
        "cluster.contradiction_ms",
        "cluster.message_ms",
        "cluster.member.n1.vote",
    ]


def test_there_are_members_and_not_too_many(tmp_path, monkeypatch):
    assert "cluster.member: at least one is needed" in lines(
        tmp_path, (GOOD[GOOD.index("[cluster.member.n0]") : GOOD.index("[front")], "")
    )
    monkeypatch.setattr(cluster, "MEMBERS_MOST", 3)
    assert lines(tmp_path) == ["cluster.member: 4 members, more than 3"]


@pytest.mark.parametrize("key", ["contradiction_ms", "check_ms", "drift_ppm", "message_ms"])
def test_a_figure_that_a_lease_cannot_be_made_of_is_refused_by_the_reader(tmp_path, key):
    """Guards against ranges that differ here and there: then only one fault would be told at a time."""
    usual = {"contradiction_ms": 2000, "check_ms": 50, "drift_ppm": 1000, "message_ms": 40}
    for value in (-1, 0, 1, 40, 1000, 1001, 10_000, 10_001, 100_000, 100_001, 3_600_000, 3_600_001):
        fault = LeaseConfig(**{**usual, key: float(value)}).fault()
        try:
            read(
                tmp_path,
                (f"{key} = {usual[key]}", f"{key} = {value}"),
                ("election_ms = 500", "election_ms = 50000"),
            )
            assert not fault
        except OperatorError as error:
            assert len(error.lines) == 1 and fault


def test_serve_refuses_what_it_does_not_act_on(capfd):
    file = ROOT / "deploy" / "example-agreed.toml"
    assert standalone.main(str(file), Signals()) == 2
    assert capfd.readouterr().err == (
        f"{file}: cluster: this release checks the table and does not act on it; take it out to serve\n"
    )
