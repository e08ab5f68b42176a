"""What hundreds of changes cost a control process: the time of an acknowledgement at the first and at the
last, the file, and a start on it.

`python -m benchmarks.control_changes`: one store alone on this machine's disk, the program's own replicator,
log and command handler; the configuration is about as long as asked (`--bytes`). Times are those of this
machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

from fordtrestle.control_api.commands import CommandHandler
from fordtrestle.control_api.requests import CommandResult, CommandStatus, ConfigRequest, ConfigRequestKind
from fordtrestle.peer.codec import decode
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Hello
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Store
from fordtrestle.replication.node import Node
from fordtrestle.storage.log import RecordLog

SOME = 50  # changes whose median is printed
MS_PER_S = 1000.0


FOUNDED_S = 5.0
AGAIN_S, AGAIN_PAUSE_S = 15.0, 0.05  # for which a change is sent again, and between


def _document(number: int, length: int) -> bytes:
    routes = []
    route = {
        "authority": "a.example",
        "route_type": "safe",
        "timeout_ms": 3000,
        "backend": "pool",
        "max_attempts": 2,
    }
    for index in range(max(1, length // 150)):
        routes.append({**route, "name": f"r-{index}", "path_prefix": f"/{index}/{number}/"})
    return json.dumps({"generation": number, "routes": routes, "services": [{"name": "pool"}]}).encode()


async def _change(commands: CommandHandler, number: int, body: bytes) -> CommandResult:
    """A change, sent again unchanged while its store has lost its place, as operators do.

    A store whose disk takes long, on a busy machine too, leads no more until its disk answers.
    """
    request = ConfigRequest(ConfigRequestKind.PUT, number - 1, body, lambda: True)
    give_up = time.perf_counter() + AGAIN_S
    while True:
        result = await commands.change_config(request)
        is_final = result.status not in (CommandStatus.NOT_PRIMARY, CommandStatus.UNKNOWN)
        if is_final or time.perf_counter() > give_up:
            return result
        await asyncio.sleep(AGAIN_PAUSE_S)


async def changes(folder: Path, count: int, length: int) -> tuple[list[float], int]:
    """The seconds that each of some changes took, and the most bytes that the file held."""
    log = RecordLog(folder)
    log.open()
    store = Store("s1", "127.0.0.1:1", "127.0.0.1:2", "z-1")
    now = asyncio.get_running_loop().time()
    draw = random.Random(1).random
    node = Node(
        store,
        Durable("s1", must_bootstrap=True),
        tolerated_failures=0,
        counts_for_quorum=True,
        draw=draw,
        now=now,
    )
    mesh = Mesh(Hello("core-1", "127.0.0.1:1"), lambda link, message: None, lambda link: None)
    replicator = Replicator(node, log, mesh, lambda peer: True, lambda: None)
    running = asyncio.create_task(replicator.run())
    if not await replicator.wait_until(lambda: node.is_ready, FOUNDED_S):
        raise RuntimeError("the store never became ready")
    commands, took, most = CommandHandler(replicator), [], 0
    for number in range(1, count + 1):
        body = _document(number, length)
        began = time.perf_counter()
        result = await _change(commands, number, body)
        took.append(time.perf_counter() - began)
        most = max(most, log.size)
        if result.status is not CommandStatus.DONE:
            raise RuntimeError(f"change {number}: {result}")
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    log.close()
    return took, most


def start(folder: Path) -> tuple[float, int]:
    """The seconds that a start takes on what the disk holds, and the sequence that it comes to."""
    began = time.perf_counter()
    log = RecordLog(folder)
    found = Durable.restore(map(decode, log.open()))
    log.close()
    return time.perf_counter() - began, found.state.sequence if found else 0


def main(words: list[str] | None = None) -> int:
    """Print a row a length of the configuration; 1 where changes are missing after the start."""
    parser = argparse.ArgumentParser(description="what hundreds of changes cost a control process")
    parser.add_argument("--changes", type=int, default=3000)
    parser.add_argument("--bytes", type=int, nargs="+", default=[3_000, 100_000])
    given = parser.parse_args(words)
    print("   bytes  changes  acknowledged after, ms: first 50, last 50   file at most, MB   start, ms")
    whole = True
    for length in given.bytes:
        with tempfile.TemporaryDirectory() as folder:
            took, most = asyncio.run(changes(Path(folder), given.changes, length))
            began, sequence = start(Path(folder))
        whole = whole and sequence == given.changes
        first, last = (MS_PER_S * statistics.median(part) for part in (took[:SOME], took[-SOME:]))
        row = f"{length:8} {given.changes:8} {first:32.2f} {last:8.2f}"
        print(f"{row} {most / 1e6:18.2f} {MS_PER_S * began:11.1f}")
    return int(not whole)


if __name__ == "__main__":
    sys.exit(main())
