"""A failing disk: the program's store port over a real folder, with what POSIX guarantees and no more.

The folder stands for the platter, that is, what a power cut would leave. Bytes that were appended and not
synced, and names that `sync_folder` has not written, exist in the process's memory only: a SIGKILL loses them
as a power cut loses the page cache. A sync of a new file writes its bytes, not its name. Reads see memory
first, then the platter. Without a fault a kill loses everything that was not synced; `torn` writes some of it
early.

    word         while it is active                                     result for the caller
    -----------  -----------------------------------------------------  ---------------------------------
    lose         unsynced bytes are dropped: of all files as it         no error, then EIO once by the
                 begins, of a file after one append to it in two        next sync of the file, then OK
    torn         an append writes any prefix, or all but some sectors,  no error
                 to the platter, and all names; one replace or remove
                 in two writes the names
    lie          a sync of a file does nothing: a kill loses the        OK
                 bytes, a later honest sync still writes them
    eio_once     one call in three fails until one has; a failed sync   EIO once; a later sync returns OK
                 drops the file's bytes, or the folder's names
    eio          each call fails, and a sync drops likewise             EIO until it ends; then OK
    full         an append fails after writing any part                 ENOSPC
    slow         each sync stalls first, 0.5 to 1.5 times `slow_ms`     OK, late
    changed      each read has one bit flipped, or returns the version  OK
                 before the last replace
    lost_rename  a sync of the folder leaves out the first replace and  OK; reads show the new names
                 all later changes, one time in two all changes         until the kill

Dropped bytes read as the platter has them: gone, or zeros to the old length (Rebello and others, ATC 2020).
`lose` differs from the two EIO faults in when the loss shows: with `lose`, reads miss the bytes before any
call has failed, and only a sync reports it; with the others the call itself fails, and reads are complete
until then. Names that begin with a dot are the rig's own: `.new` for an instant, `.older.NAME` for `changed`.
"""

from __future__ import annotations

import contextlib
import errno
import os
import random
import re
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from fordtrestle.proxy.state.file_store import MAX_NAME_CHARS
from rig.cluster.link_types import flipped
from rig.cluster.schedules import WRITES, Writes

MAX_HELD_BYTES = 64 * 2**20  # in memory: not synced, or of files without a name on the platter
MAX_NAMES = 4096  # of files, and of changes of names that are not synced
SECTOR = 512  # bytes that a disk writes atomically
SLOW_MS = 3000.0
EIO_ONCE_PROBABILITY = 1 / 3  # that a call is the one that `eio_once` fails
NEW = ".new"
OLDER = ".older."
PLAIN = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9._-]*")


@dataclass(frozen=True, slots=True)
class Counters:
    """Calls to a store, failed ones included, bytes written, and faults played, by word.

    `syncs` are those of files and of the folder.
    """

    appends: int
    syncs: int
    reads: int
    written_bytes: int
    faults: Mapping[str, int]


@dataclass(slots=True, eq=False)
class Inode:
    """One file, independent of its name."""

    platter_name: str = ""  # its name on the platter; empty if it has none
    synced: int = 0  # bytes that were synced
    cache: bytearray = field(default_factory=bytearray)  # the bytes after those; all if it has no name
    has_unreported_loss: bool = False  # whether the next sync reports a drop

    @property
    def is_dirty(self) -> bool:
        """Whether a kill would lose some of its bytes."""
        return len(self.cache) > (0 if self.platter_name else self.synced)

    @property
    def size(self) -> int:
        """Its size in bytes, as reads see it."""
        return len(self.cache) + (self.synced if self.platter_name else 0)


@dataclass(frozen=True, slots=True)
class Change:
    """One change of names: a new file has no `old`, a removed one no `new`."""

    inode: Inode
    old: str
    new: str

    @property
    def is_replace(self) -> bool:
        """Whether it is a replace."""
        return bool(self.old and self.new)


class Platter:
    """The real folder. A SIGKILL during a call leaves the old state, the new state, or part of a `write`."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder

    def sizes(self) -> dict[str, int]:
        """Return its files and their sizes in bytes."""
        with os.scandir(self._folder) as entries:
            return {
                entry.name: entry.stat().st_size
                for entry in entries
                if PLAIN.fullmatch(entry.name) and entry.is_file(follow_symlinks=False)
            }

    def read(self, name: str, start: int, size: int) -> bytes:
        """Return `size` bytes of a file from `start` on, or fewer if the file ends before."""
        with open(self._folder / name, "rb", buffering=0) as file:
            file.seek(start)
            data = bytearray()
            while part := file.read(size - len(data)):
                data += part
            return bytes(data)

    def write(self, name: str, start: int, data: bytes | bytearray) -> None:
        """Write bytes into an existing file."""
        descriptor = os.open(self._folder / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            _pwrite(descriptor, data, start)
        finally:
            os.close(descriptor)

    def make(self, name: str, data: bytes | bytearray) -> None:
        """Create a file that appears with all of its bytes at once."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(self._folder / NEW, flags, 0o644)
        try:
            _pwrite(descriptor, data, 0)
        finally:
            os.close(descriptor)
        os.replace(self._folder / NEW, self._folder / name)

    def rename(self, name: str, other: str) -> None:
        """Rename a file; the file that had the new name is kept as its older version."""
        if (self._folder / other).exists():
            (self._folder / (OLDER + other)).unlink(missing_ok=True)
            # Without hard links there is no older version, and `changed` only flips bits.
            with contextlib.suppress(OSError):
                os.link(self._folder / other, self._folder / (OLDER + other))
        os.replace(self._folder / name, self._folder / other)

    def remove(self, name: str) -> None:
        """Remove a file and its older version."""
        (self._folder / name).unlink(missing_ok=True)
        (self._folder / (OLDER + name)).unlink(missing_ok=True)

    def older(self, name: str, most: int) -> bytes | None:
        """Return the version before the last replace; None if there is none of at most `most` bytes."""
        with contextlib.suppress(FileNotFoundError):
            data = self.read(OLDER + name, 0, most + 1)
            return data if len(data) <= most else None
        return None


def _pwrite(descriptor: int, data: bytes | bytearray, start: int) -> None:
    view = memoryview(data)
    done = 0
    while done < len(view):
        done += os.pwrite(descriptor, view[done:], start + done)


class FaultyStore:
    """Store port over `folder` with faults, see the table above.

    Each fault draws from a random stream of its own, named after `seed`, `name` and its word: the same calls
    get the same faults. The store is called from one thread; `begin`, `end` and `counters` may be called from
    any thread, also during a stall.

    Args:
        folder: The folder that stands for the platter.
        seed: The seed of the faults.
        name: The name of the disk.
        faults: Faults that are active from the first call on.
        slow_ms: Mean length of a stall, in milliseconds.
        sleep: Sleeps for a stall, in seconds.
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        name: str,
        faults: Iterable[Writes] = (),
        slow_ms: float = SLOW_MS,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._platter = Platter(folder)
        self._lock = threading.Lock()  # never held during a stall
        self._slow_ms, self._sleep = slow_ms, sleep
        self._random = {word: random.Random(f"{seed}/disk/{name}/{word}") for word in WRITES}
        self._on: Counter[Writes] = Counter()
        self._eio_once_left = 0  # calls that `eio_once` still has to fail
        self._platter_names = {file: Inode(file, size) for file, size in self._platter.sizes().items()}
        self._names = dict(self._platter_names)  # as reads see them
        self._changes: list[Change] = []  # from the platter's names to those that reads see, in order
        self._appends = self._syncs = self._reads = self._written_bytes = 0
        self._faults: Counter[str] = Counter()
        for word in faults:
            self.begin(word)

    # --- faults --------------------------------------------------------------------

    def begin(self, writes: Writes) -> None:
        """Begin a fault; it is active until ended as often as begun. `ValueError` if it is unknown."""
        if writes not in WRITES:
            raise ValueError(f"writes: unknown {writes!r}, expected one of {', '.join(WRITES)}")
        with self._lock:
            self._on[writes] += 1
            if writes == "eio_once":
                self._eio_once_left += 1
            if writes == "lose":
                for _, inode in sorted(self._names.items()):
                    self._lose(inode)

    def end(self, writes: Writes) -> None:
        """End a fault; an inactive one changes nothing. Its effects on bytes and names stay."""
        with self._lock:
            self._on[writes] = max(0, self._on[writes] - 1)
            self._eio_once_left = min(self._eio_once_left, self._on["eio_once"])

    def counters(self) -> Counters:
        """Return the counters so far."""
        with self._lock:
            return Counters(self._appends, self._syncs, self._reads, self._written_bytes, dict(self._faults))

    # --- the port ------------------------------------------------------------------

    def names(self) -> list[str]:
        """See `FileStore`."""
        with self._lock:
            self._raise_injected("")
            return sorted(self._names)

    def read(self, name: str, most: int) -> bytes:
        """See `FileStore`."""
        with self._lock:
            self._reads += 1
            inode = self._inode(name)
            self._raise_injected(name)
            if inode.size > most:
                raise _error(errno.EFBIG, name)
            data = bytes(inode.cache)
            if inode.platter_name:
                data = self._platter.read(inode.platter_name, 0, inode.synced) + data
            return self._altered(name, data, most) if self._on["changed"] else data

    def append(self, name: str, data: bytes) -> None:
        """See `FileStore`; also ENOSPC beyond `MAX_HELD_BYTES` bytes in memory or `MAX_NAMES` names."""
        with self._lock:
            self._appends += 1
            _check(name)
            if self._bytes_in_memory() + len(data) > MAX_HELD_BYTES:
                raise _error(errno.ENOSPC, name)
            inode = self._names.get(name) or self._make(name)
            rng, number = self._injected_eio(), errno.EIO
            if rng is None and self._on["full"]:
                rng, number = self._count_fault("full"), errno.ENOSPC
            part = data if rng is None else data[: rng.randrange(len(data) + 1)]
            inode.cache += part
            self._written_bytes += len(part)
            if self._on["torn"]:
                self._write_part(inode)
            if self._on["lose"] and self._random["lose"].random() < 0.5:
                self._lose(inode)
            if rng is not None:
                raise _error(number, name)

    def sync(self, name: str) -> None:
        """See `FileStore`."""
        self._stall()
        with self._lock:
            self._syncs += 1
            inode = self._inode(name)
            rng = self._injected_eio()
            if rng is not None:
                self._drop(inode, rng)
            if rng is not None or inode.has_unreported_loss:
                inode.has_unreported_loss = False  # reported once, as by the kernel
                raise _error(errno.EIO, name)
            if self._on["lie"] and inode.is_dirty:
                self._count_fault("lie")
            elif inode.platter_name:
                self._platter.write(inode.platter_name, inode.synced, inode.cache)
                inode.synced += len(inode.cache)
                inode.cache.clear()
            else:
                inode.synced = len(inode.cache)

    def sync_folder(self) -> None:
        """See `FileStore`."""
        self._stall()
        with self._lock:
            self._syncs += 1
            if self._injected_eio() is not None:
                self._changes.clear()
                self._names = dict(self._platter_names)
                raise _error(errno.EIO, "")
            self._write_names()

    def replace(self, name: str, other: str) -> None:
        """See `FileStore`; also ENOSPC beyond `MAX_NAMES` changes that were not synced."""
        with self._lock:
            _check(other)
            inode = self._inode(name)
            self._raise_injected(name)
            if name != other:
                self._change(inode, name, other)

    def remove(self, name: str) -> None:
        """See `FileStore`; also ENOSPC beyond `MAX_NAMES` changes that were not synced."""
        with self._lock:
            _check(name)
            self._raise_injected(name)
            if name in self._names:
                self._change(self._names[name], name, "")

    def close(self) -> None:
        """Do nothing: no descriptor is open between calls."""

    # --- names ---------------------------------------------------------------------

    def _inode(self, name: str) -> Inode:
        _check(name)
        if name not in self._names:
            raise _error(errno.ENOENT, name)
        return self._names[name]

    def _make(self, name: str) -> Inode:
        if len(self._names) >= MAX_NAMES:
            raise _error(errno.ENOSPC, name)
        self._change(inode := Inode(), "", name)
        return inode

    def _change(self, inode: Inode, old: str, new: str) -> None:
        """Change names as reads see them; the platter does not have the change yet."""
        name = new or old
        changes = self._changes_without(self._names.get(name), name) if old else self._changes
        if len(changes) >= MAX_NAMES:
            raise _error(errno.ENOSPC, name)
        self._changes = [*changes, Change(inode, old, new)]
        if old:
            del self._names[old]
        if new:
            self._names[new] = inode
        if old and self._on["torn"] and self._random["torn"].random() < 0.5:
            self._count_fault("torn")
            self._write_names()

    def _changes_without(self, gone: Inode | None, name: str) -> list[Change]:
        """Return the changes without those of a file that loses its last name.

        Changes of a file that was never on the platter are dropped, unless one replaced another file before.
        """
        moved = {change.new for change in self._changes if change.inode is gone and change.is_replace}
        if gone is None or gone.platter_name or not moved <= {name}:
            return self._changes
        return [change for change in self._changes if change.inode is not gone]

    def _write_names(self) -> None:
        """Write the pending changes of names to the platter, one after the other."""
        last = len(self._changes)
        if self._on["lost_rename"] and last:
            rng = self._count_fault("lost_rename")
            moves = [number for number, change in enumerate(self._changes) if change.is_replace]
            last = 0 if rng.random() < 0.5 else min(moves, default=last)
        for change in self._changes[:last]:
            self._write_name(change)
            self._changes.pop(0)

    def _write_name(self, change: Change) -> None:
        inode = change.inode
        if not change.new:
            self._platter.remove(change.old)
        elif change.old:
            self._platter.rename(change.old, change.new)
        else:
            self._platter.make(change.new, inode.cache[: inode.synced])
            del inode.cache[: inode.synced]
        self._platter_names.pop(change.old, None)
        if change.new:
            self._platter_names[change.new] = inode
        inode.platter_name = change.new

    # --- bytes ---------------------------------------------------------------------

    def _bytes_in_memory(self) -> int:
        inodes = {id(change.inode): change.inode for change in self._changes}
        inodes.update((id(inode), inode) for inode in self._names.values())
        return sum(len(inode.cache) for inode in inodes.values())

    def _lose(self, inode: Inode) -> None:
        if inode.is_dirty:
            self._drop(inode, self._count_fault("lose"))
            inode.has_unreported_loss = True

    def _drop(self, inode: Inode, rng: random.Random) -> None:
        """Drop what was not synced, and at times leave zeros in its place."""
        size = len(inode.cache)
        if inode.platter_name:
            inode.cache[:] = self._platter.read(inode.platter_name, inode.synced, size)
        else:
            del inode.cache[inode.synced :]
        if rng.random() < 0.5:
            inode.cache += bytes(size - len(inode.cache))

    def _write_part(self, inode: Inode) -> None:
        """Write part of what was not synced to the platter now, since a kill leaves no time to do it."""
        self._write_names()
        if not inode.platter_name or not inode.cache:
            return
        rng = self._count_fault("torn")
        torn = inode.cache[:]
        if rng.random() < 0.5:
            del torn[rng.randrange(len(torn) + 1) :]
        else:
            first, last = inode.synced // SECTOR, (inode.size - 1) // SECTOR
            begin = rng.randint(first, last)
            end = rng.randint(begin, last) + 1
            missing_sectors = slice(max(0, begin * SECTOR - inode.synced), end * SECTOR - inode.synced)
            torn[missing_sectors] = bytes(len(torn[missing_sectors]))
        self._platter.write(inode.platter_name, inode.synced, torn)

    def _altered(self, name: str, data: bytes, most: int) -> bytes:
        rng = self._random["changed"]
        older = self._platter.older(name, most)
        if older is not None and older != data and rng.random() < 0.5:
            self._count_fault("changed")
            return older
        if not data:
            return data
        self._count_fault("changed")
        return flipped(data, rng)

    # --- injected errors -----------------------------------------------------------

    def _count_fault(self, word: Writes) -> random.Random:
        self._faults[word] += 1
        return self._random[word]

    def _injected_eio(self) -> random.Random | None:
        """Return the random stream of the fault that fails this call with EIO; None if no fault does."""
        if self._on["eio"]:
            return self._count_fault("eio")
        if self._eio_once_left and self._random["eio_once"].random() < EIO_ONCE_PROBABILITY:
            self._eio_once_left -= 1
            return self._count_fault("eio_once")
        return None

    def _raise_injected(self, name: str) -> None:
        if self._injected_eio() is not None:
            raise _error(errno.EIO, name)

    def _stall(self) -> None:
        wait_ms = 0.0
        with self._lock:
            if self._on["slow"]:
                wait_ms = self._slow_ms * self._count_fault("slow").uniform(0.5, 1.5)
        if wait_ms:
            self._sleep(wait_ms / 1000.0)


def _check(name: str) -> None:
    if len(name) > MAX_NAME_CHARS or not PLAIN.fullmatch(name):
        raise ValueError(f"{name!r} is not a plain name of at most {MAX_NAME_CHARS} characters")


def _error(number: int, name: str) -> OSError:
    return OSError(number, os.strerror(number), name)
