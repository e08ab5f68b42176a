"""Parts of the machine that tests can substitute: the wall clock, the clock of events and the file store.

The platform's sidecar does not use them. The fault rig passes clocks that jump and disks that lose written
data.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # loaded only where there is a `[state]`
    from fordtrestle.proxy.state.file_store import FileStore


@dataclass(frozen=True, slots=True)
class Seams:
    """The substitutable parts of the machine.

    Attributes:
        wall: Returns the Unix time in seconds, which may jump.
        stamp: Returns the timestamp of an event, in seconds; None for the machine's Unix time.
        store: Opens the folder that `[state]` names; None for the machine's file system.
    """

    wall: Callable[[], float] = time.time
    stamp: Callable[[], float] | None = None
    store: Callable[[str], FileStore] | None = None
