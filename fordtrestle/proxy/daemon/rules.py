"""The rules in force, each list and the settings of each service: told and kept before they are acted on.

Loaded only where there is an `[events]` or a `[state]`.
"""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from fordtrestle.proxy.config import operator_options as options
from fordtrestle.proxy.config.operator_file import OperatorConfig
from fordtrestle.proxy.config.sources import RegistrySpec
from fordtrestle.proxy.daemon.seams import Seams
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import Driver, EngineOptions
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.observed_driver import ObservedDriver
from fordtrestle.proxy.engine.ports import ServerList
from fordtrestle.proxy.membership.endpoint_list import EndpointList
from fordtrestle.proxy.membership.updates import UpdateForm, UpdateListener

if TYPE_CHECKING:  # each is loaded only where it is on
    from fordtrestle.proxy.daemon.events import Events
    from fordtrestle.proxy.state.endpoint_list_store import EndpointListStore, RestoredState

OPEN_S = 5.0  # for the folder of the state to open

Keep = Callable[[str, ServerList, str], None]  # a service, its whole list, and the digest of that


class Rulebook:
    """The rules of all services of a process, its events and its state. `known`: lists of an earlier life.

    `OSError` where another process holds the state, or where the events can't be written. A state folder that
    can't be used is told in one line, and nothing is stored.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, config: OperatorConfig, seams: Seams) -> None:
        self._loop = loop
        self._config = config
        self._list_store: EndpointListStore | None = None
        self._events: Events | None = None
        self.known: dict[str, ServerList] = {}
        sources = config.sources
        self._fed = [n for n, row in config.services.items() if isinstance(sources[row.source], RegistrySpec)]
        life = self._remember(seams)
        if config.events is not None:
            from fordtrestle.proxy.daemon.events import Events

            stamp, bytes_most = seams.stamp or time.time, config.events.mb_most * 2**20
            self._events = Events(loop, config.events.file, bytes_most, options.node_name(config), stamp)
            self._events.started(life)
        keep = None if self._list_store is None else self._list_store.save
        self._rules = {
            name: Rules(name, name in self._fed, self._events, keep if name in self._fed else None)
            for name in config.services
        }
        self.settle(config)
        if config.state is not None and life == 0:
            for name in self._fed:
                self._unstored(name, "the folder can't be used")

    def driver(self, name: str, clock: Clock, engine: EngineOptions) -> Driver | None:
        """The engine of a service that tells what it does; None where there are no events."""
        if self._events is None:
            return None
        return ObservedDriver(self._loop, clock, engine, self._rules[name].acted)

    def first(self, name: str, listener: UpdateListener) -> UpdateListener:
        """Updates of a service's list that are told and kept before `listener` is called with them."""
        rules = self._rules[name]

        def on_update(form: UpdateForm, update: ServerList | None) -> None:
            if update is not None:
                rules.take(form, update)
            listener(form, update)

        return on_update

    def settle(self, config: OperatorConfig) -> None:
        """What a file says is in force from now on."""
        for name, rules in self._rules.items():
            rules.settle(options.settings_digest(config, name))

    def ending(self) -> None:
        """The process is told to end."""
        if self._events is not None:
            self._events.draining()

    def close(self) -> None:
        """Write what waits to be written, within a bound."""
        if self._list_store is not None:
            self._list_store.close()
        if self._events is not None:
            self._events.ended()

    # --- the state ---------------------------------------------------------------------

    def _remember(self, seams: Seams) -> int:
        """Take in what an earlier life left; the number of this one, 0 where nothing is kept."""
        if self._config.state is None:
            return 0
        restored = self._restore(self._config.state.folder, seams)
        for line in restored.log_lines:
            log(line)
        self.known = restored.lists
        return restored.incarnation

    def _restore(self, folder: str, seams: Seams) -> RestoredState:
        from fordtrestle.proxy.state.background_writer import BackgroundWriter
        from fordtrestle.proxy.state.endpoint_list_store import (
            STORING_STOPPED,
            EndpointListStore,
            RestoredState,
        )
        from fordtrestle.proxy.state.posix_file_store import PosixFileStore

        opening = BackgroundWriter(self._loop)  # a mount that hangs must not hold the start
        try:
            store = opening.run(lambda: (seams.store or PosixFileStore)(folder), OPEN_S)
        except OSError as error:
            if error.errno == errno.EBUSY:  # two processes would overwrite each other's there
                raise
            return RestoredState(log_lines=[f"state: {folder}: {error.strerror or error}; {STORING_STOPPED}"])
        finally:
            opening.close(0.0)
        bases = {name: options.list_basis(self._config.services[name]) for name in self._fed}
        self._list_store = EndpointListStore(self._loop, store, self._stored, self._failed, bases)
        return self._list_store.load(self._fed)

    def _stored(self, service: str, version: int, digest: str) -> None:
        if self._events is not None:
            self._events.stored(f"list:{service}", version, digest)

    def _failed(self, service: str, why: str) -> None:
        log(f"state: list-{service}: {why}; nothing is stored until a restart")
        self._unstored(service, why)

    def _unstored(self, service: str, why: str) -> None:
        if self._events is not None:
            self._events.unstored(f"list:{service}", why)


class Rules:
    """The list and the settings of one service. `events` tells of them and `keep` stores lists, if there are.

    `numbered`: whether lists have versions, as a registry's have and a file's have not.
    """

    def __init__(self, service: str, numbered: bool, events: Events | None, keep: Keep | None) -> None:
        self._service = service
        self._numbered = numbered
        self._events = events
        self._keep = keep
        self._endpoints = EndpointList()
        self._settings = ""
        self._list_rule = f"list:{service}"
        self._begun = False  # a list was told

    def settle(self, digest: str) -> None:
        """These settings are in force from now on."""
        if digest == self._settings:
            return
        if self._events is not None:
            form = "reload" if self._settings else "file"
            self._events.learned(f"settings:{self._service}", 0, digest, form)
        self._settings = digest

    def take(self, form: UpdateForm, update: ServerList) -> None:
        """What discovery says."""
        new = self._endpoints.apply(form, update)
        if self._events is not None and (new or not self._begun):
            how = form.value if self._numbered else "reload" if self._begun else "file"
            endpoints = self._endpoints
            self._events.learned(
                self._list_rule, self._version, endpoints.digest, how, endpoints.entry_digests()
            )
        if self._keep is not None and new and form is not UpdateForm.REMEMBERED:
            self._keep(self._service, self._endpoints.to_server_list(), self._endpoints.digest)
        self._begun = True

    def acted(self, what: str, call: str, server: str, hop: int, cause: str) -> None:
        """The engine did something by what is in force."""
        if self._events is not None:
            rule, digest = self._list_rule, self._endpoints.digest
            self._events.acted(rule, self._version, digest, what, call, server, hop, self._settings, cause)

    @property
    def _version(self) -> int:
        return self._endpoints.version if self._numbered else 0
