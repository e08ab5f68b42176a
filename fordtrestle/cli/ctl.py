"""`fordtrestle ctl`: the operator's client of the control processes.

Exit codes: 0 done, 1 refused, 2 bad usage or input, 3 no control process could be reached in time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:  # as commands run, it is imported only where a process is asked
    from fordtrestle.control_api.client import ControlClient, ControlResponse

DONE, REFUSED, BAD_INPUT, UNREACHABLE = 0, 1, 2, 3
DEFAULT_TIMEOUT_S = 15.0


def add(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument(
        "--control", action="append", metavar="HOST:PORT", help="a control process; may be repeated"
    )
    parser.add_argument(
        "--timeout", type=float, default=DEFAULT_TIMEOUT_S, help="seconds to go on trying for"
    )
    parser.add_argument("--json", action="store_true", help="print JSON where a table is printed")
    words = parser.add_subparsers(dest="word", required=True, metavar="WORD")
    config = words.add_parser("config", help="the configuration").add_subparsers(dest="act", required=True)
    config.add_parser("get", help="print the newest one")
    for act, text in (
        ("put", "put a whole one in force"),
        ("patch", "change named items of it"),
        ("diff", "what a file would change"),
        ("check", "say all that is wrong with a file, without asking anyone"),
    ):
        word = config.add_parser(act, help=text)
        word.add_argument("file", type=Path)
        if act in ("put", "patch"):
            word.add_argument(
                "--base", type=int, help="the generation that it builds on; the newest by default"
            )
    evacuate = words.add_parser("evacuate", help="empty a zone or take it back")
    evacuate.add_argument("step", choices=("start", "finish"))
    evacuate.add_argument("zone")
    words.add_parser("epoch", help="who is primary, with replicas and witnesses")
    words.add_parser("members", help="the processes of the system")
    words.add_parser("servers", help="the servers, and why some are not usable")


def run(given: argparse.Namespace) -> int:
    """Do what the words ask; the exit code."""
    if given.word == "config" and given.act == "check":
        return _check(given.file)
    if not given.control:
        print("fordtrestle ctl: --control HOST:PORT is needed", file=sys.stderr)
        return BAD_INPUT
    return asyncio.run(_ask(given))


def _check(file: Path) -> int:
    from returns.result import Failure

    from fordtrestle.control_api.configuration import read_put

    try:
        body = file.read_bytes()
    except OSError as error:
        print(f"fordtrestle ctl: {error}", file=sys.stderr)
        return BAD_INPUT
    match read_put(body):
        case Failure(invalid):
            for line in invalid.faults:
                print(f"{file}: {line}", file=sys.stderr)
            return BAD_INPUT
    return DONE


async def _ask(given: argparse.Namespace) -> int:
    from fordtrestle.control_api.client import ControlClient
    from fordtrestle.control_api.errors import UnreachableError

    body = b""
    if given.word == "config" and given.act != "get":
        try:
            body = given.file.read_bytes()
        except OSError as error:
            print(f"fordtrestle ctl: {error}", file=sys.stderr)
            return BAD_INPUT
    try:
        async with ControlClient(given.control, given.timeout) as client:
            return await _answer(given, client, body)
    except ValueError as error:
        print(f"fordtrestle ctl: {error}", file=sys.stderr)
        return BAD_INPUT
    except UnreachableError as error:
        print(f"fordtrestle ctl: {error}", file=sys.stderr)
        return UNREACHABLE


async def _answer(given: argparse.Namespace, client: ControlClient, body: bytes) -> int:
    if given.word == "evacuate":
        return _print_faults(await client.send("POST", f"/v1/evacuations/{given.zone}/{given.step}"))
    if given.word in ("epoch", "members", "servers"):
        return _print_rows(await client.send("GET", f"/v1/{given.word}"), given.json)
    if given.act in ("put", "patch"):
        base = given.base if given.base is not None else await _generation(client)
        return _print_faults(
            await client.send("POST", f"/v1/config/{given.act}", body, {"X-Base-Version": str(base)})
        )
    response = await client.send("GET", "/v1/config/get")
    if response.status != 200:
        return _print_faults(response)
    if given.act == "diff":
        return _print_differences(json.loads(response.body), json.loads(body))
    print(json.dumps(json.loads(response.body), indent=2))
    return DONE


async def _generation(client: ControlClient) -> int:
    response = await client.send("GET", "/v1/config/get")
    return int(json.loads(response.body)["generation"]) if response.status == 200 else 0


def _print_faults(response: ControlResponse) -> int:
    """Print why a command was refused, if it was; the exit code."""
    if response.status == 200:
        return DONE
    faults = json.loads(response.body or b"{}").get("errors") or [f"status {response.status}"]
    for line in faults:
        print(f"refused ({response.status}): {line}", file=sys.stderr)
    return REFUSED


def _print_rows(response: ControlResponse, as_json: bool) -> int:
    """Print a listing as a table or as JSON; the exit code."""
    if response.status != 200:
        return _print_faults(response)
    rows = json.loads(response.body)["rows"]
    if as_json:
        print(json.dumps(rows, indent=2))
        return DONE
    columns = list(rows[0]) if rows else []
    widths = {name: max(len(name), *(len(str(row[name])) for row in rows)) for name in columns}
    for row in [dict(zip(columns, columns, strict=True)), *rows] if rows else []:
        print("  ".join(str(row[name]).ljust(widths[name]) for name in columns).rstrip())
    return DONE


def _print_differences(current: dict[str, Any], other: dict[str, Any]) -> int:
    """Print what a document would change, item by item."""
    for kind in ("routes", "services"):
        before = {row["name"]: row for row in current.get(kind) or ()}
        after = {row["name"]: row for row in other.get(kind) or ()}
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) == after.get(name):
                continue
            sign = "+" if name not in before else "-" if name not in after else "~"
            print(f"{sign} {kind} {name}")
    return DONE
