"""A store in memory that loses power between any two calls, and keeps no more than POSIX promises."""

from __future__ import annotations

import errno
from itertools import pairwise
from random import Random

SECTOR = 512


class PowerCut(Exception):
    """The process is gone."""


class Inode:
    """One file: its bytes as reads see them, which ranges are down, and which the next sync puts down."""

    def __init__(self, data: bytes = b"") -> None:
        self.data = bytearray(data)
        self.down: list[tuple[int, int]] = [(0, len(data))]
        self.dirty: list[tuple[int, int]] = []

    def left(self, rng: Random, torn: str) -> bytes:
        """What a power cut leaves: of what no sync put down a "prefix", any "sectors", or "none"."""
        made, size = bytearray(len(self.data)), 0
        kept = [*self.down, *self._torn(rng, torn)]
        for start, stop in kept:
            made[start:stop] = self.data[start:stop]
            size = max(size, stop)
        zeros = torn != "none" and rng.random() < 0.3
        return bytes(made if zeros else made[:size])

    def _torn(self, rng: Random, torn: str) -> list[tuple[int, int]]:
        if not self.dirty or torn == "none":
            return []
        start, stop = self.dirty[0][0], self.dirty[-1][1]
        if torn == "prefix" or rng.random() < 0.5:
            return [(start, rng.randint(start, stop))]
        edges = [start, *range(start // SECTOR * SECTOR + SECTOR, stop, SECTOR), stop]
        return [part for part in pairwise(edges) if rng.random() < 0.5]


class Platter:
    """`cut_at`: the call (from 1 on) before which the power goes. `fail_at`: the one that raises EIO, half
    done; a sync then drops what it was for, as Linux does: it stays readable until the power goes.
    """

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.names_now = {name: Inode(data) for name, data in (files or {}).items()}
        self._down = dict(self.names_now)
        self._changes: list[tuple[str, str, Inode]] = []
        self.calls: list[str] = []
        self.cut_at = self.fail_at = 0

    def arm(self, cut: int = 0, fail: int = 0) -> None:
        """Lose power, or fail, at so many calls from now."""
        self.cut_at = len(self.calls) + cut if cut else 0
        self.fail_at = len(self.calls) + fail if fail else 0

    def files(self) -> dict[str, bytes]:
        """All files as reads see them."""
        return {name: bytes(inode.data) for name, inode in self.names_now.items()}

    def after_power_cut(self, rng: Random, torn: str = "none") -> Platter:
        """What is left. Changes of names that no sync put down are left as well or not, each by itself."""
        down = dict(self._down)
        for old, new, inode in self._changes:
            if torn != "none" and rng.random() < 0.5:
                if old and down.get(old) is inode:
                    del down[old]
                if new:
                    down[new] = inode
        return Platter({name: inode.left(rng, torn) for name, inode in down.items()})

    def _called(self, call: str) -> bool:
        self.calls.append(call)
        if len(self.calls) == self.cut_at:
            raise PowerCut
        return len(self.calls) == self.fail_at

    @staticmethod
    def _end(failed: bool) -> None:
        if failed:
            raise OSError(errno.EIO, "Input/output error")

    def _change(self, old: str, new: str, inode: Inode) -> None:
        self._changes.append((old, new, inode))
        if old:
            del self.names_now[old]
        if new:
            self.names_now[new] = inode

    def names(self) -> list[str]:
        return sorted(self.names_now)

    def read(self, name: str, most: int) -> bytes:
        if name not in self.names_now:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        data = bytes(self.names_now[name].data)
        if len(data) > most:
            raise OSError(errno.EFBIG, "too long")
        return data

    def append(self, name: str, data: bytes) -> None:
        failed = self._called(f"append {name}")
        if name not in self.names_now:
            self._change("", name, Inode())
        inode, size = self.names_now[name], len(data) // 2 if failed else len(data)
        inode.dirty.append((len(inode.data), len(inode.data) + size))
        inode.data += data[:size]
        self._end(failed)

    def sync(self, name: str) -> None:
        failed = self._called(f"sync {name}")
        inode = self.names_now[name]
        if not failed:
            inode.down += inode.dirty
        inode.dirty = []
        self._end(failed)

    def sync_folder(self) -> None:
        failed = self._called("sync_folder")
        if not failed:
            self._changes, self._down = [], dict(self.names_now)
        self._end(failed)

    def replace(self, name: str, other: str) -> None:
        failed = self._called(f"replace {name} {other}")
        if not failed:
            self._change(name, other, self.names_now[name])
        self._end(failed)

    def remove(self, name: str) -> None:
        failed = self._called(f"remove {name}")
        if not failed and name in self.names_now:
            self._change(name, "", self.names_now[name])
        self._end(failed)

    def close(self) -> None:
        self._called("close")
