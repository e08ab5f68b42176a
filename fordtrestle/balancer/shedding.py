"""Load shedding: in an overload, requests of least value per unit of work are refused first. Pure.

The overload is measured by the slowdown: the ratio of the time that answers take to their baseline. The
admitted share is a power of it. No other state is kept, so that shedding ends when its cause ends
(`docs/design/lock-in.md`).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Cause

# Slowdowns, as multiples of the baseline.
OVERLOAD_SLOWDOWN = 2.0  # everything is admitted up to this: well utilized servers queue a little
ADMITTED_POWER = 3.0  # of OVERLOAD_SLOWDOWN / slowdown; with a lower power a standing overload remained
UNANSWERED_SLOWDOWN = 8.0  # of a rejection, and the maximum of an attempt past its latency target
MIN_OVERLOAD_SLOWDOWN = 1.4  # lower values are caused by lost answers and hung servers, not by overload

# Consecutive attempts that pass their latency targets without any answer.
CHANCE_OVERDUE = 1.0  # may be chance
OVERLOAD_OVERDUE = 4.0  # show an overload

SLOWDOWN_GAIN = 0.1  # minimum weight of the latest outcome in the mean
SLOWDOWN_MEMORY_MS = 2000.0  # time constant if outcomes are few, in which case they weigh more
NO_OUTCOME_MS = 500.0  # after longer without an outcome the slowdown decays: refusals are no evidence
MIN_SHED_SHARE = 0.1  # a smaller share of the work is attributed to chance and not shed

MIX_MEMORY = 0.98  # share of the mix that is kept at each arrival: it covers about the last fifty
MIN_ARRIVALS = 10.0  # fewer are no evidence of a tenant's share


@dataclass(slots=True)
class MixEntry:
    """The recent requests of one class, within or over their tenants' shares; decays with each arrival."""

    work: float = 0.0
    value: float = 0.0


class LoadShedder:
    """Computes the probability of refusing a request, from its class and its tenant's share.

    A tenant's allowance applies to the whole fleet, so its part of this sidecar's arrivals is compared with
    its part of all allowances.

    Attributes:
        pressure: The share of the work to refuse because this sidecar itself is overloaded.
    """

    def __init__(self, settings: model.Settings) -> None:
        self._arrivals_by_tenant: list[float] = []
        self._arrivals = 0.0
        self._mix: dict[tuple[int, bool], MixEntry] = {}  # by class and whether over the share
        self._slowdown = 1.0  # mean of all outcomes
        self._slowdown_at = 0.0
        self._answers_slowdown = 1.0  # mean of answers alone
        self._overdue_count = 0  # attempts that passed their latency targets since the last answer
        self.pressure = 0.0
        self._requested_share = 0.0  # share of the work to refuse, by the last `refusal_chance`
        self._priority_weights: object = None
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings; the mix is discarded if priority weights change."""
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
        self, traffic_class: int, priority_weight: float, work: float, tenant: int, sample: float
    ) -> bool:
        """Count an arrival.

        Args:
            traffic_class: The request's class.
            priority_weight: The value of a request of the class, or of a unit of its work.
            work: The request's units of work.
            tenant: The request's tenant; a tenant without an allowance has no share to exceed.
            sample: A random number in [0, 1), which selects the arrivals that count as over the share.

        Returns:
            Whether the request counts as over its tenant's share.
        """
        is_over_share = False
        self._arrivals = self._arrivals * MIX_MEMORY + 1.0
        if tenant < len(self._tenant_shares):
            self._arrivals_by_tenant = [arrivals * MIX_MEMORY for arrivals in self._arrivals_by_tenant]
            self._arrivals_by_tenant[tenant] += 1.0
            within_share = self._tenant_shares[tenant] * self._arrivals / self._arrivals_by_tenant[tenant]
            is_over_share = self._arrivals >= MIN_ARRIVALS and sample > within_share
        value = priority_weight * (self._over_share_weight if is_over_share else 1.0)
        mix = self._mix
        for entry in mix.values():
            entry.work *= MIX_MEMORY
            entry.value *= MIX_MEMORY
        class_entry = mix.get((traffic_class, is_over_share))
        if class_entry is None:
            class_entry = mix[traffic_class, is_over_share] = MixEntry()
        class_entry.work += work
        class_entry.value += value * (work if self._is_value_by_work else 1.0)
        return is_over_share

    def record_outcome(self, now: float, slowdown: float, is_answer: bool = False) -> None:
        """Record an outcome; a few lost or hung attempts have only the weight of their share."""
        slowdown = min(UNANSWERED_SLOWDOWN, slowdown)
        if is_answer:
            self._answers_slowdown += SLOWDOWN_GAIN * (slowdown - self._answers_slowdown)
            self._overdue_count = 0
        gain = max(SLOWDOWN_GAIN, 1.0 - math.exp((self._slowdown_at - now) / SLOWDOWN_MEMORY_MS))
        self._slowdown += gain * (slowdown - self._slowdown)
        self._slowdown_at = now

    def record_unanswered(self, now: float) -> None:
        """Record an attempt past its latency target; it weighs more if answers are slow or missing."""
        self._overdue_count += 1
        by_overdue = (self._overdue_count - CHANCE_OVERDUE) / (OVERLOAD_OVERDUE - CHANCE_OVERDUE)
        by_answers = (self._answers_slowdown - 1.0) / (MIN_OVERLOAD_SLOWDOWN - 1.0)
        overload = min(1.0, max(by_answers, by_overdue))
        self.record_outcome(now, 1.0 + (UNANSWERED_SLOWDOWN - 1.0) * overload)

    def slowdown(self, now: float) -> float:
        """Return the ratio of the time that answers take to their baseline; 1 if outcomes are long past."""
        trust = math.exp(min(0.0, (self._slowdown_at + NO_OUTCOME_MS - now) / SLOWDOWN_MEMORY_MS))
        return 1.0 + (self._slowdown - 1.0) * trust

    def level(self, now: float) -> float:
        """Return the share of the work to refuse, from 0 to 1."""
        return max(0.0, 1.0 - math.pow(OVERLOAD_SLOWDOWN / self.slowdown(now), ADMITTED_POWER))

    def refusal_chance(
        self, now: float, throttle_share: float, traffic_class: int, is_over_share: bool
    ) -> float:
        """Return the probability of refusing this kind of request, so that the necessary share is shed.

        Requests over their tenant's share are refused first, then the classes of least value per unit of
        work.

        Args:
            now: The time in ms.
            throttle_share: The share that the throttle asks for; level and pressure may ask for more.
            traffic_class: The request's class.
            is_over_share: Whether the request is over its tenant's share.
        """
        self._requested_share = share = max(throttle_share, self.level(now) - MIN_SHED_SHARE, self.pressure)
        if share <= 0.0:
            return 0.0
        mix = self._mix
        work_to_refuse = share * sum(entry.work for entry in mix.values())
        order = sorted(
            (not is_over, entry.value / entry.work, class_index)
            for (class_index, is_over), entry in mix.items()
        )
        within_share = [class_index for is_within, _, class_index in order if is_within]
        for _, _, class_index in order[: len(order) - len(within_share)]:
            work = mix[class_index, True].work
            if class_index == traffic_class and is_over_share:
                return work_to_refuse / work
            work_to_refuse -= work
            if work_to_refuse <= 0.0:
                return 0.0
        return self._chance_within_shares(
            within_share, work_to_refuse, None if is_over_share else traffic_class
        )

    def _chance_within_shares(
        self, classes: list[int], work_to_refuse: float, traffic_class: int | None
    ) -> float:
        """Return the probability for a class if `work_to_refuse` is taken from these classes.

        The work is taken evenly from the first few classes. Their number is the one with the least cost by
        the goal, which counts both the lost value and the worst class.

        Args:
            classes: The classes within their shares, that of least value per unit of work first.
            work_to_refuse: The work to refuse, in the units of the mix.
            traffic_class: The request's class; None if the request is over its tenant's share.
        """
        value_of_all = sum(entry.value for entry in self._mix.values()) or 1.0  # all may have no value
        chance, least_cost, taken_work, lost_value = 0.0, math.inf, 0.0, 0.0
        is_among_taken = False
        for class_index in classes:
            entry = self._mix[class_index, False]
            taken_work += entry.work
            lost_value += entry.value
            is_among_taken = is_among_taken or class_index == traffic_class
            share = work_to_refuse / taken_work
            cost = share * ((1.0 - self._worst_class) * lost_value / value_of_all + self._worst_class)
            if cost < least_cost and (share <= 1.0 or class_index == classes[-1]):
                least_cost, chance = cost, share if is_among_taken else 0.0
        return chance

    def cause(self, throttle_share: float) -> Cause:
        """Return which of throttle, level and pressure asked for most in the last `refusal_chance`."""
        if self._requested_share == self.pressure:
            return Cause.PRESSURE
        return Cause.THROTTLE if self._requested_share == throttle_share else Cause.SHED
