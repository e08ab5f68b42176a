"""What a process is handed in place of the machine's own: wall clock, store, and the stamp of its events.

Nothing here is read on the platform. The fault rig hands in clocks that jump and disks that lie.
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
    """`wall`: Unix seconds, which may jump. `stamp`: seconds of the clock that events are told on; the
    machine's Unix time if None. `store`: opens the folder that `[state]` names; the real one if None.
    """

    wall: Callable[[], float] = time.time
    stamp: Callable[[], float] | None = None
    store: Callable[[str], FileStore] | None = None
