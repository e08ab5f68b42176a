"""Records the updates and actions of one service, with the versions of list and settings in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from fordtrestle.proxy.engine.ports import ServerList
from fordtrestle.proxy.membership.endpoint_list import EndpointList
from fordtrestle.proxy.membership.updates import UpdateForm

if TYPE_CHECKING:  # loaded only where there is an `[events]`
    from fordtrestle.proxy.daemon.events import Events

SaveList = Callable[[str, ServerList, str], None]  # service, complete list, digest of the list


class EventRecorder:
    """Tracks the server list and the settings of one service that are in force, and records its events."""

    def __init__(
        self, service: str, has_versions: bool, events: Events | None, save_list: SaveList | None
    ) -> None:
        """Create a recorder with no list and no settings.

        Args:
            service: The service's name.
            has_versions: Whether the service's lists have versions: those of a registry do, those of the
                operator file don't.
            events: Writes the events; None if events are not recorded.
            save_list: Stores a list; None if lists are not stored.
        """
        self._service = service
        self._has_versions = has_versions
        self._events = events
        self._save_list = save_list
        self._endpoints = EndpointList()
        self._settings_digest = ""
        self._list_rule = f"list:{service}"
        self._has_list = False

    def on_settings(self, digest: str) -> None:
        """Record that settings with this digest are in force, unless they were before."""
        if digest == self._settings_digest:
            return
        if self._events is not None:
            form = "reload" if self._settings_digest else "file"
            self._events.learned(f"settings:{self._service}", 0, digest, form)
        self._settings_digest = digest

    def on_update(self, form: UpdateForm, update: ServerList) -> None:
        """Apply an update of the server list; record and store the list if the update changes it.

        The first update is recorded in any case. A remembered list is not stored again.
        """
        is_new = self._endpoints.apply(form, update)
        if self._events is not None and (is_new or not self._has_list):
            endpoints = self._endpoints
            self._events.learned(
                self._list_rule,
                self._version,
                endpoints.digest,
                self._event_form(form),
                endpoints.entry_digests(),
            )
        if self._save_list is not None and is_new and form is not UpdateForm.REMEMBERED:
            self._save_list(self._service, self._endpoints.to_server_list(), self._endpoints.digest)
        self._has_list = True

    def record_action(self, action: str, call_id: str, server: str, attempt: int, cause: str, /) -> None:
        """Record an action of the engine with the list and settings in force; an `ActionRecorder`."""
        if self._events is not None:
            rule, digest = self._list_rule, self._endpoints.digest
            settings = self._settings_digest
            self._events.acted(rule, self._version, digest, action, call_id, server, attempt, settings, cause)

    def _event_form(self, form: UpdateForm) -> str:
        """Return the `form` that an event reports for an update of the list."""
        if self._has_versions:
            return form.value
        return "reload" if self._has_list else "file"

    @property
    def _version(self) -> int:
        return self._endpoints.version if self._has_versions else 0
