"""Fixtures of the replication's tests."""

from __future__ import annotations

import pytest

from tests.replication.serving_core import ServingCore


@pytest.fixture
def core() -> ServingCore:
    """Three stores that serve, with A as primary."""
    return ServingCore()
