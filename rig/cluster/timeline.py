"""The nodes of a play over time, as SVG.

Faults are shades, changes by the registry and learned lists are bars, and acts on old lists are dots.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from fordtrestle.load.recorder import import_library
from rig.cluster.history import LIST, Acted, Learned
from rig.cluster.judging import Played
from rig.cluster.schedules import Link, News, Step

ROW_INCHES = 0.35
SHADES = {"link": "#d17a22", "kill": "#444444", "stop": "#7a5195", "disk": "#3a7d44", "clock": "#c9a227"}
MAX_DOTS = 20_000


def draw(played: Played, path: Path) -> None:
    """Draw a play.

    Raises:
        ProgramError: The drawing library is missing.
        OSError: The file can't be written.
    """
    import_library("matplotlib", "plot").use("Agg")
    pyplot = import_library("matplotlib.pyplot", "plot")
    figure, axes = pyplot.subplots(figsize=(11.0, 1.2 + ROW_INCHES * len(played.nodes)))
    row_of = {name: number for number, name in enumerate(played.nodes)}
    for step in played.schedule.steps:
        _draw_step(axes, step, row_of)
    _draw_marks(axes, played, row_of)
    axes.set_yticks(range(len(row_of)), list(row_of))
    axes.set_ylim(len(row_of) - 0.4, -0.6)
    axes.set_xlim(0.0, played.schedule.head.length_ms / 1000.0)
    axes.set_xlabel(
        "s: shades are faults, lines the registry's news, bars lists learned, dots acts on older lists"
    )
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata={"Date": None})
    pyplot.close(figure)


def _draw_step(axes: Any, step: Step, row_of: dict[str, int]) -> None:
    at_s, width_s = step.at_ms / 1000.0, max(step.lasts_ms, 20) / 1000.0
    if isinstance(step, News):
        axes.axvline(at_s, color="#999999", linewidth=0.7, linestyle="--")
        return
    ends = {*step.src, *step.dst} if isinstance(step, Link) else {step.node}
    kind = "link" if isinstance(step, Link) else type(step).__name__.lower().removesuffix("fault")
    for name in sorted(ends & set(row_of)):
        color = SHADES.get(kind, "#3a7ca5")
        axes.barh(row_of[name], width_s, left=at_s, height=0.8, color=color, alpha=0.25)


def _draw_marks(axes: Any, played: Played, row_of: dict[str, int]) -> None:
    """Draw learned lists, and acts on a list older than the newest that any node had acted on by then."""
    newest = 0
    learned: list[tuple[float, int]] = []
    old: list[tuple[float, int]] = []
    for event in played.events:
        if not isinstance(event, Acted | Learned) or not event.rule.startswith(LIST):
            continue
        at = ((event.at_ms - played.began_ms) / 1000.0, row_of[event.node])
        if isinstance(event, Learned):
            learned.append(at)
        elif event.version < newest:
            old.append(at)
        else:
            newest = event.version
    for marks, shape, color in ((learned, "|", "#3a7ca5"), (old[:MAX_DOTS], ".", "#b3403a")):
        if marks:
            axes.plot([x for x, _ in marks], [y for _, y in marks], shape, color=color, markersize=5)
