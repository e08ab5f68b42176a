"""The command line: commands, exit codes, and which modules each one imports."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest

from fordtrestle import cli
from fordtrestle.cli import COMMANDS
from tests.proxy.config.test_operator_file import GOOD
from tests.proxy.daemon.test_process import ROOT, environment


def run(*arguments, env=None):
    """Run the program and return the completed process."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
    return subprocess.run(
        [sys.executable, "-m", "fordtrestle", *arguments],
        env=env or inherited,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.fixture
def good(tmp_path):
    path = tmp_path / "good.toml"
    path.write_text(GOOD)
    return path


@pytest.fixture
def bad(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(GOOD.replace("aim_ms = 100", "aim = 100").replace('"http"', '"htp"'))
    return path


def test_check_prints_the_names_in_a_valid_file(good, capsys):
    assert cli.main(["check", str(good)]) == 0
    assert capsys.readouterr().out == f"{good}: good: services shop; fronts web; sources fleet\n"


def test_check_prints_all_errors_one_line_each(bad, capsys):
    assert cli.main(["check", str(bad)]) == 2
    rows = capsys.readouterr().out.splitlines()
    assert [row.split(": ")[:2] for row in rows] == [
        [str(bad), "service.shop.class.look.aim"],
        [str(bad), "front.web.protocol"],
    ]


def test_check_prints_the_same_as_json(good, bad, capsys):
    assert cli.main(["check", "--json", str(bad)]) == 2
    report = json.loads(capsys.readouterr().out)
    assert (report["file"], report["good"]) == (str(bad), False)
    assert report["errors"][1] == {
        "at": "front.web.protocol",
        "reason": 'expected one of http, not "htp"',
    }
    assert cli.main(["check", str(good), "--json"]) == 0
    report = json.loads(capsys.readouterr().out)
    assert (report["good"], report["errors"], report["services"]) == (True, [], ["shop"])


def test_check_for_the_platform_accepts_only_limits(good, tmp_path, capsys):
    assert cli.main(["check", "--platform", str(good)]) == 2
    limits = tmp_path / "limits.toml"
    limits.write_text("[limits]\ndescriptors = 512\n")
    assert cli.main(["check", "--platform", str(limits)]) == 0
    assert cli.main(["check", str(limits)]) == 2


@pytest.mark.parametrize(
    "arguments",
    [["no-such-word"], ["check"], ["check", "a", "b"], ["check", "--yaml", "a"], ["serve"], ["--operator"]],
)
def test_unknown_commands_and_bad_usage_are_bad_input(arguments, capsys):
    assert cli.main(arguments) == 2
    printed = capsys.readouterr()
    assert printed.err
    assert not printed.out


def test_help_names_every_command(capsys):
    assert cli.main(["--help"]) == 0
    help_text = capsys.readouterr().out
    assert all(command in help_text for command in COMMANDS)
    for command in COMMANDS:
        assert cli.main([command, "--help"]) == 0
        assert COMMANDS[command] in capsys.readouterr().out


def test_serve_does_not_start_with_an_invalid_file_or_if_it_cannot_listen(good, bad):
    completed = run("serve", str(bad))
    assert (completed.returncode, len(completed.stderr.splitlines())) == (2, 2)
    good.write_text(GOOD.replace("127.0.0.1:8080", "192.0.2.1:8080"))  # belongs to no machine (RFC 5737)
    completed = run("serve", str(good))
    assert (completed.returncode, len(completed.stderr.splitlines())) == (1, 1)
    assert "can't start" in completed.stderr


def test_on_the_platform_an_operator_file_may_hold_only_limits(good, tmp_path):
    completed = run("--operator", str(good), env=environment(tmp_path))
    assert completed.returncode == 2
    rows = completed.stderr.splitlines()
    assert [row.split(": ")[1] for row in rows] == ["front", "service", "source"]
    assert all("only [limits]" in row for row in rows)


PRINT_LOADED_MODULES = """
import sys
from fordtrestle import __main__
from fordtrestle.proxy.daemon import runner
async def run(make, signals):
    print(*sorted(sys.modules))
runner.run = run
sys.exit(__main__.main([]))
"""


def test_without_arguments_no_module_of_the_command_line_or_of_operator_files_is_loaded(tmp_path):
    """Guards against memory use of modules that sidecars do not need, which every one of many would have."""
    completed = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED_MODULES],
        env=environment(tmp_path),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0, completed.stderr
    loaded = set(completed.stdout.split())
    assert {"fordtrestle.proxy.daemon.sidecar", "fordtrestle.proxy.config.platform_config"} <= loaded
    unwanted = {"argparse", "tomllib", "difflib", "ipaddress", "fordtrestle.cli"}
    ours = {"operator_file", "operator_options", "limits_table", "services", "fronts", "sources", "changes"}
    unwanted |= {f"fordtrestle.proxy.config.{name}" for name in ours} | {
        "fordtrestle.proxy.daemon.standalone",
        "fordtrestle.proxy.engine.schema",
    }
    assert not loaded & unwanted


PRINT_MODULES_OF_SERVER = """
import asyncio, sys
from fordtrestle import __main__
from fordtrestle.proxy.daemon import runner
async def run(make, signals, ending=None):
    make(asyncio.get_running_loop())
    print(*sorted(sys.modules))
runner.run = run
sys.exit(__main__.main(sys.argv[1:]))
"""


def serving(*arguments, code=PRINT_MODULES_OF_SERVER, env=None):
    """Return the modules that are loaded once the program is set up, and the completed process."""
    command = [sys.executable, "-c", code, *arguments]
    completed = subprocess.run(command, env=env, cwd=ROOT, capture_output=True, text=True, timeout=60)
    return set(completed.stdout.split()), completed


def test_modules_of_events_and_state_are_loaded_only_where_they_are_configured(good, tmp_path):
    """Guards against memory use of disabled features, and against imports of optional libraries."""
    extra = {"structlog", "msgspec", "crc32c"}
    for loaded, completed in (serving(env=environment(tmp_path)), serving("serve", str(good))):
        assert completed.returncode == 0, completed.stderr
        assert "fordtrestle.proxy.daemon.process" in loaded, completed.stderr
        state = {name for name in loaded if name.startswith("fordtrestle.proxy.state")}
        assert not state
        assert not loaded & {
            *extra,
            "fordtrestle.proxy.daemon.events",
            "fordtrestle.proxy.membership.endpoint_list",
        }
    libraries = {"state": {"msgspec", "crc32c"}, "events": {"structlog", "msgspec"}}
    for table, expected in libraries.items():
        key = "folder" if table == "state" else "file"
        good.write_text(f'{GOOD}[{table}]\n{key} = "{tmp_path}/{table}"\n')
        loaded, completed = serving("serve", str(good))
        assert loaded & extra == expected, completed.stderr
        assert completed.returncode == 0, completed.stderr


def test_a_missing_library_is_reported_in_one_line(good, tmp_path):
    good.write_text(f'{GOOD}[events]\nfile = "{tmp_path}/events"\n')
    _, completed = serving(
        "serve", str(good), code="import sys; sys.modules['structlog'] = None" + PRINT_MODULES_OF_SERVER
    )
    line = "can't start: structlog is missing: pip install 'fordtrestle[cluster]'\n"
    assert (completed.returncode, completed.stderr) == (1, line)


def test_a_command_loads_only_its_own_module(good):
    code = "import sys; from fordtrestle import cli; cli.main(['check', sys.argv[1]]); print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code, str(good)], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert "fordtrestle.cli.check" in completed.stdout.split()
    assert not {"fordtrestle.cli.serve", "fordtrestle.proxy.daemon.process", "asyncio"} & set(
        completed.stdout.split()
    )
