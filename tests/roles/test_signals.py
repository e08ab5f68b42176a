"""Signals during start-up of a role, and repeated signals during its shutdown."""

from __future__ import annotations

import signal
import subprocess
import sys

import pytest

from tests.guards import ROOT

TEST_TIMEOUT_S = 20.0
# A test run that outlives its terminal (nohup) ignores SIGHUP, which its children inherit.
PROLOGUE = """import signal
signal.signal(signal.SIGHUP, signal.SIG_DFL)
from tests.guards import take_out; take_out()
"""
START_UP = f"""{PROLOGUE}
import time
from fordtrestle.cli.start import install_early_signal_handlers
install_early_signal_handlers()
print("started", flush=True)
time.sleep({TEST_TIMEOUT_S})
"""
ROLE = f"""{PROLOGUE}
import signal, sys, types
from importlib import import_module
role = types.ModuleType("role")
ready = lambda: signal.getsignal(signal.SIGHUP) is signal.SIG_IGN and sys.modules["ssl"] is None
role.main = lambda *early: int(not ready())
import fordtrestle.roles
sys.modules["fordtrestle.roles.ROLE"] = fordtrestle.roles.ROLE = role
sys.exit(import_module("fordtrestle.cli.ROLE").run(None))
"""
SHUTDOWN = f"""{PROLOGUE}
import asyncio, json, os, signal
from fordtrestle.roles.process import Process
from fordtrestle.settings.boot import parse_settings
from tests.settings.test_boot import BOOT

async def run():
    process = Process(parse_settings(json.dumps(BOOT)), "sidecar")
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(name, process.shutdown_requested.set)
    process.begin_shutdown()

asyncio.run(run())
for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    os.kill(os.getpid(), name)
"""


def program(text: str) -> list[str]:
    return [sys.executable, "-c", text]


def test_a_starting_process_exits_with_code_0_at_sigterm_and_ignores_sighup():
    with subprocess.Popen(program(START_UP), cwd=ROOT, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout
        assert process.stdout.readline() == "started\n"
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(TEST_TIMEOUT_S) == 0


@pytest.mark.parametrize("role", ["sidecar", "control"])
def test_a_role_handles_signals_and_blocks_tls_before_its_libraries_are_loaded(role):
    completed = subprocess.run(
        program(ROLE.replace("ROLE", role)), cwd=ROOT, timeout=TEST_TIMEOUT_S, check=False
    )
    assert completed.returncode == 0


def test_repeated_signals_do_not_cut_a_shutdown_short():
    completed = subprocess.run(program(SHUTDOWN), cwd=ROOT, timeout=TEST_TIMEOUT_S, check=False)
    assert completed.returncode == 0
