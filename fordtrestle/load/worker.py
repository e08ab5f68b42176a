"""Sends one worker's part of a schedule at the intended times, however many requests are still open.

A worker is one thread with its own epoll. It sleeps until `spin_ms` before the next request is due, then
spins and reads responses meanwhile, since the timers of an event loop are rounded to a millisecond. Requests
are prepared ahead. While it runs, nothing is logged, no name is resolved and no garbage is collected; samples
are written to a pipe that never blocks.
"""

from __future__ import annotations

import select
import time

from fordtrestle.load.attempt_sender import AttemptSender
from fordtrestle.load.connection_table import ConnectionTable
from fordtrestle.load.due_queue import NEVER_NS
from fordtrestle.load.job import WorkerCounts, WorkerJob
from fordtrestle.load.request_source import RequestSource
from fordtrestle.load.request_state import RequestState
from fordtrestle.load.request_tracker import RequestTracker
from fordtrestle.load.retry_policy import RetryPolicy, outcome_of_status
from fordtrestle.load.sample_writer import SampleWriter
from fordtrestle.load.samples import Outcome

MIN_SPARE_NS = 80_000  # background work is done only if the next send is at least this far away
MAX_SLEEP_NS = 20_000_000
MAX_BATCH = 32  # sends in a row, and events per poll, so that neither starves the other

clock_ns = time.monotonic_ns


class Worker:
    """Runs one worker's part of a load, in a single call of `run`.

    Attributes:
        counts: Counters that are reported in addition to the samples.
    """

    def __init__(self, job: WorkerJob, samples: SampleWriter, control: int) -> None:
        """Prepare the first requests.

        Args:
            job: The part of the load to send.
            samples: Receives a sample for each request and retry.
            control: A file descriptor; the run stops once it is readable.
        """
        spec = job.schedule.spec
        self._samples = samples
        self._control = control
        self._max_open = job.max_open
        self._grace_ns = round(spec.grace_ms * 1e6)
        # The kernel ends a sleep up to 0.1 ms late. On a virtual machine, a core that sleeps may be given to
        # others, so that wake-ups come milliseconds late; a core that spins is hardly ever taken away.
        self._spin_ns = round(spec.spin_ms * 1e6)
        self._epoll = select.epoll()
        self._epoll.register(control, select.EPOLLIN)
        self.counts = WorkerCounts()
        self._policy = RetryPolicy(spec.retries, spec.classes)
        self._table = ConnectionTable(job, self._epoll, self.counts)
        self._tracker = RequestTracker(self._policy, samples, self.counts)
        self._sender = AttemptSender(self._table, self._tracker, self.counts)
        self._source = RequestSource(job, self._policy)
        self._start_ns = 0
        self._next_request_ns = NEVER_NS
        self._is_stopping = False

    @property
    def _due_ns(self) -> int:
        """When the next send is due, either the first attempt of a request or a retry."""
        return min(self._next_request_ns, self._tracker.retries.first_due_ns)

    def run(self, start_ns: int) -> None:
        """Send all requests and wait until each has its outcome, or the run is stopped.

        Args:
            start_ns: When the schedule starts, on the monotonic clock.
        """
        self._start_ns = start_ns
        self._find_next_request()
        while not self._is_stopping and (self._due_ns < NEVER_NS or self._tracker.open_count):
            now_ns = clock_ns()
            for _ in range(MAX_BATCH):
                if self._due_ns > now_ns:
                    break
                self._send_next(now_ns)
                now_ns = clock_ns()
            self._do_background_work(now_ns)
            self._sleep(now_ns)
            self._handle_events()
            self._tracker.give_up_expired(clock_ns(), self._table.drop)
        self._tracker.finish_open(clock_ns())
        self._table.drop_all()
        self._epoll.close()

    def _handle_events(self) -> None:
        """Handle epoll events; a send that becomes due meanwhile precedes the next event."""
        for fd, events in self._epoll.poll(0, MAX_BATCH):
            if fd == self._control:
                self._is_stopping = True
            else:
                self._sender.on_event(fd, events)
            if self._due_ns <= clock_ns():
                self._send_next(clock_ns())

    def _sleep(self, now_ns: int) -> None:
        """Sleep until an event comes or something is due soon.

        Calls `select` on the epoll's descriptor, since its timeout is precise to a microsecond; that of the
        epoll itself is rounded to a millisecond.
        """
        wake_ns = min(self._due_ns - self._spin_ns, now_ns + MAX_SLEEP_NS, self._tracker.first_timeout_ns)
        if wake_ns > now_ns:
            select.select([self._epoll], [], [], (wake_ns - now_ns) / 1e9)

    def _do_background_work(self, now_ns: int) -> None:
        """Write samples, prepare a request or free memory, one of them per call, if no send is due soon."""
        if self._due_ns - now_ns < MIN_SPARE_NS:
            return
        if self._samples.is_due(now_ns):
            self._samples.flush(now_ns)
        elif self._source.can_prepare():
            self._source.prepare()
        elif self._tracker.has_stale_timeouts():
            self._tracker.discard_stale_timeouts()

    def _find_next_request(self) -> None:
        at_us = self._source.first_at_us()
        self._next_request_ns = NEVER_NS if at_us is None else self._start_ns + at_us * 1000

    def _send_next(self, now_ns: int) -> None:
        """Send the attempt that is due next; a retry precedes a new request that is due at the same time."""
        due_ns = self._due_ns
        if self._tracker.retries.first_due_ns == due_ns:
            request = self._tracker.retries.pop()
            if not request.is_finished:
                self._send_retry(request, due_ns, now_ns)
        else:
            request = self._source.pop()
            request.due_ns = due_ns
            request.deadline_ns = due_ns + request.budget_ns + self._grace_ns
            self._send_first(request, now_ns)
        self._find_next_request()

    def _send_first(self, request: RequestState, now_ns: int) -> None:
        """Send the first attempt of a request, or record why it was not sent."""
        if self._tracker.open_count >= self._max_open:
            self._tracker.record(request, Outcome.NO_ROOM, now_ns)
            return
        failure = self._sender.send(request, request.message)
        if failure is not None:
            self._tracker.record(request, failure, now_ns)

    def _send_retry(self, request: RequestState, due_ns: int, now_ns: int) -> None:
        """Send a retry with the remaining budget.

        If it can't be sent and no other attempt is in flight, the request is finished with the outcome of its
        last response, or as unanswered.
        """
        request.is_retry_planned = False
        remaining_us = (request.due_ns + request.budget_ns - now_ns) // 1000
        budget_us = max(1, min(self._policy.attempt_budget_us(request.budget_ns // 1000), remaining_us))
        call_id = self._source.new_id()
        message = request.template.encode_attempt(call_id, budget_us, self._policy.is_marked)
        if self._sender.send(request, message) is None:
            self._tracker.record_retry(request, due_ns)
            return
        self.counts.retries_not_sent += 1
        if not request.attempts_in_flight:
            outcome = outcome_of_status(request.status) if request.status else Outcome.UNANSWERED
            self._tracker.finish(request, outcome, clock_ns())
