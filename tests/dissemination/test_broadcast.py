"""News among many processes: about one copy for each, in time whatever link or process fails."""

from __future__ import annotations

import random

import pytest

from fordtrestle.dissemination.broadcast import (
    OFFER_DELAY_S,
    WANT_DELAY_S,
    WANT_RETRY_S,
    Broadcast,
    OutgoingMessage,
)
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
from rig.system.gossip_network import Network, Place

PLACES = [Place(f"z-{number}", f"r-{number % 3}") for number in range(6)]
GONE = ServerRecord("i-1", "pool", "10.0.0.1:80", "z-1", 4, Phase.DEPARTED, False, 0.0, None, (), "core-1")
IN_FORCE_S = 2.5  # a margin below the 3 s of all deployments


def news(number):
    return control_item(ControlView(number, number, b"%d" % number * 1000, ()))


def settled(controls=5, sidecars=63, seed=1):
    network = Network(controls, sidecars, PLACES, seed)
    network.announce_all(within_s=0.3)
    network.run(5.0)
    network.publish("core-0", news(1))
    network.run(5.0)
    network.copies.clear()
    return network


@pytest.mark.parametrize("size", [30, 63, 195])
def test_each_process_gets_about_one_copy(size):
    network = settled(sidecars=size)
    all_of_them = len(network.peers)
    for number in range(2, 7):
        network.publish(f"core-{number % 5}", news(number))
        network.run(2.0)
        assert network.reached(news(number)) == all_of_them
        assert all_of_them - 1 <= network.copies[CONTROL_KEY, (number,)] <= 1.4 * all_of_them


def test_who_starts_together_is_known_to_all_within_a_second():
    network = Network(5, 63, PLACES, seed=2)
    network.announce_all(within_s=0.3)
    network.run(1.5)
    for peer in network.peers.values():
        assert sum(1 for _ in peer.catalog.members()) == 68


def without(network, cut):
    """From now on messages are lost on these links, given as pairs of who sends and who receives."""
    network.lossy = lambda sender, receiver: (sender, receiver) in cut


def links(network):
    return {(near, far) for near, peer in network.peers.items() for far in peer.peers}


@pytest.mark.parametrize("seed", range(4))
def test_links_that_fall_silent_delay_nobody_for_long(seed):
    """A third of the links loses all, most of them only one way, and nobody is told so."""
    network = settled(seed=seed)
    rng = random.Random(seed)
    all_links = sorted(links(network))
    without(network, set(rng.sample(all_links, len(all_links) // 3)))
    for number in range(2, 5):
        network.publish("core-0", news(number))
        network.run(IN_FORCE_S)
        assert network.reached(news(number)) == len(network.peers)


def test_a_parent_that_falls_silent_is_done_without():
    """What the primary says reaches all though four of five control processes, which most hang on, do not."""
    network = settled()
    silent = {"core-1", "core-2", "core-3", "core-4"}
    without(network, {(near, far) for near, far in links(network) if {near, far} & silent})
    network.publish("core-0", news(2))
    network.run(IN_FORCE_S)
    assert network.reached(news(2)) == len(network.peers) - len(silent)


def test_a_process_that_was_cut_off_catches_up_and_nobody_ever_goes_back():
    network = settled()
    alone = "front-7"
    without(network, {(near, far) for near, far in links(network) if alone in (near, far)})
    for number in range(2, 30):
        network.publish(f"core-{number % 5}", news(number))
        network.run(0.4)
    assert network.peers[alone].versions[CONTROL_KEY][-1] == (1,)
    without(network, set())
    network.run(3.0)
    assert network.reached(news(29)) == len(network.peers)
    for peer in network.peers.values():
        versions = peer.versions[CONTROL_KEY]
        assert versions == sorted(versions)


def test_a_copy_that_comes_twice_shows_a_link_that_the_tree_does_without():
    me, peers = Broadcast(Catalog()), ["a", "b", "c"]
    update = Update((news(1),))
    assert me.on_message(update, peers, 0.0, "a").outgoing == [
        OutgoingMessage("b", update),
        OutgoingMessage("c", update),
    ]
    assert me.on_message(update, peers, 0.0, "b").outgoing == [OutgoingMessage("b", Prune())]
    assert me.on_message(update, peers, 0.0, "b").outgoing == [], "it is said once"
    me.on_message(Prune(), peers, 0.0, "c")
    assert me.publish([news(2)], peers, 0.0).outgoing == [OutgoingMessage("a", Update((news(2),)))]
    offer = Offer(((CONTROL_KEY, (2,)),))
    assert me.tick(OFFER_DELAY_S) == [OutgoingMessage("b", offer), OutgoingMessage("c", offer)]
    me.on_link_up("b")
    again = me.publish([news(3)], ["b"], 1.0)
    assert again.outgoing == [OutgoingMessage("b", Update((news(3),)))], "a new link is a part of the tree"


def test_what_was_offered_and_does_not_come_is_asked_for_from_one_after_the_other():
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
    assert me.due_at() is None, "nobody is left to be asked"


def test_what_came_in_time_or_is_known_is_not_asked_for():
    me = Broadcast(Catalog())
    me.on_message(Offer(((CONTROL_KEY, (2,)),)), ["a", "b"], 0.0, "a")
    me.on_message(Update((news(2),)), ["a", "b"], 0.1, "b")
    me.on_message(Offer(((CONTROL_KEY, (1,)),)), ["a", "b"], 0.1, "a")
    assert me.due_at() == 0.1 + OFFER_DELAY_S or me.due_at() is None
    assert all(isinstance(sending.message, Update | Offer) for sending in me.tick(5.0))


def test_who_is_asked_is_asked_as_a_parent_from_then_on():
    me, parent = Broadcast(Catalog()), Broadcast(Catalog())
    parent.on_message(Prune(), ["me"], 0.0, "me")
    me.on_message(Offer(((CONTROL_KEY, (1,)),)), ["parent"], 0.0, "parent")
    assert me.tick(WANT_DELAY_S) == [OutgoingMessage("parent", Want((CONTROL_KEY,)))]
    parent.on_message(Want((CONTROL_KEY,)), ["me"], 0.9, "me")
    assert parent.publish([news(2)], ["me"], 1.0).outgoing == [OutgoingMessage("me", Update((news(2),)))]


def test_only_the_newest_of_what_waits_to_be_offered_is_offered():
    me = Broadcast(Catalog())
    me.on_message(Prune(), ["a"], 0.0, "a")
    for number in (1, 2, 3):
        me.publish([news(number)], ["a"], 0.0)
    assert me.tick(OFFER_DELAY_S) == [OutgoingMessage("a", Offer(((CONTROL_KEY, (3,)),)))]
    me.publish([news(4)], ["a"], 1.0)
    me.retain_peers(())
    assert me.tick(2.0) == [], "who is gone is offered nothing"


def test_what_was_forgotten_is_not_asked_for():
    """Its tombstone has ended here and not there: it would be taken back from nobody, and asked of all."""
    catalog = Catalog()
    me = Broadcast(catalog)
    gone = server_item(GONE, 1)
    me.publish([gone], [], 0.0)
    catalog.expire(TOMBSTONE_S + 1.0)
    assert catalog.get(gone.key) is None
    me.on_message(Offer(((gone.key, gone.version),)), ["a"], TOMBSTONE_S + 1.0, "a")
    assert me.due_at() is None
