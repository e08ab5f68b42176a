"""The daemon on the platform with `--operator FILE`."""

from __future__ import annotations

import sys

from fordtrestle.proxy.config import operator
from fordtrestle.proxy.config.operator import OperatorError
from fordtrestle.proxy.daemon import sidecar
from fordtrestle.proxy.daemon.signals import Signals


def run(file: str, signals: Signals) -> int:
    """Run with an operator's limits, within the platform's; the exit code."""
    try:
        limits = operator.read_limits(file)
    except OperatorError as error:
        print(error, file=sys.stderr)
        return 2
    return sidecar.main(signals, limits)
