"""Settings that change under a running process: seeds are followed, wrong files change nothing."""

from __future__ import annotations

import json

import pytest

from fordtrestle.roles.process import Process
from fordtrestle.settings.boot import parse_settings
from fordtrestle.settings.records import Address
from tests.settings.test_boot import BOOT


@pytest.fixture
def changed(tmp_path, monkeypatch):
    """Changes the settings file of a process, lets it look, and gives what it runs with then."""
    file = tmp_path / "boot.json"
    file.write_text(json.dumps(BOOT))
    monkeypatch.setenv("FORDTRESTLE_CONFIG", str(file))
    process = Process(parse_settings(json.dumps(BOOT)), "sidecar")

    def change(text):
        file.write_text(text)
        process._reload()
        return process.boot

    return change


def test_seeds_that_change_are_followed_and_the_rest_waits(changed):
    boot = changed(json.dumps({**BOOT, "seeds": ["10.9.9.9:1"], "bootstrap": False, "zone": "pen-1"}))
    assert boot.seeds == (Address("10.9.9.9", 1),)
    assert boot.zone == BOOT["zone"]


@pytest.mark.parametrize("text", ["", "{", json.dumps({**BOOT, "seeds": ["nowhere"]})])
def test_a_wrong_file_changes_nothing(changed, text):
    assert changed(text).seeds == (Address("10.1.0.37", 8146),)
    assert changed(json.dumps({**BOOT, "seeds": ["10.9.9.9:1"]})).seeds == (Address("10.9.9.9", 1),)
