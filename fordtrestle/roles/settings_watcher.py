"""Watches the settings file of a running process; changed seeds and `log_sends` are applied."""

from __future__ import annotations

from dataclasses import replace

import eliot

from fordtrestle.settings.boot import read_settings
from fordtrestle.settings.errors import SettingsError
from fordtrestle.settings.records import BootSettings
from fordtrestle.settings.settings_file import read_settings_bytes


class SettingsWatcher:
    """Detects a changed settings file by comparing its content, independent of signals."""

    def __init__(self) -> None:
        """Take the current file as the one that the process was started with."""
        self._content = read_settings_bytes()

    def reload(self, running: BootSettings) -> BootSettings:
        """Read the file again, and apply its seeds and `log_sends` if it has changed.

        An invalid file is ignored; settings that cannot change in a running process wait for its restart.

        Args:
            running: The current settings of the process.

        Returns:
            The settings to use from now on.
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
        updated = replace(running, seeds=boot.seeds, log_sends=boot.log_sends)
        needs_restart = replace(boot, bootstrap=updated.bootstrap) != updated
        eliot.log_message("settings:changed", needs_restart=needs_restart)
        return updated
