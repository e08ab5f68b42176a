"""The crowds of misbehaving clients that a play sends to its processes, and what these use meanwhile."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from rig.system.deployment import Machine, ProcessLimits
from rig.system.misbehaving_clients import (
    Crowd,
    MisbehavingClients,
    chunked_body,
    request,
    sent_ahead,
    silent,
    unfinished_body,
    unfinished_head,
)
from rig.system.process_usage import BYTES_PER_MB, resident_bytes
from rig.system.soak.record import MemoryPeak, Record

LIMITS = ProcessLimits(memory_mb=160, max_fds=480)
SAMPLE_INTERVAL_S = 0.2
LONG_REQUEST = request("POST", "/long/x/1", request_id="crowd", X_Token_Count="9,9000")
ORDER_REQUEST = request("POST", "/order/x/1", b"b" * 60_000, request_id="crowd", X_Token_Count="9,4")

CROWDS: dict[str, tuple[Crowd, ...]] = {  # by endpoint
    "front": (
        Crowd("silent", 400, silent),
        Crowd("unfinished heads", 400, unfinished_head()),
        Crowd("long heads", 60, unfinished_head(400_000)),
        Crowd("streams unread", 60, lambda number: LONG_REQUEST),
        Crowd("requests ahead", 60, sent_ahead(lambda number: ORDER_REQUEST, 20)),
        Crowd("bodies in chunks", 40, chunked_body("/order/x/1", 2_000_000, is_complete=False)),
    ),
    "readiness": (Crowd("silent", 400, silent),),
    "control": (
        Crowd("silent", 400, silent),
        Crowd("unfinished heads", 400, unfinished_head()),
        Crowd("unfinished bodies", 60, unfinished_body("/v1/config/put", 850_000)),
    ),
    "directory": (Crowd("unfinished heads", 400, unfinished_head()),),
}
ENDPOINTS = {"sidecar": ("front", "front", "readiness"), "control": ("control", "control", "directory")}


async def send_crowd(machine: Machine, rng: random.Random, for_s: float) -> None:
    """Send a drawn crowd to a machine, and let it stay for `for_s` seconds."""
    endpoint = rng.choice(ENDPOINTS[machine.role])
    crowd = rng.choice(CROWDS[endpoint])
    async with MisbehavingClients(crowd, machine.address(endpoint)):
        await asyncio.sleep(for_s)


async def record_memory(machines: Sequence[Machine], record: Record) -> None:
    """Record the peak of each machine's resident memory, until cancelled."""
    peaks = {machine.name: MemoryPeak(machine.name, float(LIMITS.memory_mb)) for machine in machines}
    record.memory_peaks += peaks.values()
    while True:
        for machine in machines:
            process = machine.process
            if process is not None and process.returncode is None:
                peak = peaks[machine.name]
                peak.used_mb = max(peak.used_mb, resident_bytes(process.pid) / BYTES_PER_MB)
        await asyncio.sleep(SAMPLE_INTERVAL_S)
