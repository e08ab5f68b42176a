"""A server's withdrawal is acknowledged only if all sidecars will learn of it."""

from __future__ import annotations

import asyncio
import contextlib
import os

import pytest

from fordtrestle.control_api import withdrawals as withdrawals_module
from fordtrestle.control_api.heartbeats import HeartbeatMonitor
from fordtrestle.control_api.withdrawals import WithdrawalConfirmer
from fordtrestle.dissemination import catalog as catalog_module
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import (
    SERVER_PREFIX,
    Availability,
    MemberRecord,
    Phase,
    ServerRecord,
    server_item,
)
from fordtrestle.dissemination.messages import Confirm, Confirmed, Update
from fordtrestle.peer.gossip import Gossip
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Hello
from fordtrestle.replication.epochs import Epoch, Store, Term
from fordtrestle.settings.records import Address
from tests.exchanges import loopback, until

PORT = 18_650  # at loopback addresses that only this test process uses


class Process:
    """A control process or a sidecar: its links, its catalog and its confirmation of withdrawals."""

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.host = f"127.{192 + os.getpid() % 32}.{os.getpid() // 32 % 256}.{number}"
        self.address = f"{self.host}:{PORT}"
        self.store = Store(name, self.address, self.address, f"z-{number}")
        self.epoch: Epoch | None = None
        self.mesh = Mesh(Hello(name, self.address), self._on_message, lambda link: None)
        me = MemberRecord(name, "control", "z-1", "r-1", self.address, "", Availability.READY)
        self.gossip = Gossip(Catalog(), self.mesh, me, 1, lambda items: None)
        self.withdrawals = WithdrawalConfirmer(self.store, self.mesh, self.gossip, lambda: self.epoch)
        self.is_mute = False  # whether it receives requests for confirmation without answering

    def _on_message(self, link, message) -> None:
        if isinstance(message, Confirm) and not self.is_mute:
            self.withdrawals.on_confirm(link, message)
        elif isinstance(message, Confirmed):
            self.withdrawals.on_confirmed(link, message)
        elif isinstance(message, Update):
            self.gossip.on_message(link, message)

    def phase(self, instance: str) -> Phase | None:
        item = self.gossip.catalog.get(SERVER_PREFIX + instance)
        return item.value.phase if item else None

    def receive(self, phase: Phase, instance: str = "i-1") -> None:
        """Store what a server's heartbeat reports, without publishing it."""
        record = ServerRecord(
            instance, "pool", "10.0.0.9:80", "z-1", 4, phase, False, 0.0, None, (), self.name
        )
        self.gossip.catalog.merge([server_item(record, 5)], 0.0)


@contextlib.asynccontextmanager
async def core():
    """Run three control processes with links to each other, and a sidecar with a link to the third only."""
    processes = [Process(name, number) for number, name in enumerate(("one", "two", "three"), start=1)]
    sidecar = Process("sidecar", 9)
    epoch = Epoch(Term(3, "one"), "one", ("one", "two"), tuple(process.store for process in processes))
    for process in (*processes, sidecar):
        process.epoch = epoch
        await process.mesh.listen(Address(process.host, PORT))
    for index, process in enumerate(processes):
        process.mesh.dial([other.address for other in processes[:index]])
    sidecar.mesh.dial([processes[2].address])
    await until(lambda: all(len(process.mesh.links()) >= 2 for process in processes))
    await until(lambda: sidecar.mesh.links())
    try:
        yield *processes, sidecar
    finally:
        for process in (*processes, sidecar):
            await process.mesh.close()


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    monkeypatch.setattr(withdrawals_module, "CONFIRM_TIMEOUT_S", 0.3)


@loopback
async def test_a_withdrawal_is_confirmed_once_a_majority_holds_it_and_is_passed_on_to_sidecars():
    async with core() as (one, two, three, sidecar):
        one.receive(Phase.DRAINING)
        two.is_mute = True
        assert await one.withdrawals.confirm("i-1")
        assert three.phase("i-1") is Phase.DRAINING
        await until(lambda: sidecar.phase("i-1") is Phase.DRAINING)


@loopback
async def test_a_withdrawal_that_no_majority_holds_is_not_confirmed_until_one_does():
    async with core() as (one, two, three, _):
        one.receive(Phase.DRAINING)
        two.is_mute = three.is_mute = True
        assert not await one.withdrawals.confirm("i-1")
        assert not one.withdrawals._pending
        two.is_mute = False
        assert await one.withdrawals.confirm("i-1")


@loopback
async def test_a_process_that_is_partitioned_or_knows_no_epoch_confirms_nothing():
    async with core() as (one, two, _, _):
        one.receive(Phase.DRAINING)
        one.mesh.dial([])
        for link in one.mesh.links():
            link.close()
        await until(lambda: not one.mesh.links())
        assert not await one.withdrawals.confirm("i-1")
        two.receive(Phase.DEPARTED)
        two.epoch = None
        assert not await two.withdrawals.confirm("i-1")


@loopback
async def test_a_confirmed_withdrawal_is_remembered_and_a_deregistration_is_confirmed_separately():
    async with core() as (one, two, three, _):
        one.receive(Phase.DRAINING)
        assert await one.withdrawals.confirm("i-1")
        two.is_mute = three.is_mute = True
        assert await one.withdrawals.confirm("i-1")
        one.receive(Phase.DEPARTED)
        assert not await one.withdrawals.confirm("i-1")


@loopback
async def test_a_process_with_a_full_catalog_does_not_confirm_a_withdrawal(monkeypatch):
    async with core() as (one, two, three, _):
        one.receive(Phase.DRAINING)
        for other in (two, three):
            other.receive(Phase.SERVING, "i-2")
        monkeypatch.setattr(catalog_module, "MAX_ITEMS", 1)
        assert not await one.withdrawals.confirm("i-1")


@loopback
async def test_confirmations_in_flight_are_bounded(monkeypatch):
    monkeypatch.setattr(withdrawals_module, "MAX_PENDING", 1)
    async with core() as (one, two, three, _):
        two.is_mute = three.is_mute = True
        one.receive(Phase.DRAINING)
        one.receive(Phase.DRAINING, "i-2")
        first = asyncio.create_task(one.withdrawals.confirm("i-1"))
        await until(lambda: one.withdrawals._pending)
        two.is_mute = three.is_mute = False
        assert not await one.withdrawals.confirm("i-2")
        await first


def test_a_deregistration_of_an_unknown_incarnation_takes_effect_at_processes_that_know_it():
    local, remote = Catalog(), Catalog()
    record = ServerRecord("i-1", "pool", "10.0.0.9:80", "z-1", 4, Phase.SERVING, False, 0.0, None, (), "two")
    remote.merge([server_item(record, 9)], 0.0)
    item = HeartbeatMonitor("one", 1.0).deregister("i-1", local)
    assert remote.merge([item], 0.0) == [item]
    assert not remote.merge([server_item(record, 10)], 0.0)
