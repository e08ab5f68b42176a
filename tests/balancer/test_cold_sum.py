"""A whole fleet's sends to cold servers, in virtual time: what settings allow, and no less than is due."""

from __future__ import annotations

import pytest

from benchmarks.cold_sum import play
from fordtrestle.balancer import Balancer, Settings
from fordtrestle.balancer.model import Arrival, Listing, Send
from tests.balancer.helpers import listing, of_type, raw_settings


# Seeds on which each sidecar's own budget of at least one call added up to more than is borne, and for
# five sidecars, which never did, the worst of ten.
@pytest.mark.parametrize(
    ("row", "sidecars", "seed", "full_rate"),
    [("leave", 5, 1, 8.0), ("few", 30, 8, 2.0), ("few", 200, 6, 2.0), ("leave", 200, 3, 8.0)],
)
def test_a_fleet_together_sends_a_cold_server_what_it_bears_also_where_few_are_left(
    row, sidecars, seed, full_rate
):
    figures = play(row, Balancer, sidecars, seed, full_rate)
    assert figures.over <= 0.0
    assert figures.flow > 0.2  # it is used all the same


@pytest.mark.parametrize("sidecars", [5, 30, 200])
def test_a_cold_server_gets_its_natural_share_on_a_calm_day_whatever_the_number_of_sidecars(sidecars):
    # With budgets of whole calls, sidecars that ask little hardly ever had one: a third of it.
    # Runs of five differ by half (0.45 to 1.05), so that two of them say little: eight are played.
    seeds = range(1, 9) if sidecars == 5 else (1, 2)
    runs = [play("one", Balancer, sidecars, seed, 8.0) for seed in seeds]
    assert sum(run.flow for run in runs) / len(runs) > 0.7
    assert all(run.over <= 0.0 for run in runs)


def test_the_oracle_of_the_fleets_sum_can_fail():
    class Careless(Balancer):
        def __init__(self, *made):
            super().__init__(*made)
            self._slow_start.admits = lambda *_: True

        def outcome(self, *told, **more):
            self._shedder.record_outcome = lambda *_: None  # shedding alone holds this fleet back in time
            return super().outcome(*told, **more)

    assert play("few", Careless, 200, 1, 8.0).over > 0.0


def test_an_outage_ends_by_trials_though_all_servers_are_back_cold():
    rules = {"ColdFrom": 0.3, "WarmUp": 8000.0, "FallMultiple": 3.0, "OverloadFor": 2000.0}
    sent = 0
    for seed in range(20):
        made = Balancer(0.0, Settings.parse(raw_settings("safe", Rules=rules)), seed)
        made.server_list(0.0, "all", listing(6))
        number = 0
        for step in range(60):  # nothing is accepted
            number += 1
            now = 20.0 * step
            for send in of_type(made.request(now, Arrival(number, 0, now + 1000.0)), Send):
                assert send.request == number
                for hop in range(4):
                    made.outcome(now + 1.0 + hop, number, hop, 4, 1.0)
        made.server_list(1300.0, "all", [Listing(f"s{i}", started=1300.0) for i in range(6)])
        for step in range(3):
            number += 1
            now = 1310.0 + 30.0 * step
            sent += len(of_type(made.request(now, Arrival(number, 0, now + 1000.0)), Send))
    assert sent >= 30
