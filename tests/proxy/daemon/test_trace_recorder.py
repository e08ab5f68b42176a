"""Recording the requests of an HTTP server as a trace: off by default, bounded and never blocking."""

from __future__ import annotations

import asyncio
import stat
import sys
import threading

import pytest

from fordtrestle.load import trace
from fordtrestle.proxy.config import operator_file
from fordtrestle.proxy.config.errors import OperatorFileError
from fordtrestle.proxy.daemon import trace_recorder
from fordtrestle.proxy.daemon.standalone import Standalone
from fordtrestle.proxy.daemon.trace_recorder import TraceRecorder
from fordtrestle.proxy.http.requests import RequestClass, RequestNames
from tests.loopback import OK, App, Upstream, loopback, until
from tests.proxy.daemon.test_overload_monitor import OPERATOR, ask

NAMES = RequestNames({"look": RequestClass(0, "GET", False)}, {"acme": 0})


class RecordedCall:
    """The fields of a call that are recorded."""

    traffic_class = tenant = 0
    key = 7
    budget = 250.0
    body_size = 12


def traced(tmp_path, upstream, name="asked.trace.gz", extra=""):
    file = tmp_path / "operator.toml"
    text = OPERATOR.format(server=upstream.address, descriptors=200)
    front_text = f'service = "a"\ntrace_file = "{tmp_path / name}"\n{extra}'
    file.write_text(text.replace('service = "a"\n', front_text, 1))
    return file


@loopback
async def test_each_complete_request_of_a_front_is_recorded_and_can_be_replayed(tmp_path):
    upstream = await Upstream([OK]).start()
    file = traced(tmp_path, upstream)
    made = Standalone(asyncio.get_running_loop(), str(file), operator_file.read(str(file)))
    bound = await made._process.start()
    app, other = await App.connect(bound["one"][0]), await App.connect(bound["two"][0])
    for number in range(5):
        assert (await app.ask(**ask(Cookie=f"user=u{number % 2}", X_Budget="800m"))).body == b"done"
        await other.ask(**ask())
    await app.ask("GET", "/nowhere")
    made.close()
    path = tmp_path / "asked.trace.gz"
    summary = trace.inspect(path)
    assert (summary.requests, summary.classes) == (5, {"look": 5})
    requests = list(trace.TraceReader(path))
    assert len({request.key for request in requests}) == 2
    assert {(request.budget_us, request.size) for request in requests} == {(800_000, 0)}
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    upstream.stop()


@loopback
async def test_without_trace_file_the_load_package_is_not_loaded(tmp_path):
    upstream = await Upstream([OK]).start()
    file = tmp_path / "operator.toml"
    file.write_text(OPERATOR.format(server=upstream.address, descriptors=200))
    code = (
        "import asyncio, sys\n"
        "from fordtrestle.proxy.config import operator_file\n"
        "from fordtrestle.proxy.daemon.standalone import Standalone\n"
        "async def main():\n"
        f"    Standalone(asyncio.get_running_loop(), 'x', operator_file.read({str(file)!r}))\n"
        "asyncio.run(main())\n"
        "print(sorted(name for name in sys.modules if name.startswith('fordtrestle.load')))\n"
    )
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE)
    out, _ = await process.communicate()
    assert out.strip() == b"[]"
    upstream.stop()


def test_a_trace_stops_at_its_size_limit_and_is_complete(tmp_path, capsys):
    path, now = tmp_path / "a.trace", iter(range(10**6))
    made = TraceRecorder(path, 2000, NAMES, lambda: float(next(now)))
    for _ in range(1000):
        made.record(RecordedCall())
    made.close()
    summary = trace.inspect(path)
    assert 20 < summary.requests < 100
    assert path.stat().st_size < 2200
    assert f"{1000 - summary.requests} requests were not recorded" in capsys.readouterr().err


def test_a_stalled_disk_blocks_no_request(tmp_path, monkeypatch):
    """Guards against a request that waits for a write; requests beyond the queue's limit are not recorded."""
    monkeypatch.setattr(trace_recorder, "MAX_QUEUED_REQUESTS", 100)
    monkeypatch.setattr(trace_recorder, "WRITE_INTERVAL_S", 0.01)
    is_stalled, released = threading.Event(), threading.Event()

    def add(self, request):
        is_stalled.set()
        released.wait(10.0)

    monkeypatch.setattr(trace.TraceWriter, "add", add)
    made = TraceRecorder(tmp_path / "a.trace", 10**6, NAMES, lambda: 0.0)
    made.record(RecordedCall())
    assert is_stalled.wait(10.0)
    for _ in range(500):
        made.record(RecordedCall())
    assert len(made._queue) == 100
    assert made._dropped == 400
    released.set()
    made.close()


def test_a_full_disk_stops_the_trace_and_nothing_else(tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(trace_recorder, "WRITE_INTERVAL_S", 0.01)

    def add(self, request):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(trace.TraceWriter, "add", add)
    made = TraceRecorder(tmp_path / "a.trace", 10**6, NAMES, lambda: 0.0)
    made.record(RecordedCall())
    made._thread.join(10.0)
    made.record(RecordedCall())
    made.close()
    assert "No space left on device; no more requests are recorded" in capsys.readouterr().err


def test_requests_that_the_format_can_not_represent_are_counted(tmp_path, capsys):
    class HourLongCall(RecordedCall):
        budget = 3_600_000.0

    made = TraceRecorder(tmp_path / "a.trace", 10**6, NAMES, lambda: 0.0)
    made.record(HourLongCall())
    made.record(RecordedCall())
    made.close()
    assert trace.inspect(tmp_path / "a.trace").requests == 1
    assert "1 requests were not recorded" in capsys.readouterr().err


@pytest.mark.parametrize("value", ['""', "7", '"a\\nb"'])
def test_an_invalid_path_is_an_error(tmp_path, value):
    upstream = Upstream(address="127.0.0.1:9")
    file = traced(tmp_path, upstream)
    file.write_text(file.read_text().replace(f'"{tmp_path}/asked.trace.gz"', value))
    with pytest.raises(OperatorFileError) as raised:
        operator_file.read(str(file))
    assert "front.one.trace_file: expected the path of a file" in raised.value.lines[0]


@loopback
async def test_a_file_that_can_not_be_created_is_an_error_at_the_start(tmp_path):
    upstream = await Upstream([OK]).start()
    file = traced(tmp_path, upstream, name="missing/asked.trace")
    with pytest.raises(OSError, match="No such file"):
        Standalone(asyncio.get_running_loop(), str(file), operator_file.read(str(file)))
    await until(lambda: True)
    upstream.stop()
