"""Measures the benefit of each mechanism: the same plays with it and, in a copy of the project, without it.

    python -m benchmarks.ablation --play 'COMMAND {seed}' --figure 'REGEX' [--seeds 1,2,3] [NAME ...]

COMMAND plays a deployment in its working folder. Its output contains a figure, which the first group of REGEX
matches. A mechanism is switched off by replacing its lines (`MECHANISMS`), so that the program itself needs
no switch. For each mechanism, the mean and the standard deviation of the difference that its absence makes
are printed, over pairs of the same seed.
"""

from __future__ import annotations

import argparse
import re
import shlex
import shutil
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NEEDED = ("deploy", "fordtrestle", "requirements*.txt", "pyproject.toml", "target")
PLAY_TIMEOUT_S = 1800.0
WHOLE = "whole"

Figures = dict[str, float | None]  # by seed; None if a play printed none
Play = Callable[[Path, str], float | None]  # arguments: folder and seed


@dataclass(frozen=True, slots=True)
class Mechanism:
    """Lines of a file, and the lines that replace them to switch the mechanism off."""

    file: str
    lines: str
    without: str


MECHANISMS = {
    "local refusal by the window": Mechanism(
        "fordtrestle/admission/admission_control.py",
        "        if self._uniform() >= throttle.drop_chance(now * MS_PER_S):\n",
        "        if True:\n",
    ),
    "fewest own in flight": Mechanism(
        "fordtrestle/routing/pick_server.py",
        "    return server.in_flight + PREFILL_LOAD * server.prefill_tokens / mean_tokens + latency_load\n",
        "    return PREFILL_LOAD * server.prefill_tokens / mean_tokens + latency_load\n",
    ),
    "prompts still to be read count as load": Mechanism(
        "fordtrestle/routing/pick_server.py", "PREFILL_LOAD = 2.0", "PREFILL_LOAD = 0.0"
    ),
    "late answers count as load": Mechanism(
        "fordtrestle/routing/pick_server.py",
        "    latency_load = LATENCY_LOAD * max(0.0, server.latency_penalty(now) - MAX_TIMELY_DELAY)\n",
        "    latency_load = 0.0\n",
    ),
    "holders of shared parts": Mechanism(
        "fordtrestle/routing/pick_server.py", "    if prompt.shared_prefix:\n", "    if False:\n"
    ),
    "crossing to the holder of long parts": Mechanism(
        "fordtrestle/routing/server_selector.py",
        "        return [server for server in remote if server.region in close_regions]\n",
        "        return []\n",
    ),
    "spilling over by lateness": Mechanism(
        "fordtrestle/admission/cross_region_share.py",
        "        is_slow = self._local_delay > SLOW_DELAY\n",
        "        is_slow = False\n",
    ),
    "urgency of short prompts": Mechanism(
        "fordtrestle/admission/priority_assigner.py",
        "        if len(self._sizes) < MIN_REMEMBERED:\n",
        "        if True:\n",
    ),
    "waiting for a server or a configuration": Mechanism(
        "fordtrestle/routing/router.py", "MAX_WAIT_S = 1.5", "MAX_WAIT_S = 0.0"
    ),
    "resuming streams": Mechanism(
        "fordtrestle/routing/router.py",
        "        if route is None or not route.is_resumable:\n",
        "        if True:\n",
    ),
    "another server after a rejection": Mechanism(
        "fordtrestle/routing/request_attempts.py", "MAX_SENDS = 4", "MAX_SENDS = 1"
    ),
    "news along a tree": Mechanism(
        "fordtrestle/dissemination/broadcast.py",
        "        elif source not in self._pruned:\n",
        "        elif False:\n",
    ),
    "configurations as their change": Mechanism(
        "fordtrestle/dissemination/delta.py", "MAX_LITERAL_RATIO = 0.5", "MAX_LITERAL_RATIO = -1.0"
    ),
}


def copy_without(mechanism: Mechanism | None, folder: Path) -> None:
    """Copy the files that a play needs, without a mechanism.

    Args:
        mechanism: The mechanism to switch off; None for a complete copy.
        folder: Where the copy is made.

    Raises:
        ValueError: The lines of the mechanism do not occur exactly once in its file.
    """
    for pattern in NEEDED:
        for source in ROOT.glob(pattern):
            target = folder / source.name
            shutil.copytree(source, target, symlinks=True) if source.is_dir() else shutil.copy2(
                source, target
            )
    if mechanism is None:
        return
    path = folder / mechanism.file
    text = path.read_text()
    if text.count(mechanism.lines) != 1:
        raise ValueError(
            f"expected the lines once in {mechanism.file}, found them {text.count(mechanism.lines)} times"
        )
    path.write_text(text.replace(mechanism.lines, mechanism.without))


def play(folder: Path, seed: str, command: str, figure: re.Pattern[str]) -> float | None:
    """Run one play and return the figure that it printed, or None if it printed none."""
    arguments = shlex.split(command.replace("{seed}", seed))
    process = subprocess.run(
        arguments, cwd=folder, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S, check=False
    )
    match = figure.search(process.stdout)
    return float(match.group(1)) if match else None


def compare(whole: Figures, without: Figures) -> str:
    """Return the row of one mechanism: the change without it, over seeds with a figure of both plays."""
    pairs = [(whole[seed], without[seed]) for seed in whole]
    changes = [absent - present for present, absent in pairs if present is not None and absent is not None]
    if not changes:
        return "no pair"
    spread = statistics.stdev(changes) if len(changes) > 1 else 0.0
    return f"{statistics.mean(changes):+.3f} (spread {spread:.3f}, {len(changes)} pairs)"


def play_all(
    names: Sequence[str], seeds: Sequence[str], folder: Path, lanes: int, play_one: Play
) -> dict[str, Figures]:
    """Return the figures of the complete program and without each mechanism; the copies stay in `folder`."""
    cases = {WHOLE: None, **{name: MECHANISMS[name] for name in names}}
    with ThreadPoolExecutor(lanes) as pool:
        plays = {}
        for number, (name, mechanism) in enumerate(cases.items()):
            copy = folder / str(number)
            copy.mkdir(parents=True)
            copy_without(mechanism, copy)
            plays[name] = {seed: pool.submit(play_one, copy, seed) for seed in seeds}
        return {
            name: {seed: future.result() for seed, future in of_seeds.items()}
            for name, of_seeds in plays.items()
        }


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.ablation")
    parser.add_argument("--play", required=True, help="a command; {seed} stands for the seed")
    parser.add_argument("--figure", required=True, help="a regular expression with one group")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--lanes", type=int, default=2, help="plays at the same time")
    parser.add_argument("--folder", type=Path, help="folder that the copies are made and kept in")
    parser.add_argument("names", nargs="*", choices=[*MECHANISMS, []], help="mechanisms; all by default")
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Print the table.

    Returns:
        The exit code 0.
    """
    options = parse_arguments(arguments)
    names = options.names or list(MECHANISMS)
    play_one = partial(play, command=options.play, figure=re.compile(options.figure, re.MULTILINE))
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.folder or Path(temporary)
        figures = play_all(names, options.seeds.split(","), folder, options.lanes, play_one)
    print(f"{WHOLE}: {', '.join(str(value) for value in figures[WHOLE].values())}")
    for name in names:
        print(f"without {name}: {compare(figures[WHOLE], figures[name])}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
