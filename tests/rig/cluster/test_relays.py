"""The relay in several processes: links and faults across them, their reports, and how they end."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import time
from collections import Counter

import pytest

from benchmarks import cluster_relay
from benchmarks.cluster_relay import BIN_MS, Setting, check_rates, percentile_ms
from rig import helper
from rig.cluster import relays
from rig.cluster.fault_player import Player
from rig.cluster.link_types import TcpLink, UdpLink, free_port
from rig.cluster.relays import Relays, shard_of
from rig.cluster.schedules import Link, names
from rig.helper import ROOT
from rig.process import ProgramError, clean_environment
from tests.loopback import PATIENCE_S, loopback, until

EVERY = names(6)


@contextlib.asynccontextmanager
async def running(shards=2, seed=1):
    made = await Relays(seed, shards).start()
    try:
        yield made
    finally:
        await made.stop()


@contextlib.contextmanager
def sockets(every):
    """Open one datagram socket per name."""
    made = {name: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for name in every}
    try:
        for sock in made.values():
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        yield made
    finally:
        for sock in made.values():
            sock.close()


async def link_all(made, ends):
    """Return the address of each pair of these ends, under both orders."""
    pairs = list(itertools.combinations(ends, 2))
    links = [UdpLink(*pair, *(ends[end].getsockname() for end in pair)) for pair in pairs]
    at = dict(zip(pairs, await made.make(links), strict=True))
    return at | {(other, one): place for (one, other), place in at.items()}


async def received(sock, most=100):
    """Return the datagrams received until no more arrive."""
    came = []
    with contextlib.suppress(TimeoutError):
        while len(came) < most:
            async with asyncio.timeout(0.05 if came else 0.3):
                came.append(await asyncio.get_running_loop().sock_recv(sock, 100))
    return came


def pid_of(made, number):
    return made._shards[number]._helper._program.pid


def test_pairs_spread_evenly_and_both_directions_are_in_one_process():
    every = names(100)
    counts = Counter(shard_of(*pair, 4) for pair in itertools.combinations(every, 2))
    assert sorted(counts) == [0, 1, 2, 3]
    assert min(counts.values()) > 1100
    assert all(shard_of(one, "registry", 7) == shard_of("registry", one, 7) for one in every)
    assert [shard_of("n0", name, 4) for name in ("n1", "n2", "n3", "n4")] == [2, 1, 2, 0]  # in each run


@loopback
async def test_links_in_all_processes_fail_and_heal_together_and_are_counted():
    async with running(3) as made:
        with sockets(EVERY) as ends:
            at = await link_all(made, ends)
            assert len({shard_of(*pair, 3) for pair in at}) == 3
            cut = Link(0, 1, "cut", ("n0",), tuple(EVERY))
            for known in (False, True):  # a fault that is sent whole, and one that was announced
                if known:
                    await made.prepare([Link(0, 1, "stall", ("n1",), ("n2",)), cut])
                await made.begin(cut)
                for src, dst in at:
                    ends[src].sendto(src.encode(), at[src, dst])
                for name in EVERY[1:]:
                    wanted = sorted(other.encode() for other in EVERY[1:] if other != name)
                    assert sorted(await received(ends[name], 4)) == wanted
                assert len(await received(ends["n0"], 5)) == 5
                await made.end(cut)
                ends["n0"].sendto(b"over", at["n0", "n3"])
                assert await received(ends["n3"], 1) == [b"over"]
            report = await made.report()
    assert [report.of("n0", dst).dropped for dst in EVERY[1:]] == [2] * 5
    assert report.of("n0", "n3").messages == 2
    assert report.of("n3", "n0").messages == 2
    assert report.of("n3", "n0").passed == 4
    assert report.of("n0", "nobody").received == 0
    assert len(report.lag_p99_ms) == 3
    assert report.cpu_s > 0.0
    assert 0.0 < report.change_late_ms < 1000.0


@loopback
async def test_a_tcp_link_and_a_player_of_faults():
    async with running() as made:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        with listener:
            at = await made.tcp("n0", "registry", listener.getsockname())
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection(*at)
            far, _ = await loop.sock_accept(listener)
            with far:
                player = Player(made, [Link(0, 150, "cut", ("registry",), ("n0",))])
                playing = asyncio.create_task(player.run())
                async with asyncio.timeout(PATIENCE_S):
                    while not (await made.report()).change_late_ms:
                        await asyncio.sleep(0.005)
                    await loop.sock_sendall(far, b"news")
                    while not (await made.report()).of("registry", "n0").held:
                        await asyncio.sleep(0.005)
                    await playing
                    assert await reader.readexactly(4) == b"news"
                assert (await made.report()).of("registry", "n0").held == 0
            writer.transport.abort()


@loopback
async def test_lag_and_drops_make_a_run_unsound_until_they_are_forgotten():
    async with running() as made:
        assert made.unsound == "the relays have not reported yet"
        await made.report()
        await made.forget_lag()
        made._late_ms += [1.0, relays.MAX_LATE_MS + 2.5]
        await made.report()
        assert "took effect 12.5 ms late" in made.unsound
        with sockets(["n0", "n1"]) as ends:
            at = (await link_all(made, ends))["n0", "n1"]
            number = shard_of("n0", "n1", 2)
            os.kill(pid_of(made, number), signal.SIGSTOP)
            for _ in range(2000):  # more than the buffer of a socket that is not read
                ends["n0"].sendto(b"x" * 200, at)
            os.kill(pid_of(made, number), signal.SIGCONT)
            report = await made.report()
            assert f"relay {number + 1} of 2: " in report.unsound
            assert "were lost before the relay read them" in report.unsound == made.unsound
        await made.forget_lag()
        unsound = (await made.report()).unsound
        assert "lost" not in unsound
        assert "took effect" not in unsound


@loopback
async def test_a_link_that_can_not_be_made_is_reported_in_one_line_and_affects_no_other():
    async with running() as made:
        port = free_port("127.0.0.1")
        wrong = r"^relay 1 of 2: link of n0 and n1: [^\n]*already in use[^\n]*$"
        with socket.create_server(("127.0.0.1", port)), pytest.raises(ProgramError, match=wrong):
            await made.tcp("n0", "n1", ("127.0.0.1", 9), "127.0.0.1", port)
        with pytest.raises(ProgramError, match="is not an IPv4 address"):
            await made.make([TcpLink("n0", "n1", ("nowhere", 9))])
        assert (await made.tcp("n0", "n1", ("127.0.0.1", 9)))[1] > 0


@loopback
async def test_a_relay_that_dies_or_does_not_answer_is_an_error_of_one_line(monkeypatch):
    async with running(3) as made:
        os.kill(pid_of(made, 2), signal.SIGSTOP)
        with monkeypatch.context() as patched:
            patched.setattr(helper, "PATIENCE_S", 0.3)
            with pytest.raises(ProgramError, match=r"^relay 3 of 3: .*says nothing for 0.3 s$"):
                await made.report()
        os.kill(pid_of(made, 2), signal.SIGCONT)
        # Its late answer must not be taken as the answer to the next command.
        with pytest.raises(ProgramError, match="relay 3 of 3"):
            await made.forget_lag()
    async with running(3) as made:
        os.kill(pid_of(made, 1), signal.SIGKILL)
        for ask in (made.report, made.report, lambda: made.begin(Link(0, 1, "cut", ("n0",), ("n1",)))):
            began = time.monotonic()
            with pytest.raises(ProgramError, match=r"^relay 2 of 3: [^\n]*code -9[^\n]*$"):
                await ask()
            assert time.monotonic() - began < PATIENCE_S
        assert "relay 2 of 3" in made.unsound


@loopback
async def test_a_cancelled_command_leaves_no_answer_for_the_next_one():
    async with running() as made:
        for number in range(2):
            os.kill(pid_of(made, number), signal.SIGSTOP)
        asked = asyncio.create_task(made.report())
        await until(lambda: all(shard._turn.locked() for shard in made._shards))
        asked.cancel()
        with pytest.raises(asyncio.CancelledError):
            await asked
        for number in range(2):
            os.kill(pid_of(made, number), signal.SIGCONT)
        address = await made.tcp("n0", "n1", ("127.0.0.1", 9))
        assert address[0] == "127.0.0.1"
        assert (await made.report()).counts == {}
    with pytest.raises(ProgramError, match="are not running"):
        await made.report()


@loopback
async def test_a_start_that_fails_leaves_no_process(monkeypatch):
    begun = []
    begin = Relays._begin

    async def fail_second(self, number):
        if number == 1:
            raise ProgramError("no room")
        begun.append(await begin(self, number))
        return begun[-1]

    monkeypatch.setattr(Relays, "_begin", fail_second)
    with pytest.raises(ProgramError, match="no room"):
        await Relays(1, 3).start()
    assert len(begun) == 2
    assert all(shard._helper._program.code is not None for shard in begun)


OWNER = """
import asyncio, json
from rig.cluster.relays import Relays

async def own():
    made = await Relays(1, 2).start()
    print(json.dumps([shard._helper._program.pid for shard in made._shards]), flush=True)
    await asyncio.sleep(60)

asyncio.run(own())
"""


def runs(pid):
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] not in "ZX"
    except (FileNotFoundError, ProcessLookupError):
        return False


@loopback
async def test_the_relays_die_with_an_owner_that_is_killed():
    owner = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        OWNER,
        cwd=ROOT,
        env=clean_environment(PYTHONPATH=str(ROOT)),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(PATIENCE_S):
            pids = json.loads(await owner.stdout.readline())
        assert len(pids) == 2
        assert all(map(runs, pids))
    finally:
        owner.kill()
        await owner.wait()
    await until(lambda: not any(map(runs, pids)))


# --- the benchmark ---------------------------------------------------------------------------------------


def test_percentiles_of_binned_counts():
    assert percentile_ms(Counter(), 0.99) == 0.0
    assert percentile_ms(Counter({0: 98, 199: 2}), 0.5) == BIN_MS
    assert percentile_ms(Counter({0: 98, 199: 2}), 0.99) == pytest.approx(200 * BIN_MS)


@loopback
async def test_a_row_names_the_part_that_lagged(monkeypatch):
    setting = Setting(8, 2, 1)
    try:
        await setting.start()
        row = await setting.measure(True, 50, 0.2, 1)
        assert (row.sent, row.lost, row.a_second) == (80, 0, 400)
        assert row.p99_ms >= row.p50_ms > 0.0
        monkeypatch.setattr(cluster_relay, "MAX_LATE_MS", 0.0)
        late = await setting.measure(True, 50, 0.2, 1)
        assert "ends" in late.bottleneck
        assert "the ends were late by" in late.unsound
        os.kill(pid_of(setting._relays, 0), signal.SIGKILL)
        with pytest.raises(ProgramError, match="relay 1 of 2"):
            await setting.measure(True, 50, 0.2, 1)
    finally:
        await setting.stop()
    assert check_rates([late]) == (False, f"no rate was sound; unsound at 400: {late.unsound}")
    assert check_rates([]) == (False, "no rate was sound")
