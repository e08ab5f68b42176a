"""The daemon on the platform with `--operator FILE`."""

from __future__ import annotations

import sys

from fordtrestle.proxy.config import operator_file
from fordtrestle.proxy.config.errors import OperatorFileError
from fordtrestle.proxy.daemon import sidecar
from fordtrestle.proxy.daemon.signals import Signals


def run(file: str, signals: Signals) -> int:
    """Run with an operator's limits, within the platform's; the exit code."""
    try:
        limits = operator_file.read_limits(file)
    except OperatorFileError as error:
        print(error, file=sys.stderr)
        return 2
    return sidecar.main(signals, limits)
