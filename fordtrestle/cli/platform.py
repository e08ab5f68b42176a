"""`fordtrestle --operator FILE`: runs the platform's sidecar with the limits of an operator."""

from __future__ import annotations

import sys

from fordtrestle.cli.exit_codes import EXIT_BAD_INPUT
from fordtrestle.proxy.config import operator_file
from fordtrestle.proxy.config.errors import OperatorFileError
from fordtrestle.proxy.daemon import sidecar
from fordtrestle.proxy.daemon.signals import Signals


def run(file: str, signals: Signals) -> int:
    """Serve until SIGTERM and return the exit code.

    Args:
        file: The operator file; its limits apply within the platform's.
        signals: The signal handlers, already installed.

    Returns:
        The sidecar's exit code, or `EXIT_BAD_INPUT` if the file is not valid.
    """
    try:
        limits = operator_file.read_limits(file)
    except OperatorFileError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_INPUT
    return sidecar.main(signals, limits)
