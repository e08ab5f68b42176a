"""Load shedding: while servers are overloaded, what is worth least per unit of work is refused first. Pure.

How overloaded the service is shows in how many times longer than their baseline answers take. What is
admitted is a power of that; nothing else is kept, so that shedding ends with its cause
(`docs/design/lock-in.md`).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Cause

# Slowdowns: times the baseline that answers take.
OVERLOAD_SLOWDOWN = 2.0  # up to here everything is admitted: servers queue a little when they are well used
ADMITTED_POWER = 3.0  # admitted is (OVERLOAD_SLOWDOWN / slowdown) to this: gentler left a standing overload
UNANSWERED_SLOWDOWN = 8.0  # that a rejection counts as, and at the most what is out past its latency target
MIN_OVERLOAD_SLOWDOWN = 1.4  # more shows an overload; less are lost answers and hung servers

# Attempts out past their latency targets, in a row without an answer.
CHANCE_MISSES = 1.0  # so many may be chance
OVERLOAD_MISSES = 4.0  # so many show an overload

SLOWDOWN_GAIN = 0.1  # weight of the newest outcome in the mean
SLOWDOWN_MEMORY_MS = 2000.0  # where outcomes are few they weigh more: what was is forgotten in so long
NO_OUTCOME_MS = 500.0  # with no outcome for longer, an overload is doubted: a refusal is no evidence
MIN_SHED_SHARE = 0.1  # a smaller share of the work is chance trouble and sheds nothing

MIX_MEMORY = 0.98  # kept of the mix at each arrival: it is that of about the last fifty
MIN_ARRIVALS = 10.0  # fewer are no evidence of a tenant's share


@dataclass(slots=True)
class MixEntry:
    """What was asked of late of one class, within or past its tenants' shares; fades with each arrival."""

    work: float = 0.0
    value: float = 0.0


class LoadShedder:
    """Works out the chance with which a request is refused, by its class and its tenant's share.

    A tenant's allowance is of the whole fleet: its part of this sidecar's arrivals is held against its part
    of all allowances.

    Attributes:
        pressure: The share of the work that is to go since this sidecar itself is pressed.
    """

    def __init__(self, settings: model.Settings) -> None:
        self._arrivals_by_tenant: list[float] = []
        self._arrivals = 0.0
        self._mix: dict[tuple[int, bool], MixEntry] = {}  # by class, and whether past its tenant's share
        self._slowdown = 1.0  # mean of outcomes
        self._slowdown_at = 0.0
        self._answers_slowdown = 1.0  # mean of answers alone
        self._misses = 0  # out past their latency targets since the last answer
        self.pressure = 0.0
        self._asked_share = 0.0  # of the work, by the last `refusal_chance`
        self._priority_weights: object = None
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Go by these settings; the mix is forgotten where they tell of other priority weights."""
        self._is_value_by_work = settings.worth_by_work
        self._over_share_weight = settings.over_share_worth
        self._worst_class = settings.worst_class
        all_allowances = sum(settings.allowances) or 1.0
        self._tenant_shares = [allowance / all_allowances for allowance in settings.allowances]
        self._arrivals_by_tenant += [0.0] * (len(self._tenant_shares) - len(self._arrivals_by_tenant))
        by_class = [profile.worth for profile in settings.profiles]
        weights = self._is_value_by_work, self._over_share_weight, by_class
        if weights != self._priority_weights:
            self._mix, self._priority_weights = {}, weights

    def on_arrival(
        self, traffic_class: int, priority_weight: float, work: float, tenant: int, luck: float
    ) -> bool:
        """Count an arrival.

        Args:
            traffic_class: Its class.
            priority_weight: What a request of the class is worth, or a unit of its work.
            work: Units of work that it asks for.
            tenant: Whose it is; a tenant without an allowance has no share to be past.
            luck: A random number from 0 to 1, which picks the arrivals that are past a share.

        Returns:
            Whether it is held to be past its tenant's share.
        """
        is_over_share = False
        self._arrivals = self._arrivals * MIX_MEMORY + 1.0
        if tenant < len(self._tenant_shares):
            self._arrivals_by_tenant = [arrivals * MIX_MEMORY for arrivals in self._arrivals_by_tenant]
            self._arrivals_by_tenant[tenant] += 1.0
            within_share = self._tenant_shares[tenant] * self._arrivals / self._arrivals_by_tenant[tenant]
            is_over_share = self._arrivals >= MIN_ARRIVALS and luck > within_share
        value = priority_weight * (self._over_share_weight if is_over_share else 1.0)
        mix = self._mix
        for entry in mix.values():
            entry.work *= MIX_MEMORY
            entry.value *= MIX_MEMORY
        found = mix.get((traffic_class, is_over_share))
        if found is None:
            found = mix[traffic_class, is_over_share] = MixEntry()
        found.work += work
        found.value += value * (work if self._is_value_by_work else 1.0)
        return is_over_share

    def record_outcome(self, now: float, slowdown: float, is_answer: bool = False) -> None:
        """Take in an outcome: a few that are lost, or hang, speak by their share only."""
        slowdown = min(UNANSWERED_SLOWDOWN, slowdown)
        if is_answer:
            self._answers_slowdown += SLOWDOWN_GAIN * (slowdown - self._answers_slowdown)
            self._misses = 0
        gain = max(SLOWDOWN_GAIN, 1.0 - math.exp((self._slowdown_at - now) / SLOWDOWN_MEMORY_MS))
        self._slowdown += gain * (slowdown - self._slowdown)
        self._slowdown_at = now

    def record_unanswered(self, now: float) -> None:
        """Take in an attempt out past its latency target: it weighs as answers are slow, or none come."""
        self._misses += 1
        by_misses = (self._misses - CHANCE_MISSES) / (OVERLOAD_MISSES - CHANCE_MISSES)
        by_answers = (self._answers_slowdown - 1.0) / (MIN_OVERLOAD_SLOWDOWN - 1.0)
        overload = min(1.0, max(by_answers, by_misses))
        self.record_outcome(now, 1.0 + (UNANSWERED_SLOWDOWN - 1.0) * overload)

    def slowdown(self, now: float) -> float:
        """How many times longer than their baseline answers take."""
        trust = math.exp(min(0.0, (self._slowdown_at + NO_OUTCOME_MS - now) / SLOWDOWN_MEMORY_MS))
        return 1.0 + (self._slowdown - 1.0) * trust

    def level(self, now: float) -> float:
        """The share of the work that is to go, from 0 to 1."""
        return max(0.0, 1.0 - math.pow(OVERLOAD_SLOWDOWN / self.slowdown(now), ADMITTED_POWER))

    def refusal_chance(self, now: float, drop: float, traffic_class: int, is_over_share: bool) -> float:
        """The chance of refusing this kind of request, so that the share of the work goes that has to.

        What is past a tenant's share goes first, then the classes of least value per unit of work.

        Args:
            now: The time in ms.
            drop: The share that the throttle asks for; the level and the pressure may ask for more.
            traffic_class: The request's class.
            is_over_share: Whether the request is past its tenant's share.
        """
        self._asked_share = share = max(drop, self.level(now) - MIN_SHED_SHARE, self.pressure)
        if share <= 0.0:
            return 0.0
        mix = self._mix
        need = share * sum(entry.work for entry in mix.values())
        order = sorted((not over, entry.value / entry.work, kind) for (kind, over), entry in mix.items())
        within_share = [kind for is_within, _, kind in order if is_within]
        for _, _, kind in order[: len(order) - len(within_share)]:
            work = mix[kind, True].work
            if kind == traffic_class and is_over_share:
                return need / work
            need -= work
            if need <= 0.0:
                return 0.0
        return self._chance_within_shares(within_share, need, None if is_over_share else traffic_class)

    def _chance_within_shares(self, classes: list[int], need: float, traffic_class: int | None) -> float:
        """The chance for a class where `need` work has to go from these, that of least value first.

        From how many of them it is taken, evenly, is weighed by the goal, which counts the worst class too.
        """
        value_of_all = sum(entry.value for entry in self._mix.values()) or 1.0  # classes may be worth nothing
        chance, least_cost, taken_work, lost_value = 0.0, math.inf, 0.0, 0.0
        is_among_taken = False
        for kind in classes:
            entry = self._mix[kind, False]
            taken_work += entry.work
            lost_value += entry.value
            is_among_taken = is_among_taken or kind == traffic_class
            part = need / taken_work
            cost = part * ((1.0 - self._worst_class) * lost_value / value_of_all + self._worst_class)
            if cost < least_cost and (part <= 1.0 or kind == classes[-1]):
                least_cost, chance = cost, part if is_among_taken else 0.0
        return chance

    def cause(self, drop: float) -> Cause:
        """Which of throttle, level and pressure the last `refusal_chance` went by: it asked for the most."""
        if self._asked_share == self.pressure:
            return Cause.PRESSURE
        return Cause.THROTTLE if self._asked_share == drop else Cause.SHED
