"""Bursts of signals: none is lost, and the process always ends gracefully."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time

import pytest

from fordtrestle.proxy.daemon.signals import Reloads, Signals
from tests.loopback import PATIENCE_S, App, entry, listed, loopback, until
from tests.proxy.daemon.test_process import ROOT, environment, free_port

BURST = 1000
MANY_SERVERS = 6000  # servers in the file: a reload takes long enough for signals to arrive during it


def spawn(log_path, env):
    """Start the sidecar without asyncio, which would reap it: only the test's `poll` may."""
    with log_path.open("w") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "fordtrestle"], env=env, cwd=ROOT, stderr=log, start_new_session=True
        )


def send_later(number, after_s):
    """Start a process that sends this one a signal after a delay."""
    return subprocess.Popen(["/bin/sh", "-c", f"sleep {after_s}; kill -{number} {os.getpid()}"])


def pause(seconds):
    """Block the test's event loop, which has nothing to do meanwhile."""
    time.sleep(seconds)


async def started(tmp_path, servers=0, wait=True):
    """Start the sidecar as a process that logs to a file; by default, wait until it accepts connections."""
    port = free_port()
    rows = [entry(f"s{i}", f"127.{i // 200 % 200}.{i % 200}.1:9") for i in range(servers)]
    env = environment(tmp_path, listen=f"127.0.0.1:{port}", known=listed(1, *rows))
    process = spawn(tmp_path / "log", env)

    async def answers():
        try:
            app = await App.connect(("127.0.0.1", port))
        except ConnectionError:
            return False
        answer = await app.ask(target="/health/ready")
        app.close()
        return answer is not None

    until_s = time.monotonic() + PATIENCE_S
    while wait and not await answers():
        assert process.poll() is None
        assert time.monotonic() < until_s
    return process


class VirtualLoop:
    """An event loop in virtual time, with the methods that `Reloads` uses."""

    def __init__(self):
        self.now = 0.0
        self.timers = []

    def time(self):
        return self.now

    def call_at(self, when, callback):
        self.timers.append((when, callback))
        return self

    def run_until(self, when):
        while self.timers and self.timers[0][0] <= max(when, self.now):
            at, callback = self.timers.pop(0)
            self.now = max(self.now, at)
            callback()
        self.now = max(self.now, when)


@pytest.fixture
def handlers():
    """The handled signals; their handlers are restored after the test."""
    before = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)}
    yield list(before)
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.fixture
def reaped():
    """A list of processes that are killed and reaped after the test."""
    processes = []
    yield processes
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.wait()


@loopback
async def test_signals_received_while_the_loop_is_blocked_are_all_handled(handlers):
    """Guards against signals, SIGTERM included, that are lost when the wake-up socket is full."""
    loop, seen = asyncio.get_running_loop(), []
    signals = Signals()
    signals.install()
    signal.raise_signal(signal.SIGHUP)  # before there is a loop
    signals.attach(loop, lambda: seen.append("stop"), lambda: seen.append("reload"))
    await until(lambda: seen == ["reload"])
    for _ in range(BURST):
        signal.raise_signal(signal.SIGHUP)
    signal.raise_signal(signal.SIGTERM)
    await until(lambda: seen == ["reload", "reload", "stop"])
    signals.finish()
    for number in handlers:
        signal.raise_signal(number)  # none of them ends this process, although no loop handles them


@loopback
async def test_a_signal_wakes_a_waiting_loop(handlers):
    """Guards against a loop that handles a signal only at its next timer."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    signals = Signals()
    signals.install()
    signals.attach(loop, stop.set, lambda: None)
    sender = send_later("TERM", 0.2)
    await asyncio.wait_for(stop.wait(), PATIENCE_S)
    assert sender.wait() == 0
    signals.finish()


def test_reloads_run_one_at_a_time_with_a_pause_in_proportion_to_their_duration():
    loop, runs = VirtualLoop(), []

    def reload():
        runs.append(round(loop.now, 3))
        loop.now += 0.02
        if len(runs) == 1:
            raise ValueError("a failed reload prevents no later one")

    reloads = Reloads(loop, reload)
    for requested_at in (0.0, 0.01, 0.05, 0.1, 0.19, 0.21, 5.0):
        loop.run_until(requested_at)
        reloads.request()
    loop.run_until(9.0)
    assert runs == [0.0, 0.2, 0.4, 5.0]


@loopback
async def test_sigterm_is_not_lost_behind_a_burst_of_sighups_while_reloads_run(tmp_path, reaped):
    """The same in the real program, where each reload takes some time."""
    process = await started(tmp_path, MANY_SERVERS)
    reaped.append(process)
    for _ in range(BURST):
        process.send_signal(signal.SIGHUP)
        pause(0.0001)  # the system merges a signal with a pending one
    process.send_signal(signal.SIGTERM)
    await until(lambda: process.poll() is not None)
    assert process.returncode == 0


@loopback
async def test_repeated_sigterm_until_the_end_leaves_exit_code_0(tmp_path, reaped):
    """Guards against the default action, which is restored when the loop or the interpreter ends."""
    process = await started(tmp_path)
    reaped.append(process)
    until_s = time.monotonic() + PATIENCE_S
    while process.poll() is None:  # `poll` reaps the process, so no signal reaches another of the same id
        assert time.monotonic() < until_s
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process.send_signal(number)
        pause(0.0005)
    assert process.returncode == 0


@loopback
async def test_a_burst_of_sighups_causes_few_reloads_and_the_last_file_applies(tmp_path, reaped):
    """Guards against a reload for each signal, and against one that misses a change during it."""
    process = await started(tmp_path)
    reaped.append(process)
    path = tmp_path / "config.json"
    config = json.loads(path.read_text())

    def log():
        return (tmp_path / "log").read_text()

    for number in range(BURST):
        if number == BURST // 2:
            path.write_text("{")  # from now on each reload logs a line
        process.send_signal(signal.SIGHUP)
        pause(0.0001)
    await until(lambda: "nothing changes" in log())
    assert log().count("nothing changes") < BURST // 20
    path.write_text(json.dumps({**config, "discovery": "127.0.0.1:10"}))
    process.send_signal(signal.SIGHUP)
    await until(lambda: "moves to 127.0.0.1:10" in log())
