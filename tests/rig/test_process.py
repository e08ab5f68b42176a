"""Tests of programs in processes: limits, samples and a certain end."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

import pytest

from rig.balancers import stage
from rig.clients import Clients, Plan
from rig.process import Program, ProgramError, sampled, usage
from tests.rig.waiting import PATIENCE_S, bounded, until

HERE = Path(__file__).resolve().parent
HOLD = "import os, sys, time; held = [open(os.devnull) for _ in range(20)]; print('up', flush=True); "


async def start(code, **changes):
    return await Program.start([sys.executable, "-c", code], cwd=HERE, talks=True, **changes)


@bounded
async def test_a_program_is_limited_sampled_and_stopped():
    limit = "import resource; print(resource.getrlimit(resource.RLIMIT_NOFILE), flush=True); "
    core = min(os.sched_getaffinity(0))
    program = await start(
        limit + HOLD + "print(os.sched_getaffinity(0), flush=True); time.sleep(60)", descriptors=64, core=core
    )
    assert await program.hear(PATIENCE_S) == b"(64, 64)\n"
    assert await program.hear(PATIENCE_S) == b"up\n"
    assert await program.hear(PATIENCE_S) == f"{{{core}}}\n".encode()
    async with sampled(program, 0.01) as peaks:
        await until(lambda: peaks.samples >= 2)
    assert 23 <= peaks.descriptors <= 64
    assert peaks.rss_mb > 1.0
    assert peaks.samples >= 2
    assert await program.stop() == -signal.SIGTERM
    with pytest.raises(ProcessLookupError):
        program.usage()


@bounded
async def test_log_lines_are_kept_by_prefix_also_from_the_tail():
    code = (
        "import sys, time; log = sys.stderr.write; log('bad: 1\\n'); print('up', flush=True); "
        "sys.stdin.readline(); log('ba'); sys.stderr.flush(); time.sleep(0.05); "
        "log('d: 2\\nnot bad: 3\\n' + 'well\\n' * 300 + 'bad: 4')"
    )
    program = await start(code)
    await program.hear(PATIENCE_S)
    await until(lambda: program.tail)
    program.note("bad:", "worse:")
    await program.say(b"go on\n", PATIENCE_S)
    await program.wait(PATIENCE_S)
    assert await program.stop() == 0
    assert program.noted == ["bad: 1", "bad: 2", "bad: 4"]
    assert program.tail[-1] == "bad: 4"
    assert len(program.tail) == 200


@bounded
async def test_a_program_handles_sigint_if_its_owner_ignores_it():
    before = signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        program = await start(HOLD + "time.sleep(60)")
    finally:
        signal.signal(signal.SIGINT, before)
    await program.hear(PATIENCE_S)
    program.signal(signal.SIGINT)
    assert await program.wait(PATIENCE_S) == -signal.SIGINT
    await program.stop()


@bounded
async def test_blank_lines_of_a_log_are_kept():
    """Guard against the loss of a blank line that is read alone or at the end of a chunk."""
    code = (
        "import sys; log = sys.stderr.write; log('\\n'); sys.stderr.flush(); sys.stdin.readline(); "
        "log('a\\n\\n'); sys.stderr.flush(); sys.stdin.readline(); log('b\\n'); sys.stderr.flush()"
    )
    program = await start(code)
    for count in (1, 4):
        await until(lambda count=count: program.log_bytes == count)
        await program.say(b"go on\n", PATIENCE_S)
    await program.wait(PATIENCE_S)
    assert await program.stop() == 0
    assert program.tail == ["", "a", "", "b"]


@bounded
async def test_a_program_that_does_not_end_is_killed():
    code = "import signal; signal.signal(signal.SIGTERM, signal.SIG_IGN); " + HOLD + "time.sleep(60)"
    program = await start(code)
    await program.hear(PATIENCE_S)
    assert await program.stop(within_s=0.1) == -signal.SIGKILL


@bounded
async def test_waiting_for_a_port_fails_if_the_program_ends_or_does_not_listen():
    program = await start("raise SystemExit('no reason')")
    with pytest.raises(ProgramError, match="code 1: no reason"):
        await program.port()
    await program.stop()
    program = await start("import time; time.sleep(60)")
    with pytest.raises(ProgramError, match="does not listen"):
        await program.port(within_s=0.05)
    await program.stop()
    with pytest.raises(ProgramError):
        await Program.start(["/no/such/program"], cwd=HERE)


@bounded
async def test_the_port_is_the_one_that_the_program_listens_on():
    code = "import socket, time; s = socket.create_server(('127.0.0.1', 0)); "
    program = await start(code + "print(s.getsockname()[1], flush=True); time.sleep(60)")
    port = int(await program.hear(PATIENCE_S))
    assert await program.port() == port
    await program.stop()
    with pytest.raises(ProcessLookupError):
        usage(program.pid)


@bounded
async def test_a_sidecar_serves_in_a_deployed_stage():
    async with stage(servers=2, work_ms=(1.0, 2.0)) as made:
        tally = await Clients(made.target.address, Plan(100.0, 0.3, pools=4)).run()
        assert tally.in_time == 1.0
        assert made.target.program.usage().descriptors <= made.target.descriptors
        assert (await made.fleet.ledger())["received"] == tally.asked
    assert made.target.program.code == 0
