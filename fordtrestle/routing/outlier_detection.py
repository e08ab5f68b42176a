"""Detects servers that fail far more of their requests than the other servers of their service. Pure.

A server is compared with the median of the others. A fault that affects most servers therefore makes none of
them an outlier, and several failing servers do not mask one another as they would in a mean.

Sources: Envoy's documentation, "Outlier detection"; Huang et al., "Gray Failure" (HotOS 2017).
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median

from fordtrestle.routing.outcome_counts import OutcomeCounts

MIN_FAILURES = 1.5  # decayed, which takes two failures in quick succession; a single one may be chance
# Smallest failure share of an outlier. A server that fails only one kind of request is an outlier when that
# kind is a quarter of its requests.
MIN_FAILURE_SHARE = 0.25
MIN_RATIO_TO_MEDIAN = 3.0  # smallest ratio of an outlier's failure share to the median of the others
MIN_COMPARABLE_OUTCOMES = 0.5  # decayed; another server with fewer is left out of the comparison

# Statuses of a server that ran a request and failed. 503 and 504 are excluded because they indicate load.
FAILURE_STATUSES = frozenset({500, 501, 502, 505, 506, 507, 508, 510, 511})


def is_outlier(server: OutcomeCounts, others: Iterable[OutcomeCounts], now: float) -> bool:
    """Return whether a server fails far more of its requests than the others of its service.

    Args:
        server: The outcomes of the server.
        others: The outcomes of the service's other servers; if none has any, the server is no outlier.
        now: Seconds of a monotonic clock.
    """
    if server.decayed(now).bad < MIN_FAILURES:
        return False
    shares = [other.failure_share for other in others if other.decayed(now).total >= MIN_COMPARABLE_OUTCOMES]
    if not shares:
        return False
    return server.failure_share >= max(MIN_FAILURE_SHARE, MIN_RATIO_TO_MEDIAN * median(shares))
