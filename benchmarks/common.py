"""Options, tables and files that the benchmarks share."""

from __future__ import annotations

import argparse
import gc
import json
import math
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from rig.balancers import revision
from rig.helper import ROOT
from rig.process import raise_descriptors, reserve_core

DONE, NOT_MET, BAD_INPUT = 0, 1, 2


def create_parser(name: str, description: str | None) -> argparse.ArgumentParser:
    """Create a command line parser with the options of all benchmarks; bad input exits with code 2."""
    parser = argparse.ArgumentParser(prog=f"python -m benchmarks.{name}", description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=_file, metavar="FILE", help="write all figures to this file")
    parser.add_argument("--tree", type=_tree, default=ROOT, metavar="DIR", help="the checkout to measure")
    return parser


def _tree(text: str) -> Path:
    path = Path(text).resolve()
    if not (path / "fordtrestle" / "__main__.py").is_file():
        raise argparse.ArgumentTypeError(f"expected a checkout with fordtrestle/__main__.py, got {text}")
    return path


def _file(text: str) -> Path:
    """Parse the path of an output file, so that a run does not fail to write its figures at its end."""
    path = Path(text).resolve()
    if not path.parent.is_dir() or path.is_dir() or not os.access(path.parent, os.W_OK):
        raise argparse.ArgumentTypeError(f"expected a file in a writable folder, got {text}")
    return path


def select_names(text: str | None, known: Sequence[str], parser: argparse.ArgumentParser) -> list[str]:
    """Return the names that `--only` selects, in the order of `known`; an unknown one exits with code 2."""
    names = text.split(",") if text else list(known)
    for name in names:
        if name not in known:
            parser.error(f"--only: expected names of {', '.join(known)}; got {name!r}")
    return [name for name in known if name in names]


def prepare_process() -> None:
    """Prepare this process for measuring.

    Keeps it off the core of the program, raises its descriptor limit and excludes all present objects from
    garbage collection.
    """
    reserve_core()
    raise_descriptors()
    gc.collect()
    gc.freeze()


def table(heads: Sequence[str], rows: Sequence[Sequence[str]], right: bool = True) -> str:
    """Format a table. The first column is left-aligned, the others are right-aligned if `right` is set."""
    widths = [max(len(row[column]) for row in (heads, *rows)) for column in range(len(heads))]

    def line(row: Sequence[str]) -> str:
        cells = [
            cell.ljust(width) if column == 0 or not right else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(row, widths, strict=True))
        ]
        return "  ".join(cells).rstrip()

    return "\n".join([line(heads), *(line(row) for row in rows)])


def format_figure(value: float | None, form: str = ".0f") -> str:
    """Format a figure for a table; `-` if there is none or it is not finite."""
    return "-" if value is None or not math.isfinite(value) else format(value, form)


def write_json(path: Path | None, tree: Path, figures: dict[str, Any]) -> None:
    """Write all figures with the revision of the measured checkout."""
    if path is not None:
        document = {"revision": revision(tree), **figures}
        path.write_text(json.dumps(document, indent=1, allow_nan=False) + "\n", encoding="utf-8")
