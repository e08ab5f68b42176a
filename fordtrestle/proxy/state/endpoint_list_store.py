"""Stores the last endpoint list of each service for the next start, and the number of starts.

Files of the store: `life` (the incarnation), and `list-SERVICE` for each service. A service whose list can't
be read starts without one (cold start). After a disk failure or timeout nothing is stored until a restart;
requests are still served.
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
from fordtrestle.proxy.state.background_writer import BackgroundWriter
from fordtrestle.proxy.state.errors import SnapshotError
from fordtrestle.proxy.state.file_store import FileStore

MAX_LIST_BYTES = 16 * 2**20  # bounds the memory that the list of one service takes at a start
MAX_INCARNATION_BYTES = 64  # a msgpack integer has 9 bytes at most
INCARNATION_FILE = "life"
LOAD_TIMEOUT_S = 5.0  # the longest wait for the disk at a start, which then continues without it
CLOSE_TIMEOUT_S = 1.0  # the longest wait for the disk when the process ends
STORING_STOPPED = "nothing is stored until a restart"

OnStored = Callable[[str, int, str], None]  # service, version and digest of the list
OnFailed = Callable[[str, str], None]  # service and reason


@dataclass(slots=True)
class RestoredState:
    """The state that earlier incarnations of the process have stored.

    Attributes:
        incarnation: The number of starts of the process, including this one; 0 if nothing can be stored.
        lists: The last list of each service.
        log_lines: Lines for the log that say which services start without a list, and why.
    """

    incarnation: int = 0
    lists: dict[str, ServerList] = field(default_factory=dict)
    log_lines: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _ReadResult:
    """The result of reading all files.

    Attributes:
        restored: The state for the caller of `load`.
        incarnation: The previous incarnation.
        corrupt_files: The names of corrupt files.
        has_disk_failed: Whether a file could not be read because of a disk failure.
    """

    restored: RestoredState = field(default_factory=RestoredState)
    incarnation: int = 0
    corrupt_files: list[str] = field(default_factory=list)
    has_disk_failed: bool = False


class EndpointListStore:
    """Stores endpoint lists in a file store, which is closed with it.

    Args:
        loop: The event loop that `on_stored` and `on_failed` are called in.
        store: The folder of files.
        on_stored: Called once a list is on disk, with its service, version and digest.
        on_failed: Called once, at the first failure after `load`, with the service and the reason.
        bases: For each service, a digest of the names by which its zones and kinds are numbered; a list
            stored with a different digest is not used.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        store: FileStore,
        on_stored: OnStored,
        on_failed: OnFailed,
        bases: Mapping[str, str] | None = None,
    ) -> None:
        self._store = store
        self._on_stored = on_stored
        self._on_failed = on_failed
        self._bases = bases or {}
        self._writer = BackgroundWriter(loop)
        self._has_failed = False
        self._is_closed = False

    def load(self, services: Iterable[str], timeout_s: float = LOAD_TIMEOUT_S) -> RestoredState:
        """Read the stored state, and store the incarnation of this start.

        Blocks for at most `timeout_s`, and raises nothing. If the disk fails, the state that could be read is
        returned with a log line about the failure, and nothing is stored from then on.
        """
        deadline = time.monotonic() + timeout_s
        names = tuple(services)
        restored = RestoredState()
        try:
            result = self._writer.run(lambda: self._read_all(names), timeout_s)
            restored = result.restored
            if not result.has_disk_failed:
                self._writer.run(lambda: self._begin_incarnation(result), deadline - time.monotonic())
                restored.incarnation = result.incarnation + 1
                return restored
        except OSError as error:
            restored.log_lines.append(f"state: {_reason(error)}")
        self._has_failed = True
        restored.log_lines.append(f"state: {STORING_STOPPED}")
        return restored

    def save(self, service: str, server_list: ServerList, digest: str) -> None:
        """Store a complete list, which must not change afterwards; it replaces a queued list of the service.

        Does nothing after a failure or `close`.
        """
        if self._has_failed or self._is_closed:
            return
        self._writer.submit(
            _list_file(service),
            lambda: self._write_list(service, server_list),
            lambda error: self._on_written(service, server_list.version, digest, error),
        )

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Wait for queued lists for at most `timeout_s`; writes that have not started by then are dropped."""
        self._is_closed = True
        # A thread that still writes keeps its descriptors: once closed, their numbers could refer to other
        # files.
        if self._writer.close(timeout_s):
            self._store.close()

    def _on_written(self, service: str, version: int, digest: str, error: OSError | None) -> None:
        if error is None:
            self._on_stored(service, version, digest)
        elif not self._has_failed:
            self._has_failed = True
            self._on_failed(service, _reason(error))

    # --- called in the writer's thread -------------------------------------------------

    def _read_all(self, services: tuple[str, ...]) -> _ReadResult:
        """Read all files, without writing anything."""
        result = _ReadResult()
        self._read_file(
            result,
            INCARNATION_FILE,
            "incarnations count from 1 again",
            partial(self._read_incarnation, result),
        )
        for service in services:
            consequence = f"service {service} starts without a list"
            read = partial(self._read_list, result, service)
            self._read_file(result, _list_file(service), consequence, read)
        return result

    def _read_file(self, result: _ReadResult, name: str, consequence: str, read: Callable[[], None]) -> None:
        """Call `read`; if the file can't be used, record the reason and the consequence in `result`."""
        try:
            read()
        except FileNotFoundError:
            if name != INCARNATION_FILE:  # it is missing at the very first start
                result.restored.log_lines.append(f"state: {name}: not found; {consequence}")
        except SnapshotError as error:
            result.corrupt_files.append(name)
            result.restored.log_lines.append(f"state: {name}: {error}; {consequence}")
        except OSError as error:
            result.has_disk_failed = True
            result.restored.log_lines.append(f"state: {name}: {_reason(error)}; {consequence}")

    def _read_incarnation(self, result: _ReadResult) -> None:
        payload = snapshots.read(self._store, INCARNATION_FILE, MAX_INCARNATION_BYTES)
        result.incarnation = records.decode_incarnation(payload)

    def _read_list(self, result: _ReadResult, service: str) -> None:
        payload = snapshots.read(self._store, _list_file(service), MAX_LIST_BYTES)
        basis = self._bases.get(service, "")
        result.restored.lists[service] = records.decode_list(service, basis, payload)

    def _begin_incarnation(self, previous: _ReadResult) -> None:
        """Rename corrupt files, and store the incarnation of this start."""
        for name in previous.corrupt_files:
            snapshots.set_aside(self._store, name)
        payload = records.encode_incarnation(previous.incarnation + 1)
        snapshots.write(self._store, INCARNATION_FILE, payload)

    def _write_list(self, service: str, server_list: ServerList) -> None:
        payload = records.encode_list(service, self._bases.get(service, ""), server_list)
        if len(payload) > MAX_LIST_BYTES:
            raise OSError(errno.EFBIG, f"the list of {service} has more than {MAX_LIST_BYTES} bytes")
        snapshots.write(self._store, _list_file(service), payload)


def _list_file(service: str) -> str:
    return f"list-{service}"


def _reason(error: OSError) -> str:
    """Return the reason of a disk failure, in one line."""
    return error.strerror or repr(error)
