"""Reports and the command line: the documented schema, exit codes, and one line for each error."""

from __future__ import annotations

import json
import os
import pty
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from fordtrestle import cli
from fordtrestle.load import plot, report, schedule, spec, trace
from fordtrestle.load.generator import Run
from fordtrestle.load.recorder import Recorder
from fordtrestle.load.samples import Outcome, Sample
from tests.load.standin import ScriptedServer, load_toml, response

ROOT = Path(__file__).resolve().parents[2]
FIELDS = {
    *("format", "version", "spec", "target", "seed", "workers", "started_unix_s", "length_s", "took_s"),
    *("cut", "sound", "unsound_because", "bounds", "whole", "service_ms", "lag_ms", "lag_p99_most_ms"),
    *("retries", "statuses", "workers_told", "classes", "tenants", "seconds", "curve", "histograms"),
}


def report_of(samples=(), **more):
    plan = schedule.make_schedule(spec.parse(load_toml(1, **more), "test"), Path("."))
    run = Run(Recorder(plan.spec.classes, plan.tenants))
    for row in samples:
        run.recorder.add(row)
    run.recorder.close_seconds()
    return report.make_report(run, plan, "x.toml")


def served_sample(latency_ms, at_us=0):
    return Sample(Outcome.SERVED, 1, 0, 0, 200, at_us, 1000, round(latency_ms * 1e6), round(latency_ms * 1e6))


SAMPLES = [served_sample(ms, ms * 20_000) for ms in range(1, 200)]


def test_the_schema_is_the_documented_one():
    summary = json.loads(json.dumps(report_of(SAMPLES), allow_nan=False))
    assert set(summary) == FIELDS
    assert (summary["format"], summary["version"]) == (
        "fordtrestle-load-report",
        1,
    )
    page = (ROOT / "docs/operate/load.md").read_text()
    assert all(f"`{name}`" in page for name in FIELDS | set(summary["whole"]))
    assert sum(row["asked"] for row in summary["seconds"]) == summary["whole"]["asked"] == 199


def test_every_key_of_a_spec_is_documented():
    page = (ROOT / "docs/operate/load.md").read_text()
    source = (ROOT / "fordtrestle/load/spec.py").read_text()
    keys = set(re.findall(r'(?:_number|_integer)\((?:table|run|target), "(\w+)"', source))
    readers = "choice|text|boolean|identifiers|numbers|address"
    keys |= set(re.findall(rf'(?:table|run|target|root)\.(?:{readers})\(\s*"(\w+)"', source))
    keys |= set(re.findall(r'(?:rate|length)\("(\w+)"', source))
    assert len(keys) > 35
    assert not {key for key in keys if f"`{key}`" not in page}


@pytest.mark.parametrize(
    ("more", "good"),
    [
        ("[bounds]\np99_most_ms = 500", True),
        ("[bounds]\np99_most_ms = 100", False),
        ("[bounds]\nin_aim_share_least = 1.0", True),
        ("[bounds]\nnot_sent_most = 0", True),
    ],
)
def test_bounds_are_checked_against_the_measured_values(more, good):
    summary = report_of(SAMPLES, more=more)
    assert report.meets_bounds(summary) is good
    assert len(summary["bounds"]) == 1
    assert ("NOT MET" in report.format_table(summary)) is not good


def test_a_value_that_was_not_measured_meets_no_bound():
    assert not report.meets_bounds(report_of([], more="[bounds]\np99_most_ms = 500"))


def test_the_table_shows_unsent_requests_an_early_stop_and_an_unsound_run():
    summary = report_of([*SAMPLES, Sample(Outcome.NO_ROOM, 0, 0, 0, 0, 0, 0, 0, 0)])
    summary.update(cut=True, unsound_because=["sends were late"])
    text = report.format_table(summary)
    assert "NOT SENT 1" in text
    assert "CUT:" in text
    assert "UNSOUND: sends were late" in text
    assert re.search(r"^all +200 +199 ", text, re.M)


@pytest.mark.parametrize("suffix", plot.SUFFIXES)
def test_plots_are_drawn_with_and_without_samples(tmp_path, suffix):
    pytest.importorskip("matplotlib")
    for number, samples in enumerate(([], SAMPLES)):
        path = tmp_path / f"{number}{suffix}"
        plot.plot(report_of(samples), path)
        assert path.stat().st_size > 5000


def test_the_same_report_gives_the_same_plot(tmp_path):
    pytest.importorskip("matplotlib")
    summary = report_of(SAMPLES)
    for name in ("a.svg", "b.svg"):
        plot.plot(summary, tmp_path / name)
    assert (tmp_path / "a.svg").read_bytes() == (tmp_path / "b.svg").read_bytes()


# --- the command line -----------------------------------------------------------


def write_file(path, text):
    path.write_text(text)
    return str(path)


def test_a_load_is_sent_and_reported(tmp_path, capsys):
    file = write_file(tmp_path / "l.toml", load_toml(1, more="[bounds]\nnot_sent_most = 0"))
    with ScriptedServer() as server:
        code = cli.main(
            ["load", file, "--to", f"127.0.0.1:{server.port}", "--json", str(tmp_path / "r.json")]
        )
    summary = json.loads((tmp_path / "r.json").read_text())
    assert code == 0
    assert summary["whole"]["outcomes"]["served"] == 20 == len(server.requests)
    assert summary["target"] == f"127.0.0.1:{server.port}"
    assert "ends: served 20" in capsys.readouterr().out


def test_exit_code_is_1_for_a_bound_that_is_not_met_and_for_an_unsound_run(tmp_path, capsys):
    with ScriptedServer(lambda number, head: response(500)) as server:
        text = load_toml(server.port, length_s=0.05, more="[bounds]\nin_aim_share_least = 0.5")
        assert cli.main(["load", write_file(tmp_path / "a.toml", text), "--json"]) == 1
        assert json.loads(capsys.readouterr().out)["bounds"][0]["met"] is False
        text = load_toml(server.port, length_s=0.05).replace(
            "lag_p99_most_ms = 10000", "lag_p99_most_ms = 0.001"
        )
        assert cli.main(["load", write_file(tmp_path / "b.toml", text)]) == 1
    assert "UNSOUND: sends were late" in capsys.readouterr().out


def test_check_trace_and_write(tmp_path, capsys):
    file = write_file(tmp_path / "l.toml", load_toml(1))
    assert cli.main(["load", "check", file]) == 0
    assert capsys.readouterr().out == f"{file}: good: 20 requests in 0.2 s, 100.0 a second\n"
    path = str(tmp_path / "t.trace.gz")
    assert cli.main(["load", "write", file, path]) == 0
    assert cli.main(["load", "trace", path, "--json"]) == 0
    summary = json.loads(capsys.readouterr().out.splitlines()[-1])[0]
    assert (summary["requests"], summary["length_s"], summary["classes"]) == (20, 0.2, {"look": 20})
    assert len(list(trace.TraceReader(Path(path)))) == 20


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["{none}"], "{none}: No such file or directory"),
        (["{bad}"], "{bad}: class.look.budget_ms: 0 is not within 0.001 to 60000"),
        (["check", "{bad}"], "{bad}: class.look.budget_ms: 0 is not within 0.001 to 60000"),
        (["{damaged}"], "{trace}:2: offset_us: 'x' is no whole number"),
        (["trace", "{trace}"], "{trace}:2: offset_us: 'x' is no whole number"),
        (["{good}", "--to", "nowhere"], "--to: 'nowhere' is not HOST:PORT"),
        (["{good}", "--to", "no-such-host.invalid:80"], "no-such-host.invalid: "),
        (["{good}", "--workers", "0"], "--workers: 0 is not within 1 to 64"),
        (["{good}", "--json", "/no/such/file"], "--json: /no/such/file: can't be written"),
        (["{good}", "--plot", "x.gif"], "--plot: x.gif: a plot ends with .svg or .png"),
        (["check"], "load check: expected 1 files, not 0"),
    ],
)
def test_bad_input_is_one_line_code_2_and_nothing_sent(tmp_path, capsys, arguments, expected):
    with ScriptedServer() as server:
        files = {
            "none": str(tmp_path / "none"),
            "trace": write_file(tmp_path / "t", "#fordtrestle-trace 1\nx a - - 1 0\n"),
        }
        files["good"] = write_file(tmp_path / "good.toml", load_toml(server.port))
        files["bad"] = write_file(tmp_path / "bad.toml", load_toml(server.port, budget_ms=0))
        text = re.sub(
            r"\[arrivals.*?(?=\[class)", '[trace]\nfile = "t"\n', load_toml(server.port), flags=re.S
        )
        files["damaged"] = write_file(tmp_path / "d.toml", text.replace("length_s = 0.2\n", ""))
        code = cli.main(["load", *(word.format(**files) for word in arguments)])
    captured = capsys.readouterr()
    assert code == 2
    assert captured.out == ""
    assert captured.err.count("\n") == 1
    assert captured.err.startswith(expected.format(**files))
    assert not server.connections


def test_sigint_stops_a_run_early_and_the_measurements_so_far_are_reported(tmp_path):
    """A terminal sends SIGINT to the whole process group, which includes the workers."""
    with ScriptedServer() as server:
        file = write_file(tmp_path / "l.toml", load_toml(server.port, length_s=600))
        arguments = [sys.executable, "-m", "fordtrestle", "load", file, "--json"]
        child = subprocess.Popen(arguments, cwd=ROOT, stdout=subprocess.PIPE, start_new_session=True)
        while len(server.requests) < 20:
            assert child.poll() is None
            time.sleep(0.01)
        os.killpg(child.pid, signal.SIGINT)
        summary = json.loads(child.communicate(timeout=30)[0])
    assert child.returncode == 1
    assert summary["cut"]
    assert summary["sound"]
    assert 0 < summary["whole"]["asked"] <= len(server.requests)
    assert summary["whole"]["outcomes"]["served"] >= 15


def test_progress_is_shown_on_a_terminal(tmp_path):
    with ScriptedServer() as server:
        file = write_file(tmp_path / "l.toml", load_toml(server.port, length_s=1.3, budget_ms=20_000))
        terminal, child_end = pty.openpty()
        arguments = [sys.executable, "-m", "fordtrestle", "load", file]
        completed = subprocess.run(arguments, cwd=ROOT, stdout=subprocess.PIPE, stderr=child_end, timeout=30)
        os.close(child_end)
        shown = os.read(terminal, 4096).decode()
        os.close(terminal)
    assert completed.returncode == 0
    assert re.search(r"1 s  \d+ ended  0 not served", shown)
