"""Requests move to other regions while the local one is slower, and return when it has recovered."""

from __future__ import annotations

from fordtrestle.admission.cross_region_share import MAX_SHARE, CrossRegionShare


def learn(cross_region, local_delay, remote_delay, answers=100):
    for number in range(answers):
        is_remote = number * cross_region.share % 1.0 < cross_region.share
        if is_remote:
            cross_region.record_remote_delay(remote_delay)
        else:
            cross_region.record_local_delay(local_delay)
    return cross_region.share


def test_a_region_that_answers_quickly_keeps_its_requests():
    assert learn(CrossRegionShare(), local_delay=0.24, remote_delay=0.1) == 0.0


def test_requests_leave_a_slow_region_and_return_once_it_is_quick():
    cross_region = CrossRegionShare()
    assert 0.2 < learn(cross_region, local_delay=1.2, remote_delay=0.4) <= MAX_SHARE
    assert learn(cross_region, local_delay=0.3, remote_delay=0.4, answers=200) == 0.0


def test_few_requests_cross_to_regions_that_are_not_faster():
    cross_region = CrossRegionShare()
    shares = [learn(cross_region, local_delay=1.2, remote_delay=1.3, answers=10) for _ in range(50)]
    assert sum(shares) / len(shares) < 0.25
