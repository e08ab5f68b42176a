"""`fordtrestle control`: runs a control process with the settings in its settings file."""

from __future__ import annotations

import argparse

from fordtrestle.cli.start import disable_tls, install_early_signal_handlers


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare no arguments; the settings are in the file that FORDTRESTLE_CONFIG names."""


def run(arguments: argparse.Namespace) -> int:
    """Serve until SIGTERM and return the exit code."""
    install_early_signal_handlers()
    disable_tls()
    from fordtrestle.roles import control

    return control.main()
