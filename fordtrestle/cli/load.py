"""`load SPEC` sends a load and reports it; beside it `load check`, `load trace` and `load write`."""

from __future__ import annotations

import argparse
import json
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from types import FrameType
from typing import Any

from fordtrestle.cli.exit_codes import EXIT_BAD_INPUT, EXIT_DONE, EXIT_FAILED
from fordtrestle.load import plot, report, trace
from fordtrestle.load.arrivals import US_PER_S
from fordtrestle.load.errors import GeneratorError, LoadError, SpecError
from fordtrestle.load.generator import Generator, Run
from fordtrestle.load.recorder import library
from fordtrestle.load.schedule import Schedule, make_schedule
from fordtrestle.load.spec import MAX_SEED, MAX_WORKERS, Spec, parse
from fordtrestle.proxy.engine.ports import parse_address

ON_STANDARD_OUTPUT = "-"  # value of --json where it names no file
CLEAR_LINE = "\r\x1b[K"  # back to the line's begin, then erase it (ECMA-48)


class OptionError(LoadError):
    """An option whose value can't be used; the text names the option."""


@dataclass(frozen=True, slots=True)
class _Subcommand:
    """What is done with the files that are named, and how many it takes (None: one or more)."""

    run: Callable[[argparse.Namespace, list[str]], int]
    file_count: int | None


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
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
        "--json",
        nargs="?",
        const=ON_STANDARD_OUTPUT,
        metavar="FILE",
        help="the report, there or on the output",
    )
    parser.add_argument("--plot", metavar="FILE", help="the report as a picture, .svg or .png")


def run(arguments: argparse.Namespace) -> int:
    """Run the subcommand, `load SPEC` where none is named, and return the exit code."""
    subcommands = {
        "check": _Subcommand(_check, 1),
        "trace": _Subcommand(_print_traces, None),
        "write": _Subcommand(_write_trace, 2),
    }
    word, *files = arguments.what
    subcommand = subcommands.get(word)
    if subcommand is None:
        subcommand, files = _Subcommand(_send, 1), arguments.what
    count = subcommand.file_count
    if not files or (count is not None and len(files) != count):
        return _print_bad_input(f"load {word}: expected {count or 'some'} files, not {len(files)}")
    try:
        return subcommand.run(arguments, files)
    except SpecError as error:
        return _print_bad_input(*error.lines)
    except LoadError as error:
        return _print_bad_input(str(error))


def _print_bad_input(*lines: str) -> int:
    """Print what is wrong, a line each, and return the exit code."""
    for line in lines:
        print(line, file=sys.stderr)
    return EXIT_BAD_INPUT


# --- options --------------------------------------------------------------------


def _read_spec(arguments: argparse.Namespace, file: str) -> Spec:
    """Read a load file; options take the place of what it says.

    Raises:
        SpecError: The file can't be read or is not valid.
        OptionError: The value of an option can't be used.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SpecError([f"{file}: {getattr(error, 'strerror', None) or 'not UTF-8'}"]) from None
    spec = parse(text, file)
    if arguments.to is not None:
        try:
            spec = replace(spec, target=parse_address(arguments.to))
        except ValueError:
            raise OptionError(f"--to: {arguments.to!r} is not HOST:PORT") from None
    if arguments.seed is not None:
        spec = replace(spec, seed=_check_range("--seed", arguments.seed, 0, MAX_SEED))
    if arguments.workers is not None:
        # Each worker needs one request and one connection at least.
        max_workers = min(MAX_WORKERS, spec.open_most, spec.connections_most)
        spec = replace(spec, workers=_check_range("--workers", arguments.workers, 1, max_workers))
    return spec


def _check_range(option: str, value: int, low: int, high: int) -> int:
    """Return a value that lies within `low` to `high`; `OptionError` for any other."""
    if not low <= value <= high:
        raise OptionError(f"{option}: {value} is not within {low} to {high}")
    return value


def _read_schedule(arguments: argparse.Namespace, file: str) -> Schedule:
    """Read a load file and the trace that it may name.

    Raises:
        LoadError: One of them is not valid, or an option is not.
    """
    return make_schedule(_read_spec(arguments, file), Path(file).parent)


def _check_writable(option: str, file: str) -> Path:
    """Return a path whose folder exists; `OptionError` for any other.

    Checked before a load is sent, so that no run is lost because its report can't be written.
    """
    path = Path(file)
    if path.is_dir() or not path.parent.is_dir():
        raise OptionError(f"{option}: {file}: can't be written")
    return path


def _plot_path(arguments: argparse.Namespace) -> Path | None:
    """Where the plot goes, None where none is asked for.

    Raises:
        OptionError: It can't be written there, or its suffix names no format.
        MissingLibraryError: matplotlib is not installed.
    """
    if arguments.plot is None:
        return None
    path = _check_writable("--plot", arguments.plot)
    if path.suffix not in plot.SUFFIXES:
        raise OptionError(f"--plot: {path}: a plot ends with {' or '.join(plot.SUFFIXES)}")
    library("matplotlib", "plot")
    return path


# --- subcommands ----------------------------------------------------------------


def _check(arguments: argparse.Namespace, files: list[str]) -> int:
    """`load check SPEC`: print how many requests a load has, without sending any."""
    schedule = _read_schedule(arguments, files[0])
    count = sum(1 for _ in schedule.requests())
    length_s = schedule.length_us / US_PER_S
    if arguments.json:
        print(json.dumps({"file": files[0], "good": True, "requests": count, "length_s": length_s}))
    else:
        print(f"{files[0]}: good: {count} requests in {length_s:g} s, {count / length_s:.1f} a second")
    return EXIT_DONE


def _print_traces(arguments: argparse.Namespace, files: list[str]) -> int:
    """`load trace FILE...`: print what traces hold."""
    rows = [_trace_row(file, trace.inspect(Path(file))) for file in files]
    if arguments.json:
        print(json.dumps(rows))
        return EXIT_DONE
    for row in rows:
        classes = ", ".join(f"{name} {count}" for name, count in row["classes"].items())
        print(
            f"{row['file']}: good: {row['requests']} requests in {row['length_s']:g} s, "
            f"at most {row['most_in_a_second']} in one; {classes}"
        )
    return EXIT_DONE


def _trace_row(file: str, summary: trace.TraceSummary) -> dict[str, Any]:
    """The JSON object of one trace; its keys are shown to users and stay."""
    return {
        "file": file,
        "requests": summary.requests,
        "length_s": summary.length_us / US_PER_S,
        "most_in_a_second": summary.max_requests_per_second,
        "classes": summary.classes,
        "tenants": summary.tenants,
    }


def _write_trace(arguments: argparse.Namespace, files: list[str]) -> int:
    """`load write SPEC FILE`: write the requests of a load as a trace."""
    schedule = _read_schedule(arguments, files[0])
    path = _check_writable("write", files[1])
    try:
        count = trace.write(path, schedule.requests(), schedule.length_us)
    except (OSError, ValueError) as error:
        raise GeneratorError(f"{path}: {error}") from None
    print(f"{path}: {count} requests written")
    return EXIT_DONE


def _send(arguments: argparse.Namespace, files: list[str]) -> int:
    """`load SPEC`: send a load and report it; `EXIT_FAILED` where a bound was not met."""
    library("hdrh.histogram", "load")
    json_path = None
    if arguments.json not in (None, ON_STANDARD_OUTPUT):
        json_path = _check_writable("--json", arguments.json)
    plot_path = _plot_path(arguments)
    schedule = _read_schedule(arguments, files[0])
    summary = report.report(_run(schedule), schedule, files[0])
    text = json.dumps(summary, indent=1, allow_nan=False)
    print(text if arguments.json == ON_STANDARD_OUTPUT else report.table(summary))
    if json_path is not None:
        json_path.write_text(text + "\n", encoding="utf-8")
    if plot_path is not None:
        plot.plot(summary, plot_path)
    return EXIT_DONE if report.met(summary) else EXIT_FAILED


def _run(schedule: Schedule) -> Run:
    """Send a load.

    The first SIGINT or SIGTERM ends it early; what was measured until then is returned.
    """
    signals_received: list[int] = []

    def on_signal(number: int, frame: FrameType | None) -> None:
        signals_received.append(number)

    def show_progress(run: Run, now_s: float) -> None:
        sys.stderr.write(f"{CLEAR_LINE}{report.live(run, now_s, schedule.spec)}")
        sys.stderr.flush()

    handlers_before: list[tuple[int, Any]] = [
        (number, signal.signal(number, on_signal)) for number in (signal.SIGINT, signal.SIGTERM)
    ]
    is_terminal = sys.stderr.isatty()
    try:
        return Generator(
            schedule,
            stopping=lambda: bool(signals_received),
            watch=show_progress if is_terminal else None,
        ).run()
    finally:
        for number, handler in handlers_before:
            signal.signal(number, handler)
        if is_terminal:
            sys.stderr.write(CLEAR_LINE)
