"""The last list of each service, kept for the next life of the process, and the number of that life.

Files of the store: `life`, and `list-SERVICE` for each. What can't be read is a cold start of that service; a
disk that fails or does not answer ends all storing until a restart, and serving goes on.
"""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial

from fordtrestle.proxy.engine.ports import ServerList
from fordtrestle.proxy.state import records, snapshots
from fordtrestle.proxy.state.ports import Store
from fordtrestle.proxy.state.snapshots import SnapshotError
from fordtrestle.proxy.state.writer import Writer

LIST_BYTES_MOST = 16 * 2**20
LIFE_BYTES_MOST = 64
LIFE = "life"
OFF = "nothing is stored until a restart"


@dataclass(slots=True)
class Kept:
    """What an earlier life left, and lines for the log: which service starts without a list, and why.

    `life` counts this process's starts from 1 on; 0 where nothing can be stored.
    """

    life: int = 0
    lists: dict[str, ServerList] = field(default_factory=dict)
    log_lines: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Found:
    """What the disk gave: also the last life, files that can't be used, and whether any read failed."""

    kept: Kept = field(default_factory=Kept)
    life: int = 0
    damaged: list[str] = field(default_factory=list)
    failed: bool = False


class ListKeeper:
    """Keeps lists on a store, which it closes at its end.

    `stored(service, version, digest)` is called in the loop once that list is on disk; `failed(service, why)`
    once, at the first failure after `load`. `bases`: for a service, a digest of what its zones and kinds are
    numbered by; a list kept under another is not used.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        store: Store,
        stored: Callable[[str, int, str], None],
        failed: Callable[[str, str], None],
        bases: Mapping[str, str] | None = None,
    ) -> None:
        self._store = store
        self._stored = stored
        self._failed = failed
        self._bases = bases or {}
        self._writer = Writer(loop)
        self._off = False  # the disk failed
        self._closed = False

    def load(self, services: Iterable[str], within_s: float = 5.0) -> Kept:
        """What is on disk, with this life's number on disk too. Blocks, so long at the most; raises nothing.

        Where the disk fails nothing is stored from now on, as a line tells; what was read is given.
        """
        until = time.monotonic() + within_s
        names = tuple(services)
        kept = Kept()
        try:
            found = self._writer.run(lambda: self._find(names), within_s)
            kept = found.kept
            if not found.failed:
                self._writer.run(lambda: self._begin(found), until - time.monotonic())
                kept.life = found.life + 1
                return kept
        except OSError as error:
            kept.log_lines.append(f"state: {reason(error)}")
        self._off = True
        kept.log_lines.append(f"state: {OFF}")
        return kept

    def keep(self, service: str, listed: ServerList, digest: str) -> None:
        """Store a whole list, which nobody may change afterwards; one that waits to be written is forgotten.

        Nothing after a failure or `close`.
        """
        if self._off or self._closed:
            return
        self._writer.submit(
            f"list-{service}",
            lambda: self._write(service, listed),
            lambda error: self._done(service, listed.version, digest, error),
        )

    def close(self, within_s: float = 1.0) -> None:
        """Wait for what is queued, so long at the most; what has not begun by then is not stored."""
        self._closed = True
        if self._writer.close(within_s):
            self._store.close()  # else a descriptor's number could be another file's while it is written to

    def _done(self, service: str, version: int, digest: str, error: OSError | None) -> None:
        if error is None:
            self._stored(service, version, digest)
        elif not self._off:
            self._off = True
            self._failed(service, reason(error))

    # --- in the writer's thread ------------------------------------------------------

    def _find(self, services: tuple[str, ...]) -> _Found:
        """Read all there is; nothing is written."""
        found = _Found()
        self._try(found, LIFE, "lives count from 1 again", partial(self._read_life, found))
        for service in services:
            so = f"service {service} starts without a list"
            self._try(found, f"list-{service}", so, partial(self._read_list, found, service))
        return found

    def _try(self, found: _Found, name: str, so: str, read: Callable[[], None]) -> None:
        try:
            read()
        except FileNotFoundError:
            if name != LIFE:  # the first start of all
                found.kept.log_lines.append(f"state: {name}: none kept; {so}")
        except SnapshotError as error:
            found.damaged.append(name)
            found.kept.log_lines.append(f"state: {name}: {error}; {so}")
        except OSError as error:
            found.failed = True
            found.kept.log_lines.append(f"state: {name}: {reason(error)}; {so}")

    def _read_life(self, found: _Found) -> None:
        found.life = records.decode_life(snapshots.read(self._store, LIFE, LIFE_BYTES_MOST))

    def _read_list(self, found: _Found, service: str) -> None:
        data = snapshots.read(self._store, f"list-{service}", LIST_BYTES_MOST)
        found.kept.lists[service] = records.decode_list(service, self._bases.get(service, ""), data)

    def _begin(self, found: _Found) -> None:
        """Put what can't be used aside, and count this life."""
        for name in found.damaged:
            snapshots.set_aside(self._store, name)
        snapshots.write(self._store, LIFE, records.encode_life(found.life + 1))

    def _write(self, service: str, listed: ServerList) -> None:
        data = records.encode_list(service, self._bases.get(service, ""), listed)
        if len(data) > LIST_BYTES_MOST:
            raise OSError(errno.EFBIG, f"the list of {service} has more than {LIST_BYTES_MOST} bytes")
        snapshots.write(self._store, f"list-{service}", data)


def reason(error: OSError) -> str:
    """Why a disk failed, in one line."""
    return error.strerror or repr(error)
