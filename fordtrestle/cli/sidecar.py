"""`fordtrestle sidecar`: the process that serves clients, as its settings file tells."""

from __future__ import annotations

import argparse

from fordtrestle.cli.start import do_without_tls, take_signals
from fordtrestle.ingress.early_listener import listen_early


def add(parser: argparse.ArgumentParser) -> None:
    """It takes no arguments: its settings stand in the file that FORDTRESTLE_CONFIG names."""


def run(given: argparse.Namespace) -> int:
    """Serve until SIGTERM; the exit code."""
    take_signals()
    do_without_tls()
    early = listen_early("front")
    from fordtrestle.roles import sidecar

    return sidecar.main(early)
