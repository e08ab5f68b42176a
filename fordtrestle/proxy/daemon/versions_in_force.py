"""Records and stores the versions of lists and settings in force, before any action is based on them.

Loaded only if the operator file has `[events]` or `[state]`.
"""

from __future__ import annotations

import asyncio
import errno
import time
from typing import TYPE_CHECKING

from fordtrestle.proxy.config import operator_options as options
from fordtrestle.proxy.config.operator_file import OperatorConfig
from fordtrestle.proxy.config.sources import RegistrySpec
from fordtrestle.proxy.daemon.event_recorder import EventRecorder
from fordtrestle.proxy.daemon.seams import Seams
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import Driver, EngineOptions
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.observed_driver import ObservedDriver
from fordtrestle.proxy.engine.ports import ServerList
from fordtrestle.proxy.membership.updates import UpdateForm, UpdateListener

if TYPE_CHECKING:  # loaded only if used
    from fordtrestle.proxy.daemon.events import Events
    from fordtrestle.proxy.state.endpoint_list_store import EndpointListStore, RestoredState

OPEN_TIMEOUT_S = 5.0  # for opening the state folder; after that the process starts without it


class VersionsInForce:
    """Records and stores the versions in force of all services of a process.

    If the state folder can't be used, one line is logged and nothing is stored.

    Attributes:
        known_lists: The server list of each service that an earlier incarnation stored.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, config: OperatorConfig, seams: Seams) -> None:
        """Open the state folder and the event file, if the operator file has them.

        Args:
            loop: The event loop.
            config: The content of the operator file.
            seams: The parts that substitute those of the machine.

        Raises:
            OSError: Another process has locked the state folder, or the event file can't be opened.
        """
        self._loop = loop
        self._config = config
        self._list_store: EndpointListStore | None = None
        self._events: Events | None = None
        self.known_lists: dict[str, ServerList] = {}
        # The services whose list comes from a registry: only such lists have versions and are stored.
        self._registered = [
            name
            for name, service in config.services.items()
            if isinstance(config.sources[service.source], RegistrySpec)
        ]
        incarnation = self._restore_state(seams)
        if config.events is not None:
            from fordtrestle.proxy.daemon.events import Events

            stamp, max_bytes = seams.stamp or time.time, config.events.mb_most * 2**20
            self._events = Events(loop, config.events.file, max_bytes, options.node_name(config), stamp)
            self._events.started(incarnation)
        self._recorders = {name: self._make_recorder(name) for name in config.services}
        self.apply_config(config)
        if config.state is not None and incarnation == 0:
            for name in self._registered:
                self._record_unstored(name, "the folder can't be used")

    def _make_recorder(self, service: str) -> EventRecorder:
        is_registered = service in self._registered
        store = self._list_store if is_registered else None
        return EventRecorder(service, is_registered, self._events, None if store is None else store.save)

    def make_driver(self, service: str, clock: Clock, engine: EngineOptions) -> Driver | None:
        """Return an engine that records the actions of a service; None if no events are recorded."""
        if self._events is None:
            return None
        return ObservedDriver(self._loop, clock, engine, self._recorders[service].record_action)

    def recording_listener(self, service: str, listener: UpdateListener) -> UpdateListener:
        """Return a listener that records and stores each update of a list, then passes it to `listener`.

        This order ensures that no action is based on a list that is not recorded yet.
        """
        recorder = self._recorders[service]

        def on_update(form: UpdateForm, update: ServerList | None) -> None:
            if update is not None:
                recorder.on_update(form, update)
            listener(form, update)

        return on_update

    def apply_config(self, config: OperatorConfig) -> None:
        """Record the settings of `config` as in force from now on."""
        for name, recorder in self._recorders.items():
            recorder.on_settings(options.settings_digest(config, name))

    def on_draining(self) -> None:
        """Record that the process received the signal to end."""
        if self._events is not None:
            self._events.draining()

    def close(self) -> None:
        """Write the queued lists and events, each within a time limit."""
        if self._list_store is not None:
            self._list_store.close()
        if self._events is not None:
            self._events.ended()

    # --- the stored state --------------------------------------------------------------

    def _restore_state(self, seams: Seams) -> int:
        """Load the state of an earlier incarnation; return the number of this one, 0 if nothing is stored."""
        if self._config.state is None:
            return 0
        restored = self._open_state(self._config.state.folder, seams)
        for line in restored.log_lines:
            log(line)
        self.known_lists = restored.lists
        return restored.incarnation

    def _open_state(self, folder: str, seams: Seams) -> RestoredState:
        from fordtrestle.proxy.state.background_writer import BackgroundWriter
        from fordtrestle.proxy.state.endpoint_list_store import (
            STORING_STOPPED,
            EndpointListStore,
            RestoredState,
        )
        from fordtrestle.proxy.state.posix_file_store import PosixFileStore

        opener = BackgroundWriter(self._loop)  # a mount that hangs must not block the start
        try:
            store = opener.run(lambda: (seams.store or PosixFileStore)(folder), OPEN_TIMEOUT_S)
        except OSError as error:
            if error.errno == errno.EBUSY:  # two processes would overwrite each other's lists
                raise
            return RestoredState(log_lines=[f"state: {folder}: {error.strerror or error}; {STORING_STOPPED}"])
        finally:
            opener.close(0.0)
        bases = {name: options.list_basis(self._config.services[name]) for name in self._registered}
        self._list_store = EndpointListStore(self._loop, store, self._on_stored, self._on_failed, bases)
        return self._list_store.load(self._registered)

    def _on_stored(self, service: str, version: int, digest: str) -> None:
        if self._events is not None:
            self._events.stored(f"list:{service}", version, digest)

    def _on_failed(self, service: str, reason: str) -> None:
        log(f"state: list-{service}: {reason}; nothing is stored until a restart")
        self._record_unstored(service, reason)

    def _record_unstored(self, service: str, reason: str) -> None:
        if self._events is not None:
            self._events.unstored(f"list:{service}", reason)
