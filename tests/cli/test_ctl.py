"""The operator's client against a single control process: what it prints, and its exit codes."""

from __future__ import annotations

import asyncio
import json

import pytest

from fordtrestle import cli
from fordtrestle.cli import ctl
from tests.control_api.test_exchanges import CONFIG, HEARTBEAT, StandaloneControl
from tests.exchanges import Client, loopback, request


async def run_ctl(*arguments):
    """Run the command line in a thread beside the loop that serves and return the exit code."""
    return await asyncio.to_thread(cli.main, ["ctl", *arguments])


@loopback
async def test_an_operators_day(tmp_path, capsys, snapshot):
    file = tmp_path / "config.json"
    patch = tmp_path / "patch.json"
    patch.write_text(json.dumps({"generation": 5, "upsert": {"services": [{"name": "other"}]}}))
    async with StandaloneControl(tmp_path / "data") as stage:
        control_option = ("--control", f"127.0.0.1:{stage.port}")
        codes = [await run_ctl(*control_option, "config", "get")]
        file.write_text(json.dumps(CONFIG))
        codes.append(await run_ctl("config", "check", str(file)))
        codes.append(await run_ctl(*control_option, "config", "put", str(file)))
        codes.append(await run_ctl(*control_option, "config", "patch", str(patch)))
        codes.append(await run_ctl(*control_option, "config", "diff", str(file)))
        codes.append(await run_ctl(*control_option, "config", "get"))
        codes.append(await run_ctl(*control_option, "config", "put", str(file), "--base", "4"))
        async with Client(stage.port) as server:
            await server.exchange(request("POST", "/v1/instances/i-1/heartbeat", json.dumps(HEARTBEAT)))
        codes.append(await run_ctl(*control_option, "servers"))
        codes.append(await run_ctl(*control_option, "evacuate", "start", "z-1"))
        codes.append(await run_ctl(*control_option, "--json", "epoch"))
        codes.append(await run_ctl(*control_option, "members"))
    printed = capsys.readouterr()
    assert "\n".join([str(codes), printed.out, printed.err]) == snapshot


def test_config_check_prints_all_errors_without_a_control_process(tmp_path, capsys):
    file = tmp_path / "config.json"
    invalid = {**CONFIG, "routes": [{**CONFIG["routes"][0], "timeout_ms": 0, "backend": None}]}
    file.write_text(json.dumps(invalid))
    assert cli.main(["ctl", "config", "check", str(file)]) == ctl.BAD_INPUT
    assert len(capsys.readouterr().err.splitlines()) == 2


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["config", "get"], ctl.BAD_INPUT),
        (["--control", "nowhere", "config", "get"], ctl.BAD_INPUT),
        (["--control", "127.0.0.1:1", "config", "put", "/no/such/file"], ctl.BAD_INPUT),
        (["--control", "127.0.0.1:1", "--timeout", "0.01", "epoch"], ctl.UNREACHABLE),
        (["config", "burn"], ctl.BAD_INPUT),
    ],
)
def test_bad_usage_and_unreachable_processes_have_exit_codes_of_their_own(arguments, code, capsys):
    assert cli.main(["ctl", *arguments]) == code
    assert capsys.readouterr().err
