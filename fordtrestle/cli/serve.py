"""`fordtrestle serve FILE`: one process, as an operator file tells."""

from __future__ import annotations

import argparse

from fordtrestle.proxy.daemon.signals import Signals


def add(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("file", metavar="FILE", help="the operator file; SIGHUP reads it anew")


def run(given: argparse.Namespace) -> int:
    """Run until SIGTERM; the exit code."""
    signals = Signals()
    signals.install()  # before the rest is loaded, which takes a while
    from fordtrestle.proxy.daemon import standalone

    return standalone.main(given.file, signals)
