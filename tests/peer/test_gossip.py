"""Dissemination over real links: whole items, changes, offers that are asked for, digests for latecomers."""

from __future__ import annotations

import asyncio
import json

from fordtrestle.dissemination.broadcast import OFFER_DELAY_S
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Availability, ControlView, MemberRecord, control_item
from fordtrestle.dissemination.messages import Prune
from fordtrestle.peer import gossip as gossip_module
from fordtrestle.peer.codec import Hello
from fordtrestle.peer.gossip import Gossip
from fordtrestle.peer.mesh import Mesh
from fordtrestle.settings.records import Address
from tests.virtual import virtual


def news(sequence, routes=50):
    rows = [{"name": f"r-{number}", "timeout_ms": 1000} for number in range(routes)]
    document = json.dumps({"generation": sequence, "routes": rows}).encode()
    return control_item(ControlView(sequence, sequence, document, ()))


class Process:
    """One process's mesh and gossip, without a role."""

    def __init__(self, name: str) -> None:
        self.mesh = Mesh(
            Hello(name, ""),
            lambda link, message: self.gossip.on_message(link, message),
            lambda link: self.gossip.on_link_up(link),
        )
        me = MemberRecord(name, "sidecar", "z-1", "r-1", "", "", Availability.READY)
        self.gossip = Gossip(Catalog(), self.mesh, me, 1, lambda items: None)

    async def start(self) -> str:
        await self.mesh.listen(Address("127.0.0.1", 0))
        assert self.mesh._server is not None
        return f"127.0.0.1:{self.mesh._server.sockets[0].getsockname()[1]}"

    @property
    def sequence(self) -> int:
        control = self.gossip.catalog.control
        return control.sequence if control else 0


class Linked:
    """Processes of which each is linked to all others."""

    def __init__(self, *names: str) -> None:
        self.processes = [Process(name) for name in names]

    async def __aenter__(self) -> list[Process]:
        addresses = [await process.start() for process in self.processes]
        for number, process in enumerate(self.processes):
            process.mesh.dial(addresses[:number])
        others = len(addresses) - 1
        await within(1.0, lambda: all(len(process.mesh.links()) == others for process in self.processes))
        return self.processes

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            await process.mesh.close()


async def within(seconds, condition):
    """Wait until a condition holds; it has to in that (virtual) time."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


def sent_whole(monkeypatch):
    """The kinds of messages that are framed to be sent."""
    kinds = []
    frame_message = gossip_module.frame_message
    monkeypatch.setattr(
        gossip_module,
        "frame_message",
        lambda message: kinds.append(type(message).__name__) or frame_message(message),
    )
    return kinds


def test_a_change_reaches_all_and_travels_as_a_change(monkeypatch):
    kinds = sent_whole(monkeypatch)

    @virtual
    async def run():
        async with Linked("one", "two", "three") as processes:
            for sequence in (1, 2, 3):
                processes[sequence % 3].gossip.publish([news(sequence)])
                await within(1.0, lambda s=sequence: all(p.sequence == s for p in processes))
            assert {process.gossip.catalog.control for process in processes} == {news(3).value}

    run()
    assert kinds.count("Update") <= 4, "the first one alone is sent whole: twice, and crosses once each way"
    assert kinds.count("ControlDelta") >= 4


@virtual
async def test_what_is_only_offered_over_a_link_is_asked_for():
    async with Linked("one", "two") as (one, two):
        one.gossip._broadcast.on_message(Prune(), ["two"], 0.0, "two")
        one.gossip.publish([news(1)])
        await asyncio.sleep(OFFER_DELAY_S / 2)
        assert two.sequence == 0
        await within(1.0, lambda: two.sequence == 1)
        one.gossip.publish([news(2)])
        await within(OFFER_DELAY_S / 2, lambda: two.sequence == 2)


@virtual
async def test_who_comes_later_is_told_what_stands():
    async with Linked("one", "two") as (one, _):
        one.gossip.publish([news(1)])
        late = Process("late")
        await late.start()
        assert one.mesh._server is not None
        late.mesh.dial([f"127.0.0.1:{one.mesh._server.sockets[0].getsockname()[1]}"])
        await within(2.0, lambda: late.sequence == 1)
        await late.mesh.close()


@virtual
async def test_a_word_that_this_process_is_down_is_outdone():
    async with Linked("one", "two") as (one, two):
        one.gossip.announce(one.gossip.me)
        await within(1.0, lambda: two.gossip.catalog.get("member/one") is not None)
        item = two.gossip.catalog.get("member/one")
        assert item is not None
        down = MemberRecord("one", "sidecar", "z-1", "r-1", "", "", Availability.DOWN)
        two.gossip.publish([type(item)(item.key, (*item.version[:2], 1), down)])
        await within(
            1.0, lambda: two.gossip.catalog.get("member/one").value.availability is Availability.READY
        )
