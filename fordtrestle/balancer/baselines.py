"""Service times: how long answers take per unit of work, and how long where nothing is overloaded. Pure.

A *pace* is time per unit of work, of a server, of its kind or of the service. Until there is evidence, a
server is held to its kind's, and that to the service's. A class's *baseline* follows its pace, slower answers
late: an overload must not pass for what is normal.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from fordtrestle.balancer import model

PACE_ANSWERS = 50.0  # a pace is that of about so many last answers
PACE_MEMORY_MS = 4000.0  # or of so long, where that is more: else one heavy request turns all draws
PACE_PRIOR_ANSWERS = 6.0  # answers' worth of belief in the wider figure: a server's first few are chance
PACE_POWER = 2.5  # how strongly draws shun the slow: a proportional share left them with the longest queues
MIN_SPEED = 0.2  # nothing is shunned so far that it cannot show that it is better
MAX_SPEED = 1.6  # bounds what a draw may turn down

BASELINE_RISE_MS = 120_000.0  # in which a baseline follows a service that has become slower for good,
BASELINE_FALL_MS = 10_000.0  # and a quicker one: a few quick answers by chance are not the baseline
BASELINE_ANSWERS = 20  # the first ones of a class are taken as they come
MIN_BASELINE, MAX_BASELINE = 0.1, 0.35  # of the latency target: what is far quicker has capacity left

MEAN_WORK_GAIN = 0.05  # weight of the newest request's work in the mean


@dataclass(slots=True, eq=False)
class Pace:
    """Time taken for the work asked, with the newest evidence weighing most."""

    spent_ms: float = 0.0
    work: float = 0.0
    speed: float = 1.0  # share of the draws that follows from it; 1 is the wider figure's

    def add(self, spent_ms: float, work: float, answers: float) -> None:
        """Take in an answer, where so many come in `PACE_MEMORY_MS`."""
        kept = 1.0 - 1.0 / max(PACE_ANSWERS, answers)
        self.spent_ms = self.spent_ms * kept + spent_ms
        self.work = self.work * kept + work

    def ms_per_work(self, wider: float, belief: float) -> float:
        """Time per unit of work, leaning on a wider figure by `belief` units of work."""
        return (self.spent_ms + wider * belief) / (self.work + belief)


@dataclass(slots=True, eq=False)
class Baseline(Pace):
    """A class's pace, and what it is where nothing is overloaded."""

    baseline: float = 0.0  # ms per unit of work; 0 before the first answer
    learned_at: float = 0.0
    answers: int = 0

    def record_answer(
        self, now: float, spent_ms: float, work: float, answers: float, target_per_work: float
    ) -> None:
        """Follow an answer; slower ones late: an overload must not pass for the baseline.

        Args:
            now: The time in ms.
            spent_ms: How long the answer took.
            work: Units of work that were asked for.
            answers: How many answers come in `PACE_MEMORY_MS`.
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
        """How many times longer than the baseline an attempt took; infinite while that is not known."""
        return spent_ms / (self.baseline * work) if self.baseline else math.inf


class ServiceTimes:
    """The paces of the service and of its kinds of server, and the baselines of the classes.

    Attributes:
        service: The whole service's pace.
        baselines: Each class's, in the order of the settings' classes.
        mean_work: Units of work of a request, the newest weighing most; 0 before the first.
    """

    def __init__(self, settings: model.Settings) -> None:
        self.service = Pace()
        self.baselines: list[Baseline] = []
        self.mean_work = 0.0
        self._kinds: dict[int, Pace] = {}
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Have a baseline for each class."""
        self.baselines += [Baseline() for _ in settings.profiles[len(self.baselines) :]]

    def kind_pace(self, kind: int) -> Pace:
        """The pace of a kind of server."""
        return self._kinds.setdefault(kind, Pace())

    def record_work(self, work: float) -> None:
        """Take in the work that a request asks for."""
        gain = MEAN_WORK_GAIN if self.mean_work else 1.0
        self.mean_work += gain * (work - self.mean_work)

    def typical_ms(self) -> float:
        """The time that an answer usually takes; 0 before the first."""
        return self.mean_work * self.service.ms_per_work(0.0, 0.0) if self.service.work else 0.0

    def expected_ms(self, work: float) -> float:
        """The time that so much work usually takes; 0 before the first answer."""
        return work * self.service.ms_per_work(0.0, 0.0) if self.service.work else 0.0

    def record_answer(
        self, server: Pace, kind: Pace, spent_ms: float, work: float, answers: float, servers: float
    ) -> None:
        """Move a server's share of the draws by how it and its kind keep pace.

        Args:
            server: The pace of the server that answered.
            kind: The pace of its kind.
            spent_ms: How long it took.
            work: Units of work that were asked for.
            answers: How many answers come in `PACE_MEMORY_MS` from all servers.
            servers: How many servers share them.
        """
        for pace, sharing in ((self.service, 1.0), (kind, len(self._kinds)), (server, servers)):
            pace.add(spent_ms, work, answers / sharing)
        belief = PACE_PRIOR_ANSWERS * self.mean_work
        of_service = self.service.ms_per_work(0.0, 0.0)
        of_kind = kind.ms_per_work(of_service, belief)
        kind.speed = max(MIN_SPEED, (of_service / of_kind) ** PACE_POWER)
        server.speed = max(MIN_SPEED, (of_kind / server.ms_per_work(of_kind, belief)) ** PACE_POWER)
