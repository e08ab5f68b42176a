"""Statistics of a run: outcomes, latency histograms and priority weight, by class, tenant and second.

Needs the extra `load` (hdrhistogram), which is imported when the first histogram is created. Histograms hold
microseconds with four significant digits; adding up the samples of any number of workers is exact.
"""

from __future__ import annotations

import gc
from collections.abc import Sequence
from dataclasses import dataclass, field
from importlib import import_module
from typing import Any

from fordtrestle.load.arrivals import US_PER_S
from fordtrestle.load.errors import MissingLibraryError
from fordtrestle.load.records import TrafficClass
from fordtrestle.load.samples import NOT_SENT_OUTCOMES, TIMED_OUTCOMES, Outcome, Sample

SIGNIFICANT_DIGITS = 4  # an error below 0.01%, at 2.4 MB per histogram
MAX_DURATION_US = 600 * US_PER_S  # ten times the longest budget
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9, "p9999": 99.99, "max": 100.0}
CURVE_PERCENTILES = (0.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99, 99.999, 100.0)


def import_library(module: str, extra: str) -> Any:
    """Import a module of an optional dependency.

    Args:
        module: The full name of the module.
        extra: The extra of this package that installs the dependency.

    Raises:
        MissingLibraryError: The dependency is not installed.
    """
    try:
        return import_module(module)
    except ImportError:
        name = module.partition(".")[0]
        raise MissingLibraryError(f"{name} is missing: pip install 'fordtrestle[{extra}]'") from None


class Histogram:
    """A histogram of durations, which are added in nanoseconds and reported in milliseconds."""

    def __init__(self) -> None:
        self._counts = import_library("hdrh.histogram", "load").HdrHistogram(
            1, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )

    def add(self, duration_ns: int) -> None:
        """Add a duration; one out of range is clamped to it, since the library would drop it silently."""
        self._counts.record_value(min(max(1, duration_ns // 1000), MAX_DURATION_US))

    @property
    def count(self) -> int:
        """The number of durations."""
        return int(self._counts.get_total_count())

    def percentiles_ms(self, percentiles: Sequence[float]) -> list[float | None]:
        """Return the durations in milliseconds at these percentiles (0 to 100); None without any duration."""
        if not self.count:
            return [None] * len(percentiles)
        values_us = self._counts.get_percentile_to_value_dict(list(percentiles))
        return [values_us[percentile] / 1000.0 for percentile in percentiles]

    def summary(self) -> dict[str, float | None]:
        """Return the quantiles in `QUANTILES` by name, in milliseconds."""
        return dict(zip(QUANTILES, self.percentiles_ms(list(QUANTILES.values())), strict=True))

    def encode(self) -> str:
        """Return the histogram in HdrHistogram's text format (V2, compressed), which can be merged."""
        return bytes(self._counts.encode()).decode("ascii")


@dataclass(slots=True)
class OutcomeStats:
    """Outcomes, priority weight and latency of one part of a run.

    Attributes:
        latency: From the intended time to the end, of requests whose outcome is in `TIMED_OUTCOMES`.
        counts: The number of requests by outcome.
        worth_asked: The sum of the priority weights of all requests.
        worth_in_aim: The sum of the priority weights of the requests served within the latency target.
    """

    latency: Histogram = field(default_factory=Histogram)
    counts: dict[int, int] = field(default_factory=dict)
    worth_asked: float = 0.0
    worth_in_aim: float = 0.0

    def add(self, sample: Sample, worth: float, is_in_aim: bool) -> None:
        """Add a request."""
        self.counts[sample.outcome] = self.counts.get(sample.outcome, 0) + 1
        self.worth_asked += worth
        if is_in_aim:
            self.worth_in_aim += worth
        if sample.outcome in TIMED_OUTCOMES:
            self.latency.add(sample.latency_ns)

    @property
    def asked(self) -> int:
        """The number of intended requests, sent or not."""
        return sum(self.counts.values())

    def count(self, *outcomes: Outcome) -> int:
        """Return the number of requests with one of these outcomes."""
        return sum(self.counts.get(outcome, 0) for outcome in outcomes)

    def share_in_aim(self) -> float | None:
        """Return `worth_in_aim` divided by `worth_asked`; None if the latter is 0."""
        return self.worth_in_aim / self.worth_asked if self.worth_asked > 0.0 else None

    def summary(self) -> dict[str, Any]:
        """Return the statistics as JSON values; the keys are part of the report schema."""
        return {
            "asked": self.asked,
            "not_sent": self.count(*NOT_SENT_OUTCOMES),
            "outcomes": {o.name.lower(): self.count(o) for o in Outcome if o is not Outcome.RETRY},
            "worth_asked": round(self.worth_asked, 6),
            "worth_in_aim": round(self.worth_in_aim, 6),
            "share_in_aim": self.share_in_aim(),
            "latency_ms": self.latency.summary(),
        }


class Recorder:
    """Collects all statistics of a run.

    A request belongs to the second of its intended time. A second is closed once no more of its requests can
    end. Its histogram is then reduced to quantiles, so that memory does not grow by a histogram per second.

    Attributes:
        whole: The statistics of all requests.
        service: Durations from the send of the attempt that decided the outcome to the end.
        lag: Durations from the intended time to the send, of requests and of retries.
        classes: The statistics by class.
        tenants: The statistics by tenant.
        statuses: The number of requests by final HTTP status.
        retries: The number of retries sent.
        late_samples: The number of samples of a second that was already closed; 0 unless a worker hung.
    """

    def __init__(self, classes: Sequence[TrafficClass], tenants: Sequence[str]) -> None:
        self._aim_and_worth = [(each.aim_ms * 1e6, each.worth) for each in classes]
        self.whole = OutcomeStats()
        self.service = Histogram()
        self.lag = Histogram()
        self.classes = {each.name: OutcomeStats() for each in classes}
        self.tenants = {name: OutcomeStats() for name in tenants}
        self._by_class = list(self.classes.values())
        self._by_tenant = list(self.tenants.values())
        self._open_seconds: dict[int, OutcomeStats] = {}
        self._closed_seconds: dict[int, dict[str, Any]] = {}
        self.statuses: dict[int, int] = {}
        self.retries = 0
        self.late_samples = 0

    def add(self, sample: Sample) -> None:
        """Add a sample to the statistics of its run, class, tenant and second."""
        outcome = sample.outcome
        if outcome == Outcome.RETRY:
            self.retries += 1
            self.lag.add(sample.lag_ns)
            return
        aim_ns, worth = self._aim_and_worth[sample.class_index]
        is_in_aim = outcome == Outcome.SERVED and sample.latency_ns <= aim_ns
        parts = [self.whole, self._by_class[sample.class_index], self._by_tenant[sample.tenant_index]]
        second = sample.at_us // US_PER_S
        if second in self._closed_seconds:
            self.late_samples += 1
        else:
            parts.append(self._open_seconds.get(second) or self._open_second(second))
        for part in parts:
            part.add(sample, worth, is_in_aim)
        if outcome not in NOT_SENT_OUTCOMES:
            self.lag.add(sample.lag_ns)
        if outcome in TIMED_OUTCOMES:
            self.service.add(sample.service_ns)
        if sample.status:
            self.statuses[sample.status] = self.statuses.get(sample.status, 0) + 1

    def _open_second(self, second: int) -> OutcomeStats:
        self._open_seconds[second] = OutcomeStats()
        return self._open_seconds[second]

    def close_seconds(self, before_s: float | None = None) -> None:
        """Reduce the histograms of seconds that end by `before_s` (None: of all seconds) to quantiles."""
        closed = [s for s in sorted(self._open_seconds) if before_s is None or s + 1 <= before_s]
        for second in closed:
            self._closed_seconds[second] = {"second": second, **self._open_seconds.pop(second).summary()}
        if closed:
            gc.collect()  # each second leaves a histogram of the library, a cycle of some megabytes

    def seconds(self) -> list[dict[str, Any]]:
        """Return the statistics of the closed seconds, in order of time."""
        return [self._closed_seconds[second] for second in sorted(self._closed_seconds)]

    def latest_second(self) -> dict[str, Any] | None:
        """Return the statistics of the latest closed second; None if no second is closed."""
        return self._closed_seconds[max(self._closed_seconds)] if self._closed_seconds else None
