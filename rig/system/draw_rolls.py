"""Draws a day of planned work for the users' bench, as a TOML file: overlapping rolling restarts and changes.

    python -m rig.system.draw_rolls SEED > day.toml

All sidecars are restarted one at a time, in pairs, in threes or all at once, at gaps of 0.3 to 3 s. A roll
may start before the previous one is over. Control processes are rolled, too. No faults occur on such a day.
"""

from __future__ import annotations

import random
import sys

from rig.system.draw_day import LENGTH_S, line

MIN_GAP_S, MAX_GAP_S = 0.3, 3.0


def _roll(rng: random.Random, at: float) -> str:
    batch_size = rng.choice((1, 1, 1, 2, 3, 20))
    gap_s = round(rng.uniform(MIN_GAP_S, MAX_GAP_S), 2)
    how = rng.choice(("", "", "busy"))
    fields: dict[str, object] = {"share": 1.0, "x": batch_size, "gap_s": gap_s}
    return line("roll_term", at, **fields, **({"how": how} if how else {}))


def _change(rng: random.Random, at: float) -> str:
    draws = (
        lambda: line("config_race", at, count=rng.randint(20, 60), gap_s=round(rng.uniform(0.3, 0.8), 2)),
        lambda: line("config_change", at, how=rng.choice(("route", "weights", "timeout", "idle"))),
        lambda: line("evacuate", at, for_s=round(rng.uniform(2.0, 8.0), 1)),
        lambda: line("roll_term", at, on="core", share=1.0, x=1, gap_s=round(rng.uniform(1.0, 4.0), 1)),
        lambda: line("hup", at, share=0.6, gap_s=1.0),
        lambda: line("release", at, share=0.3, x=1, gap_s=1.0),
    )
    return rng.choice(draws)()


def draw(seed: int) -> str:
    """Return the TOML text of the day that a seed yields."""
    rng = random.Random(seed)
    rolls = [
        _roll(rng, at) for at in sorted(rng.uniform(0.5, LENGTH_S - 6) for _ in range(rng.randint(2, 4)))
    ]
    changes = [
        _change(rng, at) for at in sorted(rng.uniform(0.5, LENGTH_S - 6) for _ in range(rng.randint(2, 6)))
    ]
    head = [f'name = "rolls-{seed}"', 'slot = "trouble"']
    return "\n".join([*head, "plan = [", *rolls, *changes, "]", "faults = []", ""])


if __name__ == "__main__":
    sys.stdout.write(draw(int(sys.argv[1])))
