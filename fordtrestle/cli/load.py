"""`load SPEC` sends a load and reports the results; also `load check`, `load trace` and `load write`."""

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
from fordtrestle.load.recorder import import_library
from fordtrestle.load.records import Spec
from fordtrestle.load.schedule import Schedule, make_schedule
from fordtrestle.load.spec import MAX_SEED, MAX_WORKERS, parse
from fordtrestle.proxy.engine.ports import parse_address

ON_STANDARD_OUTPUT = "-"  # value of --json without a file name
CLEAR_LINE = "\r\x1b[K"  # return to the start of the line, then erase it (ECMA-48)


class OptionError(LoadError):
    """Raised when the value of an option is invalid; the text names the option."""


@dataclass(frozen=True, slots=True)
class _Subcommand:
    """A subcommand and the number of files that it takes; `None` for one or more."""

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
        "what",
        nargs="+",
        metavar="SPEC",
        help="a load file, or one of check, trace and write",
    )
    parser.add_argument("--to", metavar="HOST:PORT", help="target address, overrides the one in the file")
    parser.add_argument("--seed", type=int, metavar="N", help="random seed, overrides the one in the file")
    parser.add_argument(
        "--workers", type=int, metavar="N", help="number of sending processes, overrides the one in the file"
    )
    parser.add_argument(
        "--json",
        nargs="?",
        const=ON_STANDARD_OUTPUT,
        metavar="FILE",
        help="write the report as JSON to FILE, or to standard output",
    )
    parser.add_argument("--plot", metavar="FILE", help="write the report as a plot, .svg or .png")


def run(arguments: argparse.Namespace) -> int:
    """Run the subcommand, or `load SPEC` if none is named, and return the exit code."""
    subcommands = {
        "check": _Subcommand(_check, 1),
        "trace": _Subcommand(_print_traces, None),
        "write": _Subcommand(_write_trace, 2),
    }
    subcommand_name, *files = arguments.what
    subcommand = subcommands.get(subcommand_name)
    if subcommand is None:
        subcommand, files = _Subcommand(_send, 1), arguments.what
    count = subcommand.file_count
    if not files or (count is not None and len(files) != count):
        return _print_bad_input(
            f"load {subcommand_name}: expected {count or 'one or more'} files, not {len(files)}"
        )
    try:
        return subcommand.run(arguments, files)
    except SpecError as error:
        return _print_bad_input(*error.lines)
    except LoadError as error:
        return _print_bad_input(str(error))


def _print_bad_input(*lines: str) -> int:
    """Print error lines and return the exit code."""
    for line in lines:
        print(line, file=sys.stderr)
    return EXIT_BAD_INPUT


# --- options --------------------------------------------------------------------


def _read_spec(arguments: argparse.Namespace, file: str) -> Spec:
    """Read a load file; options override its values.

    Raises:
        SpecError: The file can't be read or is not valid.
        OptionError: The value of an option is invalid.
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
        # Each worker needs at least one request and one connection.
        max_workers = min(MAX_WORKERS, spec.open_most, spec.connections_most)
        spec = replace(spec, workers=_check_range("--workers", arguments.workers, 1, max_workers))
    return spec


def _check_range(option: str, value: int, low: int, high: int) -> int:
    """Return the value if it is within `low` to `high`, else raise `OptionError`."""
    if not low <= value <= high:
        raise OptionError(f"{option}: {value} is not within {low} to {high}")
    return value


def _read_schedule(arguments: argparse.Namespace, file: str) -> Schedule:
    """Read a load file and the trace that it may name.

    Raises:
        LoadError: The file, the trace or an option is not valid.
    """
    return make_schedule(_read_spec(arguments, file), Path(file).parent)


def _check_writable(option: str, file: str) -> Path:
    """Return the path of a file if its folder exists, else raise `OptionError`.

    Checked before a load is sent, so that no run is lost because its report can't be written.
    """
    path = Path(file)
    if path.is_dir() or not path.parent.is_dir():
        raise OptionError(f"{option}: {file}: can't be written")
    return path


def _plot_path(arguments: argparse.Namespace) -> Path | None:
    """Return the path of the plot; `None` if no plot is requested.

    Raises:
        OptionError: The plot can't be written there, or its suffix is not a known format.
        MissingLibraryError: matplotlib is not installed.
    """
    if arguments.plot is None:
        return None
    path = _check_writable("--plot", arguments.plot)
    if path.suffix not in plot.SUFFIXES:
        raise OptionError(f"--plot: {path}: a plot ends with {' or '.join(plot.SUFFIXES)}")
    import_library("matplotlib", "plot")
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
    """`load trace FILE...`: print a summary of each trace."""
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
    """Return the JSON object of one trace; its keys are part of the interface and must not change."""
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
    """`load SPEC`: send a load and report the results; return `EXIT_FAILED` if a bound was not met."""
    import_library("hdrh.histogram", "load")
    json_path = None
    if arguments.json not in (None, ON_STANDARD_OUTPUT):
        json_path = _check_writable("--json", arguments.json)
    plot_path = _plot_path(arguments)
    schedule = _read_schedule(arguments, files[0])
    summary = report.make_report(_run(schedule), schedule, files[0])
    text = json.dumps(summary, indent=1, allow_nan=False)
    print(text if arguments.json == ON_STANDARD_OUTPUT else report.format_table(summary))
    if json_path is not None:
        json_path.write_text(text + "\n", encoding="utf-8")
    if plot_path is not None:
        plot.plot(summary, plot_path)
    return EXIT_DONE if report.meets_bounds(summary) else EXIT_FAILED


def _run(schedule: Schedule) -> Run:
    """Send a load.

    The first SIGINT or SIGTERM ends it early; the measurements up to then are returned.
    """
    signals_received: list[int] = []

    def on_signal(number: int, frame: FrameType | None) -> None:
        signals_received.append(number)

    def show_progress(run: Run, now_s: float) -> None:
        sys.stderr.write(f"{CLEAR_LINE}{report.progress_line(run, now_s, schedule.spec)}")
        sys.stderr.flush()

    previous_handlers: list[tuple[int, Any]] = [
        (number, signal.signal(number, on_signal)) for number in (signal.SIGINT, signal.SIGTERM)
    ]
    is_terminal = sys.stderr.isatty()
    try:
        return Generator(
            schedule,
            should_stop=lambda: bool(signals_received),
            on_progress=show_progress if is_terminal else None,
        ).run()
    finally:
        for number, handler in previous_handlers:
            signal.signal(number, handler)
        if is_terminal:
            sys.stderr.write(CLEAR_LINE)
