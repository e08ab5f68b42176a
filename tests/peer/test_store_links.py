"""Links to stores: when a store is reported as lost, and for how long."""

from __future__ import annotations

import pytest

from fordtrestle.peer.store_links import LINK_LOST_TIMEOUT_S, StoreLinks
from fordtrestle.replication.peer_table import PEER_RETENTION_S

ADDRESS = "10.0.0.1:7660"


@pytest.fixture
def links() -> StoreLinks:
    links = StoreLinks()
    links.on_announce("s1", ADDRESS)
    return links


def test_a_store_is_lost_once_its_link_has_been_down_for_the_timeout(links):
    assert links.find_lost({ADDRESS}, 0.0) == []
    assert links.find_lost((), 1.0) == []
    assert links.find_lost((), 1.0 + LINK_LOST_TIMEOUT_S / 2) == []
    assert links.find_lost((), 1.0 + LINK_LOST_TIMEOUT_S) == ["s1"]
    assert links.find_lost((), 2.0) == ["s1"], "reported until a link is up again"


def test_a_link_that_comes_back_in_time_restarts_the_timeout(links):
    links.find_lost((), 1.0)
    links.find_lost({ADDRESS}, 1.1)
    assert links.find_lost((), 1.2) == []
    assert links.find_lost((), 1.0 + LINK_LOST_TIMEOUT_S) == []


def test_a_lost_store_is_forgotten_after_its_retention(links):
    links.find_lost((), 0.0)
    assert links.find_lost((), PEER_RETENTION_S) == ["s1"]
    assert links.address_of("s1") is None
    assert links.find_lost((), PEER_RETENTION_S + 1.0) == []
    links.on_announce("s1", "10.0.0.2:7660")
    assert links.address_of("s1") == "10.0.0.2:7660"
