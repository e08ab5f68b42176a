"""`fordtrestle control`: the process that keeps the control state, as its settings file tells."""

from __future__ import annotations

import argparse

from fordtrestle.cli.start import do_without_tls, take_signals


def add(parser: argparse.ArgumentParser) -> None:
    """It takes no arguments: its settings stand in the file that FORDTRESTLE_CONFIG names."""


def run(given: argparse.Namespace) -> int:
    """Serve until SIGTERM; the exit code."""
    take_signals()
    do_without_tls()
    from fordtrestle.roles import control

    return control.main()
