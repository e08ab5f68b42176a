"""Dissemination over links: full items, deltas, offers that are requested, and digests on a new link."""

from __future__ import annotations

import asyncio
import json

from fordtrestle.dissemination.broadcast import OFFER_DELAY_S
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Availability, ControlView, MemberRecord, control_item
from fordtrestle.dissemination.messages import Prune
from fordtrestle.peer import gossip as gossip_module
from fordtrestle.peer.gossip import Gossip
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Hello
from tests.peer.peers import address_of, listen
from tests.virtual import virtual


def control_update(sequence, routes=50):
    rows = [{"name": f"r-{number}", "timeout_ms": 1000} for number in range(routes)]
    document = json.dumps({"generation": sequence, "routes": rows}).encode()
    return control_item(ControlView(sequence, sequence, document, ()))


class Process:
    """The mesh and the gossip of one process, without a role."""

    def __init__(self, name: str) -> None:
        self.mesh = Mesh(
            Hello(name, ""),
            lambda link, message: self.gossip.on_message(link, message),
            lambda link: self.gossip.on_link_up(link),
        )
        me = MemberRecord(name, "sidecar", "z-1", "r-1", "", "", Availability.READY)
        self.gossip = Gossip(Catalog(), self.mesh, me, 1, lambda items: None)

    @property
    def sequence(self) -> int:
        control = self.gossip.catalog.control
        return control.sequence if control else 0


class LinkedProcesses:
    """Processes in a full mesh."""

    def __init__(self, *names: str) -> None:
        self.processes = [Process(name) for name in names]

    async def __aenter__(self) -> list[Process]:
        addresses = [await listen(process.mesh) for process in self.processes]
        for number, process in enumerate(self.processes):
            process.mesh.dial(addresses[:number])
        others = len(addresses) - 1
        await within(1.0, lambda: all(len(process.mesh.links()) == others for process in self.processes))
        return self.processes

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            await process.mesh.close()


async def within(timeout_s, condition):
    """Wait until a condition holds, for at most `timeout_s` of the virtual clock."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


def record_framed_kinds(monkeypatch):
    """Return a list that collects the type name of each framed message."""
    kinds = []
    frame_message = gossip_module.frame_message
    monkeypatch.setattr(
        gossip_module,
        "frame_message",
        lambda message: kinds.append(type(message).__name__) or frame_message(message),
    )
    return kinds


def test_a_change_reaches_all_processes_as_a_delta(monkeypatch):
    kinds = record_framed_kinds(monkeypatch)

    @virtual
    async def run():
        async with LinkedProcesses("one", "two", "three") as processes:
            for sequence in (1, 2, 3):
                processes[sequence % 3].gossip.publish([control_update(sequence)])
                await within(1.0, lambda s=sequence: all(p.sequence == s for p in processes))
            assert {process.gossip.catalog.control for process in processes} == {control_update(3).value}

    run()
    assert kinds.count("Update") <= 4, (
        "only the first is sent in full: twice, and once each way where the copies cross"
    )
    assert kinds.count("ControlDelta") >= 4


@virtual
async def test_an_item_that_is_only_offered_over_a_link_is_requested():
    async with LinkedProcesses("one", "two") as (one, two):
        one.gossip._broadcast.on_message(Prune(), ["two"], 0.0, "two")
        one.gossip.publish([control_update(1)])
        await asyncio.sleep(OFFER_DELAY_S / 2)
        assert two.sequence == 0
        await within(1.0, lambda: two.sequence == 1)
        one.gossip.publish([control_update(2)])
        await within(OFFER_DELAY_S / 2, lambda: two.sequence == 2)


@virtual
async def test_a_process_that_links_up_later_receives_missed_items():
    async with LinkedProcesses("one", "two") as (one, _):
        one.gossip.publish([control_update(1)])
        late = Process("late")
        await listen(late.mesh)
        late.mesh.dial([address_of(one.mesh)])
        await within(2.0, lambda: late.sequence == 1)
        await late.mesh.close()


@virtual
async def test_a_process_refutes_that_it_is_down():
    async with LinkedProcesses("one", "two") as (one, two):
        one.gossip.announce(one.gossip.me)
        await within(1.0, lambda: two.gossip.catalog.get("member/one") is not None)
        item = two.gossip.catalog.get("member/one")
        assert item is not None
        down = MemberRecord("one", "sidecar", "z-1", "r-1", "", "", Availability.DOWN)
        two.gossip.publish([type(item)(item.key, (*item.version[:2], 1), down)])
        await within(
            1.0, lambda: two.gossip.catalog.get("member/one").value.availability is Availability.READY
        )
