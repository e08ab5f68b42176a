"""The operator's client before a control process that stands alone: what it prints, and its exit codes."""

from __future__ import annotations

import asyncio
import json

import pytest

from fordtrestle import cli
from fordtrestle.cli import ctl
from tests.control_api.test_exchanges import CONFIG, HEARTBEAT, Stage
from tests.exchanges import Client, loopback, request


async def called(*words):
    """Call the command line beside the loop that serves; the exit code."""
    return await asyncio.to_thread(cli.main, ["ctl", *words])


@loopback
async def test_an_operators_day(tmp_path, capsys, snapshot):
    file = tmp_path / "config.json"
    patch = tmp_path / "patch.json"
    patch.write_text(json.dumps({"generation": 5, "upsert": {"services": [{"name": "other"}]}}))
    async with Stage(tmp_path / "data") as stage:
        at = ("--control", f"127.0.0.1:{stage.port}")
        codes = [await called(*at, "config", "get")]
        file.write_text(json.dumps(CONFIG))
        codes.append(await called("config", "check", str(file)))
        codes.append(await called(*at, "config", "put", str(file)))
        codes.append(await called(*at, "config", "patch", str(patch)))
        codes.append(await called(*at, "config", "diff", str(file)))
        codes.append(await called(*at, "config", "get"))
        codes.append(await called(*at, "config", "put", str(file), "--base", "4"))
        async with Client(stage.port) as server:
            await server.exchange(request("POST", "/v1/instances/i-1/heartbeat", json.dumps(HEARTBEAT)))
        codes.append(await called(*at, "servers"))
        codes.append(await called(*at, "evacuate", "start", "z-1"))
        codes.append(await called(*at, "--json", "epoch"))
        codes.append(await called(*at, "members"))
    told = capsys.readouterr()
    assert "\n".join([str(codes), told.out, told.err]) == snapshot


def test_all_that_is_wrong_with_a_file_is_said_without_asking_anyone(tmp_path, capsys):
    file = tmp_path / "config.json"
    wrong = {**CONFIG, "routes": [{**CONFIG["routes"][0], "timeout_ms": 0, "backend": None}]}
    file.write_text(json.dumps(wrong))
    assert cli.main(["ctl", "config", "check", str(file)]) == ctl.BAD_INPUT
    assert len(capsys.readouterr().err.splitlines()) == 2


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["config", "get"], ctl.BAD_INPUT),
        (["--control", "nowhere", "config", "get"], ctl.BAD_INPUT),
        (["--control", "127.0.0.1:1", "config", "put", "/no/such/file"], ctl.BAD_INPUT),
        (["--control", "127.0.0.1:1", "--timeout", "0.01", "epoch"], ctl.UNREACHABLE),
        (["config", "burn"], ctl.BAD_INPUT),
    ],
)
def test_bad_usage_and_nobody_there_have_codes_of_their_own(words, code, capsys):
    assert cli.main(["ctl", *words]) == code
    assert capsys.readouterr().err
