"""The updates that a source of endpoint lists reports. Pure."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from fordtrestle.proxy.engine.ports import ServerList


class UpdateForm(StrEnum):
    """How an update relates to earlier ones; the values are those of the decision module."""

    REMEMBERED = "remembered"  # a complete list known before the start of this process
    COMPLETE = "all"  # a complete list: servers that are not in it are removed
    CHANGES = "changes"  # the entries that have changed
    FAILED = "refused"  # no list: a request of the decision module has failed


# Called with each update; the list is None if the form is `FAILED`.
UpdateListener = Callable[[UpdateForm, ServerList | None], None]
