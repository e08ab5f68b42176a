"""`load SPEC` sends a load and reports it; beside it `load check`, `load trace` and `load write`."""

from __future__ import annotations

import argparse
import json
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from types import FrameType
from typing import Any

from fordtrestle.load import plot, report, trace
from fordtrestle.load.arrivals import US
from fordtrestle.load.generator import CannotRun, Generator, Run
from fordtrestle.load.recorder import NoLibrary, library
from fordtrestle.load.schedule import Schedule, made
from fordtrestle.load.spec import BadSpec, Spec, parse
from fordtrestle.proxy.engine.ports import parse_address

DONE, NOT_MET, BAD_INPUT = 0, 1, 2


def add(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.usage = (
        "fordtrestle load SPEC [--to HOST:PORT] [--seed N] [--workers N] [--json FILE] [--plot FILE]\n"
        "       fordtrestle load check SPEC [--json]\n"
        "       fordtrestle load trace FILE... [--json]\n"
        "       fordtrestle load write SPEC FILE"
    )
    parser.add_argument(
        "what", nargs="+", metavar="SPEC", help="a load file, or one of check, trace and write"
    )
    parser.add_argument("--to", metavar="HOST:PORT", help="send there, whatever the file says")
    parser.add_argument("--seed", type=int, metavar="N", help="in place of the file's")
    parser.add_argument(
        "--workers", type=int, metavar="N", help="processes that send, in place of the file's"
    )
    parser.add_argument(
        "--json", nargs="?", const="-", metavar="FILE", help="the report, there or on the output"
    )
    parser.add_argument("--plot", metavar="FILE", help="the report as a picture, .svg or .png")


def run(given: argparse.Namespace) -> int:
    """Do what was asked; the exit code."""
    word, *rest = given.what
    todo: dict[str, tuple[int | None, Callable[[argparse.Namespace, list[str]], int]]] = {
        "check": (1, _check),
        "trace": (None, _trace),
        "write": (2, _write),
    }
    count, do = todo.get(word, (1, _load))
    named = rest if word in todo else given.what
    if not named or (count is not None and len(named) != count):
        return _bad(f"load {word}: expected {count or 'some'} files, not {len(named)}")
    try:
        return do(given, named)
    except BadSpec as error:
        return _bad(*error.lines)
    except (trace.BadTrace, CannotRun, NoLibrary, _BadOption) as error:
        return _bad(str(error))


class _BadOption(Exception):
    pass


def _bad(*lines: str) -> int:
    for line in lines:
        print(line, file=sys.stderr)
    return BAD_INPUT


def _spec(given: argparse.Namespace, file: str) -> Spec:
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadSpec([f"{file}: {getattr(error, 'strerror', None) or 'not UTF-8'}"]) from None
    spec = parse(text, file)
    if given.to is not None:
        try:
            spec = replace(spec, target=parse_address(given.to))
        except ValueError:
            raise _BadOption(f"--to: {given.to!r} is not HOST:PORT") from None
    if given.seed is not None:
        spec = replace(spec, seed=_within("--seed", given.seed, 0, 2**63))
    if given.workers is not None:
        most = min(64, spec.open_most, spec.connections_most)
        spec = replace(spec, workers=_within("--workers", given.workers, 1, most))
    return spec


def _within(option: str, value: int, low: int, high: int) -> int:
    if not low <= value <= high:
        raise _BadOption(f"{option}: {value} is not within {low} to {high}")
    return value


def _schedule(given: argparse.Namespace, file: str) -> Schedule:
    return made(_spec(given, file), Path(file).parent)


def _writable(option: str, file: str) -> Path:
    """Guards against a run whose figures can't be written at its end."""
    path = Path(file)
    if path.is_dir() or not path.parent.is_dir():
        raise _BadOption(f"{option}: {file}: can't be written")
    return path


# --- the words ------------------------------------------------------------------


def _check(given: argparse.Namespace, files: list[str]) -> int:
    schedule = _schedule(given, files[0])
    count = sum(1 for _ in schedule.requests())
    length_s = schedule.length_us / US
    if given.json:
        print(json.dumps({"file": files[0], "good": True, "requests": count, "length_s": length_s}))
    else:
        print(f"{files[0]}: good: {count} requests in {length_s:g} s, {count / length_s:.1f} a second")
    return DONE


def _trace(given: argparse.Namespace, files: list[str]) -> int:
    rows: list[dict[str, Any]] = []
    for file in files:
        summary = trace.inspect(Path(file))
        rows.append(
            {
                "file": file,
                "requests": summary.requests,
                "length_s": summary.length_us / US,
                "most_in_a_second": summary.most_in_a_second,
                "classes": summary.kinds,
                "tenants": summary.tenants,
            }
        )
    if given.json:
        print(json.dumps(rows))
        return DONE
    for row in rows:
        kinds = ", ".join(f"{name} {count}" for name, count in row["classes"].items())
        print(
            f"{row['file']}: good: {row['requests']} requests in {row['length_s']:g} s, "
            f"at most {row['most_in_a_second']} in one; {kinds}"
        )
    return DONE


def _write(given: argparse.Namespace, files: list[str]) -> int:
    schedule = _schedule(given, files[0])
    path = _writable("write", files[1])
    try:
        count = trace.write(path, schedule.requests(), schedule.length_us)
    except (OSError, ValueError) as error:
        raise CannotRun(f"{path}: {error}") from None
    print(f"{path}: {count} requests written")
    return DONE


def _load(given: argparse.Namespace, files: list[str]) -> int:
    library("hdrh.histogram", "load")
    as_json = _writable("--json", given.json) if given.json not in (None, "-") else None
    as_plot = _writable("--plot", given.plot) if given.plot is not None else None
    if as_plot is not None:
        if as_plot.suffix not in plot.SUFFIXES:
            raise _BadOption(f"--plot: {as_plot}: a plot ends with {' or '.join(plot.SUFFIXES)}")
        library("matplotlib", "plot")
    schedule = _schedule(given, files[0])
    summary = report.report(_run(schedule), schedule, files[0])
    text = json.dumps(summary, indent=1, allow_nan=False)
    print(text if given.json == "-" else report.table(summary))
    if as_json is not None:
        as_json.write_text(text + "\n", encoding="utf-8")
    if as_plot is not None:
        plot.plot(summary, as_plot)
    return DONE if report.met(summary) else NOT_MET


def _run(schedule: Schedule) -> Run:
    """Send it; the first SIGINT or SIGTERM cuts it, and what was measured until then is reported."""
    met: list[int] = []

    def stop(number: int, frame: FrameType | None) -> None:
        met.append(number)

    def watch(run: Run, now_s: float) -> None:
        sys.stderr.write(f"\r\x1b[K{report.live(run, now_s, schedule.spec)}")
        sys.stderr.flush()

    before: list[tuple[int, Any]] = [(n, signal.signal(n, stop)) for n in (signal.SIGINT, signal.SIGTERM)]
    terminal = sys.stderr.isatty()
    try:
        made = Generator(schedule, stopping=lambda: bool(met), watch=watch if terminal else None).run()
    finally:
        for number, handler in before:
            signal.signal(number, handler)
        if terminal:
            sys.stderr.write("\r\x1b[K")
    return made
