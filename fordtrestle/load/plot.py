"""Plots a report: latency over time, and the percentile curve. Needs the extra `plot`."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

from fordtrestle.load.recorder import import_library

SUFFIXES = (".svg", ".png")
QUANTILE_COLOURS = {"p50": "#4c9f70", "p90": "#3a7ca5", "p99": "#d17a22", "p999": "#b3403a", "max": "#777777"}
MIN_SHOWN_MS = 0.001  # a logarithmic axis can't show 0


def plot(summary: dict[str, Any], path: Path) -> None:
    """Write a plot of a report to a file.

    Raises:
        MissingLibraryError: matplotlib is not installed.
        ValueError: The suffix of the path is not in `SUFFIXES`.
    """
    if path.suffix not in SUFFIXES:
        raise ValueError(f"{path}: a plot ends with {' or '.join(SUFFIXES)}")
    import_library("matplotlib", "plot").use("Agg")
    import_library("matplotlib", "plot").rcParams["svg.hashsalt"] = "load"  # equal reports give equal files
    figure, (over_time, curve) = import_library("matplotlib.pyplot", "plot").subplots(2, 1, figsize=(10, 9))
    try:
        _draw_over_time(over_time, summary)
        _draw_percentiles(curve, summary)
        figure.suptitle(_title(summary))
        figure.tight_layout()
        figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    finally:
        import_library("matplotlib.pyplot", "plot").close(figure)


def _title(summary: dict[str, Any]) -> str:
    """Return the title: the target, the seed, and whether the run was cut or unsound."""
    marks = [mark for mark, on in (("CUT", summary["cut"]), ("UNSOUND", not summary["sound"])) if on]
    return f"{summary['target']}, seed {summary['seed']}" + "".join(f" - {mark}" for mark in marks)


def _draw_over_time(axes: Any, summary: dict[str, Any]) -> None:
    """Draw latency quantiles over intended time, with the request rate behind them."""
    seconds = summary["seconds"]
    for name, colour in QUANTILE_COLOURS.items():
        values = [row["latency_ms"][name] for row in seconds]
        points = [
            (row["second"], max(MIN_SHOWN_MS, v))
            for row, v in zip(seconds, values, strict=True)
            if v is not None
        ]
        if points:
            axes.plot(*zip(*points, strict=True), label=name, color=colour, linewidth=1.2)
    axes.set(xlabel="second of the intended time", ylabel="latency (ms)", yscale="log")
    axes.grid(True, which="both", alpha=0.25)
    rate_axes = axes.twinx()
    asked = [row["asked"] for row in seconds]
    rate_axes.fill_between([row["second"] for row in seconds], asked, step="mid", alpha=0.12, color="#555555")
    rate_axes.set(ylabel="requests a second", ylim=(0, max([1, *asked]) * 1.2))
    if seconds:
        axes.legend(loc="upper left", ncols=len(QUANTILE_COLOURS))


def _draw_percentiles(axes: Any, summary: dict[str, Any]) -> None:
    """Draw the percentile curve, with the axis stretched towards 100 as in the plots of HdrHistogram."""
    percentiles = [p for p in summary["curve"]["percentiles"] if p < 100.0]
    positions = [-math.log10(1.0 - p / 100.0) for p in percentiles]
    for key, label in (("latency_ms", "from the intended time"), ("service_ms", "from the send")):
        values = summary["curve"][key][: len(percentiles)]
        if all(value is not None for value in values):
            axes.plot(positions, [max(MIN_SHOWN_MS, value) for value in values], label=label, marker=".")
            axes.legend(loc="upper left")
    axes.set(xlabel="percentile", ylabel="ms", yscale="log")
    axes.set_xticks(positions, [f"{p:g}" for p in percentiles], rotation=45)
    axes.grid(True, which="both", alpha=0.25)
