"""Hundreds of configuration changes: the log file stays short, and a restart restores all of them."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.control_changes import _change, changes, main, start
from fordtrestle.control_api.requests import CommandResult, CommandStatus, ConfigRequestKind
from tests.virtual import virtual


def test_the_file_stays_short_and_a_start_finds_all_changes(tmp_path):
    durations, max_bytes = asyncio.run(changes(tmp_path, 300, 3_000))
    assert len(durations) == 300
    assert max_bytes < 400_000, "256 KiB, three snapshots and a write"
    assert start(tmp_path)[1] == 300


def test_a_long_configuration_does_not_fill_the_disk(tmp_path):
    _, max_bytes = asyncio.run(changes(tmp_path, 12, 400_000))
    assert max_bytes < 256 * 1024 + 5 * 500_000
    assert start(tmp_path)[1] == 12


def test_the_table_is_printed(capsys):
    assert main(["--changes", "3", "--bytes", "300"]) == 0
    assert len(capsys.readouterr().out.splitlines()) == 2


class Scripted:
    """A command handler that returns the given statuses in turn."""

    def __init__(self, *statuses):
        self.statuses = list(statuses)
        self.calls = []

    async def change_config(self, request):
        self.calls.append((request.kind, request.base, request.body))
        return CommandResult(self.statuses.pop(0))


@pytest.mark.parametrize("final", [CommandStatus.DONE, CommandStatus.STALE, CommandStatus.INVALID])
@virtual
async def test_a_change_is_sent_again_unchanged_while_its_store_is_not_primary_or_does_not_know(final):
    commands = Scripted(CommandStatus.NOT_PRIMARY, CommandStatus.UNKNOWN, final)
    assert (await _change(commands, 4, b"{}")).status is final
    assert commands.calls == 3 * [(ConfigRequestKind.PUT, 3, b"{}")]
