"""One thread for all work that may wait for a disk, so that the event loop never does.

Jobs are queued by key: of each key only the newest one that has not started. The first failure stops the
writer, since what a disk reports after a failed sync proves nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import threading
from collections.abc import Callable
from concurrent.futures import Future, wait
from typing import TypeVar

MAX_QUEUED_KEYS = 1024  # bounds the memory of jobs that wait while a disk is slow

T = TypeVar("T")
Job = Callable[[], object]
OnDone = Callable[[OSError | None], None]  # with the reason of a failure, or None after success


class BackgroundWriter:
    """Runs jobs one after another in a thread of its own, which starts with the first job."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._changed = threading.Condition()  # guards all fields below
        self._queue: dict[str, tuple[Job, OnDone]] = {}
        self._failure: OSError | None = None
        self._is_closed = False
        self._thread: threading.Thread | None = None

    def submit(self, key: str, job: Job, on_done: OnDone) -> None:
        """Queue a job, and call `on_done` in the event loop once it has run or can't be run.

        A job of the same key that has not started is replaced, at its position in the queue: neither it nor
        its `on_done` is called. After a failure no job runs, and each `on_done` is called with that failure;
        likewise if there are too many keys, and after `close`.
        """
        self._enqueue(key, job, lambda error: self._call_in_loop(on_done, error))

    def run(self, job: Callable[[], T], timeout_s: float) -> T:
        """Run a job and wait for its result in the caller's thread; one call at a time.

        A failure or a time-out stops the writer as a failed job of `submit` does. A job that timed out may
        still finish in the writer's thread.

        Raises:
            TimeoutError: The job took longer than `timeout_s`.
            OSError: The job failed; an error of any other type is reported as EIO.
        """
        answer: Future[T] = Future()
        results: list[T] = []

        def on_done(error: OSError | None) -> None:
            if error is None:
                answer.set_result(results[0])
            else:
                answer.set_exception(error)

        self._enqueue("", lambda: results.append(job()), on_done)
        wait((answer,), max(0.0, timeout_s))
        if not answer.done():
            timeout = TimeoutError(errno.ETIMEDOUT, "the disk did not answer in time")
            self._fail(timeout)
            raise timeout
        return answer.result()

    def close(self, timeout_s: float) -> bool:
        """Accept no more jobs and wait for those in the queue.

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
        """Return why a job can't be queued, if it can't."""
        if self._failure is not None:
            return _error_after(self._failure)
        if self._is_closed:
            return OSError(errno.ESHUTDOWN, "the store is closed")
        if key not in self._queue and len(self._queue) >= MAX_QUEUED_KEYS:
            return OSError(errno.ENOBUFS, f"more than {MAX_QUEUED_KEYS} files wait to be written")
        return None

    def _start_thread(self) -> OSError | None:
        """Start the thread unless it runs; return why it can't be started, if it can't."""
        if self._thread is None:
            thread = threading.Thread(target=self._run_jobs, name="state", daemon=True)
            try:
                thread.start()
            except RuntimeError as error:  # the machine's limit of threads
                self._failure = OSError(errno.EAGAIN, str(error))
                return self._failure
            self._thread = thread
        return None

    def _run_jobs(self) -> None:
        """Run jobs until the writer is closed and the queue is empty; this is the thread's function."""
        while True:
            with self._changed:
                while not self._queue and not self._is_closed:
                    self._changed.wait()
                if not self._queue:
                    return
                job, on_done = self._queue.pop(next(iter(self._queue)))
            error = _run_job(job)
            # Before the queued jobs fail: their errors say that another one failed before.
            on_done(error)
            if error is not None:
                self._fail(error)

    def _fail(self, error: OSError) -> None:
        """Run no more jobs, and report the failure to all that are queued."""
        with self._changed:
            self._failure = self._failure or error
            queued = list(self._queue.values())
            self._queue.clear()
        for _, on_done in queued:
            on_done(_error_after(error))

    def _call_in_loop(self, on_done: OnDone, error: OSError | None) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits for the result any more
            self._loop.call_soon_threadsafe(on_done, error)


def _run_job(job: Job) -> OSError | None:
    """Run a job and return its failure, if any."""
    try:
        job()
    except OSError as error:
        return error
    except Exception as error:  # a thread that dies would leave all later jobs in the queue
        return OSError(errno.EIO, repr(error))
    return None


def _error_after(error: OSError) -> OSError:
    return OSError(errno.EIO, f"the store failed before: {error.strerror or error}")
