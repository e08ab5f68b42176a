"""Decides whether a client retries, how long it waits before a retry, and when an attempt times out. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from fordtrestle.load.records import Retries, TrafficClass
from fordtrestle.load.samples import Outcome

# The server has not executed the request, so that even an unsafe one may be retried.
NOT_EXECUTED_OUTCOMES = (Outcome.REFUSED, Outcome.UNREACHABLE)
# The names in the load file; all other outcomes are "failed".
OUTCOME_NAMES = {Outcome.REFUSED: "refused", Outcome.UNANSWERED: "unanswered"}
REFUSED_STATUSES = (429, 503)


def outcome_of_status(status: int) -> Outcome:
    """Return the outcome of a response whose status is not 200."""
    return Outcome.REFUSED if status in REFUSED_STATUSES else Outcome.FAILED


class RetryPolicy:
    """Applies the `[retries]` table of a load file.

    Attributes:
        is_marked: Whether retries carry the header X-Again.
        is_listening: Whether the response to an attempt that was given up for a retry is still accepted.
    """

    def __init__(self, retries: Retries, classes: Sequence[TrafficClass]) -> None:
        self._retries = retries
        self._is_unsafe = [each.semantics == "unsafe" for each in classes]
        self._attempt_share = retries.try_share if retries.most else 1.0
        self.is_marked = retries.marked
        self.is_listening = retries.listen

    def attempt_budget_us(self, budget_us: int) -> int:
        """Return the budget of one attempt in microseconds, at least 1."""
        return max(1, int(budget_us * self._attempt_share))

    def allows(self, attempts: int, class_index: int, outcome: Outcome) -> bool:
        """Return whether a request of this class is retried after this many attempts and this outcome."""
        if attempts > self._retries.most:
            return False
        if outcome not in NOT_EXECUTED_OUTCOMES and self._is_unsafe[class_index]:
            return False
        return OUTCOME_NAMES.get(outcome, "failed") in self._retries.on

    def wait_ns(self, attempts: int, retry_after_s: float | None) -> int:
        """Return the wait before the next attempt, in nanoseconds.

        Args:
            attempts: The number of attempts sent so far.
            retry_after_s: The value of Retry-After in the response; None if there is none.
        """
        retries = self._retries
        wait_ms = retries.wait_ms * (2.0 ** (attempts - 1) if retries.doubled else 1.0)
        if retries.honour_retry_after and retry_after_s is not None:
            wait_ms = max(wait_ms, min(retry_after_s * 1000.0, retries.honour_most_ms))
        return int(wait_ms * 1e6)

    def attempt_deadline_ns(
        self, attempts: int, class_index: int, sent_ns: int, budget_ns: int, deadline_ns: int
    ) -> int:
        """Return when an attempt is given up.

        Args:
            attempts: The number of attempts sent so far, including this one.
            class_index: The index of the request's class.
            sent_ns: When the attempt was sent.
            budget_ns: The budget of the request.
            deadline_ns: When the request itself is given up.

        Returns:
            The end of the attempt's share of the budget, or `deadline_ns` if no retry can follow.
        """
        if not self.allows(attempts, class_index, Outcome.UNANSWERED):
            return deadline_ns
        return min(deadline_ns, sent_ns + int(budget_ns * self._attempt_share))
