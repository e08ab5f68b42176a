"""What a source of endpoint lists reports, and to whom. Pure."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from fordtrestle.proxy.engine.ports import ServerList


class UpdateForm(StrEnum):
    """How an update relates to what was reported before; the values are those of the decision module."""

    REMEMBERED = "remembered"  # a complete list from before the start of this process
    COMPLETE = "all"  # a complete list: servers that are not in it are removed
    CHANGES = "changes"  # the entries that have changed
    FAILED = "refused"  # no list: a request that the decision module asked for has failed


# Called with each update; the list is None where the form is `FAILED`.
UpdateListener = Callable[[UpdateForm, ServerList | None], None]
