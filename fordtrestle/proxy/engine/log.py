"""Log lines for on-call staff."""

from __future__ import annotations

import sys


def log(text: str) -> None:
    """Write a line to standard error at once, without buffering."""
    print(text.rstrip(), file=sys.stderr, flush=True)
