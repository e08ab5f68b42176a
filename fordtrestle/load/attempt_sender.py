"""Sends attempts on connections and reads their responses."""

from __future__ import annotations

import select
import time

from fordtrestle.load.client import SHORTAGE_ERRNOS, Connection, ReadResult
from fordtrestle.load.connection_table import ConnectionTable
from fordtrestle.load.job import WorkerCounts
from fordtrestle.load.request_state import Attempt, RequestState
from fordtrestle.load.request_tracker import RequestTracker
from fordtrestle.load.retry_policy import outcome_of_status
from fordtrestle.load.samples import Outcome

HTTP_OK = 200
WRITABLE_EVENTS = select.EPOLLOUT | select.EPOLLERR | select.EPOLLHUP

clock_ns = time.monotonic_ns


class AttemptSender:
    """Sends attempts on the connections of a worker and handles the epoll events of those connections."""

    def __init__(self, table: ConnectionTable, tracker: RequestTracker, counts: WorkerCounts) -> None:
        self._table = table
        self._tracker = tracker
        self._counts = counts

    def send(self, request: RequestState, message: bytes) -> Outcome | None:
        """Send an attempt on an idle connection, or on a new one.

        Args:
            request: The request.
            message: The bytes of the attempt.

        Returns:
            None if it was sent; `NO_CONNECTION` if the maximum of connections is in use, `NO_SOCKET` if the
            system has no socket left.
        """
        if not self._table.has_idle() and self._table.is_full():
            return Outcome.NO_CONNECTION
        attempt = Attempt(request, message, clock_ns())
        if not request.attempts:
            request.lag_ns = attempt.sent_ns - request.due_ns
        request.last_sent_ns = attempt.sent_ns
        if not self._send_on_connection(attempt, self._table.has_idle()):
            return Outcome.NO_SOCKET
        return None

    def _send_on_connection(self, attempt: Attempt, use_idle: bool) -> bool:
        """Send an attempt on an idle or a new connection; return False if the system has no socket left."""
        error: OSError | None = None
        connection = None
        try:
            connection = self._table.take_idle() if use_idle else self._table.connect()
            connection.current_attempt = attempt
            attempt.connection = connection
            connection.send(attempt.message)
        except OSError as caught:
            if connection is None and caught.errno in SHORTAGE_ERRNOS:
                return False
            error = caught
        if not attempt.is_resent:
            self._tracker.on_sent(attempt)
        if connection is None:
            self._tracker.on_attempt_ended(attempt, Outcome.UNREACHABLE, clock_ns())
        elif error is not None:
            self._on_connection_lost(connection, clock_ns())
        elif connection.unsent:
            self._table.watch_writable(connection)
        return True

    def on_event(self, fd: int, events: int) -> None:
        """Handle the epoll events of a descriptor; those of a connection that was closed are ignored."""
        connection = self._table.get(fd)
        if connection is None:
            return
        if connection.current_attempt is None:
            self._read_idle(connection)
            return
        if connection.unsent and events & WRITABLE_EVENTS:
            try:
                connection.flush()
            except OSError:
                self._on_connection_lost(connection, clock_ns())
                return
            if not connection.unsent:
                self._table.watch_readable(connection)
        if events & ~select.EPOLLOUT:
            self._read(connection)

    def _read_idle(self, connection: Connection) -> None:
        """Read a connection without a request: the peer has closed it, or sends bytes without a request."""
        result = connection.receive()
        if result is not ReadResult.NOTHING or connection.response.has_received:
            self._counts.stray += result is not ReadResult.CLOSED
            self._table.drop(connection)

    def _read(self, connection: Connection) -> None:
        """Read a connection with an attempt in flight; a response or a close ends the attempt."""
        result = connection.receive()
        if result is ReadResult.NOTHING:
            return
        now_ns = clock_ns()
        if result is ReadResult.CLOSED:
            self._on_connection_lost(connection, now_ns)
            return
        attempt, response = connection.current_attempt, connection.response
        assert isinstance(attempt, Attempt)
        connection.current_attempt = None
        status, retry_after_s = response.status, response.retry_after_s
        is_malformed = result is ReadResult.MALFORMED
        if is_malformed or connection.unsent or not response.can_keep_alive:
            self._table.drop(connection)
        else:
            connection.responses_read += 1
            response.begin()
            self._table.set_idle(connection)
        if is_malformed:
            self._tracker.on_attempt_ended(attempt, Outcome.FAILED, now_ns)
        elif status == HTTP_OK:
            self._tracker.on_attempt_ended(attempt, Outcome.SERVED, now_ns, status)
        else:
            self._tracker.on_attempt_ended(attempt, outcome_of_status(status), now_ns, status, retry_after_s)

    def _on_connection_lost(self, connection: Connection, now_ns: int) -> None:
        """Handle a connection that ended before the response was complete.

        A server may close an idle connection while a request is on its way to it. Such a request is sent a
        second time, on a new connection, as HTTP clients do (RFC 9112, 9.3.1).
        """
        attempt = connection.current_attempt
        assert isinstance(attempt, Attempt)
        connection.current_attempt = None
        is_close_race = (
            connection.responses_read and not connection.response.has_received and not attempt.is_resent
        )
        was_connected = connection.is_connected
        self._table.drop(connection)
        if is_close_race and not attempt.is_given_up and not self._table.is_full():
            attempt.is_resent = True
            if self._send_on_connection(attempt, use_idle=False):
                self._counts.resent += 1
                return
        outcome = Outcome.CUT if was_connected else Outcome.UNREACHABLE
        self._tracker.on_attempt_ended(attempt, outcome, now_ns)
