"""The command line: a table of commands, each in a module that is imported when the command is called.

A command's module has `add_arguments(parser)`, which declares its arguments, and `run(arguments)`, which does
the work and returns the exit code (`exit_codes.py`).
"""

from __future__ import annotations

import argparse
import sys
from importlib import import_module

from fordtrestle.cli.exit_codes import EXIT_BAD_INPUT

# One line a command: its module is `cli/COMMAND.py`.
COMMANDS = {
    "sidecar": "serve clients of the system, as the file that FORDTRESTLE_CONFIG names tells",
    "control": "keep the system's control state, as that file tells",
    "ctl": "ask and order the control processes, as an operator",
    "serve": "run the services and fronts of an operator file",
    "check": "read an operator file and tell all that is wrong with it",
    "load": "send a load at the times it states, whatever is still open, and report what came of it",
}
OPERATOR_OPTION = "--operator"  # the only option without a command


def main(arguments: list[str]) -> int:
    """Run the command that the arguments name.

    Args:
        arguments: The command line without the program's name; at least one.

    Returns:
        The exit code.
    """
    first, rest = arguments[0], arguments[1:]
    try:
        if first in COMMANDS:
            return _run_command(first, rest)
        if first.startswith("-"):
            return _run_on_platform(arguments)
    except SystemExit as end:  # argparse ends so, after it has printed why
        return end.code if isinstance(end.code, int) else EXIT_BAD_INPUT
    print(f"fordtrestle: no such word as {first!r}; there are {', '.join(COMMANDS)}", file=sys.stderr)
    return EXIT_BAD_INPUT


def _run_command(command: str, rest: list[str]) -> int:
    """Run one command with the arguments that follow it and return the exit code."""
    module = import_module(f"fordtrestle.cli.{command}")
    parser = argparse.ArgumentParser(prog=f"fordtrestle {command}", description=COMMANDS[command])
    module.add_arguments(parser)
    code: int = module.run(parser.parse_args(rest))
    return code


def _run_on_platform(arguments: list[str]) -> int:
    """Run the platform's sidecar with an operator's limits and return the exit code."""
    operator_file = _platform_parser().parse_args(arguments).operator
    from fordtrestle.proxy.daemon.signals import Signals

    signals = Signals()
    signals.install()  # before the rest is loaded, which takes a while
    from fordtrestle.cli import platform

    return platform.run(operator_file, signals)


def _platform_parser() -> argparse.ArgumentParser:
    """The parser of a command line that begins with an option; its help lists all commands."""
    lines = [f"  {command:<10} {text}" for command, text in COMMANDS.items()]
    parser = argparse.ArgumentParser(
        prog="fordtrestle",
        description="The platform's sidecar, as NODE_CONFIG tells, or one of these words:",
        epilog="\n".join(lines),
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument(OPERATOR_OPTION, metavar="FILE", required=True, help="an operator file with [limits]")
    return parser
