"""Tracks the open requests of a worker: their timeouts, planned retries and outcomes.

Each request gets exactly one outcome. If several of its attempts are answered, the first complete 200 counts.
"""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.load.client import Connection
from fordtrestle.load.due_queue import DueQueue
from fordtrestle.load.job import WorkerCounts
from fordtrestle.load.request_state import Attempt, RequestState
from fordtrestle.load.retry_policy import RetryPolicy
from fordtrestle.load.sample_writer import SampleWriter
from fordtrestle.load.samples import Outcome

MAX_STALE_TIMEOUTS = 4096  # timeouts of ended attempts, in addition to two for each open request
MAX_RECORDED_ATTEMPTS = 255  # a sample stores the number of attempts in one byte


class RequestTracker:
    """Tracks requests from their first attempt to their outcome.

    Attributes:
        open_count: The number of open requests.
        retries: Requests with a planned retry, by the time at which it is due.
    """

    def __init__(self, policy: RetryPolicy, samples: SampleWriter, counts: WorkerCounts) -> None:
        self._policy = policy
        self._samples = samples
        self._counts = counts
        self._timeouts: DueQueue[Attempt] = DueQueue()
        self.retries: DueQueue[RequestState] = DueQueue()
        self.open_count = 0

    @property
    def first_timeout_ns(self) -> int:
        """When the earliest timeout of an attempt expires, in nanoseconds of the monotonic clock."""
        return self._timeouts.first_due_ns

    def has_stale_timeouts(self) -> bool:
        """Return whether so many timeouts belong to ended attempts that they should be discarded."""
        return len(self._timeouts) > 2 * self.open_count + MAX_STALE_TIMEOUTS

    def discard_stale_timeouts(self) -> None:
        """Remove the timeouts of ended attempts, which frees the memory of those attempts."""
        self._timeouts.discard(lambda attempt: attempt.has_ended)

    def on_sent(self, attempt: Attempt) -> None:
        """Handle an attempt that was sent: open its request if it is the first one, and set its timeout."""
        request = attempt.request
        if not request.attempts:
            self.open_count += 1
            self._counts.open_most = max(self._counts.open_most, self.open_count)
        request.attempts += 1
        request.attempts_in_flight += 1
        deadline_ns = self._policy.attempt_deadline_ns(
            request.attempts, request.class_index, attempt.sent_ns, request.budget_ns, request.deadline_ns
        )
        self._timeouts.push(deadline_ns, attempt)

    def on_attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        now_ns: int,
        status: int = 0,
        retry_after_s: float | None = None,
    ) -> None:
        """Handle the end of an attempt, with or without a response: plan a retry or finish the request.

        Args:
            attempt: The attempt.
            outcome: Its outcome; `SERVED` even if the response came after the budget.
            now_ns: The current time.
            status: The HTTP status; 0 without a response.
            retry_after_s: The value of Retry-After in the response; None if there is none.
        """
        attempt.has_ended = True
        request = attempt.request
        if not attempt.is_given_up:
            request.attempts_in_flight -= 1
        if request.is_finished:
            self._counts.crossed += status != 0
            return
        request.status = status or request.status
        if outcome is Outcome.SERVED:
            is_in_time = now_ns - request.due_ns <= request.budget_ns
            self.finish(request, outcome if is_in_time else Outcome.LATE, now_ns, attempt.sent_ns)
        elif attempt.is_given_up or request.is_retry_planned or request.attempts_in_flight:
            return
        elif not self._plan_retry(request, outcome, now_ns, retry_after_s):
            self.finish(request, outcome, now_ns, attempt.sent_ns)

    def give_up_expired(self, now_ns: int, drop: Callable[[Connection], None]) -> None:
        """Give up all attempts whose timeout has expired; `drop` closes their connections."""
        while self._timeouts.first_due_ns <= now_ns:
            attempt = self._timeouts.pop()
            if not attempt.has_ended:
                self._give_up(attempt, now_ns, drop)

    def _give_up(self, attempt: Attempt, now_ns: int, drop: Callable[[Connection], None]) -> None:
        request = attempt.request
        is_retried = not (request.is_finished or attempt.is_given_up)
        is_retried = is_retried and self._plan_retry(request, Outcome.UNANSWERED, now_ns)
        if is_retried and self._policy.is_listening:
            attempt.is_given_up = True
            request.attempts_in_flight -= 1
            self._timeouts.push(request.deadline_ns, attempt)
            return
        attempt.has_ended = True
        if attempt.connection is not None:
            attempt.connection.current_attempt = None
            drop(attempt.connection)
        if not attempt.is_given_up:
            request.attempts_in_flight -= 1
        is_pending = request.attempts_in_flight or request.is_retry_planned
        if not (is_retried or request.is_finished or is_pending):
            self.finish(request, Outcome.UNANSWERED, now_ns)

    def _plan_retry(
        self, request: RequestState, outcome: Outcome, now_ns: int, retry_after_s: float | None = None
    ) -> bool:
        """Plan a retry if the retry policy and the budget allow one, and return whether one was planned."""
        if request.is_retry_planned or not self._policy.allows(
            request.attempts, request.class_index, outcome
        ):
            return False
        due_ns = now_ns + self._policy.wait_ns(request.attempts, retry_after_s)
        if due_ns >= request.due_ns + request.budget_ns:
            return False
        request.is_retry_planned = True
        self.retries.push(due_ns, request)
        return True

    def finish(
        self, request: RequestState, outcome: Outcome, now_ns: int, sent_ns: int | None = None
    ) -> None:
        """Close an open request with its outcome.

        Args:
            request: The request.
            outcome: Its outcome.
            now_ns: The current time.
            sent_ns: When the attempt that decided the outcome was sent; None for the last attempt.
        """
        request.is_finished = True
        self.open_count -= 1
        self.record(request, outcome, now_ns, sent_ns)

    def finish_open(self, now_ns: int) -> None:
        """Finish all requests that are still open when the run ends."""
        requests = [*(attempt.request for attempt in self._timeouts if not attempt.has_ended), *self.retries]
        for request in requests:
            if not request.is_finished:
                self.finish(request, Outcome.OPEN, now_ns)

    def record(
        self, request: RequestState, outcome: Outcome, now_ns: int, sent_ns: int | None = None
    ) -> None:
        """Write the sample of a request with its outcome; the arguments are those of `finish`."""
        self._samples.add(
            outcome,
            min(request.attempts, MAX_RECORDED_ATTEMPTS),
            request.class_index,
            request.tenant_index,
            request.status,
            request.at_us,
            request.lag_ns,
            now_ns - request.due_ns,
            now_ns - (request.last_sent_ns if sent_ns is None else sent_ns),
        )

    def record_retry(self, request: RequestState, due_ns: int) -> None:
        """Write the sample of a retry that was sent and had been due at `due_ns`."""
        lag_ns = request.last_sent_ns - due_ns
        self._samples.add(
            Outcome.RETRY,
            request.attempts,
            request.class_index,
            request.tenant_index,
            0,
            request.at_us,
            lag_ns,
            0,
            0,
        )
