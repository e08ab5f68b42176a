"""The cluster: its links and disks, what it makes of the records of a play, and that no process is left."""

from __future__ import annotations

import asyncio
import io
import json
import math
import os
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from benchmarks import cluster_faults
from rig import ledger
from rig.cluster import schedules, site
from rig.cluster.cluster import REGISTRY, Cluster, Restorable, _killed_s
from rig.cluster.history import Started
from rig.cluster.judging import Change, Disks, Excuses, Played, judge, notifications, without_addresses
from rig.cluster.live import LiveDisplay, NodeView, tail
from rig.cluster.nodes import PlatformNode, Processes
from rig.cluster.outages import DiskFaultSpan, Downtime
from rig.cluster.schedules import FORMAT, Head, Kill, Link, News, Reload, Schedule, Stop
from rig.helper import ROOT
from rig.ledger import Asked, Breach, Crash, Execution, Ledger
from rig.process import ProgramError
from rig.registry import entries
from tests.loopback import until
from tests.rig.cluster.logs import Log
from tests.rig.waiting import UNSOUND, believed, bounded

LENGTH_MS = 3000
LIST = "list:shop"


def schedule(*steps, nodes=3, length_ms=LENGTH_MS, seed=1):
    return Schedule(Head(FORMAT, seed, nodes, length_ms), schedules.in_order(steps))


def play(made, **more):
    """Return what a cluster showed of a schedule."""

    async def run():
        cluster = Cluster(made, **more)
        try:
            await cluster.start()
            return await cluster.play()
        finally:
            await cluster.stop()

    played = asyncio.run(run())
    UNSOUND.extend(played.unsound)
    return played


def broken(played):
    return [finding.text for finding in judge(played, 60_000.0) if finding.verdict == "broken"]


# --- on processes --------------------------------------------------------------------------


@believed
def test_without_faults_all_nodes_serve_learn_and_hardly_contradict():
    played = play(schedule(News(800, 1, "s1"), News(1500, 1, "s1", "left")))
    assert broken(played) == []
    assert played.exit_errors == []
    assert played.answers["served"] > 100
    assert played.answers["served"] > 0.95 * sum(played.answers.values())
    assert sum(span.ms for span in played.longest()) < 500.0
    for node in played.nodes:
        rows = [
            (row.status, row.notified_s)
            for row in played.call_ledger.notifications
            if (row.sidecar, row.server) == (node, "s1")
        ]
        assert [status for status, _ in rows] == ["active", "leaving", "left"]
        for (_, notified_s), change in zip(rows[1:], played.changes, strict=True):
            assert 0.0 <= notified_s * 1000.0 - change.at_ms < 1000.0
    assert {row.sidecar for row in played.call_ledger.asked} == set(played.nodes)
    assert played.call_ledger.executions
    assert all(use.cpu_s > 0.0 and use.rss_mb > 5.0 and use.syncs > 0 for use in played.used.values())
    assert played.counts[REGISTRY, "n0"].passed > 100


@believed
def test_only_the_node_whose_links_to_the_servers_are_cut_fails():
    played = play(schedule(Link(500, 2000, "cut", ("n0",), ("servers",)), News(800, 1, "s1")))
    assert not played.not_played
    assert broken(played) == []
    served = Counter(row.sidecar for row in played.call_ledger.asked if row.result == "served")
    assert served["n0"] < 0.7 * min(served["n1"], served["n2"])
    assert played.counts["n0", "servers"].passed
    assert played.counts["n1", "servers"].passed
    assert judge(played, 60_000.0) == []  # equal content, though each node has addresses of its own


@believed
def test_lists_in_files_change_by_a_signal_and_settings_by_a_restart():
    steps = [Reload(500, 1, "n0"), Reload(1500, 1, "n1")]
    static = play(schedule(*steps), static=True)
    spans = [span for span in static.longest() if span.rule == f"{LIST}/s0"]
    assert len(spans) == 1  # not unpacked: an unsound play excuses assertions only
    span = spans[0]
    assert 300.0 < span.ms < 2500.0
    assert all(use.lives == 1 for use in static.used.values())
    assert broken(static) == []
    restarted = play(schedule(*steps))
    spans = [span for span in restarted.longest() if span.rule == "settings:shop"]
    assert len(spans) == 1
    span = spans[0]
    assert span.old.node == "n2"
    assert restarted.used["n0"].lives == 2
    assert restarted.used["n2"].lives == 1
    assert broken(restarted) == []


@believed
def test_the_same_schedule_has_the_same_verdict_each_time():
    made = schedule(Link(300, 2500, "cut", (REGISTRY,), ("n0",)), News(600, 1, "s1"), Kill(900, 300, "n1"))
    seen = {
        (tuple(broken(played)), played.longest()[0].old.node) for played in (play(made) for _ in range(3))
    }
    assert seen == {((), "n0")}


def test_the_rig_killed_itself_leaves_no_process():
    """Guards against orphans when the rig's own process is killed by SIGKILL during a run."""
    code = (
        "import asyncio\n"
        "from rig.cluster.cluster import Cluster\n"
        "from rig.cluster.schedules import Head, Schedule\n"
        "async def main():\n"
        "    made = await Cluster(Schedule(Head(1, 1, 2, 60000))).start()\n"
        "    print(*[node.program.pid for node in made.nodes.values()], flush=True)\n"
        "    await made.play()\n"
        "asyncio.run(main())\n"
    )
    rig = subprocess.Popen([sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        assert rig.stdout is not None
        pids = [int(pid) for pid in rig.stdout.readline().split()]
        assert len(pids) == 2
        pids += [pid for pid in children(rig.pid) if pid not in pids]
        assert len(pids) >= 5  # also two data centres and a relay
    finally:
        rig.kill()
        rig.wait()

    async def gone():
        await until(lambda: not any(runs(pid) for pid in pids))

    asyncio.run(gone())


def children(pid):
    """Return the processes that a process has started."""
    made = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            if int(path.read_text().rpartition(")")[2].split()[1]) == pid:
                made.append(int(path.parent.name))
        except OSError:
            continue
    return made


def runs(pid):
    """Return whether a process exists and is not a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


# --- links, registry and disks ---------------------------------------------------------------


def test_up_to_twenty_nodes_are_all_linked_and_more_are_linked_to_eight_each():
    assert len(site.pairs(20)) == 190
    assert site.neighbours(3, 20) == list(range(20))
    assert site.neighbours(0, 100) == [0, 1, 2, 3, 4, 96, 97, 98, 99]
    pairs = site.pairs(100)
    assert len(pairs) == len(set(pairs)) == 400
    assert (0, 99) in pairs
    assert (0, 50) not in pairs


@bounded
async def test_a_rewound_registry_restores_its_list_and_cuts_off_watches():
    registry = await Restorable(entries(["127.0.0.1:1", "127.0.0.1:2"])).start()
    host, port = registry.address.split(":")
    before = registry.snapshot()
    registry.change({**before["endpoints"][1], "status": "leaving"})
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /registry/instances?watch=1&from=42 HTTP/1.1\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    await reader.readuntil(b"]}\n\r\n")
    registry.rewind()
    assert await reader.read() == b""
    assert registry.snapshot() == before
    registry.rewind()  # has no effect on the first list
    assert registry.snapshot() == before
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /registry/instances?watch=1&from=42 HTTP/1.1\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    await reader.readline()
    assert json.loads(await reader.readline()) == before  # the complete older list
    writer.transport.abort()
    await registry.stop()


def test_a_disk_is_kept_emptied_or_restored_but_not_under_a_process():
    node = PlatformNode(0, lambda life: {})
    (node.disk / "log").write_text("old")
    node.copy_disk()
    (node.disk / "log").write_text("new")
    for state, holds in (("kept", ["new"]), ("older", ["old"]), ("emptied", [])):
        node.replace_disk(state)
        assert [file.read_text() for file in node.disk.iterdir()] == holds
    node.program = Stub()
    with pytest.raises(ProgramError, match="n0 runs"):
        node.replace_disk("emptied")
    node.program = None
    asyncio.run(node.stop())
    assert not node.path.exists()


class Stub:
    """Process that only records its signals."""

    code = None
    pid = os.getpid()

    def __init__(self):
        self.signals = []

    def signal(self, number):
        self.signals.append(number)


def test_a_starved_process_is_stopped_repeatedly_and_runs_in_the_end():
    node = PlatformNode(0, lambda life: {})
    node.program = Stub()
    asyncio.run(Processes({"n0": node}, (Stop(0, 350, "n0", 0.5),)).run())
    signals = node.program.signals
    assert signals.count(signal.SIGSTOP) >= 3
    assert signals[-1] == signal.SIGCONT
    node.program = None
    asyncio.run(node.stop())


# --- judging of recorded plays ---------------------------------------------------------------


def test_a_node_counts_as_notified_when_it_learned_and_again_after_an_older_disk():
    log = Log().start("n0", 0.0)
    log.learn("n0", 1000.0, 1, LIST, s1="active/a", s2="active/b")
    log.learn("n0", 9000.0, 2, LIST, s1="leaving/a", s2="active/b").kill("n0", 9100.0)
    log.start("n0", 9500.0).learn("n0", 9600.0, 1, LIST, s1="active/a", s2="active/b")
    log.learn("n0", 9700.0, 3, LIST, s2="active/b")
    changes = [Change(2000.0, "s1", "leaving"), Change(9300.0, "s1", "left")]
    rows = [row for row in notifications(log.events, changes) if row.server == "s1"]
    assert [(row.status, row.counts_s) for row in rows] == [
        ("active", 1.0),
        ("leaving", 9.0),
        ("active", 9.6),
        ("left", 9.7),
    ]
    assert rows == sorted(rows, key=lambda row: row.changed_s)


def test_only_lists_that_differ_in_nothing_but_addresses_become_equal():
    log = Log().start("n0", 0.0).start("n1", 0.0)
    log.learn("n0", 1.0, 1, LIST, "d0", s1="active/a").learn("n1", 1.0, 1, LIST, "d1", s1="active/b")
    log.act("n0", 2.0, 1, LIST, "d0").store("n1", 2.0, 1, LIST, "d1")
    log.learn("n0", 3.0, 2, LIST, "d2", s1="leaving/a").learn("n1", 3.0, 2, LIST, "d3", s1="leaving/c")
    made = [event for event in without_addresses(log.events) if not isinstance(event, Started)]
    one, other, acted, stored, left, changed = made
    assert one.digest == other.digest == acted.digest == stored.digest
    assert one.entries == other.entries
    assert left.digest != changed.digest  # n1's entry has changed, n0's has not


def call_ledger(**changes):
    row = {
        "call": "c1", "origin": "c1", "sidecar": "n0", "semantics": "unsafe", "kind": "pay", "token": "",
        "sent_s": 10.0, "budget_s": 1.0, "result": "unanswered", "ended_s": 11.2,
    }  # fmt: skip
    return Ledger(asked=[Asked(**{**row, **changes})])


def of(call_ledger, *steps, **more):
    return Played(schedule(*steps, length_ms=60_000), ["n0", "n1"], 8000.0, [], call_ledger, **more)


ANSWERED, EFFECTS, DRAINS, _ = ledger.RULES
CUT, LATE = (
    Link(1000, 1500, "cut", ("clients",), ("n0",)),
    Link(1000, 1500, "late", ("n0",), ("servers",), 9.0),
)


@pytest.mark.parametrize(
    ("step", "rule", "excused"),
    [
        (CUT, ANSWERED, True),
        (CUT, DRAINS, False),
        (CUT, EFFECTS, False),
        (Link(1000, 1500, "cut", ("clients",), ("n1",)), ANSWERED, False),  # another node
        (Link(1000, 1500, "cut", ("registry",), ("n0",)), ANSWERED, False),  # another link
        (Link(9000, 1500, "cut", ("clients",), ("n0",)), ANSWERED, False),  # later
        (Link(100, 1500, "cut", ("clients",), ("n0",)), ANSWERED, False),  # before
        (
            Link(100, 1500, "half_open", ("clients",), ("n0",), 1.0),
            ANSWERED,
            True,
        ),  # its effect outlasts the fault
        (Link(1000, 1500, "reorder", ("clients",), ("n0",), 1.0), ANSWERED, False),  # no effect on TCP
        (LATE, ANSWERED, False),  # the program must cope
        (LATE, EFFECTS, False),
        (LATE, DRAINS, True),
        (Link(1000, 1500, "reset", ("n0",), ("servers",), 0.5), DRAINS, False),
        (Link(1000, 1500, "flip", ("n0",), ("servers",), 0.5), EFFECTS, True),
        (Stop(1000, 2500, "n0"), ANSWERED, True),
        (Stop(1000, 2500, "n0"), DRAINS, False),
        (Stop(1000, 1500, "n0"), ANSWERED, False),  # it was running when the answer was due
        (Stop(1000, 2500, "n1"), ANSWERED, False),
        (Kill(2500, 500, "n0"), ANSWERED, False),  # the ledger excuses crashes itself
    ],
)
def test_a_breach_is_excused_only_by_faults_that_its_call_met(step, rule, excused):
    assert bool(Excuses(of(call_ledger(), step)).excuse(Breach(rule, "", "c1", ()))) == excused


def test_a_late_link_to_the_servers_excuses_the_time_of_a_repeat_and_not_its_place():
    excuses = Excuses(of(call_ledger(), LATE))
    assert excuses.excuse(Breach(EFFECTS, "call c1 was sent to s1 after s2: 90 ms past the window", "c1", ()))
    assert not excuses.excuse(Breach(EFFECTS, "call c1 was sent to s1 after s2: another group", "c1", ()))


def test_a_call_that_an_absent_node_never_accepted_is_excused_and_an_accepted_one_is_not():
    downtimes = [Downtime("n0", 9.5, 10.5, False)]
    assert Excuses(of(call_ledger(), downtimes=downtimes)).excuse(Breach(ANSWERED, "", "c1", ()))
    accepted = Log().start("n0", 0.0).act("n0", 10_000.0, 1, LIST).events
    accepted[1] = type(accepted[1])("n0", 2, 10_000.0, LIST, 1, call="c1")
    played = of(call_ledger(), downtimes=downtimes)
    played.events = accepted
    assert not Excuses(played).excuse(Breach(ANSWERED, "", "c1", ()))


def test_the_servers_records_show_what_a_killed_node_sent_after_the_grace_period():
    """Its own history ends before the send, so that only the ledger can show it."""
    log = Log().start("n0", 0.0).learn("n0", 9000.0, 1, LIST, s1="active/a")
    log.learn("n0", 9100.0, 2, LIST, s1="leaving/a").kill("n0", 10_500.0)
    run = Execution("c1", "", "s1", "east", "unsafe", 10.0, 10.0, began_s=10.0, end="served", ended_s=10.1)
    for at_s, wrong in ((10.0, True), (9.3, False)):
        asked = call_ledger(result="served", sent_s=at_s, ended_s=at_s + 0.1)
        run.first_s = run.last_s = at_s
        played = of(asked, Kill(2500, 500, "n0"))
        played.events = log.events
        asked.executions, asked.crashes = [run], [Crash("n0", 10.5)]
        asked.notifications = notifications(log.events, [])
        found = [finding.checker for finding in judge(played, 60_000.0) if finding.verdict != "unknown"]
        assert found == (["rules"] if wrong else [])


def test_the_grace_period_begins_anew_after_a_restart_with_an_older_list():
    log = Log().start("n0", 0.0).learn("n0", 9000.0, 1, LIST, s1="active/a")
    log.learn("n0", 9100.0, 2, LIST, s1="leaving/a").kill("n0", 9700.0)
    log.start("n0", 9800.0).learn("n0", 9850.0, 1, LIST, s1="active/a")
    log.learn("n0", 9860.0, 2, LIST, s1="leaving/a").kill("n0", 11_000.0)
    for at_s, wrong in ((9.9, False), (10.3, False), (10.6, True)):
        asked = call_ledger(result="served", sent_s=at_s, ended_s=at_s + 0.1)
        run = Execution("c1", "", "s1", "east", "unsafe", at_s, at_s, began_s=at_s, end="served")
        asked.executions, asked.notifications = [run], notifications(log.events, [])
        (found,) = asked.check()[DRAINS] or [None]
        assert bool(found and not Excuses(of(asked)).excuse(found)) == wrong


def test_a_disk_excuses_only_losses_by_its_own_faults():
    log = Log()
    for at_ms in (0.0, 5000.0, 9000.0):
        log.start("n0", at_ms)
    disk_faults = [DiskFaultSpan("n0", "lie", 1000.0, 2000.0), DiskFaultSpan("n0", "eio", 3000.0, 3500.0)]
    disk_faults += [
        DiskFaultSpan("n0", "emptied", -math.inf, 4500.0),
        DiskFaultSpan("n1", "lie", 0.0, 9999.0),
    ]
    played = of(Ledger(), disk_faults=disk_faults[:2])
    played.events = log.events
    disks = Disks(played)
    assert [disks.excuse("n0", at_ms) for at_ms in (500.0, 1500.0, 2500.0, 3200.0, 5000.0)] == [
        False,
        True,
        False,
        False,
        False,
    ]
    played.disk_faults = disk_faults
    disks = Disks(played)
    assert disks.excuse("n0", 5000.0)
    assert not disks.excuse("n0", 9000.0)


def test_a_disk_that_lied_excuses_the_write_in_flight_and_no_later_one():
    """Guards against a verdict that depends on how late a busy machine confirms a write."""
    log = Log().start("n0", 0.0)
    for version, at_ms in enumerate((900.0, 2100.0, 2200.0), 1):
        log.store("n0", at_ms, version)
    log.store("n1", 2050.0, 1)
    for kind, late in (("lie", True), ("lost_rename", True), ("emptied", False), ("older", False)):
        played = of(Ledger(), disk_faults=[DiskFaultSpan("n0", kind, 1000.0, 2000.0)])
        played.events = log.events
        disks = Disks(played)
        found = [disks.excuse("n0", at_ms) for at_ms in (900.0, 1500.0, 2100.0, 2200.0)]
        assert found == [False, True, late, False], kind


def test_digests_with_no_version_are_ordered_by_the_numbers_of_settings():
    log = Log().start("n0", 8000.0).learn("n0", 8001.0, 0, "settings:shop", "one")
    log.learn("n0", 9500.0, 0, "settings:shop", "three").learn("n0", 9900.0, 0, "settings:shop", "two")
    played = of(Ledger(), Reload(1000, 1, "n0", 3), Reload(1800, 1, "n0", 2))
    played.events = log.events
    assert played.orders() == {"settings:shop": ["one", "two", "three"]}


# --- live display ----------------------------------------------------------------------------


def test_the_display_shows_the_last_events_of_the_nodes(tmp_path):
    lines = [
        b'{"event":"started","node":"n0","number":1,"at_ms":1.0,"life":2}',
        b'{"event":"learned","node":"n0","number":2,"at_ms":2.0,"rule":"list:shop","version":7,'
        b'"entries":{"s1":"active/a","s2":"leaving/b"}}',
        b"no event at all",
        b'{"event":"acted","node":"n0","number":3,"at_ms":3.0,"rule":"list:shop","version":7}',
    ]
    path, view = tmp_path / "events.jsonl", NodeView()
    path.write_bytes(b"\n".join(lines))  # the last line is incomplete
    for event in tail(path, view):
        view.apply(event)
    assert view.line("n0", view.state).split() == [
        *("n0", "serves", "life", "2", "list", "7", "active", "1", "leaving", "1", "acts", "0")
    ]
    path.write_bytes(b"\n".join(lines) + b"\n")
    for event in tail(path, view):
        view.apply(event)
    assert view.acts == 1
    assert tail(tmp_path / "none", NodeView()) == ()


@pytest.mark.parametrize("terminal", [False, True])
@bounded
async def test_the_display_rewrites_a_terminal_and_appends_to_a_file(terminal):
    cluster = Cluster(schedule(Stop(500, 59_000, "n0"), length_ms=60_000))
    cluster.began_ms = asyncio.get_running_loop().time() * 1000.0 - 1000.0
    cluster.nodes["n0"] = PlatformNode(0, lambda life: {})
    watch = LiveDisplay(cluster, io.StringIO(), {"n0": NodeView()})
    for _ in range(2):
        watch._show(terminal)
    output = watch.out.getvalue()
    assert "stop n0" in output
    assert ("n0    away" in output) == terminal
    assert output.count("\x1b[2F\x1b[J") == (1 if terminal else 0)


# --- the measurement -------------------------------------------------------------------------


@pytest.mark.parametrize(
    "arguments", [["--only", "flood"], ["--nodes", "1"], ["--nodes", "x"], ["--seed", "x"]]
)
def test_bad_input_is_exit_code_2(arguments, monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["cluster_faults", *arguments])
    with pytest.raises(SystemExit) as ended:
        cluster_faults.main()
    assert ended.value.code == 2
    assert "error" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("bound", "broken", "unsound", "code"),
    [("2000", (), (), 1), ("2200", (), (), 0), ("2200", ("rules: one",), (), 1), ("2200", (), ("late",), 1)],
)
def test_a_figure_beyond_its_bound_is_exit_code_1(bound, broken, unsound, code, monkeypatch, capsys):
    cost = (cluster_faults.NodeCost("n0", 1.0, 2.0, 0.5, 30.0, 10.0),)
    row = cluster_faults.Row("cut", 3, 500.0, 2100.0, "", math.nan, 1.0, 10, cost, 0.0, broken, unsound)

    async def one(*given):
        return [row]

    monkeypatch.setattr(cluster_faults, "run", one)
    monkeypatch.setattr(cluster_faults, "prepare_process", os.getpid)
    monkeypatch.setattr("sys.argv", ["cluster_faults", "--bound-ms", bound])
    assert cluster_faults.main() == code
    assert "2100" in capsys.readouterr().out


def test_each_fault_of_the_measurement_is_a_schedule_that_can_be_read():
    for name in cluster_faults.FAULTS:
        for count in (2, 100):
            made = cluster_faults.schedule_of(name, count, 1)
            assert schedules.read(made.encode(), name) == made


def test_a_node_killed_during_its_shutdown_is_gone_from_the_kill_on():
    """Guards against calls accepted during a shutdown that count as accepted by a dead process."""
    down = Downtime("n0", 1.0, 3.0, killed=True)
    killed = [("n0", 0.5), ("n1", 1.2), ("n0", 1.6), ("n0", 9.0)]
    assert _killed_s(down, killed) == 1.6
    assert _killed_s(down, []) == 1.0
