"""An endpoint list that is configured, in the place of a discovery client. Pure."""

from __future__ import annotations

from fordtrestle.proxy.engine.ports import Scheduler, ServerList
from fordtrestle.proxy.membership.updates import UpdateForm, UpdateListener


class StaticEndpointList:
    """Reports a list at the start, and again whenever it is replaced; there are no other updates."""

    def __init__(self, loop: Scheduler, server_list: ServerList, on_update: UpdateListener) -> None:
        self._loop = loop
        self._server_list = server_list
        self._on_update = on_update

    def start(self) -> None:
        """Report the list, first as remembered and then as complete."""
        self._on_update(UpdateForm.REMEMBERED, self._server_list)
        self._report()

    def replace(self, server_list: ServerList) -> None:
        """Report another list from now on: servers that are not in it are removed."""
        self._server_list = server_list
        self._report()

    def watch(self, on: bool) -> None:
        """Do nothing: the list does not change by itself."""

    def fetch(self) -> None:
        """Report the list once more, in the next turn: the decision module takes no updates while it asks."""
        self._loop.call_soon(self._report)

    def close(self) -> None:
        """Do nothing: nothing is open."""

    def _report(self) -> None:
        self._on_update(UpdateForm.COMPLETE, self._server_list)
