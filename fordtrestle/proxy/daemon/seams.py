"""Parts that can be substituted for the machine's own: wall clock, file store and the clock of events.

Nothing here is read on the platform. The fault rig hands in clocks that jump and disks that lose what was
written.
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
    """What a process uses of its machine.

    Attributes:
        wall: Returns Unix seconds, which may jump.
        stamp: Returns the seconds by which events are stamped; None: the machine's Unix time.
        store: Opens the folder that `[state]` names; None: as files of the machine.
    """

    wall: Callable[[], float] = time.time
    stamp: Callable[[], float] | None = None
    store: Callable[[str], FileStore] | None = None
