"""A list of servers that is told once, and again when it is changed. Pure."""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.proxy.engine.ports import Scheduler, ServerList


class StaticList:
    """Stands where discovery stands, and never has news of its own."""

    def __init__(
        self, loop: Scheduler, listed: ServerList, news: Callable[[str, ServerList | None], None]
    ) -> None:
        self._loop = loop
        self._listed = listed
        self._news = news

    def start(self) -> None:
        """Tell of the list, first as last held and then as the whole of what there is."""
        self._news("remembered", self._listed)
        self._news("all", self._listed)

    def change(self, listed: ServerList) -> None:
        """Tell of another list from now on: who is not in it has left."""
        self._listed = listed
        self._news("all", listed)

    def watch(self, on: bool) -> None:
        """Nothing changes by itself."""

    def fetch(self) -> None:
        """Tell of the list once more, in the next turn: the module hears of nothing while it is asked."""
        self._loop.call_soon(self._tell)

    def close(self) -> None:
        """Nothing is open."""

    def _tell(self) -> None:
        self._news("all", self._listed)
