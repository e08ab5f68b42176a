"""A configured endpoint list, which replaces a discovery client. Pure."""

from __future__ import annotations

from fordtrestle.proxy.engine.ports import Scheduler, ServerList
from fordtrestle.proxy.membership.updates import UpdateForm, UpdateListener


class StaticEndpointList:
    """Source that reports a configured list at the start, and again whenever it is replaced."""

    def __init__(self, loop: Scheduler, server_list: ServerList, on_update: UpdateListener) -> None:
        self._loop = loop
        self._server_list = server_list
        self._on_update = on_update

    def start(self) -> None:
        """Report the list, first as remembered and then as complete."""
        self._on_update(UpdateForm.REMEMBERED, self._server_list)
        self._report()

    def replace(self, server_list: ServerList) -> None:
        """Replace the list and report the new one; servers that are not in it are removed."""
        self._server_list = server_list
        self._report()

    def watch(self, on: bool) -> None:
        """Do nothing, since the list does not change by itself."""

    def fetch(self) -> None:
        """Report the list again, in the next iteration of the event loop.

        The decision module accepts no updates during its request.
        """
        self._loop.call_soon(self._report)

    def close(self) -> None:
        """Do nothing, since nothing is open."""

    def _report(self) -> None:
        self._on_update(UpdateForm.COMPLETE, self._server_list)
