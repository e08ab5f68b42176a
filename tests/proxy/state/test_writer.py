"""The thread that waits for disks: the newest job of a key wins, and the first failure ends it all."""

from __future__ import annotations

import asyncio
import errno
import threading

import pytest

from fordtrestle.proxy.state import writer
from fordtrestle.proxy.state.writer import Writer
from tests.loopback import loopback, until


class Desk:
    """A writer, and what it did and told, in order. `hold` keeps its thread in a job until `free` is set."""

    def __init__(self):
        self.writer = Writer(asyncio.get_running_loop())
        self.ran, self.told = [], []
        self.free, self.held = threading.Event(), threading.Event()

    def submit(self, key, name, error=None):
        def job():
            self.ran.append(name)
            if error is not None:
                raise error

        self.writer.submit(key, job, lambda error: self.told.append((name, error and error.strerror)))

    def hold(self):
        def job():
            self.held.set()
            assert self.free.wait(30.0)

        self.writer.submit("held", job, lambda error: self.told.append(("held", error)))
        assert self.held.wait(30.0)


@loopback
async def test_of_each_key_only_the_newest_that_has_not_begun_is_run():
    desk = Desk()
    desk.hold()
    for key, name in (("a", "a1"), ("b", "b1"), ("a", "a2"), ("a", "a3")):
        desk.submit(key, name)
    desk.free.set()
    assert desk.writer.close(30.0)
    desk.submit("a", "late")
    await until(lambda: len(desk.told) == 4)
    assert desk.ran == ["a3", "b1"]
    assert desk.told == [("held", None), ("a3", None), ("b1", None), ("late", "the store is closed")]


@loopback
async def test_keys_are_bounded(monkeypatch):
    monkeypatch.setattr(writer, "KEYS_MOST", 2)
    desk = Desk()
    desk.hold()
    for key in ("a", "b", "c", "a"):
        desk.submit(key, key)
    await until(lambda: len(desk.told) == 1)
    assert desk.told == [("c", "more than 2 files wait to be written")]
    desk.free.set()
    assert desk.writer.close(30.0)
    assert desk.ran == ["a", "b"]


@pytest.mark.parametrize("error", [OSError(errno.ENOSPC, "No space"), KeyError("a\nb")])
@loopback
async def test_after_a_failure_no_job_is_run_and_each_is_told(error):
    desk = Desk()
    desk.hold()
    desk.submit("a", "fails", error)
    desk.submit("b", "queued")
    desk.free.set()
    await until(lambda: len(desk.told) == 3)
    desk.submit("c", "later")
    with pytest.raises(OSError, match="failed before"):
        desk.writer.run(lambda: desk.ran.append("run"), 30.0)
    await until(lambda: len(desk.told) == 4)
    text = error.strerror if isinstance(error, OSError) else repr(error)
    after = f"the store failed before: {text}"
    assert desk.told[1:] == [("fails", text), ("queued", after), ("later", after)]
    assert desk.ran == ["fails"]
    assert desk.writer.close(30.0)


@loopback
async def test_run_gives_what_the_job_gives_or_its_error():
    desk = Desk()
    assert desk.writer.run(lambda: 7, 30.0) == 7
    with pytest.raises(OSError, match="ValueError"):
        desk.writer.run(lambda: int("x"), 30.0)


@loopback
async def test_run_is_bounded_and_ends_the_writer():
    desk = Desk()
    desk.hold()
    desk.submit("a", "queued")
    with pytest.raises(TimeoutError):
        desk.writer.run(lambda: desk.ran.append("run"), 0.05)
    desk.submit("b", "later")
    desk.free.set()
    assert desk.writer.close(30.0)
    await until(lambda: len(desk.told) == 3)
    assert desk.ran == []


@loopback
async def test_close_is_bounded_and_drops_what_has_not_begun():
    desk = Desk()
    desk.hold()
    desk.submit("a", "queued")
    assert not desk.writer.close(0.05)
    desk.submit("b", "later")
    desk.free.set()
    assert desk.writer.close(30.0)
    await until(lambda: len(desk.told) == 3)
    assert desk.ran == []
    assert desk.told[-1] == ("held", None)


def test_a_loop_that_is_closed_ends_no_thread():
    loop = asyncio.new_event_loop()
    made = Writer(loop)
    loop.close()
    ran = []
    for key in "ab":
        made.submit(key, lambda key=key: ran.append(key), lambda error: None)
    assert made.close(30.0)
    assert ran == ["a", "b"]


@loopback
async def test_a_machine_without_threads_is_a_failure_that_is_told(monkeypatch):
    def refuses(thread):
        raise RuntimeError("can't start new thread")

    desk = Desk()
    with monkeypatch.context() as full:
        full.setattr(threading.Thread, "start", refuses)
        desk.submit("a", "a")
    await until(lambda: desk.told == [("a", "can't start new thread")])
    assert desk.writer.close(0.0)
