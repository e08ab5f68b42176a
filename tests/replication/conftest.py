"""Fixtures of the replication tests."""

from __future__ import annotations

import pytest

from tests.replication.serving_core import ServingCore


@pytest.fixture
def core() -> ServingCore:
    """Three serving stores, with A as primary."""
    return ServingCore()
