"""When a client tries again, and for how long it waits. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from fordtrestle.load.records import Retries, TrafficClass
from fordtrestle.load.samples import Outcome

# After these nothing has run, so that also an unsafe request may be sent again.
HARMLESS_OUTCOMES = (Outcome.REFUSED, Outcome.UNREACHABLE)
# The words of the load file; all other outcomes are "failed".
OUTCOME_WORDS = {Outcome.REFUSED: "refused", Outcome.UNANSWERED: "unanswered"}
REFUSED_STATUSES = (429, 503)


def outcome_of(status: int) -> Outcome:
    """The outcome of a response with any status but 200."""
    return Outcome.REFUSED if status in REFUSED_STATUSES else Outcome.FAILED


class RetryPolicy:
    """The rules of a load file on retries.

    Attributes:
        is_marked: Whether retries say that they are.
        is_listening: Whether an attempt that was given up for a retry is still listened to.
    """

    def __init__(self, retries: Retries, classes: Sequence[TrafficClass]) -> None:
        self._retries = retries
        self._is_unsafe = [each.semantics == "unsafe" for each in classes]
        self._attempt_share = retries.try_share if retries.most else 1.0
        self.is_marked = retries.marked
        self.is_listening = retries.listen

    def attempt_budget_us(self, budget_us: int) -> int:
        """The budget of one attempt in microseconds, at least 1."""
        return max(1, int(budget_us * self._attempt_share))

    def allows(self, attempts: int, class_index: int, outcome: Outcome) -> bool:
        """Whether a request of this class is sent again after this many attempts and that outcome."""
        if attempts > self._retries.most:
            return False
        if outcome not in HARMLESS_OUTCOMES and self._is_unsafe[class_index]:
            return False
        return OUTCOME_WORDS.get(outcome, "failed") in self._retries.on

    def wait_ns(self, attempts: int, retry_after_s: float | None) -> int:
        """The wait before the next attempt, in nanoseconds.

        Args:
            attempts: Attempts that were sent.
            retry_after_s: What the response said; None: nothing.
        """
        rules = self._retries
        wait_ms = rules.wait_ms * (2.0 ** (attempts - 1) if rules.doubled else 1.0)
        if rules.honour_retry_after and retry_after_s is not None:
            wait_ms = max(wait_ms, min(retry_after_s * 1000.0, rules.honour_most_ms))
        return int(wait_ms * 1e6)

    def attempt_limit_ns(
        self, attempts: int, class_index: int, sent_ns: int, budget_ns: int, limit_ns: int
    ) -> int:
        """When an attempt is given up.

        Args:
            attempts: Attempts that were sent, with this one.
            class_index: The request's class.
            sent_ns: When the attempt was sent.
            budget_ns: The budget of the request.
            limit_ns: When the request is given up.

        Returns:
            The end of the attempt's share of the budget, or `limit_ns` where no retry can follow.
        """
        if not self.allows(attempts, class_index, Outcome.UNANSWERED):
            return limit_ns
        return min(limit_ns, sent_ns + int(budget_ns * self._attempt_share))
