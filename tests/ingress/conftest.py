"""Fixtures of the ingress tests."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest


@pytest.fixture
def unreachable_port() -> Iterator[int]:
    """A port that refuses connections: it is bound, so that no other process gets it, and not listened at."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield sock.getsockname()[1]
