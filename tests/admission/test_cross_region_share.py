"""Requests cross to other regions as far as the own one is slower, and come back."""

from __future__ import annotations

from fordtrestle.admission.cross_region_share import MAX_SHARE, CrossRegionShare


def learn(spill, near, far, answers=100):
    for number in range(answers):
        crossing = number * spill.share % 1.0 < spill.share
        if crossing:
            spill.record_remote_delay(far)
        else:
            spill.record_local_delay(near)
    return spill.share


def test_a_region_that_answers_in_time_keeps_its_requests():
    assert learn(CrossRegionShare(), near=0.24, far=0.1) == 0.0


def test_a_region_that_falls_behind_passes_requests_on_and_takes_them_back():
    spill = CrossRegionShare()
    assert 0.2 < learn(spill, near=1.2, far=0.4) <= MAX_SHARE
    assert learn(spill, near=0.3, far=0.4, answers=200) == 0.0


def test_nothing_crosses_to_regions_that_are_as_slow():
    spill = CrossRegionShare()
    shares = [learn(spill, near=1.2, far=1.3, answers=10) for _ in range(50)]
    assert sum(shares) / len(shares) < 0.25
