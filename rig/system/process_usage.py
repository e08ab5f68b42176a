"""Samples what a process uses: its memory, the bytes that have arrived and are unread, and its sockets.

The platform counts arrived bytes that a process has not read as part of its memory (DEPLOY: memory).
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path

SAMPLE_INTERVAL_S = 0.05
BYTES_PER_MB = 1_000_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Columns of /proc/net/tcp: the local address and the queues, as hexadecimal TX:RX.
LOCAL_ADDRESS_COLUMN, QUEUES_COLUMN = 1, 4
ESTABLISHED, CLOSE_WAIT = "01", "08"
STATE_COLUMN = 3


@dataclass(slots=True)
class PeakUsage:
    """The largest usage that was seen.

    Attributes:
        memory_mb: Resident memory and arrived unread bytes, in MB.
        sockets: Open sockets.
    """

    memory_mb: float = 0.0
    sockets: int = 0


def count_sockets(pid: int) -> int:
    """Return the number of open sockets of a process; 0 if it has exited."""
    count = 0
    try:
        for descriptor in os.scandir(f"/proc/{pid}/fd"):
            try:
                count += os.readlink(descriptor.path).startswith("socket:")
            except OSError:  # closed meanwhile
                continue
    except OSError:
        return 0
    return count


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes; 0 if it has exited."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def unread_bytes(host: str) -> int:
    """Return the bytes that have arrived at an IP address and were not read, on all its connections."""
    address = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_open = fields[STATE_COLUMN] in (ESTABLISHED, CLOSE_WAIT)
        if is_open and fields[LOCAL_ADDRESS_COLUMN].startswith(address):
            total += int(fields[QUEUES_COLUMN].partition(":")[2], 16)
    return total


class UsageMonitor:
    """Samples one process, which is the only one at its IP address, within an `async with` block.

    Attributes:
        peak: The largest usage so far.
    """

    def __init__(self, pid: int, host: str) -> None:
        """Create a monitor of the process `pid` whose listeners are on the address `host`."""
        self._pid = pid
        self._host = host
        self.peak = PeakUsage()

    async def __aenter__(self) -> UsageMonitor:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            used_mb = (resident_bytes(self._pid) + unread_bytes(self._host)) / BYTES_PER_MB
            self.peak.memory_mb = max(self.peak.memory_mb, used_mb)
            self.peak.sockets = max(self.peak.sockets, count_sockets(self._pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)
