"""Signals in bursts: none is lost, and none ends the process but as it should end."""

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
MANY = 6000  # servers in the file: reading it anew takes long enough to be signalled meanwhile


def spawn(log_path, env):
    """Start the sidecar. Not by asyncio, which would reap it: only `poll` of the test may."""
    with log_path.open("w") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "fordtrestle"], env=env, cwd=ROOT, stderr=log, start_new_session=True
        )


def send_later(number, after_s):
    """Have another process send this one a signal."""
    return subprocess.Popen(["/bin/sh", "-c", f"sleep {after_s}; kill -{number} {os.getpid()}"])


def pause(seconds):
    """Wait with the test's loop standing still: it has nothing to do meanwhile."""
    time.sleep(seconds)


async def started(tmp_path, servers=0, wait=True):
    """The sidecar in a process of its own, by default once it accepts connections; it logs to a file."""
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


class Virtual:
    """A loop in virtual time, as far as reloads need one."""

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
    """The signals that are handled, whose handlers before the test are put back after it."""
    before = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)}
    yield list(before)
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.fixture
def reaped():
    """Processes that are ended with the test, however it ends."""
    processes = []
    yield processes
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.wait()


@loopback
async def test_what_comes_while_the_loop_stands_still_is_all_seen_to(handlers):
    """Guards against a wake-up socket that is full: what it can't take is forgotten, SIGTERM too."""
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
        signal.raise_signal(number)  # none of them ends this process, with no loop to see to it


@loopback
async def test_a_signal_wakes_a_loop_that_sleeps(handlers):
    """Guards against handlers that run and a loop that does not look until its next timer."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    signals = Signals()
    signals.install()
    signals.attach(loop, stop.set, lambda: None)
    sender = send_later("TERM", 0.2)
    await asyncio.wait_for(stop.wait(), PATIENCE_S)
    assert sender.wait() == 0
    signals.finish()


def test_reloads_are_one_at_a_time_with_a_pause_that_grows_with_what_they_cost():
    loop, runs = Virtual(), []

    def reload():
        runs.append(round(loop.now, 3))
        loop.now += 0.02
        if len(runs) == 1:
            raise ValueError("a fault ends no later reload")

    reloads = Reloads(loop, reload)
    for asked in (0.0, 0.01, 0.05, 0.1, 0.19, 0.21, 5.0):
        loop.run_until(asked)
        reloads.request()
    loop.run_until(9.0)
    assert runs == [0.0, 0.2, 0.4, 5.0]


@loopback
async def test_sigterm_is_not_lost_behind_a_burst_of_sighups_while_reloads_run(tmp_path, reaped):
    """The same on the program as it runs, where each reload takes a while."""
    process = await started(tmp_path, MANY)
    reaped.append(process)
    for _ in range(BURST):
        process.send_signal(signal.SIGHUP)
        pause(0.0001)  # one that is still pending would swallow the next
    process.send_signal(signal.SIGTERM)
    await until(lambda: process.poll() is not None)
    assert process.returncode == 0


@loopback
async def test_sigterm_again_and_again_until_the_end_leaves_the_exit_code_0(tmp_path, reaped):
    """Guards against the signal's default, which is back once the loop or the interpreter ends."""
    process = await started(tmp_path)
    reaped.append(process)
    until_s = time.monotonic() + PATIENCE_S
    while process.poll() is None:  # `poll` reaps it, so that no signal goes to another process
        assert time.monotonic() < until_s
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process.send_signal(number)
        pause(0.0005)
    assert process.returncode == 0


@loopback
async def test_a_burst_of_sighups_is_few_reloads_and_the_last_word_counts(tmp_path, reaped):
    """Guards against a reload for each signal, and against one that misses what came during it."""
    process = await started(tmp_path)
    reaped.append(process)
    path = tmp_path / "config.json"
    told = json.loads(path.read_text())

    def log():
        return (tmp_path / "log").read_text()

    for number in range(BURST):
        if number == BURST // 2:
            path.write_text("{")  # each reload from here on is a line in the log
        process.send_signal(signal.SIGHUP)
        pause(0.0001)
    await until(lambda: "nothing changes" in log())
    assert log().count("nothing changes") < BURST // 20
    path.write_text(json.dumps({**told, "discovery": "127.0.0.1:10"}))
    process.send_signal(signal.SIGHUP)
    await until(lambda: "moves to 127.0.0.1:10" in log())
