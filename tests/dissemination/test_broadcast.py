"""Broadcast among many processes: about one copy each, in time even if links or processes fail."""

from __future__ import annotations

import random

import pytest

from fordtrestle.dissemination.broadcast import OFFER_DELAY_S, Broadcast, OutgoingMessage
from fordtrestle.dissemination.catalog import TOMBSTONE_S, Catalog
from fordtrestle.dissemination.items import (
    CONTROL_KEY,
    ControlView,
    Phase,
    ServerRecord,
    control_item,
    server_item,
)
from fordtrestle.dissemination.messages import Offer, Prune, Update, Want
from fordtrestle.dissemination.missing_items import WANT_DELAY_S, WANT_RETRY_S
from rig.system.gossip_network import Location, Network

LOCATIONS = [Location(f"z-{number}", f"r-{number % 3}") for number in range(6)]
DEPARTED_SERVER = ServerRecord(
    "i-1", "pool", "10.0.0.1:80", "z-1", 4, Phase.DEPARTED, False, 0.0, None, (), "core-1"
)
MAX_PROPAGATION_S = 2.5  # below the 3 s that apply to all deployments, with a margin


def control_update(number):
    return control_item(ControlView(number, number, b"%d" % number * 1000, ()))


def converged_network(controls=5, sidecars=63, seed=1):
    network = Network(controls, sidecars, LOCATIONS, seed)
    network.announce_all(within_s=0.3)
    network.run(5.0)
    network.publish("core-0", control_update(1))
    network.run(5.0)
    network.copies.clear()
    return network


@pytest.mark.parametrize("size", [30, 63, 195])
def test_each_process_receives_about_one_copy_of_an_item(size):
    network = converged_network(sidecars=size)
    process_count = len(network.peers)
    for number in range(2, 7):
        network.publish(f"core-{number % 5}", control_update(number))
        network.run(2.0)
        assert network.count_reached(control_update(number)) == process_count
        assert process_count - 1 <= network.copies[CONTROL_KEY, (number,)] <= 1.4 * process_count


def test_processes_that_start_together_know_each_other_within_a_second():
    network = Network(5, 63, LOCATIONS, seed=2)
    network.announce_all(within_s=0.3)
    network.run(1.5)
    for peer in network.peers.values():
        assert sum(1 for _ in peer.catalog.members()) == 68


def lose_messages(network, lossy_links):
    """Drop all messages on exactly these links, given as pairs of sender and receiver."""
    network.is_lost = lambda sender, receiver: (sender, receiver) in lossy_links


def links(network):
    return {(sender, receiver) for sender, peer in network.peers.items() for receiver in peer.peers}


@pytest.mark.parametrize("seed", range(4))
def test_links_that_lose_all_messages_delay_no_process_beyond_the_bound(seed):
    """A third of the links drop everything, most in one direction only, without any process noticing."""
    network = converged_network(seed=seed)
    rng = random.Random(seed)
    all_links = sorted(links(network))
    lose_messages(network, set(rng.sample(all_links, len(all_links) // 3)))
    for number in range(2, 5):
        network.publish("core-0", control_update(number))
        network.run(MAX_PROPAGATION_S)
        assert network.count_reached(control_update(number)) == len(network.peers)


def test_children_of_unresponsive_parents_receive_items_over_other_links():
    """All links of four of the five control processes drop everything; the primary is the fifth."""
    network = converged_network()
    unresponsive = {"core-1", "core-2", "core-3", "core-4"}
    lose_messages(network, {link for link in links(network) if unresponsive & set(link)})
    network.publish("core-0", control_update(2))
    network.run(MAX_PROPAGATION_S)
    assert network.count_reached(control_update(2)) == len(network.peers) - len(unresponsive)


def test_a_process_catches_up_after_a_partition_and_versions_never_go_back():
    network = converged_network()
    partitioned = "front-7"
    lose_messages(network, {link for link in links(network) if partitioned in link})
    for number in range(2, 30):
        network.publish(f"core-{number % 5}", control_update(number))
        network.run(0.4)
    assert network.peers[partitioned].versions[CONTROL_KEY][-1] == (1,)
    lose_messages(network, set())
    network.run(3.0)
    assert network.count_reached(control_update(29)) == len(network.peers)
    for peer in network.peers.values():
        versions = peer.versions[CONTROL_KEY]
        assert versions == sorted(versions)


def test_a_duplicate_prunes_the_link_that_delivered_it():
    me, peers = Broadcast(Catalog()), ["a", "b", "c"]
    update = Update((control_update(1),))
    assert me.on_message(update, peers, 0.0, "a").outgoing == [
        OutgoingMessage("b", update),
        OutgoingMessage("c", update),
    ]
    assert me.on_message(update, peers, 0.0, "b").outgoing == [OutgoingMessage("b", Prune())]
    assert me.on_message(update, peers, 0.0, "b").outgoing == [], "only one prune is sent"
    me.on_message(Prune(), peers, 0.0, "c")
    second = Update((control_update(2),))
    assert me.publish(second.items, peers, 0.0).outgoing == [OutgoingMessage("a", second)]
    offer = Offer(((CONTROL_KEY, (2,)),))
    assert me.tick(OFFER_DELAY_S) == [OutgoingMessage("b", offer), OutgoingMessage("c", offer)]
    me.on_link_up("b")
    third = Update((control_update(3),))
    effects = me.publish(third.items, ["b"], 1.0)
    assert effects.outgoing == [OutgoingMessage("b", third)], "a new link is part of the tree"


def test_an_offered_item_that_does_not_arrive_is_requested_from_one_peer_after_the_other():
    me = Broadcast(Catalog())
    offer = Offer(((CONTROL_KEY, (2,)),))
    want = Want((CONTROL_KEY,))
    me.on_message(offer, ["a", "b"], 0.0, "a")
    me.on_message(offer, ["a", "b"], 0.0, "b")
    assert me.due_at() == WANT_DELAY_S
    assert me.tick(WANT_DELAY_S - 0.01) == []
    assert me.tick(WANT_DELAY_S) == [OutgoingMessage("a", want)]
    assert me.tick(WANT_DELAY_S + WANT_RETRY_S) == [OutgoingMessage("b", want)]
    me.tick(WANT_DELAY_S + 2 * WANT_RETRY_S)
    assert me.due_at() is None, "no peer is left to request it from"


def test_an_offered_item_that_arrives_in_time_or_is_known_is_not_requested():
    me = Broadcast(Catalog())
    me.on_message(Offer(((CONTROL_KEY, (2,)),)), ["a", "b"], 0.0, "a")
    me.on_message(Update((control_update(2),)), ["a", "b"], 0.1, "b")
    me.on_message(Offer(((CONTROL_KEY, (1,)),)), ["a", "b"], 0.1, "a")
    assert me.due_at() == 0.1 + OFFER_DELAY_S or me.due_at() is None
    assert all(isinstance(outgoing.message, Update | Offer) for outgoing in me.tick(5.0))


def test_a_peer_that_an_item_is_requested_from_becomes_a_parent():
    me, parent = Broadcast(Catalog()), Broadcast(Catalog())
    parent.on_message(Prune(), ["me"], 0.0, "me")
    me.on_message(Offer(((CONTROL_KEY, (1,)),)), ["parent"], 0.0, "parent")
    assert me.tick(WANT_DELAY_S) == [OutgoingMessage("parent", Want((CONTROL_KEY,)))]
    parent.on_message(Want((CONTROL_KEY,)), ["me"], 0.9, "me")
    second = Update((control_update(2),))
    assert parent.publish(second.items, ["me"], 1.0).outgoing == [OutgoingMessage("me", second)]


def test_only_the_newest_version_of_a_pending_offer_is_sent():
    me = Broadcast(Catalog())
    me.on_message(Prune(), ["a"], 0.0, "a")
    for number in (1, 2, 3):
        me.publish([control_update(number)], ["a"], 0.0)
    assert me.tick(OFFER_DELAY_S) == [OutgoingMessage("a", Offer(((CONTROL_KEY, (3,)),)))]
    me.publish([control_update(4)], ["a"], 1.0)
    me.retain_peers(())
    assert me.tick(2.0) == [], "a peer without a link receives no offers"


def test_an_offered_item_that_has_expired_here_is_not_requested():
    """The peer still holds the tombstone, which would otherwise be requested for ever and never accepted."""
    catalog = Catalog()
    me = Broadcast(catalog)
    departed = server_item(DEPARTED_SERVER, 1)
    me.publish([departed], [], 0.0)
    catalog.expire(TOMBSTONE_S + 1.0)
    assert catalog.get(departed.key) is None
    me.on_message(Offer(((departed.key, departed.version),)), ["a"], TOMBSTONE_S + 1.0, "a")
    assert me.due_at() is None
