"""Lines for on-call staff."""

from __future__ import annotations

import sys


def log(text: str) -> None:
    """A line for on-call staff."""
    print(text.rstrip(), file=sys.stderr, flush=True)
