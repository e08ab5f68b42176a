"""Log output for operators."""

from __future__ import annotations

import sys


def log(text: str) -> None:
    """Write one line to standard error and flush it."""
    print(text.rstrip(), file=sys.stderr, flush=True)
