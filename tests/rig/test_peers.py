"""Tests of datagrams between sidecars: forwarded from the proxy address of the sender, or lost."""

from __future__ import annotations

import asyncio

from rig.peers import PeerNet
from tests.rig.waiting import address_of, bounded, until


class Peer(asyncio.DatagramProtocol):
    def __init__(self):
        self.received = []

    def datagram_received(self, data, source):
        self.received.append((data, source))


async def peers(net, count):
    made = []
    for number in range(count):
        transport, peer = await asyncio.get_running_loop().create_datagram_endpoint(
            Peer, local_addr=net.listens[number]
        )
        peer.transport = transport
        made.append(peer)
    return made


@bounded
async def test_a_datagram_arrives_from_the_proxy_address_of_its_sender():
    net = await PeerNet(["n0", "n1", "n2"], late_ms=(1.0, 2.0), lost=0.0).start()
    received = await peers(net, 3)
    configs = [net.config_of(number) for number in range(3)]
    assert configs[0]["peers"] == configs[1]["peers"]
    assert len(configs[0]["peers"]) == 3
    received[1].transport.sendto(b"one", address_of(configs[1]["peers"][0]))
    received[2].transport.sendto(b"all", address_of(configs[2]["peers_all"]))
    received[0].transport.sendto(b"x" * 257, address_of(configs[0]["peers_all"]))
    await until(lambda: net.delivered == 3 and net.dropped == 1 and len(received[0].received) == 2)
    sources = [address_of(address) for address in configs[0]["peers"]]
    assert sorted(received[0].received) == [(b"all", sources[2]), (b"one", sources[1])]
    await until(lambda: received[1].received == [(b"all", sources[2])] and not received[2].received)
    net.stop()


@bounded
async def test_a_share_of_datagrams_is_lost():
    net = await PeerNet(["n0", "n1"], late_ms=(0.0, 0.0), lost=0.5).start()
    received = await peers(net, 2)
    for _ in range(100):
        received[0].transport.sendto(b"x", address_of(net.config_of(0)["peers"][1]))
    await until(lambda: net.delivered + net.dropped == 100)
    assert 20 < net.dropped < 80
    net.stop()
