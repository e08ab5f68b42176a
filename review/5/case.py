"""A model server is killed inside an event of a stream without a length: its answer looks complete."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

from server import EVENTS, event_of
from stage2 import (
    BROKEN,
    HELD,
    ZONES,
    CannotRunError,
    Record,
    Reply,
    Server,
    Site,
    ask,
    configuration,
    route_row,
    run_case,
    trouble,
)

HALF = 6  # the event inside which the server is killed
ROUNDS = 3  # of each kind of stream
SPARES = 5  # servers that are not killed, in the other regions; with them one of six is down
DOWN_S = 4.5  # until the next server of the region starts: `for_s` of the site's `srv_crash`
AT_ONCE = 11  # requests
DEADLINE_S = 5.0
WHOLE = b"".join(event_of(number) for number in range(EVENTS))


class ServerProcess(Server):
    """A server whose requests are served by a process of its own; its heartbeats come from here."""

    def __init__(self, site: Site, zone: str, name: str, half: int) -> None:
        super().__init__(site, "pool", zone, name, _serve_nothing)
        self._half = half
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and then the heartbeats."""
        arguments = (self.ip, str(self.site.server_port), self.instance, str(self._half))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).with_name("server.py")),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
        )
        await self._until("ready")
        self._beating = asyncio.create_task(self._beat())

    async def until_half(self) -> None:
        """Wait until the server has written the first half of its event."""
        await self._until("half")

    async def stop(self) -> None:
        """Kill the process: a server that crashes says nothing."""
        if self._beating is not None:
            self._beating.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def _until(self, word: str) -> None:
        assert self._process is not None
        assert self._process.stdout is not None
        async with asyncio.timeout(10.0):
            while line := await self._process.stdout.readline():
                if line.decode().strip() == word:
                    return
        raise CannotRunError(f"{self.instance} has not said {word}")


async def _serve_nothing(server: Server, call: object) -> None:
    raise AssertionError("a process serves")


async def send(site: Site, path: str) -> Reply:
    """Send one request to a front of the server's region, and read its answer as it is framed."""
    request_id = f"{random.getrandbits(64):016x}"
    headers = {
        "Host": "site.example",
        "X-Request-Id": request_id,
        "X-Model": "m",
        "X-Token-Count": "640,80",
        "X-Prompt-Prefix": f"{request_id[:8]}:640",
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    site.record.line(f"client sends {request_id} to {path}")
    reply = await ask(site.fronts[0].address("front"), "POST", path, headers, b"x" * 900, DEADLINE_S + 1.0)
    end = "complete" if reply.complete else "cut"
    site.record.line(f"client has {request_id}: {reply.status} {end}, ends with {reply.body[-40:]!r}")
    return reply


def judge(record: Record, reply: Reply) -> bool:
    """Check ORDER and MIXED: a success that looks complete is the whole stream, each piece once."""
    if reply.status == 200 and reply.complete and reply.body != WHOLE:
        record.line(
            f"BROKEN: complete with {reply.body.count(b'id:')} of {EVENTS} events, the last one in part"
        )
        return False
    return True


async def play_round(site: Site, path: str, number: int) -> bool:
    """Play one stream; return whether the rules held."""
    zone = site.fronts[0].zone
    server = ServerProcess(site, zone, f"{zone}-crash-{path[1]}{number}", HALF)
    await server.start()
    try:
        half = asyncio.create_task(server.until_half())
        for _ in range(8):  # the front has to know the server first, and its 34th answer is the one
            tasks = [asyncio.create_task(send(site, path)) for _ in range(AT_ONCE)]
            await asyncio.wait((half, asyncio.gather(*tasks)), return_when=asyncio.FIRST_COMPLETED)
            if half.done():
                half.result()
                if trouble():
                    site.record.line(f"{server.instance} gets SIGKILL inside event {HALF}")
                    await server.stop()
            replies = await asyncio.gather(*tasks)
            held = [judge(site.record, reply) for reply in replies]
            if half.done() or not all(held):
                await asyncio.sleep(DOWN_S)
                return all(held)
        raise CannotRunError("the server got no request")
    finally:
        await server.stop()


async def play(folder: Path, record: Record) -> int:
    """Play the case."""
    site = Site(folder, record, fronts=1)
    spares = [ServerProcess(site, list(ZONES)[1 + n % 2], f"spare-{n}", -1) for n in range(SPARES)]
    try:
        for server in spares:
            await server.start()
        fields = {"gap_aim_ms": 400, "max_attempts": 2}
        routes = [
            route_row("query", "/query/", "pool", "streaming", resumable=True, **fields),
            route_row("note", "/note/", "pool", "streaming", resumable=False, **fields),
        ]
        await site.start(configuration(1, routes, ["pool"]))
        await asyncio.sleep(3.0)
        held = []
        for number in range(ROUNDS):
            held.append(await play_round(site, "/query/1", number))
            held.append(await play_round(site, "/note/1", number))
        record.line(f"{held.count(False)} of {len(held)} streams looked complete without their last pieces")
        return HELD if all(held) else BROKEN
    finally:
        await site.end()
        for server in spares:
            await server.stop()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play, 110.0)
