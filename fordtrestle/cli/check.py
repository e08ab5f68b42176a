"""`fordtrestle check FILE`: prints all errors of an operator file at once."""

from __future__ import annotations

import argparse
import json
from collections.abc import Sequence

from fordtrestle.cli.exit_codes import EXIT_BAD_INPUT, EXIT_DONE
from fordtrestle.proxy.config import operator_file
from fordtrestle.proxy.config.errors import OperatorFileError
from fordtrestle.proxy.engine.schema import SchemaError

LISTED_TABLES = ("services", "fronts", "sources")  # the names in them are printed for a valid file


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.add_argument("file", metavar="FILE", help="the operator file")
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument(
        "--platform",
        action="store_true",
        help="validate for `--operator FILE`, which allows only [limits]",
    )


def run(arguments: argparse.Namespace) -> int:
    """Check a file and return `EXIT_DONE` if it is valid, else `EXIT_BAD_INPUT`."""
    names: dict[str, list[str]] = {}
    errors: Sequence[SchemaError] = ()
    try:
        names = _names_by_table(arguments.file, arguments.platform)
    except OperatorFileError as error:
        errors = error.faults
        if not arguments.json:
            print(error)
    if arguments.json:
        print(json.dumps(_json_report(arguments.file, errors, names), indent=2))
    elif not errors:
        parts = [f"{table} {', '.join(listed)}" for table, listed in names.items() if listed]
        print(f"{arguments.file}: good" + (f": {'; '.join(parts)}" if parts else ""))
    return EXIT_BAD_INPUT if errors else EXIT_DONE


def _names_by_table(file: str, is_for_platform: bool) -> dict[str, list[str]]:
    """Read a file and return the names in each of `LISTED_TABLES`; none for the platform.

    Raises:
        OperatorFileError: The file is not valid; the exception lists all errors.
    """
    if is_for_platform:
        operator_file.read_limits(file)
        return {}
    config = operator_file.read(file)
    return {table: list(getattr(config, table)) for table in LISTED_TABLES}


def _json_report(file: str, errors: Sequence[SchemaError], names: dict[str, list[str]]) -> dict[str, object]:
    """Return the JSON object for `--json`; its keys are part of the interface and must not change."""
    listed_errors = [{"at": error.at, "reason": error.reason} for error in errors]
    return {"file": file, "good": not errors, "errors": listed_errors, **names}
