"""Which servers fail far more of their requests than the others of their service: outlier detection. Pure.

A server is compared with the median of the others: a fault that befalls most of them makes none an outlier,
and several that fail do not hide one another, as they would in a mean.

Sources: Envoy's documentation, "Outlier detection"; Huang et al., "Gray Failure" (HotOS 2017).
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median

from fordtrestle.routing.outcome_counts import OutcomeCounts

MIN_FAILURES = 1.5  # decayed: two failures in short order; one is chance
# Of a server's requests. One that fails one kind alone is an outlier once that is a quarter of all requests.
MIN_FAILURE_SHARE = 0.25
MIN_RATIO_TO_MEDIAN = 3.0  # that the share has to be of the median of the others' shares
MIN_COMPARABLE_OUTCOMES = 0.5  # decayed, of another server: with fewer its share tells nothing

# Statuses of a server that ran a request and failed. 503 and 504 are missing: they tell of load.
FAILURE_STATUSES = frozenset({500, 501, 502, 505, 506, 507, 508, 510, 511})


def is_outlier(server: OutcomeCounts, others: Iterable[OutcomeCounts], now: float) -> bool:
    """Return whether a server fails far more of its requests than the others of its service.

    Args:
        server: The server's outcomes.
        others: The outcomes of the other servers; where none of them has any, nothing is an outlier.
        now: Seconds of a monotonic clock.
    """
    if server.decayed(now).bad < MIN_FAILURES:
        return False
    shares = [other.failure_share for other in others if other.decayed(now).total >= MIN_COMPARABLE_OUTCOMES]
    if not shares:
        return False
    return server.failure_share >= max(MIN_FAILURE_SHARE, MIN_RATIO_TO_MEDIAN * median(shares))
