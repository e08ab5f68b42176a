"""Service times: how long answers take per unit of work, and how long they take without overload. Pure.

A *pace* is the time per unit of work of a server, of its kind or of the service. Without evidence of its own,
a server is taken to have the pace of its kind, and a kind that of the service. The *baseline* of a class
follows its pace, and follows slower answers late, so that an overload is not taken for normal.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from fordtrestle.balancer import model

PACE_ANSWERS = 50.0  # a pace covers about as many of the latest answers,
PACE_MEMORY_MS = 4000.0  # or this time, if it has more answers: else one heavy request skews the selection
PACE_PRIOR_ANSWERS = 6.0  # weight of the wider pace, in answers: a server's first few answers are chance
PACE_POWER = 2.5  # how strongly slow servers are avoided: proportional shares gave them the longest queues
MIN_SPEED = 0.2  # every server still gets enough requests to show that it has become faster
MAX_SPEED = 1.6  # bounds how many candidates the selection rejects

BASELINE_RISE_MS = 120_000.0  # time constant for a service that has become permanently slower
BASELINE_FALL_MS = 10_000.0  # and for one that has become faster: a few quick answers may be chance
BASELINE_ANSWERS = 20  # the baseline equals the pace for as many first answers of a class
MIN_BASELINE, MAX_BASELINE = 0.1, 0.35  # of the latency target; a far faster service has spare capacity

MEAN_WORK_GAIN = 0.05  # weight of the latest request's work in the mean


@dataclass(slots=True, eq=False)
class Pace:
    """The time that work takes, averaged with exponentially decreasing weights."""

    spent_ms: float = 0.0
    work: float = 0.0
    speed: float = 1.0  # resulting share of requests, relative to that of the wider pace

    def add(self, spent_ms: float, work: float, answers: float) -> None:
        """Record an answer; `answers` is the number of answers that arrive in `PACE_MEMORY_MS`."""
        kept = 1.0 - 1.0 / max(PACE_ANSWERS, answers)
        self.spent_ms = self.spent_ms * kept + spent_ms
        self.work = self.work * kept + work

    def ms_per_work(self, prior_ms_per_work: float, prior_work: float) -> float:
        """Return the ms per unit of work, with a prior estimate that weighs `prior_work` units of work."""
        return (self.spent_ms + prior_ms_per_work * prior_work) / (self.work + prior_work)


@dataclass(slots=True, eq=False)
class Baseline(Pace):
    """The pace of a class, and its pace without overload."""

    baseline: float = 0.0  # ms per unit of work; 0 before the first answer
    learned_at: float = 0.0
    answers: int = 0

    def record_answer(
        self, now: float, spent_ms: float, work: float, answers: float, target_per_work: float
    ) -> None:
        """Record an answer; the baseline rises slowly, so that an overload does not become the baseline.

        Args:
            now: The time in ms.
            spent_ms: How long the answer took, in ms.
            work: Units of work of the request.
            answers: How many answers arrive in `PACE_MEMORY_MS`.
            target_per_work: The class's latency target in ms per unit of work, which bounds the baseline.
        """
        self.add(spent_ms, work, answers)
        pace = self.ms_per_work(0.0, 0.0)
        span_ms = BASELINE_RISE_MS if pace > self.baseline else BASELINE_FALL_MS
        kept = math.exp((self.learned_at - now) / span_ms) if self.answers >= BASELINE_ANSWERS else 0.0
        followed = min(MAX_BASELINE * target_per_work, self.baseline * kept + pace * (1.0 - kept))
        self.baseline = max(MIN_BASELINE * target_per_work, followed)
        self.learned_at = now
        self.answers += 1

    def slowdown(self, spent_ms: float, work: float) -> float:
        """Return the ratio of an attempt's time to the baseline; infinite before the first answer."""
        return spent_ms / (self.baseline * work) if self.baseline else math.inf


class ServiceTimes:
    """The paces of the service and of each kind of server, and the baseline of each class.

    Attributes:
        service: The pace of the whole service.
        baselines: The baseline of each class, in the order of the settings.
        mean_work: The exponentially weighted mean of the units of work of a request; 0 before the first.
    """

    def __init__(self, settings: model.Settings) -> None:
        self.service = Pace()
        self.baselines: list[Baseline] = []
        self.mean_work = 0.0
        self._kinds: dict[int, Pace] = {}
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Add baselines for new classes."""
        self.baselines += [Baseline() for _ in settings.profiles[len(self.baselines) :]]

    def kind_pace(self, kind: int) -> Pace:
        """Return the pace of a kind of server."""
        return self._kinds.setdefault(kind, Pace())

    def record_work(self, work: float) -> None:
        """Record the units of work of a request."""
        gain = MEAN_WORK_GAIN if self.mean_work else 1.0
        self.mean_work += gain * (work - self.mean_work)

    def typical_ms(self) -> float:
        """Return the typical time of an answer in ms; 0 before the first answer."""
        return self.mean_work * self.service.ms_per_work(0.0, 0.0) if self.service.work else 0.0

    def expected_ms(self, work: float) -> float:
        """Return the typical time of this many units of work in ms; 0 before the first answer."""
        return work * self.service.ms_per_work(0.0, 0.0) if self.service.work else 0.0

    def record_answer(
        self, server: Pace, kind: Pace, spent_ms: float, work: float, answers: float, servers: float
    ) -> None:
        """Record an answer, and adjust the shares of requests of the server and of its kind.

        Args:
            server: The pace of the server that answered.
            kind: The pace of its kind.
            spent_ms: How long the answer took, in ms.
            work: Units of work of the request.
            answers: How many answers arrive in `PACE_MEMORY_MS` from all servers.
            servers: How many servers give these answers.
        """
        for pace, sharing in ((self.service, 1.0), (kind, len(self._kinds)), (server, servers)):
            pace.add(spent_ms, work, answers / sharing)
        prior_work = PACE_PRIOR_ANSWERS * self.mean_work
        of_service = self.service.ms_per_work(0.0, 0.0)
        of_kind = kind.ms_per_work(of_service, prior_work)
        kind.speed = max(MIN_SPEED, (of_service / of_kind) ** PACE_POWER)
        server.speed = max(MIN_SPEED, (of_kind / server.ms_per_work(of_kind, prior_work)) ** PACE_POWER)
