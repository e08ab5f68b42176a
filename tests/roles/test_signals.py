"""Signals while a role starts, and further ones while it ends."""

from __future__ import annotations

import signal
import subprocess
import sys

import pytest

from tests.guards import ROOT

PATIENCE_S = 20.0
BEGIN = "from tests.guards import take_out; take_out()\n"
STARTS = f"""{BEGIN}
import time
from fordtrestle.cli.start import install_early_signal_handlers
install_early_signal_handlers()
print("started", flush=True)
time.sleep({PATIENCE_S})
"""
WORD = f"""{BEGIN}
import signal, sys, types
from importlib import import_module
role = types.ModuleType("role")
ready = lambda: signal.getsignal(signal.SIGHUP) is signal.SIG_IGN and sys.modules["ssl"] is None
role.main = lambda *early: int(not ready())
sys.modules["fordtrestle.roles.WORD"] = sys.modules["fordtrestle.roles"] = role
role.WORD = role
sys.exit(import_module("fordtrestle.cli.WORD").run(None))
"""
ENDS = f"""{BEGIN}
import asyncio, json, os, signal
from fordtrestle.roles.process import Process
from fordtrestle.settings.boot import parse_settings
from tests.settings.test_boot import BOOT

async def run():
    process = Process(parse_settings(json.dumps(BOOT)), "sidecar")
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(name, process.stopping.set)
    process.begin_to_end()

asyncio.run(run())
for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    os.kill(os.getpid(), name)
"""


def program(text: str) -> list[str]:
    return [sys.executable, "-c", text]


def test_a_process_that_starts_ends_with_code_0_when_it_is_told_to_and_stays_at_a_reload():
    with subprocess.Popen(program(STARTS), cwd=ROOT, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout
        assert process.stdout.readline() == "started\n"
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(PATIENCE_S) == 0


@pytest.mark.parametrize("word", ["sidecar", "control"])
def test_a_role_takes_signals_and_does_without_tls_before_its_libraries_are_loaded(word):
    ran = subprocess.run(program(WORD.replace("WORD", word)), cwd=ROOT, timeout=PATIENCE_S, check=False)
    assert ran.returncode == 0


def test_further_signals_do_not_cut_an_end_short():
    ran = subprocess.run(program(ENDS), cwd=ROOT, timeout=PATIENCE_S, check=False)
    assert ran.returncode == 0
