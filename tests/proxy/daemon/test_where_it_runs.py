"""The platform forbids starting programs, forks, splice, sendfile and io_uring.

The program has to be a single process, linked dynamically against the C library.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tomllib
from pathlib import Path

from tests.loopback import App, Registry, Upstream, entry, listed, loopback, until
from tests.proxy.daemon.test_process import ROOT, environment, free_port

# `fordtrestle load` is a separate program, of which nothing is loaded here (tests/cli/test_cli.py).
PROGRAM = [path for path in (ROOT / "fordtrestle").rglob("*.py") if path.parent.name != "load"]
FORBIDDEN = ("sendfile", "splice", "io_uring", "os.fork", "posix_spawn", "subprocess", "multiprocessing")
# Runs the program, and aborts it if it starts another program or forks.
WATCHED = """
import os, runpy, sys
STARTS = {"os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "os.exec", "os.system", "subprocess.Popen"}
def hook(event, args):
    if event in STARTS:
        os.write(2, f"starts: {event}\\n".encode())
        os._exit(99)
sys.addaudithook(hook)
runpy.run_module("fordtrestle", run_name="__main__", alter_sys=True)
"""


def test_the_deploy_files_run_lines_end_in_one_process():
    config = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    for name in ("run", "sim"):
        assert config[name].startswith("exec "), name
        assert not set("&;|\n") & set(config[name]), name


def test_the_program_names_nothing_forbidden():
    found = [(path.name, word) for path in PROGRAM for word in FORBIDDEN if word in path.read_text("utf-8")]
    assert len(PROGRAM) > 80
    assert found == []


def children_of(pid):
    """Return the child processes of a single-threaded process (proc(5))."""
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


def mappings_of(pid):
    """Return the memory mappings of a process, which include its libraries."""
    return Path(f"/proc/{pid}/maps").read_text()


@loopback
async def test_the_program_starts_no_other_process(tmp_path):
    """During requests, a reload that moves discovery, and a drain."""
    upstream, first, second = await Upstream().start(), await Registry().start(), await Registry().start()
    known = listed(1, entry("s0", upstream.address))
    second.listed = known
    address = ("127.0.0.1", free_port())
    listen = f"{address[0]}:{address[1]}"
    env = environment(tmp_path, discovery=first.address, known=known, listen=listen)
    with (tmp_path / "log").open("wb") as log:
        made = await asyncio.create_subprocess_exec(
            sys.executable, "-c", WATCHED, env=env, cwd=ROOT, stderr=log
        )
    try:
        await until(lambda: first.watches or made.returncode is not None)
        assert made.returncode is None, (tmp_path / "log").read_text()
        app = await App.connect(address)
        assert (await app.ask()).body == b"done"
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "discovery": second.address}))
        made.send_signal(signal.SIGHUP)
        await until(lambda: second.watches)
        assert (await app.ask()).body == b"done"
        assert children_of(made.pid) == []
        assert "libc.so" in mappings_of(made.pid)
        app.close()
        made.terminate()
        assert await made.wait() == 0
    finally:
        if made.returncode is None:
            made.kill()
    assert "starts:" not in (tmp_path / "log").read_text()
    for partner in (upstream, first, second):
        partner.stop()
