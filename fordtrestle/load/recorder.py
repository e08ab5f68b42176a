"""What came of a run: HDR histograms by class, tenant and second, and the worth served within the aim.

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
from fordtrestle.load.samples import NOT_SENT, TIMED, Outcome, Sample
from fordtrestle.load.spec import TrafficClass

DIGITS = 4
HIGHEST_US = 600 * US_PER_S
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9, "p9999": 99.99, "max": 100.0}
CURVE = (0.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99, 99.999, 100.0)


def library(module: str, extra: str) -> Any:
    """A module of an extra; `MissingLibraryError` where it is missing."""
    try:
        return import_module(module)
    except ImportError:
        name = module.partition(".")[0]
        raise MissingLibraryError(f"{name} is missing: pip install 'fordtrestle[{extra}]'") from None


class Histogram:
    """Durations; reported in milliseconds."""

    def __init__(self) -> None:
        self._counts = library("hdrh.histogram", "load").HdrHistogram(1, HIGHEST_US, DIGITS)

    def add(self, duration_ns: int) -> None:
        """One more; guards against values outside the histogram, which it would leave out silently."""
        self._counts.record_value(min(max(1, duration_ns // 1000), HIGHEST_US))

    @property
    def count(self) -> int:
        """How many there are."""
        return int(self._counts.get_total_count())

    def at(self, percentiles: Sequence[float]) -> list[float | None]:
        """The values in milliseconds at these percentiles; None where nothing was counted."""
        if not self.count:
            return [None] * len(percentiles)
        found = self._counts.get_percentile_to_value_dict(list(percentiles))
        return [found[percentile] / 1000.0 for percentile in percentiles]

    def summary(self) -> dict[str, float | None]:
        """The quantiles that every report has, in milliseconds."""
        return dict(zip(QUANTILES, self.at(list(QUANTILES.values())), strict=True))

    def encoded(self) -> str:
        """The whole of it as HdrHistogram's own text (V2, compressed), to be added to others."""
        return bytes(self._counts.encode()).decode("ascii")


@dataclass(slots=True)
class OutcomeStats:
    """Counts, worth and latency of one part of a run."""

    latency: Histogram = field(default_factory=Histogram)
    counts: dict[int, int] = field(default_factory=dict)
    worth_asked: float = 0.0
    worth_in_aim: float = 0.0

    def add(self, sample: Sample, worth: float, in_aim: bool) -> None:
        """One more request."""
        self.counts[sample.outcome] = self.counts.get(sample.outcome, 0) + 1
        self.worth_asked += worth
        if in_aim:
            self.worth_in_aim += worth
        if sample.outcome in TIMED:
            self.latency.add(sample.latency_ns)

    @property
    def asked(self) -> int:
        """Requests that were meant to be sent."""
        return sum(self.counts.values())

    def count(self, *outcomes: Outcome) -> int:
        """How many ended so."""
        return sum(self.counts.get(outcome, 0) for outcome in outcomes)

    def share_in_aim(self) -> float | None:
        """Worth served within the aim over worth asked for; None where nothing was."""
        return self.worth_in_aim / self.worth_asked if self.worth_asked > 0.0 else None

    def summary(self) -> dict[str, Any]:
        """All of it as JSON values."""
        return {
            "asked": self.asked,
            "not_sent": self.count(*NOT_SENT),
            "outcomes": {o.name.lower(): self.count(o) for o in Outcome if o is not Outcome.RETRY},
            "worth_asked": round(self.worth_asked, 6),
            "worth_in_aim": round(self.worth_in_aim, 6),
            "share_in_aim": self.share_in_aim(),
            "latency_ms": self.latency.summary(),
        }


class Recorder:
    """All statistics of a run. Seconds are of intended times; each is closed once nothing more of it can
    come.
    """

    def __init__(self, classes: Sequence[TrafficClass], tenants: Sequence[str]) -> None:
        self._figures = [(c.aim_ms * 1e6, c.worth) for c in classes]
        self.whole = OutcomeStats()
        self.service = Histogram()
        self.lag = Histogram()
        self.classes = {c.name: OutcomeStats() for c in classes}
        self.tenants = {name: OutcomeStats() for name in tenants}
        self._by_class = list(self.classes.values())
        self._by_tenant = list(self.tenants.values())
        self._seconds: dict[int, OutcomeStats] = {}
        self._rows: dict[int, dict[str, Any]] = {}
        self.statuses: dict[int, int] = {}
        self.retries = 0
        self.tardy = 0  # of seconds that had been closed; 0 unless a worker hung

    def add(self, sample: Sample) -> None:
        """One sample of a worker."""
        outcome = sample.outcome
        if outcome == Outcome.RETRY:
            self.retries += 1
            self.lag.add(sample.lag_ns)
            return
        aim_ns, worth = self._figures[sample.class_index]
        in_aim = outcome == Outcome.SERVED and sample.latency_ns <= aim_ns
        parts = [self.whole, self._by_class[sample.class_index], self._by_tenant[sample.tenant_index]]
        second = sample.at_us // US_PER_S
        if second in self._rows:
            self.tardy += 1
        else:
            parts.append(self._seconds.get(second) or self._open(second))
        for part in parts:
            part.add(sample, worth, in_aim)
        if outcome not in NOT_SENT:
            self.lag.add(sample.lag_ns)
        if outcome in TIMED:
            self.service.add(sample.service_ns)
        if sample.status:
            self.statuses[sample.status] = self.statuses.get(sample.status, 0) + 1

    def _open(self, second: int) -> OutcomeStats:
        self._seconds[second] = OutcomeStats()
        return self._seconds[second]

    def settle(self, before_s: float | None = None) -> None:
        """Close the seconds that end before a time, all for None: their histograms become quantiles."""
        closed = [s for s in sorted(self._seconds) if before_s is None or s + 1 <= before_s]
        for second in closed:
            self._rows[second] = {"second": second, **self._seconds.pop(second).summary()}
        if closed:
            gc.collect()  # guards against megabytes a second: the library's histograms refer to themselves

    def seconds(self) -> list[dict[str, Any]]:
        """The seconds that are closed, in order."""
        return [self._rows[second] for second in sorted(self._rows)]

    def latest(self) -> dict[str, Any] | None:
        """The last second that is closed."""
        return self._rows[max(self._rows)] if self._rows else None
