"""The sidecars of a region are stopped in turn, as planned; a stream that one accepts meanwhile is cut."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from pathlib import Path

from stage2 import (
    BOUNDS,
    BROKEN,
    HELD,
    ZONES,
    Call,
    CannotRunError,
    Machine,
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

ZONE = "ger-webberton"
TOKENS_OUT = 100
TOKENS_PER_EVENT = 4
EVENT_INTERVAL_S = 0.2  # half of the route's `gap_aim_ms`
FIRST_EVENT_S = 0.1
DEADLINE_MS = 15_000
CLIENTS = 10  # in the zone, as in the site file
LONG_KEEPERS = 3  # of them: they keep an answer of the directory three times as long (PROTOCOL: ingress)
INTERVAL_S = 0.06  # between two requests of the region's clients, on average
GAP_S = 1.3  # between the two SIGTERM, as in the site's `roll_term`
RESTART_S = 0.3  # after which the platform starts an ended process again
WARM_UP_S, AFTER_S, END_S = 4.0, 8.0, 10.0
GRACE_S = float(BOUNDS["grace_s"])
FINISHED: set[str] = set()  # the requests whose server has written its whole answer


@dataclass(slots=True)
class Try:
    """One request of a client, and what became of it."""

    id: str
    front: Machine
    sent_at: float
    ended_at: float = 0.0
    reply: Reply | None = None


async def serve_stream(server: Server, call: Call) -> None:
    """Send a stream whose events all come within half of the pause that still counts as in time."""
    head = f"HTTP/1.1 200 OK\r\n{server.stamped(call)}Content-Type: text/event-stream\r\n"
    call.writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
    await asyncio.sleep(FIRST_EVENT_S)
    for number in range(TOKENS_OUT // TOKENS_PER_EVENT):
        event = f"id: {number}\ndata: {'token ' * TOKENS_PER_EVENT}\n\n".encode()
        call.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await call.writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    call.writer.write(b"0\r\n\r\n")
    await call.writer.drain()
    FINISHED.add(call.id)


class Client:
    """A client of the zone, who keeps an answer of the directory for its time, or three times that."""

    def __init__(self, site: Site, times: float) -> None:
        self._site, self._times = site, times
        self._fronts = {machine.address("front"): machine for machine in site.fronts}
        self._addresses: list[str] = []
        self._valid_until = 0.0
        self.tries: list[Try] = []

    async def send(self, number: int) -> None:
        """Send one request, as a single try on a new connection."""
        await self._resolve()
        if not self._addresses:
            return
        front = self._fronts[random.choice(self._addresses)]
        record = self._site.record
        request = Try(f"{random.getrandbits(64):016x}", front, record.now())
        self.tries.append(request)
        record.line(f"client sends {request.id} to {front.name}")
        headers = {
            "Host": "site.example",
            "X-Request-Id": request.id,
            "X-Model": "m",
            "X-Token-Count": f"640,{TOKENS_OUT}",
            "X-Prompt-Prefix": f"a1:103,b{number % 8:x}:68,{request.id[:8]}:469",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        reply = await ask(front.address("front"), "POST", "/note/1", headers, b"x" * 900, DEADLINE_MS / 1000)
        request.reply, request.ended_at = reply, record.now()
        if reply.status == 0 and front.address("front") in self._addresses:
            self._addresses.remove(front.address("front"))  # it has failed this client
        end = "complete" if reply.complete else "cut"
        record.line(f"client has {request.id}: {reply.status} {end}, {reply.body.count(b'id:')} events")

    async def _resolve(self) -> None:
        if self._site.record.now() < self._valid_until:
            return
        core = sorted(self._site.core, key=lambda machine: machine.zone != ZONE)
        target = f"/v1/resolve?name=site.example&region={ZONES[ZONE]}&zone={ZONE}"
        for machine in core:
            answer = (await ask(machine.address("directory"), "GET", target)).json()
            if answer.get("addresses"):
                self._addresses = answer["addresses"]
                kept_s = self._times * min(float(answer["ttl_s"]), float(BOUNDS["ttl_max_s"]))
                self._valid_until = self._site.record.now() + kept_s
                return


def judge(record: Record, tries: list[Try], stopped: dict[str, float]) -> int:
    """Check LOST: planned is a SIGTERM of the machine that took the request, until 1 s after its grace."""
    lost = []
    for request in tries:
        reply, term_at = request.reply, stopped.get(request.front.name)
        if reply is None or reply.complete or term_at is None:
            continue
        is_planned = request.ended_at >= term_at and request.ended_at <= term_at + GRACE_S + 1.0
        is_excused = request.sent_at <= term_at + 3.0 and request.ended_at >= term_at + GRACE_S * 5 / 6
        is_passed_on = reply.status == 200 and request.id not in FINISHED  # its server was still sending
        if is_planned and is_passed_on and not is_excused:
            lost.append(request)
            sent, ended = request.sent_at - term_at, request.ended_at - term_at
            record.line(f"LOST {request.id}: sent {sent:.2f} s after the SIGTERM, cut {ended:.2f} s after it")
    record.line(f"{len(tries)} requests, {len(lost)} lost")
    return BROKEN if lost else HELD


async def roll(site: Site, stopped: dict[str, float]) -> None:
    """Stop the region's machines in turn, as the platform does; each is started again once it has ended."""

    async def restart(machine: Machine) -> None:
        await machine.end(signal.SIGTERM, GRACE_S)
        await asyncio.sleep(RESTART_S)
        await machine.start()

    async with asyncio.TaskGroup() as tasks:
        for machine in site.fronts_of(ZONE):
            stopped[machine.name] = site.record.now()
            tasks.create_task(restart(machine))
            await asyncio.sleep(GAP_S)


async def play(folder: Path, record: Record) -> int:
    """Play the case."""
    site = Site(folder, record)
    servers = [Server(site, "pool", zone, f"{zone}-{n}", serve_stream) for zone in ZONES for n in (1, 2)]
    try:
        for server in servers:
            await server.start()
        route = route_row("note", "/note/", "pool", "streaming", timeout_ms=DEADLINE_MS, gap_aim_ms=400)
        await site.start(configuration(1, [{**route, "resumable": False}], ["pool"]))
        await asyncio.sleep(5.0)  # calm, and all directories have settled
        clients = [Client(site, 3.0 if number < LONG_KEEPERS else 1.0) for number in range(CLIENTS)]
        stopped: dict[str, float] = {}
        tasks: list[asyncio.Task[None]] = []
        began = record.now()
        for number in range(int((WARM_UP_S + AFTER_S) / INTERVAL_S)):
            if not stopped and record.now() >= began + WARM_UP_S and trouble():
                tasks.append(asyncio.create_task(roll(site, stopped)))
                await asyncio.sleep(0)
            tasks.append(asyncio.create_task(random.choice(clients).send(number)))
            await asyncio.sleep(random.uniform(0.5, 1.5) * INTERVAL_S)
        await asyncio.wait(tasks, timeout=END_S)
        for task in tasks:
            task.cancel()
        tries = [request for client in clients for request in client.tries]
        if not any(request.reply and request.reply.complete for request in tries):
            raise CannotRunError("no request was served")
        return judge(record, tries, stopped)
    finally:
        await site.end()
        for server in servers:
            await server.stop()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play, 110.0)
