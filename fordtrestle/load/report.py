"""What a run came to, for people and for programs: a live line, a table, and JSON with a stated schema.

The schema is told in docs/operate/load.md; `VERSION` goes up when a field changes its meaning.
"""

from __future__ import annotations

from typing import Any

from fordtrestle.load.generator import Run
from fordtrestle.load.recorder import CURVE, Recorder
from fordtrestle.load.samples import Outcome
from fordtrestle.load.schedule import Schedule
from fordtrestle.load.spec import Bounds, Spec

FORMAT = "fordtrestle-load-report"
VERSION = 1
COLUMNS = ("p50", "p90", "p99", "p999", "max")


def report(run: Run, schedule: Schedule, spec_file: str) -> dict[str, Any]:
    """All that was measured, as JSON values."""
    spec, recorder = schedule.spec, run.recorder
    unsound = run.unsound(spec)
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
        "sound": not unsound,
        "unsound_because": unsound,
        "bounds": bounds(spec.bounds, recorder),
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
        "curve": {
            "percentiles": list(CURVE),
            "latency_ms": recorder.whole.latency.at(CURVE),
            "service_ms": recorder.service.at(CURVE),
        },
        "histograms": {
            "latency": recorder.whole.latency.encoded(),
            "service": recorder.service.encoded(),
            "lag": recorder.lag.encoded(),
        },
    }


def bounds(asked: Bounds, recorder: Recorder) -> list[dict[str, Any]]:
    """Each bound that the load states, with what was measured and whether that meets it."""
    whole = recorder.whole.summary()
    rows = [
        ("in_aim_share_least", asked.in_aim_share_least, whole["share_in_aim"], True),
        ("p99_most_ms", asked.p99_most_ms, whole["latency_ms"]["p99"], False),
        ("not_sent_most", asked.not_sent_most, whole["not_sent"], False),
    ]
    return [
        {
            "name": name,
            "bound": bound,
            "measured": measured,
            # What could not be measured meets nothing.
            "met": measured is not None and (measured >= bound if least else measured <= bound),
        }
        for name, bound, measured, least in rows
        if bound is not None
    ]


def met(summary: dict[str, Any]) -> bool:
    """Whether the run is sound, whole, and within its bounds."""
    return bool(summary["sound"]) and not summary["cut"] and all(row["met"] for row in summary["bounds"])


def live(run: Run, now_s: float, spec: Spec) -> str:
    """One line on a run that is under way; its quantiles are of the last second that is closed."""
    whole, row = run.recorder.whole, run.recorder.latest()
    parts = [f"{now_s:5.0f} s", f"{whole.asked} ended"]
    failed = whole.asked - whole.count(Outcome.SERVED)
    parts.append(f"{failed} not served")
    if whole.count(Outcome.NO_ROOM, Outcome.NO_CONNECTION, Outcome.NO_SOCKET):
        parts.append("SOME NOT SENT")
    if row is not None:
        took = row["latency_ms"]
        parts.append(f"second {row['second']}: p50 {_ms(took['p50'])}, p99 {_ms(took['p99'])} ms")
    return "  ".join(parts)


def table(summary: dict[str, Any]) -> str:
    """A report as a person reads it."""
    rows: list[tuple[str, ...]] = [("", "asked", "served", "in aim", *COLUMNS)]
    rows.append(_row("all", summary["whole"]))
    for what in ("classes", "tenants"):
        if len(summary[what]) > 1:
            rows += [
                _row(f"{what[:-2] if what == 'classes' else 'tenant'} {n or '-'}", b)
                for n, b in summary[what].items()
            ]
    for name, key in (("service time", "service_ms"), ("lag of sends", "lag_ms")):
        rows.append((name, "", "", "", *(_ms(summary[key][column]) for column in COLUMNS)))
    ran = f"{summary['length_s']:g} s, seed {summary['seed']}, {summary['workers']} workers"
    lines = [f"{summary['target']}: {ran}", ""]
    lines += [*_aligned(rows), "", _ends(summary["whole"])]
    if summary["retries"]:
        crossed = summary["workers_told"].get("crossed", 0)
        lines.append(f"retries: {summary['retries']}; answers that crossed one: {crossed}")
    lines += [_judged(row) for row in summary["bounds"]]
    if summary["cut"]:
        lines.append("CUT: stopped before its end")
    lines += [f"UNSOUND: {reason}" for reason in summary["unsound_because"]]
    return "\n".join(lines)


def _row(name: str, part: dict[str, Any]) -> tuple[str, ...]:
    share = part["share_in_aim"]
    aim = "-" if share is None else f"{share:.4f}"
    took = (_ms(part["latency_ms"][column]) for column in COLUMNS)
    return (name, str(part["asked"]), str(part["outcomes"]["served"]), aim, *took)


def _ends(whole: dict[str, Any]) -> str:
    ends = [f"{name.replace('_', ' ')} {count}" for name, count in whole["outcomes"].items() if count]
    return (
        "ends: "
        + (", ".join(ends) or "none")
        + (f"; NOT SENT {whole['not_sent']}" if whole["not_sent"] else "")
    )


def _judged(row: dict[str, Any]) -> str:
    measured = "nothing" if row["measured"] is None else f"{row['measured']:g}"
    return f"{'met' if row['met'] else 'NOT MET'}: {row['name']} {row['bound']:g}, measured {measured}"


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def _aligned(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[place]) for row in rows) for place in range(len(rows[0]))]
    return [
        "  ".join(
            cell.rjust(width) if place else cell.ljust(width)
            for place, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in rows
    ]
