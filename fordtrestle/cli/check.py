"""`fordtrestle check FILE`: all that is wrong with an operator file, at once."""

from __future__ import annotations

import argparse
import json
from collections.abc import Sequence

from fordtrestle.proxy.config import operator_file
from fordtrestle.proxy.config.errors import OperatorFileError
from fordtrestle.proxy.engine.schema import SchemaError

TABLES = ("services", "fronts", "sources")


def add(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("file", metavar="FILE", help="the operator file")
    parser.add_argument("--json", action="store_true", help="one JSON object for programs to read")
    parser.add_argument(
        "--platform", action="store_true", help="judge it as `--operator FILE` does: [limits] and no more"
    )


def run(given: argparse.Namespace) -> int:
    """Check a file; 0 where it is good, 2 where it is not."""
    named: dict[str, list[str]] = {}
    faults: Sequence[SchemaError] = ()
    try:
        if given.platform:
            operator_file.read_limits(given.file)
        else:
            config = operator_file.read(given.file)
            named = {table: list(getattr(config, table)) for table in TABLES}
    except OperatorFileError as error:
        faults = error.faults
        if not given.json:
            print(error)
    if given.json:
        print(json.dumps(_object(given.file, faults, named), indent=2))
    elif not faults:
        parts = [f"{table} {', '.join(names)}" for table, names in named.items() if names]
        print(f"{given.file}: good" + (f": {'; '.join(parts)}" if parts else ""))
    return 2 if faults else 0


def _object(file: str, faults: Sequence[SchemaError], named: dict[str, list[str]]) -> dict[str, object]:
    errors = [{"at": fault.at, "reason": fault.reason} for fault in faults]
    return {"file": file, "good": not faults, "errors": errors, **named}
