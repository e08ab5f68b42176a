"""Statistics of a run: HDR histograms by class, tenant and second, and the worth served within the aim.

Needs the extra `load` (hdrhistogram), which is imported when the first histogram is made. Histograms hold
microseconds with four significant digits; adding samples of any number of workers is exact.
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

SIGNIFICANT_DIGITS = 4  # an error below 0.01%, for 2.4 MB a histogram
MAX_DURATION_US = 600 * US_PER_S  # ten times the longest budget
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9, "p9999": 99.99, "max": 100.0}
CURVE_PERCENTILES = (0.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99, 99.999, 100.0)


def import_library(module: str, extra: str) -> Any:
    """Import a module of an optional dependency.

    Args:
        module: Its full name.
        extra: The extra of this package that installs it.

    Raises:
        MissingLibraryError: It is not installed.
    """
    try:
        return import_module(module)
    except ImportError:
        name = module.partition(".")[0]
        raise MissingLibraryError(f"{name} is missing: pip install 'fordtrestle[{extra}]'") from None


class Histogram:
    """A histogram of durations; they are added in nanoseconds and reported in milliseconds."""

    def __init__(self) -> None:
        self._counts = import_library("hdrh.histogram", "load").HdrHistogram(
            1, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )

    def add(self, duration_ns: int) -> None:
        """Add a duration; one out of range counts at its end, since the library would drop it silently."""
        self._counts.record_value(min(max(1, duration_ns // 1000), MAX_DURATION_US))

    @property
    def count(self) -> int:
        """The number of durations."""
        return int(self._counts.get_total_count())

    def percentiles_ms(self, percentiles: Sequence[float]) -> list[float | None]:
        """The durations at these percentiles (0 to 100), in milliseconds; None where there are none."""
        if not self.count:
            return [None] * len(percentiles)
        found = self._counts.get_percentile_to_value_dict(list(percentiles))
        return [found[percentile] / 1000.0 for percentile in percentiles]

    def summary(self) -> dict[str, float | None]:
        """The quantiles of `QUANTILES` by their names, in milliseconds."""
        return dict(zip(QUANTILES, self.percentiles_ms(list(QUANTILES.values())), strict=True))

    def encode(self) -> str:
        """The histogram as HdrHistogram's own text (V2, compressed), which can be added to others."""
        return bytes(self._counts.encode()).decode("ascii")


@dataclass(slots=True)
class OutcomeStats:
    """Outcomes, worth and latency of one part of a run.

    Attributes:
        latency: From the intended time to the end, of requests whose outcome is in `TIMED_OUTCOMES`.
        counts: The number of requests by outcome.
        worth_asked: The sum of the worth of all requests.
        worth_in_aim: The sum of the worth of those that were served within the aim.
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
        """The number of requests that were intended."""
        return sum(self.counts.values())

    def count(self, *outcomes: Outcome) -> int:
        """The number of requests with one of these outcomes."""
        return sum(self.counts.get(outcome, 0) for outcome in outcomes)

    def share_in_aim(self) -> float | None:
        """Worth served within the aim over worth asked for; None where none was asked for."""
        return self.worth_in_aim / self.worth_asked if self.worth_asked > 0.0 else None

    def summary(self) -> dict[str, Any]:
        """All of it as JSON values; the keys are the report's."""
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
    """All statistics of a run.

    Requests belong to the second of their intended time. A second is closed once no more of its requests can
    end: its histogram is then reduced to quantiles, so that memory does not grow with the run.

    Attributes:
        whole: Of all requests.
        service: From the send of the last attempt to the end.
        lag: From the intended time to the send, also of retries.
        classes: By class.
        tenants: By tenant.
        statuses: The number of responses by HTTP status.
        retries: Retries that were sent.
        late_samples: Samples of seconds that had been closed; 0 unless a worker hung.
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
        self._seconds: dict[int, OutcomeStats] = {}
        self._rows: dict[int, dict[str, Any]] = {}
        self.statuses: dict[int, int] = {}
        self.retries = 0
        self.late_samples = 0

    def add(self, sample: Sample) -> None:
        """Add a sample of a worker."""
        outcome = sample.outcome
        if outcome == Outcome.RETRY:
            self.retries += 1
            self.lag.add(sample.lag_ns)
            return
        aim_ns, worth = self._aim_and_worth[sample.class_index]
        is_in_aim = outcome == Outcome.SERVED and sample.latency_ns <= aim_ns
        parts = [self.whole, self._by_class[sample.class_index], self._by_tenant[sample.tenant_index]]
        second = sample.at_us // US_PER_S
        if second in self._rows:
            self.late_samples += 1
        else:
            parts.append(self._seconds.get(second) or self._open_second(second))
        for part in parts:
            part.add(sample, worth, is_in_aim)
        if outcome not in NOT_SENT_OUTCOMES:
            self.lag.add(sample.lag_ns)
        if outcome in TIMED_OUTCOMES:
            self.service.add(sample.service_ns)
        if sample.status:
            self.statuses[sample.status] = self.statuses.get(sample.status, 0) + 1

    def _open_second(self, second: int) -> OutcomeStats:
        self._seconds[second] = OutcomeStats()
        return self._seconds[second]

    def close_seconds(self, before_s: float | None = None) -> None:
        """Reduce the histograms of seconds that end by `before_s` (None: of all) to quantiles."""
        closed = [s for s in sorted(self._seconds) if before_s is None or s + 1 <= before_s]
        for second in closed:
            self._rows[second] = {"second": second, **self._seconds.pop(second).summary()}
        if closed:
            gc.collect()  # the library's histograms are cycles of some megabytes each, one a second

    def seconds(self) -> list[dict[str, Any]]:
        """The statistics of the closed seconds, in order."""
        return [self._rows[second] for second in sorted(self._rows)]

    def latest_second(self) -> dict[str, Any] | None:
        """The statistics of the last closed second; None: no second is closed."""
        return self._rows[max(self._rows)] if self._rows else None
