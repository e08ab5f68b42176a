"""Changes of the settings file of a running process: seeds are applied, invalid files are ignored."""

from __future__ import annotations

import json

import pytest

from fordtrestle.roles.process import Process
from fordtrestle.settings.boot import parse_settings
from fordtrestle.settings.records import Address
from tests.settings.test_boot import BOOT


@pytest.fixture
def change_settings(tmp_path, monkeypatch):
    """Return a function that changes a process's settings file and returns the settings after a reload."""
    file = tmp_path / "boot.json"
    file.write_text(json.dumps(BOOT))
    monkeypatch.setenv("FORDTRESTLE_CONFIG", str(file))
    process = Process(parse_settings(json.dumps(BOOT)), "sidecar")

    def change(text):
        file.write_text(text)
        process._reload()
        return process.boot

    return change


def test_changed_seeds_are_applied_and_other_settings_are_not(change_settings):
    boot = change_settings(json.dumps({**BOOT, "seeds": ["10.9.9.9:1"], "bootstrap": False, "zone": "pen-1"}))
    assert boot.seeds == (Address("10.9.9.9", 1),)
    assert boot.zone == BOOT["zone"]


@pytest.mark.parametrize("text", ["", "{", json.dumps({**BOOT, "seeds": ["nowhere"]})])
def test_an_invalid_file_is_ignored(change_settings, text):
    assert change_settings(text).seeds == (Address("10.1.0.37", 8146),)
    assert change_settings(json.dumps({**BOOT, "seeds": ["10.9.9.9:1"]})).seeds == (Address("10.9.9.9", 1),)


def test_logging_of_sends_is_switched_without_a_restart(change_settings):
    assert change_settings(json.dumps({**BOOT, "log_sends": True})).log_sends
    assert not change_settings(json.dumps(BOOT)).log_sends
