"""The soak of the whole system with crowds of misbehaving clients."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.system_soak import summarize
from rig.system.soak.checks import check
from rig.system.soak.modes import Mode, draw_schedule, play_options
from rig.system.soak.play import Play

DURATION_S = 30.0
PLANNED_SEED, FAILURE_SEED = 1, 2


@pytest.mark.parametrize("seed", [PLANNED_SEED, FAILURE_SEED])
def test_a_seed_with_crowds_is_played_and_breaks_nothing(tmp_path, seed):
    schedule = draw_schedule(Mode.CROWDS, seed, DURATION_S, 2)
    play = Play(schedule, tmp_path, play_options(Mode.CROWDS, sidecars=2, clients=4))
    play_record = asyncio.run(play.run())
    findings = check(play_record)
    assert not findings, summarize(schedule, play_record, findings)
