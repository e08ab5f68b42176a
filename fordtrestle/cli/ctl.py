"""`fordtrestle ctl`: the operator's client for the control processes.

Exit codes: 0 done, 1 refused, 2 bad usage or input, 3 no control process could be reached in time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:  # at run time it is imported only by commands that call a control process
    from fordtrestle.control_api.client import ControlClient, ControlResponse

DONE = 0
REFUSED = 1  # a control process rejected the command
BAD_INPUT = 2
UNREACHABLE = 3  # no control process answered within the timeout
DEFAULT_TIMEOUT_S = 15.0  # how long calls without a clear answer are retried (docs/operate/control.md)

HTTP_OK = 200
NO_GENERATION = 0  # base version of the first configuration

LISTINGS = {
    "epoch": "list the primary, the replicas and the witnesses",
    "members": "list the processes of the system",
    "servers": "list the servers, and why some are not usable",
}
FILE_ACTIONS = {
    "put": "replace the whole configuration",
    "patch": "change named items of the configuration",
    "diff": "show what a file would change",
    "check": "list all errors in a file, without calling a control process",
}
WRITE_ACTIONS = ("put", "patch")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.add_argument(
        "--control",
        action="append",
        metavar="HOST:PORT",
        help="a control process; may be repeated",
    )
    parser.add_argument(
        "--timeout", type=float, default=DEFAULT_TIMEOUT_S, help="how long to retry, in seconds"
    )
    parser.add_argument("--json", action="store_true", help="print JSON in place of a table")
    commands = parser.add_subparsers(dest="word", required=True, metavar="WORD")
    _add_config_arguments(commands.add_parser("config", help="read and change the configuration"))
    evacuate = commands.add_parser("evacuate", help="evacuate a zone, or end its evacuation")
    evacuate.add_argument("step", choices=("start", "finish"))
    evacuate.add_argument("zone")
    for name, text in LISTINGS.items():
        commands.add_parser(name, help=text)


def _add_config_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of `ctl config`."""
    actions = parser.add_subparsers(dest="act", required=True)
    actions.add_parser("get", help="print the newest configuration")
    for name, text in FILE_ACTIONS.items():
        action = actions.add_parser(name, help=text)
        action.add_argument("file", type=Path)
        if name in WRITE_ACTIONS:
            action.add_argument(
                "--base", type=int, help="the generation that the change is based on; by default the newest"
            )


def run(arguments: argparse.Namespace) -> int:
    """Run the operator's command and return the exit code."""
    if arguments.word == "config" and arguments.act == "check":
        return _check_file(arguments.file)
    if not arguments.control:
        return _print_bad_input("--control HOST:PORT is required")
    return asyncio.run(_call_control(arguments))


def _print_bad_input(reason: object) -> int:
    """Print why the command can't be run, and return the exit code."""
    print(f"fordtrestle ctl: {reason}", file=sys.stderr)
    return BAD_INPUT


def _check_file(file: Path) -> int:
    """Print all errors of a configuration file, without calling a process, and return the exit code."""
    from returns.result import Failure

    from fordtrestle.control_api.configuration import read_put

    try:
        body = file.read_bytes()
    except OSError as error:
        return _print_bad_input(error)
    match read_put(body):
        case Failure(invalid):
            for line in invalid.errors:
                print(f"{file}: {line}", file=sys.stderr)
            return BAD_INPUT
    return DONE


async def _call_control(arguments: argparse.Namespace) -> int:
    """Send the command to the control processes and return the exit code."""
    from fordtrestle.control_api.client import ControlClient
    from fordtrestle.control_api.errors import UnreachableError

    body = b""
    if arguments.word == "config" and arguments.act != "get":
        try:
            body = arguments.file.read_bytes()
        except OSError as error:
            return _print_bad_input(error)
    try:
        async with ControlClient(arguments.control, arguments.timeout) as client:
            return await _send_command(arguments, client, body)
    except ValueError as error:
        return _print_bad_input(error)
    except UnreachableError as error:
        print(f"fordtrestle ctl: {error}", file=sys.stderr)
        return UNREACHABLE


async def _send_command(arguments: argparse.Namespace, client: ControlClient, body: bytes) -> int:
    """Send one command, print the result and return the exit code.

    Raises:
        UnreachableError: No control process answered in time.
        ValueError: An address is malformed, or a document is not JSON.
    """
    if arguments.word == "evacuate":
        response = await client.send("POST", f"/v1/evacuations/{arguments.zone}/{arguments.step}")
        return _print_faults(response)
    if arguments.word in LISTINGS:
        return _print_rows(await client.send("GET", f"/v1/{arguments.word}"), arguments.json)
    if arguments.act in WRITE_ACTIONS:
        return await _write_configuration(arguments, client, body)
    return await _read_configuration(arguments, client, body)


async def _write_configuration(arguments: argparse.Namespace, client: ControlClient, body: bytes) -> int:
    """Send `config put` or `config patch`, print any errors and return the exit code."""
    base = arguments.base if arguments.base is not None else await _newest_generation(client)
    headers = {"X-Base-Version": str(base)}
    return _print_faults(await client.send("POST", f"/v1/config/{arguments.act}", body, headers))


async def _read_configuration(arguments: argparse.Namespace, client: ControlClient, body: bytes) -> int:
    """Print the newest configuration, or its differences from `body`, and return the exit code."""
    response = await client.send("GET", "/v1/config/get")
    if response.status != HTTP_OK:
        return _print_faults(response)
    if arguments.act == "diff":
        return _print_differences(json.loads(response.body), json.loads(body))
    print(json.dumps(json.loads(response.body), indent=2))
    return DONE


async def _newest_generation(client: ControlClient) -> int:
    """Return the current generation, or `NO_GENERATION` if it can't be read."""
    response = await client.send("GET", "/v1/config/get")
    if response.status != HTTP_OK:
        return NO_GENERATION
    return int(json.loads(response.body)["generation"])


def _print_faults(response: ControlResponse) -> int:
    """Print the errors of a rejected command and return the exit code."""
    if response.status == HTTP_OK:
        return DONE
    faults = json.loads(response.body or b"{}").get("errors") or [f"status {response.status}"]
    for line in faults:
        print(f"refused ({response.status}): {line}", file=sys.stderr)
    return REFUSED


def _print_rows(response: ControlResponse, as_json: bool) -> int:
    """Print a listing as a table or as JSON and return the exit code."""
    if response.status != HTTP_OK:
        return _print_faults(response)
    rows = json.loads(response.body)["rows"]
    if as_json:
        print(json.dumps(rows, indent=2))
    elif rows:
        _print_table(rows)
    return DONE


def _print_table(rows: list[dict[str, Any]]) -> None:
    """Print rows as a table with column names, each column as wide as its widest value."""
    columns = list(rows[0])
    widths = {name: max(len(name), *(len(str(row[name])) for row in rows)) for name in columns}
    heading = dict(zip(columns, columns, strict=True))
    for row in [heading, *rows]:
        print("  ".join(str(row[name]).ljust(widths[name]) for name in columns).rstrip())


def _print_differences(current: dict[str, Any], other: dict[str, Any]) -> int:
    """Print the items that a document adds, removes or changes, and return the exit code."""
    for kind in ("routes", "services"):
        before = {row["name"]: row for row in current.get(kind) or ()}
        after = {row["name"]: row for row in other.get(kind) or ()}
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) == after.get(name):
                continue
            sign = "+" if name not in before else "-" if name not in after else "~"
            print(f"{sign} {kind} {name}")
    return DONE
