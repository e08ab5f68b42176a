"""Follows the settings file under a running process: of what changes, only the seeds are taken up."""

from __future__ import annotations

from dataclasses import replace

import eliot

from fordtrestle.settings.boot import read_settings
from fordtrestle.settings.errors import SettingsError
from fordtrestle.settings.records import BootSettings
from fordtrestle.settings.settings_file import read_settings_bytes


class SettingsWatcher:
    """Notices a changed file by its bytes, with a signal or without."""

    def __init__(self) -> None:
        """Take the file as it is now for the one that the process was started with."""
        self._content = read_settings_bytes()

    def reload(self, running: BootSettings) -> BootSettings:
        """Look at the file once more.

        Settings that are wrong change nothing; what a running process cannot change waits for its restart.

        Args:
            running: The settings that the process runs with.

        Returns:
            Those that it runs with from now on.
        """
        content = read_settings_bytes()
        if content == self._content:
            return running
        self._content = content
        try:
            boot = read_settings()
        except SettingsError as error:
            eliot.log_message("settings:rejected", faults=list(error.faults))
            return running
        followed = replace(running, seeds=boot.seeds)
        needs_restart = replace(boot, bootstrap=followed.bootstrap) != followed
        eliot.log_message("settings:changed", needs_restart=needs_restart)
        return followed
