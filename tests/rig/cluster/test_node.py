"""Nodes as processes: commands, kills at any instant, pauses, and faulty disks and clocks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from rig.cluster.history import Learned, Started, parse
from rig.cluster.node import HUNG_UP, MAX_DATA_MB
from rig.cluster.nodes import Node, Processes, reserve_port, start_all
from rig.cluster.schedules import Clock, DiskFault, Kill, Reload, Stop
from rig.helper import ROOT
from rig.process import ProgramError
from rig.registry import Registry, entries, entry
from tests.loopback import Upstream, hang
from tests.rig.waiting import PATIENCE_S, bounded, until

LOOK = b"GET /look HTTP/1.1\r\nHost: rig\r\nX-Call-Id: %d\r\nX-Call-Class: look\r\nX-Budget: 300m\r\n\r\n"


def operator(source, deadline_ms=500):
    """Return a function that writes the operator file of a node whose servers come from `source`."""

    def write(life):
        listen = f"{life.listen[0]}:{life.listen[1]}"
        return (
            f'[process]\nname = "{life.name}"\nseed = {life.life}\n[limits]\ndescriptors = 200\n'
            f'[front.web]\nprotocol = "http"\nlisten = "{listen}"\nservice = "shop"\n'
            '[service.shop]\nsource = "fleet"\nzones = ["west"]\nkinds = ["small"]\n'
            f'[service.shop.class.look]\nsemantics = "safe"\ndeadline_ms = {deadline_ms}\n'
            f'[state]\nfolder = "{life.state}"\n[events]\nfile = "{life.events}"\n'
            f"[source.fleet]\n{source(life) if callable(source) else source}\n"
        )

    return write


def static(address="127.0.0.1:9"):
    return (
        f'kind = "static"\n[[source.fleet.server]]\nname = "s0"\naddress = "{address}"\n'
        'zone = "west"\nkind = "small"'
    )


@contextlib.asynccontextmanager
async def running(source=None, number=0, **given):
    """Run a node that is ready, and stop it in any case."""
    node = Node(number, operator(source or static(), **given))
    try:
        await node.start()
        await wait_for_starts(node, [1])
        yield node
    finally:
        await node.stop()


def events(node, kind):
    return [event for event in parse(node.events.read_bytes(), "events") if isinstance(event, kind)]


def lists(node):
    """Return the lists that the node reported as learned."""
    return [event for event in events(node, Learned) if event.rule == "list:shop"]


async def wait_for_starts(node, lives):
    """Wait until the starts of these lives are in the node's file.

    The node is ready earlier, and a kill loses events that are not written: a thread of its own
    (`daemon/events.py`) writes them up to 0.1 s and the disk's time later.
    """
    await until(lambda: [event.life for event in events(node, Started)] == lives)


async def figures_once(node, holds):
    """Return a node's figures once a condition holds; `until` takes no condition that has to be awaited."""
    async with asyncio.timeout(PATIENCE_S):
        while not holds(figures := await node.read_figures()):
            await asyncio.sleep(0.01)
    return figures


# --- one process -------------------------------------------------------------------------


@bounded
async def test_five_lives_have_the_same_address_folder_and_file_of_events():
    """Guards against a port that another connection takes, or old ones keep, while the node is away."""
    async with running() as node:
        address, first = node.address, node.program.pid
        low, high = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
        assert not low <= address[1] <= high
        held = []
        for _ in range(4):
            held.append(await asyncio.open_connection(*address))
            with pytest.raises(OSError, match="in use"), socket.socket() as other:
                other.bind(address)
            await node.kill()
            with pytest.raises(OSError, match="in use"), socket.socket() as other:
                other.bind(address)
            await node.start()
            await wait_for_starts(node, list(range(1, node.cost().lives + 1)))
        assert node.address == address
        assert node.program.pid != first
        assert [event.life for event in events(node, Started)] == [1, 2, 3, 4, 5]
        assert node.cost().lives == 5
        assert node.cost().cpu_s > 0.0
        for _, writer in held:
            writer.transport.abort()


def test_two_rigs_have_ports_of_their_own():
    one, first = reserve_port("127.77.0.200")
    other, second = reserve_port("127.77.0.200")
    try:
        assert first != second
        with socket.create_server(first), socket.create_server(second):
            pass
    finally:
        one.close()
        other.close()


@bounded
async def test_its_memory_and_descriptors_are_bounded():
    async with running() as node:
        rows = Path(f"/proc/{node.program.pid}/limits").read_text().splitlines()
        limits = {row[:26].strip(): row[26:].split()[0] for row in rows}
        assert int(limits["Max data size"]) == MAX_DATA_MB * 2**20
        assert int(limits["Max open files"]) == 256
        assert (await node.read_figures())["rss_mb"] < 64


@bounded
async def test_an_invalid_command_is_refused_and_the_node_continues():
    async with running() as node:
        for wrong in (
            {"do": "dance"},
            {"do": "disk", "writes": "melt", "on": True},
            {"do": "disk"},
            {"do": "clock", "jump_ms": 1e12, "drift_ppm": 0},
            {"do": "clock", "jump_ms": "x", "drift_ppm": 0},
        ):
            with pytest.raises(ProgramError, match="n0: "):
                await node.command(**wrong)
        assert (await node.read_figures())["on"] == []


@bounded
async def test_it_exits_once_its_owner_closes_the_pipe():
    async with running() as node:
        node.program.hang_up()
        assert await node.program.wait(PATIENCE_S) == HUNG_UP
        assert "ended with code 3" in node.exit_error
        with pytest.raises(ProgramError, match="ended with code 3"):
            await node.read_figures()


@pytest.mark.parametrize(
    ("words", "wrong"),
    [
        ([], "rig.cluster.node: the following arguments are required: FILE, --name"),
        (["none.toml", "--name", "n0"], "none.toml: No such file"),
        (["none.toml", "--name", "n0", "--breach", "none"], "breach: no 'none'"),
        (["none.toml", "--name", "n0", "--disk", "melt"], "invalid choice: 'melt'"),
        (["none.toml", "--name", "n0", "--drift-ppm", "nan"], "nan is not from -100000 to 100000"),
    ],
)
def test_bad_input_is_one_line_and_exit_code_2(words, wrong):
    argv = [sys.executable, "-m", "rig.cluster.node", *words]
    done = subprocess.run(argv, cwd=ROOT, input="", capture_output=True, text=True, timeout=30)
    assert done.returncode == 2
    assert wrong in done.stderr
    assert done.stderr.count("\n") == 1
    assert not done.stdout


# --- pauses --------------------------------------------------------------------------------


async def first_line_of_answer(address, number):
    """Send requests and return the first line of an answer; empty if the connection closes without one."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(LOOK % number * 3)
        return await reader.readline()
    except ConnectionError:
        return b""
    finally:
        writer.transport.abort()


@bounded
async def test_a_node_resumed_after_all_timeouts_answers_or_closes_each_connection():
    """Guards against timers that all came due during the pause, and requests that waited in full buffers."""
    servers = [await Upstream([hang]).start(), await Upstream().start()]
    rows = "\n".join(
        f'[[source.fleet.server]]\nname = "s{i}"\naddress = "{server.address}"\nzone = "west"\nkind = "small"'
        for i, server in enumerate(servers)
    )
    try:
        async with running(f'kind = "static"\n{rows}') as node:
            before = [asyncio.create_task(first_line_of_answer(node.address, number)) for number in range(20)]
            await until(lambda: servers[0].seen)  # some requests wait for a server that never answers
            node.pause()
            paused_s = time.monotonic()
            during = [
                asyncio.create_task(first_line_of_answer(node.address, 100 + number)) for number in range(40)
            ]
            assert await node.command(do="tell") is None  # sent, and its answer is not awaited
            while time.monotonic() < paused_s + 1.2:  # longer than deadline and budget
                await asyncio.sleep(0.05)
            assert not any(task.done() for task in during)
            node.resume()
            resumed_s = time.monotonic()
            answers = await asyncio.gather(*before, *during)
            assert time.monotonic() - resumed_s < 3.0
            assert all(not line or line.startswith(b"HTTP/1.1 ") for line in answers)
            assert any(line.startswith(b"HTTP/1.1 ") for line in answers)
            # The clock went on during the pause, and the loop lagged by the whole of it.
            last = await node.read_figures()
            assert last["monotonic_ms"] >= paused_s * 1000.0 + 1200.0
            # A resumed node may answer 503 at first; it must serve again.
            async with asyncio.timeout(PATIENCE_S):
                while not (await first_line_of_answer(node.address, 999)).startswith(b"HTTP/1.1 200"):
                    await asyncio.sleep(0.05)
    finally:
        for server in servers:
            server.stop()


@bounded
async def test_a_paused_nodes_clock_continues_and_commands_run_when_it_resumes():
    async with running() as node:
        await node.read_figures()
        node.pause()
        over = await node.begin(DiskFault(0, 1, "n0", "lie"))
        await asyncio.sleep(0.5)
        assert not over.done()
        node.resume()
        assert [figures["on"] for figures in await over] == [["lie"]]
        assert (await node.read_figures())["lag_ms"] > 300.0


# --- kills during a write ------------------------------------------------------------------


@pytest.mark.parametrize(
    ("stalls", "syncs", "kept"),
    [(1, 0, 41), (2, 1, 41), (2, 2, 42)],
    ids=["before the sync", "between replace and folder's sync", "after both"],
)
@bounded
async def test_a_node_killed_during_a_write_has_the_complete_old_or_new_list(stalls, syncs, kept):
    registry = await Registry(entries(["127.0.0.1:9"])).start()
    try:
        async with running(f'kind = "registry"\naddress = "{registry.address}"') as node:
            await until(lambda: stored(node) == [41])
            before = await node.read_figures()
            await (await node.begin(DiskFault(0, 1, "n0", "slow")))  # the fault is applied now
            registry.change(entry("s1", "127.0.0.1:10"))

            def there(figures):
                done = figures["syncs"] - before["syncs"]
                return (figures["faults"].get("slow", 0), done) == (stalls, syncs)

            await figures_once(node, there)
            if kept == 42:
                await until(lambda: stored(node) == [41, 42])
            await node.kill()
            assert stored(node) == ([41, 42] if kept == 42 else [41])
            files = {path.name for path in node.disk.iterdir() if not path.name.startswith(".")}
            assert files == {"life", "list-shop"}  # no incomplete file has a name
            await node.end(DiskFault(0, 1, "n0", "slow"))
            await registry.stop()  # the next life has only its disk to start from
            await node.start()
            await wait_for_starts(node, [1, 2])
            await until(lambda: lists(node)[-1].form == "remembered")
            assert lists(node)[-1].version == kept
    finally:
        await registry.stop()


def stored(node):
    """Return the versions that the node reported as stored; a line that is being written is skipped."""
    rows = [json.loads(row) for row in node.events.read_bytes().split(b"\n")[:-1]]
    return [row["version"] for row in rows if row["event"] == "stored"]


# --- clocks and disks over several lives -----------------------------------------------------


@bounded
async def test_a_wall_clock_jumps_and_is_reset():
    async with running() as node:

        def off_ms(figures):
            return figures["wall_ms"] - time.time() * 1000.0

        jumped = await node.command(do="clock", jump_ms=-60_000, drift_ppm=500)
        assert -61_000 < off_ms(jumped) < -59_000
        assert abs(off_ms(await node.command(do="clock", jump_ms=0, drift_ppm=0))) < 1000.0


@bounded
async def test_faults_of_disk_and_clock_outlast_a_kill_and_end_at_their_time():
    async with running() as node:
        steps = (
            DiskFault(0, 1800, "n0", "lie"),
            DiskFault(10, 300, "n0", "changed"),
            Clock(20, 1800, "n0", 10_000, 300),
            Kill(200, 400, "n0"),
        )
        played = Processes({"n0": node}, steps)
        task = asyncio.create_task(played.run())
        await until(lambda: node.life == 1 and node.program is not None)
        words = Path(f"/proc/{node.program.pid}/cmdline").read_text().split("\0")
        assert {"--disk=lie", "--jump-ms=10000", "--drift-ppm=300"} <= set(words)
        assert "--disk=changed" not in words
        await task
        figures = await figures_once(node, lambda figures: figures["on"] == [])
        assert figures["on"] == []
        right = await node.command(do="clock", jump_ms=0, drift_ppm=0)
        assert abs(right["wall_ms"] - time.time() * 1000.0) < 1000.0
        # One fault ended while the node was away, the other while it ran.
        assert [(row.writes, row.end_ms < float("inf")) for row in played.disk_faults] == [
            ("lie", True),
            ("changed", True),
        ]
        (down,) = played.downtimes
        assert down.killed
        assert down.until_s - down.from_s >= 0.4
        assert [name for name, _ in played.killed] == ["n0"]


@pytest.mark.parametrize(
    ("steps", "least_s"),
    [
        ((Kill(0, 100, "n0"), Kill(50, 1150, "n0", "emptied")), 1.2),
        ((Kill(0, 100, "n0", "emptied"), Stop(60, 940, "n0")), 1.0),
    ],
    ids=["another kill", "a stop"],
)
@bounded
async def test_a_node_kept_down_by_two_steps_starts_once_when_the_last_one_is_over(steps, least_s):
    async with running() as node:
        played = Processes({"n0": node}, steps)
        await played.run()
        assert node.life == 1
        assert node.is_ready
        assert len(played.killed) == 1
        (down,) = played.downtimes
        assert down.until_s - down.from_s >= least_s
        assert [row.writes for row in played.disk_faults] == ["emptied"]
        await wait_for_starts(node, [1, 1])  # lives are counted from 1 again on an emptied disk


@bounded
async def test_a_node_killed_during_its_start_is_started_again():
    async with running() as node:
        steps = tuple(Kill(at_ms, 1, "n0") for at_ms in (0, 120, 240, 360))
        played = Processes({"n0": node}, steps)
        await played.run()
        assert node.is_ready
        assert not node.exit_error
        assert len(played.downtimes) <= len(played.killed)


@bounded
async def test_an_older_disk_is_a_copy_from_half_of_the_kills_time():
    registry = await Registry(entries(["127.0.0.1:9"])).start()
    try:
        async with running(f'kind = "registry"\naddress = "{registry.address}"') as node:
            await until(lambda: stored(node) == [41])
            played = Processes({"n0": node}, (Kill(2000, 1, "n0", "older"),))
            task = asyncio.create_task(played.run())
            await until(lambda: node.copied_ms > 0.0)
            registry.change(entry("s1", "127.0.0.1:10"))
            await until(lambda: stored(node) == [41, 42])
            await registry.stop()
            await task
            await until(lambda: lists(node)[-1].form == "remembered")
            assert lists(node)[-1].version == 41
            (row,) = played.disk_faults
            assert row.writes == "older"
            assert row.begin_ms == node.copied_ms < row.end_ms
    finally:
        await registry.stop()


# --- settings --------------------------------------------------------------------------------


@bounded
async def test_settings_change_by_a_signal_where_that_is_enough_and_else_by_a_restart():
    def source(life):
        return static(f"127.0.0.1:{10 + life.settings % 10}")

    async with running(source) as node:
        pid = node.program.pid
        await Processes({"n0": node}, (Reload(0, 1, "n0", 2),)).run()
        await until(lambda: "reload: source.fleet.server changed" in node.program.tail)
        assert node.program.pid == pid

    def worth(life):
        return operator(static(), deadline_ms=500 + life.settings)(life)

    node = Node(0, worth)
    try:
        await node.start()
        played = Processes({"n0": node}, (Reload(0, 1, "n0", 2),))
        await played.run()
        assert node.life == 1
        assert not played.killed
        assert [(down.node, down.killed) for down in played.downtimes] == [("n0", False)]
        assert [row["event"] for row in map(json.loads, node.events.open())].count("ended") == 1
        assert "deadline_ms = 502" in node.file.read_text()
    finally:
        await node.stop()


# --- many ------------------------------------------------------------------------------------


@bounded
async def test_a_node_that_can_not_start_reports_why_and_cancels_the_other_starts():
    nodes = [Node(0, operator(static())), Node(1, operator("kind = 'none'"))]
    try:
        with pytest.raises(ProgramError, match=r"ended with code 2: .*source\.fleet\.kind"):
            await start_all(nodes)
    finally:
        await asyncio.gather(*(node.stop() for node in nodes))
    assert not any(node.path.exists() for node in nodes)


OWNER = """
import asyncio
from rig.cluster.nodes import Node, start_all
from tests.rig.cluster.test_node import operator, static
async def main():
    nodes = [Node(number, operator(static())) for number in range(3)]
    await start_all(nodes)
    nodes[1].pause()
    print(*[node.program.pid for node in nodes], flush=True)
    print(*[node.path for node in nodes], flush=True)
    await asyncio.sleep(60)
asyncio.run(main())
"""


@bounded
async def test_a_killed_owner_leaves_no_process_not_even_a_paused_one():
    owner = await asyncio.create_subprocess_exec(
        sys.executable, "-c", OWNER, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    try:
        async with asyncio.timeout(PATIENCE_S):
            pids = [int(pid) for pid in (await owner.stdout.readline()).split()]
            folders = [Path(os.fsdecode(path)) for path in (await owner.stdout.readline()).split()]
        assert len(pids) == len(folders) == 3
        assert all(runs(pid) for pid in pids)
    finally:
        owner.send_signal(signal.SIGKILL)
        await owner.wait()
    await until(lambda: not any(runs(pid) for pid in pids))
    for folder in folders:
        subprocess.run(["rm", "-r", str(folder)], check=True)


def runs(pid):
    """Return whether a process exists and is not a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False
