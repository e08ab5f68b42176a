"""Bounds how long requests have waited in the kernel and in this process before they are read. Pure.

The kernel accepts connections and data also while a process stands still, so the time at which a request is
read says nothing about when its caller sent it.
"""

from __future__ import annotations

from collections import deque

REMEMBERED_POLLS = 3

# An accepted connection gets its protocol one poll after the poll that reported it, and is watched for data
# two polls after that (`asyncio.selector_events`).
POLLS_SINCE_ACCEPT_WAS_PENDING = 2
POLLS_UNTIL_WATCHED = 2


class PollTimes:
    """The times at which an event loop began its newest polls for events.

    A socket that a poll reports, and that the poll before did not, received its data after that poll began.
    The beginning is what counts: a process that is stopped during a poll ends it only once it is resumed,
    and may then report nothing although data has arrived meanwhile.

    Attributes:
        count: The number of polls that have begun.
    """

    def __init__(self, created_at: float) -> None:
        """Create a record without polls.

        Args:
            created_at: The current time, in seconds of the loop's clock.
        """
        self.count = 0
        self._began_at = deque([created_at] * REMEMBERED_POLLS, REMEMBERED_POLLS)

    def record(self, now: float) -> None:
        """Record that a poll begins."""
        self._began_at.append(now)
        self.count += 1

    def began_at(self, polls_ago: int) -> float:
        """Return when the newest poll began, or one of the polls before it.

        Args:
            polls_ago: 0 for the newest poll, up to `REMEMBERED_POLLS` - 1.
        """
        return self._began_at[-1 - polls_ago]


class ConnectionArrivals:
    """Bounds when the request arrived that a connection is receiving or has received.

    A request that is sent before the one before it was answered has no bound.
    """

    def __init__(self, polls: PollTimes, queued_after: float | None = None) -> None:
        """Start with a connection that has just been accepted.

        Args:
            polls: The polls of the event loop that serves the connection.
            queued_after: The time after which the connection arrived, in seconds of the loop's clock; `None`
                if the poll before the one that reported it found no connection waiting.
        """
        self._polls = polls
        pending_since = polls.began_at(POLLS_SINCE_ACCEPT_WAS_PENDING)
        self._accepted_after = pending_since if queued_after is None else min(queued_after, pending_since)
        self._first_poll = polls.count + POLLS_UNTIL_WATCHED
        self._arrived_after: float | None = None

    @property
    def arrived_after(self) -> float | None:
        """The time after which the current request arrived, in seconds of the loop's clock.

        None if it is not known.
        """
        return self._arrived_after

    def on_data(self) -> None:
        """Record that data was read."""
        if self._arrived_after is None:
            may_have_waited_since_accept = self._polls.count <= self._first_poll
            self._arrived_after = (
                self._accepted_after if may_have_waited_since_accept else self._polls.began_at(1)
            )

    def on_answered(self) -> None:
        """Record that the current request was answered: later data belongs to the next one."""
        self._arrived_after = None
