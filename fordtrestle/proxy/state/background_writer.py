"""Runs all work that may wait for a disk in one thread, so that the event loop never waits for it.

The queue holds one job per key, the newest one that has not started. The first failure stops the writer,
since after a failed sync the results of a disk prove nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import threading
from collections.abc import Callable
from concurrent.futures import Future, wait
from typing import TypeVar

MAX_QUEUED_KEYS = 1024  # bounds the memory of queued jobs while a disk is slow

T = TypeVar("T")
Job = Callable[[], object]
OnDone = Callable[[OSError | None], None]  # with the failure, or None after success


class BackgroundWriter:
    """Runs jobs one after another in a separate thread, which starts with the first job."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._changed = threading.Condition()  # guards all fields below
        self._queue: dict[str, tuple[Job, OnDone]] = {}
        self._failure: OSError | None = None
        self._is_closed = False
        self._thread: threading.Thread | None = None

    def submit(self, key: str, job: Job, on_done: OnDone) -> None:
        """Queue a job, and call `on_done` in the event loop once it has run or can't be run.

        A queued job of the same key is replaced at its position in the queue; neither it nor its `on_done` is
        called. After a failure, no job runs and each `on_done` is called with an error that names the
        failure. A job is also rejected with an error if too many keys are queued, and after `close`.
        """
        self._enqueue(key, job, lambda error: self._call_in_loop(on_done, error))

    def run(self, job: Callable[[], T], timeout_s: float) -> T:
        """Run a job and wait for its result in the caller's thread; only one call may be in progress.

        A failure or a timeout stops the writer, like a failed job of `submit`. A job that timed out may still
        complete in the writer's thread.

        Raises:
            TimeoutError: The job took longer than `timeout_s`.
            OSError: The job failed; an error of any other type is reported as EIO.
        """
        result: Future[T] = Future()
        values: list[T] = []

        def on_done(error: OSError | None) -> None:
            if error is None:
                result.set_result(values[0])
            else:
                result.set_exception(error)

        self._enqueue("", lambda: values.append(job()), on_done)
        wait((result,), max(0.0, timeout_s))
        if not result.done():
            timeout = TimeoutError(errno.ETIMEDOUT, "the disk did not answer in time")
            self._fail(timeout)
            raise timeout
        return result.result()

    def close(self, timeout_s: float) -> bool:
        """Accept no more jobs, and wait for the queued ones.

        A job that has not started after `timeout_s` is never run.

        Returns:
            Whether the thread has ended.
        """
        with self._changed:
            self._is_closed = True
            self._changed.notify()
        if self._thread is None:
            return True
        self._thread.join(timeout_s)
        if self._thread.is_alive():
            self._fail(TimeoutError(errno.ETIMEDOUT, f"not written within {timeout_s:.1f} s"))
        return not self._thread.is_alive()

    def _enqueue(self, key: str, job: Job, on_done: OnDone) -> None:
        with self._changed:
            rejection = self._rejection(key) or self._start_thread()
            if rejection is None:
                self._queue[key] = (job, on_done)
                self._changed.notify()
        if rejection is not None:
            on_done(rejection)

    def _rejection(self, key: str) -> OSError | None:
        """Return the reason why a job can't be queued; None if it can."""
        if self._failure is not None:
            return _error_after(self._failure)
        if self._is_closed:
            return OSError(errno.ESHUTDOWN, "the store is closed")
        if key not in self._queue and len(self._queue) >= MAX_QUEUED_KEYS:
            return OSError(errno.ENOBUFS, f"more than {MAX_QUEUED_KEYS} files are queued to be written")
        return None

    def _start_thread(self) -> OSError | None:
        """Start the thread unless it runs; return the failure, or None after success."""
        if self._thread is None:
            thread = threading.Thread(target=self._run_jobs, name="state", daemon=True)
            try:
                thread.start()
            except RuntimeError as error:  # the limit of threads is reached
                self._failure = OSError(errno.EAGAIN, str(error))
                return self._failure
            self._thread = thread
        return None

    def _run_jobs(self) -> None:
        """Run jobs until the writer is closed and the queue is empty; the main function of the thread."""
        while True:
            with self._changed:
                while not self._queue and not self._is_closed:
                    self._changed.wait()
                if not self._queue:
                    return
                job, on_done = self._queue.pop(next(iter(self._queue)))
            error = _run_job(job)
            # Called before the queued jobs fail, whose errors refer to this earlier failure.
            on_done(error)
            if error is not None:
                self._fail(error)

    def _fail(self, error: OSError) -> None:
        """Stop running jobs, and report the failure to all queued ones."""
        with self._changed:
            self._failure = self._failure or error
            queued = list(self._queue.values())
            self._queue.clear()
        for _, on_done in queued:
            on_done(_error_after(error))

    def _call_in_loop(self, on_done: OnDone, error: OSError | None) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed, so nobody waits for the result
            self._loop.call_soon_threadsafe(on_done, error)


def _run_job(job: Job) -> OSError | None:
    """Run a job; return its failure, or None after success."""
    try:
        job()
    except OSError as error:
        return error
    except Exception as error:  # if the thread died, all later jobs would stay queued
        return OSError(errno.EIO, repr(error))
    return None


def _error_after(error: OSError) -> OSError:
    return OSError(errno.EIO, f"the store failed earlier: {error.strerror or error}")
