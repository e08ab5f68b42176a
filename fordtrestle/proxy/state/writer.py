"""One thread for all that may wait for a disk, so that the loop never does.

Jobs wait under keys: of each key only the newest that has not begun. The first that fails ends it all, since
what a disk did after a failed sync proves nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import threading
from collections.abc import Callable
from concurrent.futures import Future, wait
from typing import TypeVar

KEYS_MOST = 1024  # with a job that has not begun

T = TypeVar("T")
Job = Callable[[], object]
Done = Callable[[OSError | None], None]


class Writer:
    """Runs jobs one after another in a thread of its own, which begins with the first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._changed = threading.Condition()  # guards all below
        self._waiting: dict[str, tuple[Job, Done]] = {}
        self._failed: OSError | None = None
        self._closed = False
        self._thread: threading.Thread | None = None

    def submit(self, key: str, job: Job, done: Done) -> None:
        """Run `job`, then `done` in the loop, with None or with why it failed.

        A job of the same key that has not begun is replaced, in its place of the queue: neither it nor its
        `done` is called. After a failure no job runs, and each `done` is told of it; so it is with a key too
        many, and after `close`.
        """
        self._put(key, job, lambda error: self._tell(done, error))

    def run(self, job: Callable[[], T], within_s: float) -> T:
        """What `job` gives, waited for in the caller's thread; one call at a time.

        `OSError` if it fails, `TimeoutError` if it takes longer: either ends the writer as a job of `submit`
        does. A job that was late may still end in its thread.
        """
        answer: Future[T] = Future()
        given: list[T] = []

        def settle(error: OSError | None) -> None:
            if error is None:
                answer.set_result(given[0])
            else:
                answer.set_exception(error)

        self._put("", lambda: given.append(job()), settle)
        wait((answer,), max(0.0, within_s))
        if not answer.done():
            late = TimeoutError(errno.ETIMEDOUT, "the disk did not answer in time")
            self._fail(late)
            raise late
        return answer.result()

    def close(self, within_s: float) -> bool:
        """Take no more, and wait for what is queued; whether the thread has ended.

        What has not begun by then never does.
        """
        with self._changed:
            self._closed = True
            self._changed.notify()
        if self._thread is None:
            return True
        self._thread.join(within_s)
        if self._thread.is_alive():
            self._fail(TimeoutError(errno.ETIMEDOUT, f"not written within {within_s:.1f} s"))
        return not self._thread.is_alive()

    def _put(self, key: str, job: Job, tell: Done) -> None:
        with self._changed:
            refusal = self._refusal(key) or self._begin()
            if refusal is None:
                self._waiting[key] = (job, tell)
                self._changed.notify()
        if refusal is not None:
            tell(refusal)

    def _refusal(self, key: str) -> OSError | None:
        """Why a job can't be queued, if it can't."""
        if self._failed is not None:
            return _after(self._failed)
        if self._closed:
            return OSError(errno.ESHUTDOWN, "the store is closed")
        if key not in self._waiting and len(self._waiting) >= KEYS_MOST:
            return OSError(errno.ENOBUFS, f"more than {KEYS_MOST} files wait to be written")
        return None

    def _begin(self) -> OSError | None:
        """Have a thread; why there is none."""
        if self._thread is None:
            thread = threading.Thread(target=self._serve, name="state", daemon=True)
            try:
                thread.start()
            except RuntimeError as error:  # the machine's limit of threads
                self._failed = OSError(errno.EAGAIN, str(error))
                return self._failed
            self._thread = thread
        return None

    def _serve(self) -> None:
        """The thread."""
        while True:
            with self._changed:
                while not self._waiting and not self._closed:
                    self._changed.wait()
                if not self._waiting:
                    return
                job, tell = self._waiting.pop(next(iter(self._waiting)))
            error = _tried(job)
            tell(error)  # first: those that are queued hear that another failed before
            if error is not None:
                self._fail(error)

    def _fail(self, error: OSError) -> None:
        """Run nothing from now on, and tell what is queued."""
        with self._changed:
            self._failed = self._failed or error
            queued = list(self._waiting.values())
            self._waiting.clear()
        for _, tell in queued:
            tell(_after(error))

    def _tell(self, done: Done, error: OSError | None) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits for it any more
            self._loop.call_soon_threadsafe(done, error)


def _tried(job: Job) -> OSError | None:
    try:
        job()
    except OSError as error:
        return error
    except Exception as error:  # a thread that dies would leave all later jobs waiting
        return OSError(errno.EIO, repr(error))
    return None


def _after(error: OSError) -> OSError:
    return OSError(errno.EIO, f"the store failed before: {error.strerror or error}")
