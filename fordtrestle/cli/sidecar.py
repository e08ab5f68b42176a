"""`fordtrestle sidecar`: runs a sidecar, which serves clients, with the settings in its settings file."""

from __future__ import annotations

import argparse

from fordtrestle.cli.start import disable_tls, install_early_signal_handlers
from fordtrestle.ingress.early_listener import listen_early
from fordtrestle.ingress.early_rejection import reject_all
from fordtrestle.roles.early_sigterm import EarlySigterm


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare no arguments; the settings are in the file that FORDTRESTLE_CONFIG names."""


def run(arguments: argparse.Namespace) -> int:
    """Serve until SIGTERM and return the exit code."""
    install_early_signal_handlers()
    early_sigterm = EarlySigterm()
    early_sigterm.install()  # instead of an exit: clients may wait at the listener
    disable_tls()
    early_listener = listen_early("front")
    if early_listener is not None:
        listener = early_listener
        early_sigterm.on_overdue = lambda: reject_all(listener.accept_all())
    from fordtrestle.roles import sidecar

    return sidecar.main(early_listener, early_sigterm)
