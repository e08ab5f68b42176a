"""The command line: a table of words, each in a file of its own that is loaded when it is called.

A word's file has `add(parser)`, which declares its arguments, and `run(given)`, which does the work
and returns the exit code: 0 done, 1 failed or a bound not met, 2 bad input.
"""

from __future__ import annotations

import argparse
import sys
from importlib import import_module

# One line a word: its file is `cli/WORD.py`.
WORDS = {
    "sidecar": "serve clients of the system, as the file that FORDTRESTLE_CONFIG names tells",
    "control": "keep the system's control state, as that file tells",
    "ctl": "ask and order the control processes, as an operator",
    "serve": "run the services and fronts of an operator file",
    "check": "read an operator file and tell all that is wrong with it",
    "load": "send a load at the times it states, whatever is still open, and report what came of it",
}
PLATFORM = "--operator"


def main(words: list[str]) -> int:
    """Do what the words ask; the exit code."""
    first, rest = words[0], words[1:]
    try:
        if first in WORDS:
            return _run(first, rest)
        if first.startswith("-"):
            return _platform(words)
    except SystemExit as end:  # how argparse ends, having said why
        return end.code if isinstance(end.code, int) else 2
    print(f"fordtrestle: no such word as {first!r}; there are {', '.join(WORDS)}", file=sys.stderr)
    return 2


def _run(word: str, rest: list[str]) -> int:
    module = import_module(f"fordtrestle.cli.{word}")
    parser = argparse.ArgumentParser(prog=f"fordtrestle {word}", description=WORDS[word])
    module.add(parser)
    code: int = module.run(parser.parse_args(rest))
    return code


def _platform(words: list[str]) -> int:
    """The daemon on the platform, with an operator's limits."""
    lines = [f"  {word:<10} {text}" for word, text in WORDS.items()]
    parser = argparse.ArgumentParser(
        prog="fordtrestle",
        description="The platform's sidecar, as NODE_CONFIG tells, or one of these words:",
        epilog="\n".join(lines),
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument(PLATFORM, metavar="FILE", required=True, help="an operator file with [limits]")
    given = parser.parse_args(words)
    from fordtrestle.proxy.daemon.signals import Signals

    signals = Signals()
    signals.install()
    from fordtrestle.cli import platform

    return platform.run(given.operator, signals)
