"""The command line: a table of commands, each in a module that is imported only when the command is run.

The module of a command has `add_arguments(parser)`, which declares its arguments, and `run(arguments)`, which
runs it and returns the exit code (`exit_codes.py`).
"""

from __future__ import annotations

import argparse
import sys
from importlib import import_module

from fordtrestle.cli.exit_codes import EXIT_BAD_INPUT

# The help text of each command; its module is `cli/COMMAND.py`.
COMMANDS = {
    "sidecar": "run a sidecar, configured by the file that FORDTRESTLE_CONFIG names",
    "control": "run a control process, configured by the file that FORDTRESTLE_CONFIG names",
    "ctl": "query and change the control state as an operator",
    "serve": "run the services and fronts of an operator file",
    "check": "validate an operator file and list all errors in it",
    "load": "send a load at its scheduled times, however many requests are open, and report the results",
}
OPERATOR_OPTION = "--operator"  # the only option that is used without a command


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
    except SystemExit as exit_request:  # raised by argparse after it has printed the reason
        return exit_request.code if isinstance(exit_request.code, int) else EXIT_BAD_INPUT
    print(f"fordtrestle: unknown command {first!r}, expected one of {', '.join(COMMANDS)}", file=sys.stderr)
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
    signals.install()  # before the other imports, which take a while
    from fordtrestle.cli import platform

    return platform.run(operator_file, signals)


def _platform_parser() -> argparse.ArgumentParser:
    """Return the parser for a command line that begins with an option; its help lists all commands."""
    lines = [f"  {command:<10} {text}" for command, text in COMMANDS.items()]
    parser = argparse.ArgumentParser(
        prog="fordtrestle",
        description="Run the platform's sidecar, configured by NODE_CONFIG, or one of these commands:",
        epilog="\n".join(lines),
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument(OPERATOR_OPTION, metavar="FILE", required=True, help="an operator file with [limits]")
    return parser
