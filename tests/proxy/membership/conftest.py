"""Fixtures of the discovery client's tests."""

from __future__ import annotations

import pytest

from fordtrestle.proxy.membership.registry_call import RegistryConnection
from tests.proxy.membership.stand_ins import UpdateRecorder


@pytest.fixture
def connections(monkeypatch):
    """All connections to registries, in the order in which they were opened."""
    made = []
    connection_made = RegistryConnection.connection_made

    def record(self, transport):
        made.append(self)
        connection_made(self, transport)

    monkeypatch.setattr(RegistryConnection, "connection_made", record)
    return made


@pytest.fixture
def recorder():
    """A listener that records updates."""
    return UpdateRecorder()
