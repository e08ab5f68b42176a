"""Fixtures of the state package's tests."""

from __future__ import annotations

import pytest

from tests.proxy.state.memory_file_store import MemoryFileStore


@pytest.fixture
def store():
    """An empty file store in memory."""
    return MemoryFileStore()
