"""The background writer: only the newest job of a key runs, and the first failure stops the writer."""

from __future__ import annotations

import asyncio
import errno
import threading

import pytest

from fordtrestle.proxy.state import background_writer
from fordtrestle.proxy.state.background_writer import BackgroundWriter
from tests.loopback import loopback, until


class RecordedWriter:
    """A writer whose `ran` and `done` list, in order, the jobs that ran and the results that were reported.

    `block` keeps its thread in a job until `released` is set.
    """

    def __init__(self):
        self.writer = BackgroundWriter(asyncio.get_running_loop())
        self.ran, self.done = [], []
        self.released, self.blocked = threading.Event(), threading.Event()

    def submit(self, key, name, error=None):
        def job():
            self.ran.append(name)
            if error is not None:
                raise error

        self.writer.submit(key, job, lambda error: self.done.append((name, error and error.strerror)))

    def block(self):
        def job():
            self.blocked.set()
            assert self.released.wait(30.0)

        self.writer.submit("blocked", job, lambda error: self.done.append(("blocked", error)))
        assert self.blocked.wait(30.0)


@loopback
async def test_of_each_key_only_the_newest_job_that_has_not_started_is_run():
    recorded = RecordedWriter()
    recorded.block()
    for key, name in (("a", "a1"), ("b", "b1"), ("a", "a2"), ("a", "a3")):
        recorded.submit(key, name)
    recorded.released.set()
    assert recorded.writer.close(30.0)
    recorded.submit("a", "late")
    await until(lambda: len(recorded.done) == 4)
    assert recorded.ran == ["a3", "b1"]
    assert recorded.done == [("blocked", None), ("a3", None), ("b1", None), ("late", "the store is closed")]


@loopback
async def test_the_number_of_queued_keys_is_bounded(monkeypatch):
    monkeypatch.setattr(background_writer, "MAX_QUEUED_KEYS", 2)
    recorded = RecordedWriter()
    recorded.block()
    for key in ("a", "b", "c", "a"):
        recorded.submit(key, key)
    await until(lambda: len(recorded.done) == 1)
    assert recorded.done == [("c", "more than 2 files are queued to be written")]
    recorded.released.set()
    assert recorded.writer.close(30.0)
    assert recorded.ran == ["a", "b"]


@pytest.mark.parametrize("error", [OSError(errno.ENOSPC, "No space"), KeyError("a\nb")])
@loopback
async def test_after_a_failure_no_job_is_run_and_each_gets_the_failure(error):
    recorded = RecordedWriter()
    recorded.block()
    recorded.submit("a", "fails", error)
    recorded.submit("b", "queued")
    recorded.released.set()
    await until(lambda: len(recorded.done) == 3)
    recorded.submit("c", "later")
    with pytest.raises(OSError, match="failed earlier"):
        recorded.writer.run(lambda: recorded.ran.append("run"), 30.0)
    await until(lambda: len(recorded.done) == 4)
    text = error.strerror if isinstance(error, OSError) else repr(error)
    after = f"the store failed earlier: {text}"
    assert recorded.done[1:] == [("fails", text), ("queued", after), ("later", after)]
    assert recorded.ran == ["fails"]
    assert recorded.writer.close(30.0)


@loopback
async def test_run_returns_the_result_of_the_job_or_raises_its_error():
    recorded = RecordedWriter()
    assert recorded.writer.run(lambda: 7, 30.0) == 7
    with pytest.raises(OSError, match="ValueError"):
        recorded.writer.run(lambda: int("x"), 30.0)


@loopback
async def test_a_run_that_times_out_stops_the_writer():
    recorded = RecordedWriter()
    recorded.block()
    recorded.submit("a", "queued")
    with pytest.raises(TimeoutError):
        recorded.writer.run(lambda: recorded.ran.append("run"), 0.05)
    recorded.submit("b", "later")
    recorded.released.set()
    assert recorded.writer.close(30.0)
    await until(lambda: len(recorded.done) == 3)
    assert recorded.ran == []


@loopback
async def test_close_is_bounded_and_drops_jobs_that_have_not_started():
    recorded = RecordedWriter()
    recorded.block()
    recorded.submit("a", "queued")
    assert not recorded.writer.close(0.05)
    recorded.submit("b", "later")
    recorded.released.set()
    assert recorded.writer.close(30.0)
    await until(lambda: len(recorded.done) == 3)
    assert recorded.ran == []
    assert recorded.done[-1] == ("blocked", None)


def test_jobs_are_run_even_if_the_loop_is_closed():
    loop = asyncio.new_event_loop()
    writer = BackgroundWriter(loop)
    loop.close()
    ran = []
    for key in "ab":
        writer.submit(key, lambda key=key: ran.append(key), lambda error: None)
    assert writer.close(30.0)
    assert ran == ["a", "b"]


@loopback
async def test_a_thread_that_can_not_be_started_is_reported_as_a_failure(monkeypatch):
    def fail_to_start(thread):
        raise RuntimeError("can't start new thread")

    recorded = RecordedWriter()
    with monkeypatch.context() as limited:
        limited.setattr(threading.Thread, "start", fail_to_start)
        recorded.submit("a", "a")
    await until(lambda: recorded.done == [("a", "can't start new thread")])
    assert recorded.writer.close(0.0)
