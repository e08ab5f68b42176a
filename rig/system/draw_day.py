"""Draws a day of faults of the control processes, as a TOML file for the users' bench.

    python -m rig.system.draw_day SEED > day.toml

Core partitions of every kind, lost disks, replacements, races, lost acknowledgements and servers that shut
down recur, several at a time. Each day ends with a final fault.
"""

from __future__ import annotations

import random
import sys

LENGTH_S = 33.0
CUTS = (
    "",
    "leader",
    "oldest",
    "behind",
    "split",
    "all",
    "near",
    "one_way",
    "seeds",
    "both",
    "lure",
    "relieve",
)
# Around the end of a cut: "meet" sends a configuration change to the cut process during the cut and as it
# returns, "race" sends two at once, "hard" repeats the change until it is answered, and "drain" drains
# servers of its zone soon after it is back.
RETURN_EVENTS = ("", "meet", "race", "hard", "drain", "race hard", "meet drain")
# How connections across a cut behave: they are silent, reset or refused.
CONNECTION_MODES = ("", "reset", "refuse")
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
CLOSING_HOWS = ("", "timed", "taken", "oldest")


def line(kind: str, at: float, **fields: object) -> str:
    """Return one entry of a list of the day.

    Args:
        kind: The kind of the entry.
        at: When it happens (s since the start of the day).
        **fields: Further fields of the entry.
    """
    pairs = [f"at = {at:.1f}", f'kind = "{kind}"']
    pairs += [
        f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}"
        for name, value in fields.items()
    ]
    return "  { " + ", ".join(pairs) + " },"


def _core_cut(rng: random.Random, at: float) -> str:
    how = " ".join(filter(None, (rng.choice(CUTS), rng.choice(CONNECTION_MODES), rng.choice(RETURN_EVENTS))))
    return line("core_cut", at, count=1, for_s=round(rng.uniform(2.0, 20.0), 1), how=how)


def _fault(rng: random.Random, at: float) -> str:
    for_s = round(rng.uniform(1.0, 5.0), 1)
    leader = rng.choice(("", "leader", "turn"))
    draws = (
        lambda: _core_cut(rng, at),
        lambda: _core_cut(rng, at),
        lambda: line("after_ack_wipe", at, for_s=for_s, how=rng.choice(("", "oldest", "timed"))),
        lambda: line("after_ack_kill", at, for_s=for_s, how=rng.choice(("", "kill", "timed"))),
        lambda: line("replace_core", at, x=for_s, how=rng.choice(("", "oldest"))),
        lambda: line("disk_stall", at, count=1, for_s=for_s, how=leader),
        lambda: line("disk_slow", at, count=1, x=30, for_s=for_s, how=leader),
        lambda: line("disk_full", at, count=1, for_s=for_s, how=leader),
        lambda: line("node_freeze", at, on="core", count=1, for_s=for_s, how=f"{leader} race".strip()),
        lambda: line("node_slow", at, on="core", count=1, x=5, for_s=for_s, how=leader),
        lambda: line("herd_kill", at, on="core", for_s=for_s, how=rng.choice(("", "off", "taken"))),
        lambda: line("reset_conns", at, on="core", share=1.0, x=0.6),
        lambda: line("region_cut", at, for_s=for_s, how=rng.choice(("", "one_way", "pair", "all"))),
        lambda: line("zone_loss", at, for_s=for_s),
        lambda: line("node_kill", at, on="core", count=1, for_s=for_s, how=f"power {leader}".strip()),
        lambda: line("clock_step", at, share=0.5, x=4000, for_s=for_s, how=rng.choice(("back", "ahead"))),
        lambda: line("srv_cut", at, share=0.3, for_s=for_s, how=rng.choice(("", "some", "one_way"))),
        lambda: line("ack_lost", at, for_s=20.0, x=0.7),
    )
    return rng.choice(draws)()


def _planned_work(rng: random.Random, at: float) -> str:
    draws = (
        lambda: line("config_change", at, how=rng.choice(("route", "weights", "timeout", "idle"))),
        lambda: line("config_race", at, count=rng.randint(1, 8), gap_s=round(rng.uniform(0.4, 1.5), 1)),
        lambda: line(
            "bad_config", at, count=3, gap_s=0.7, how=rng.choice(("", "same_version", "old_version"))
        ),
        lambda: line("evacuate", at, for_s=round(rng.uniform(2.0, 8.0), 1)),
        lambda: line("replace_core", at, x=1.0, how=rng.choice(("planned", "planned oldest"))),
        lambda: line("roll_term", at, on="core", share=1.0, x=1.0, gap_s=round(rng.uniform(1.0, 3.0), 1)),
        lambda: line("scale_in", at, share=0.15),
        lambda: line("release", at, share=0.3, x=1.0, gap_s=1.0),
        lambda: line("seed_turnover", at),
        lambda: line("hup", at, on="core", share=1.0, gap_s=1.0),
    )
    return rng.choice(draws)()


def draw(seed: int) -> str:
    """Return the TOML text of the day that a seed yields."""
    rng = random.Random(seed)
    closing = f'closing = {{ kind = "{rng.choice(CLOSINGS)}", down_s = {rng.uniform(0.5, 2.0):.1f}'
    how = rng.choice(CLOSING_HOWS)
    lines = [f'name = "drawn-{seed}"', 'slot = "trouble"', closing + (f', how = "{how}" }}' if how else " }")]
    plan = [
        _planned_work(rng, at)
        for at in sorted(rng.uniform(0.5, LENGTH_S - 3) for _ in range(rng.randint(4, 9)))
    ]
    faults = [
        _fault(rng, at) for at in sorted(rng.uniform(1.0, LENGTH_S - 4) for _ in range(rng.randint(3, 7)))
    ]
    return "\n".join([*lines, "plan = [", *plan, "]", "faults = [", *faults, "]", ""])


if __name__ == "__main__":
    sys.stdout.write(draw(int(sys.argv[1])))
