"""`fordtrestle serve FILE`: runs the services and listeners of an operator file in one process."""

from __future__ import annotations

import argparse

from fordtrestle.proxy.daemon.signals import Signals


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.add_argument("file", metavar="FILE", help="the operator file; SIGHUP reloads it")


def run(arguments: argparse.Namespace) -> int:
    """Serve until SIGTERM and return the exit code."""
    signals = Signals()
    signals.install()  # before the other imports, which take a while
    from fordtrestle.proxy.daemon import standalone

    return standalone.main(arguments.file, signals)
