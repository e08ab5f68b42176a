"""Fixtures of the ingress tests."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest


@pytest.fixture
def unreachable_port() -> Iterator[int]:
    """A port that refuses connections: bound, so that no other process can use it, but not listening."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield sock.getsockname()[1]
