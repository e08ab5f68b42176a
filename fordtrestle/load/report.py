"""The report of a run: a progress line, a table, and JSON with a documented schema.

docs/operate/load.md describes the schema; `VERSION` goes up when a field changes its meaning.
"""

from __future__ import annotations

from typing import Any

from fordtrestle.load.generator import Run
from fordtrestle.load.recorder import CURVE_PERCENTILES, Recorder
from fordtrestle.load.records import Bounds, Spec
from fordtrestle.load.samples import NOT_SENT_OUTCOMES, Outcome
from fordtrestle.load.schedule import Schedule

FORMAT = "fordtrestle-load-report"
VERSION = 1
QUANTILE_COLUMNS = ("p50", "p90", "p99", "p999", "max")


def make_report(run: Run, schedule: Schedule, spec_file: str) -> dict[str, Any]:
    """Return the report of a run as JSON values.

    Args:
        run: The results of the run.
        schedule: The schedule that was run.
        spec_file: The name of the load file, for display.
    """
    spec, recorder = schedule.spec, run.recorder
    unsound_reasons = run.unsound_reasons(spec)
    return {
        "format": FORMAT,
        "version": VERSION,
        "spec": spec_file,
        "target": f"{spec.target.host}:{spec.target.port}",
        "seed": spec.seed,
        "workers": spec.workers,
        "started_unix_s": round(run.started_unix_s, 3),
        "length_s": schedule.length_us / 1e6,
        "took_s": round(run.took_s, 3),
        "cut": run.cut,
        "sound": not unsound_reasons,
        "unsound_because": unsound_reasons,
        "bounds": check_bounds(spec.bounds, recorder),
        "whole": recorder.whole.summary(),
        "service_ms": recorder.service.summary(),
        "lag_ms": recorder.lag.summary(),
        "lag_p99_most_ms": spec.lag_p99_most_ms,
        "retries": recorder.retries,
        "statuses": {str(status): count for status, count in sorted(recorder.statuses.items())},
        "workers_told": run.counts,
        "classes": {name: part.summary() for name, part in recorder.classes.items()},
        "tenants": {name: part.summary() for name, part in recorder.tenants.items()},
        "seconds": recorder.seconds(),
        "curve": _percentile_curve(recorder),
        "histograms": {
            "latency": recorder.whole.latency.encode(),
            "service": recorder.service.encode(),
            "lag": recorder.lag.encode(),
        },
    }


def _percentile_curve(recorder: Recorder) -> dict[str, Any]:
    """Return the durations at `CURVE_PERCENTILES`, for plots."""
    return {
        "percentiles": list(CURVE_PERCENTILES),
        "latency_ms": recorder.whole.latency.percentiles_ms(CURVE_PERCENTILES),
        "service_ms": recorder.service.percentiles_ms(CURVE_PERCENTILES),
    }


def check_bounds(bounds: Bounds, recorder: Recorder) -> list[dict[str, Any]]:
    """Return each bound of the load with the measured value and whether it meets the bound."""
    whole = recorder.whole.summary()
    rows = [
        ("in_aim_share_least", bounds.in_aim_share_least, whole["share_in_aim"], True),
        ("p99_most_ms", bounds.p99_most_ms, whole["latency_ms"]["p99"], False),
        ("not_sent_most", bounds.not_sent_most, whole["not_sent"], False),
    ]
    return [
        {
            "name": name,
            "bound": bound,
            "measured": measured,
            # If nothing was measured, the bound is not met.
            "met": measured is not None and (measured >= bound if is_minimum else measured <= bound),
        }
        for name, bound, measured, is_minimum in rows
        if bound is not None
    ]


def meets_bounds(summary: dict[str, Any]) -> bool:
    """Return whether the run is sound, complete, and within its bounds."""
    return bool(summary["sound"]) and not summary["cut"] and all(row["met"] for row in summary["bounds"])


def progress_line(run: Run, now_s: float, spec: Spec) -> str:
    """Return a line about a run in progress; its quantiles are those of the latest closed second."""
    whole, row = run.recorder.whole, run.recorder.latest_second()
    parts = [f"{now_s:5.0f} s", f"{whole.asked} ended"]
    failed = whole.asked - whole.count(Outcome.SERVED)
    parts.append(f"{failed} not served")
    if whole.count(*NOT_SENT_OUTCOMES):
        parts.append("SOME NOT SENT")
    if row is not None:
        latency = row["latency_ms"]
        parts.append(
            f"second {row['second']}: p50 {_format_ms(latency['p50'])}, p99 {_format_ms(latency['p99'])} ms"
        )
    return "  ".join(parts)


def format_table(summary: dict[str, Any]) -> str:
    """Format a report as a table, followed by lines on outcomes, bounds and validity."""
    rows: list[tuple[str, ...]] = [("", "asked", "served", "in aim", *QUANTILE_COLUMNS)]
    rows.append(_stats_row("all", summary["whole"]))
    for key, label in (("classes", "class"), ("tenants", "tenant")):
        if len(summary[key]) > 1:
            rows += [_stats_row(f"{label} {name or '-'}", part) for name, part in summary[key].items()]
    for name, key in (("service time", "service_ms"), ("lag of sends", "lag_ms")):
        rows.append((name, "", "", "", *(_format_ms(summary[key][column]) for column in QUANTILE_COLUMNS)))
    run_line = f"{summary['length_s']:g} s, seed {summary['seed']}, {summary['workers']} workers"
    lines = [f"{summary['target']}: {run_line}", ""]
    lines += [*_align_columns(rows), "", _outcomes_line(summary["whole"])]
    if summary["retries"]:
        crossed = summary["workers_told"].get("crossed", 0)
        lines.append(f"retries: {summary['retries']}; answers that crossed one: {crossed}")
    lines += [_bound_line(bound) for bound in summary["bounds"]]
    if summary["cut"]:
        lines.append("CUT: stopped before its end")
    lines += [f"UNSOUND: {reason}" for reason in summary["unsound_because"]]
    return "\n".join(lines)


def _stats_row(name: str, part: dict[str, Any]) -> tuple[str, ...]:
    """Return the row of one part of a run: name, counts, share within the latency target, quantiles."""
    share = part["share_in_aim"]
    share_text = "-" if share is None else f"{share:.4f}"
    quantiles = (_format_ms(part["latency_ms"][column]) for column in QUANTILE_COLUMNS)
    return (name, str(part["asked"]), str(part["outcomes"]["served"]), share_text, *quantiles)


def _outcomes_line(whole: dict[str, Any]) -> str:
    """Return a line with the number of requests for each outcome that occurred."""
    outcomes = [f"{name.replace('_', ' ')} {count}" for name, count in whole["outcomes"].items() if count]
    return (
        "ends: "
        + (", ".join(outcomes) or "none")
        + (f"; NOT SENT {whole['not_sent']}" if whole["not_sent"] else "")
    )


def _bound_line(row: dict[str, Any]) -> str:
    """Return a line on whether a bound is met, with the measured value."""
    measured = "nothing" if row["measured"] is None else f"{row['measured']:g}"
    return f"{'met' if row['met'] else 'NOT MET'}: {row['name']} {row['bound']:g}, measured {measured}"


def _format_ms(value: float | None) -> str:
    """Return milliseconds with two decimals, or a dash for None."""
    return "-" if value is None else f"{value:.2f}"


def _align_columns(rows: list[tuple[str, ...]]) -> list[str]:
    """Return the rows as lines, with the first column left-aligned and the others right-aligned."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(
            cell.rjust(width) if column else cell.ljust(width)
            for column, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in rows
    ]
