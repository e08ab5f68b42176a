"""Applications that ask any control process for locks, numbers, keys and watches, and record what comes."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from dataclasses import replace
from typing import Any

import aiohttp

from rig.coordination.history import Call, Operation, Outcome, ShownEvent
from rig.system.deployment import Deployment
from rig.system.soak.record import Record

CALL_TIMEOUT_S = 1.0  # without an answer; then another process is asked
WATCH_S = 1.0  # that a watch is held
PAUSE_S = 0.1  # between attempts
ATTEMPTS = 6
FINAL_S = 10.0  # within which everything is answered at the end
HOLD_S = (0.3, 1.5)
LOCKS = tuple(f"l{number}" for number in range(4))
COUNTERS = ("n0", "n1")
KEYS = tuple(f"{group}.{name}" for group in ("g", "h") for name in ("a", "b", "c"))
GROUPS = ("g.", "h.")
NOT_DONE_STATUSES = (429, 503)

Answer = dict[str, Any]


class Applications:
    """Several applications that call at once."""

    def __init__(self, deployment: Deployment, record: Record, rng: random.Random) -> None:
        """Keep whom to call, where to record it, and what to draw from."""
        self._deployment = deployment
        self._record = record
        self._rng = rng
        self._values = 0

    async def run(self, session: aiohttp.ClientSession, until: float) -> None:
        """Call until a time (s, monotonic clock), then ask for everything once more."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(3):
                tasks.create_task(self._hold_locks(session, f"a{number}", until))
            for _ in range(2):
                tasks.create_task(self._write_keys(session, until))
            tasks.create_task(self._count(session, until))
            for group in GROUPS:
                tasks.create_task(self._watch(session, group, until))
        await self._ask_for_all(session)

    async def _hold_locks(self, session: aiohttp.ClientSession, holder: str, until: float) -> None:
        while time.monotonic() < until:
            lock, hold_s = self._rng.choice(LOCKS), self._rng.uniform(*HOLD_S)
            call = Call(Operation.ACQUIRE, lock, 0.0, holder=holder, hold_s=hold_s)
            granted = await self._until_clear(session, call)
            if granted.is_done:
                await self._hold(session, granted)
            await asyncio.sleep(self._rng.uniform(0.0, PAUSE_S))

    async def _hold(self, session: aiohttp.ClientSession, granted: Call) -> None:
        """Renew a lock some times, at times too late, and give it back, or not."""
        until = granted.sent + granted.hold_s
        for _ in range(self._rng.randint(0, 3)):
            await asyncio.sleep(self._rng.uniform(0.0, 1.1) * granted.hold_s)
            renewal = await self._attempt(session, replace(_unsent(granted), operation=Operation.RENEW))
            if not renewal.is_done or renewal.ended > until:
                return
            until = max(until, renewal.sent + renewal.hold_s)
        if self._rng.random() < 0.7:
            await self._attempt(session, replace(_unsent(granted), operation=Operation.RELEASE))

    async def _write_keys(self, session: aiohttp.ClientSession, until: float) -> None:
        known = dict.fromkeys(KEYS, 0)
        while time.monotonic() < until:
            key = self._rng.choice(KEYS)
            if self._rng.random() < 0.4:
                read = await self._attempt(session, Call(Operation.GET, key, 0.0))
                known[key] = read.number or known[key]
            else:
                self._values += 1
                if_revision = known[key] if self._rng.random() < 0.5 else None
                put = Call(Operation.PUT, key, 0.0, value=f"v{self._values}", if_revision=if_revision)
                known[key] = (await self._until_clear(session, put)).number or known[key]
            await asyncio.sleep(self._rng.uniform(0.0, PAUSE_S))

    async def _count(self, session: aiohttp.ClientSession, until: float) -> None:
        while time.monotonic() < until:
            await self._until_clear(session, Call(Operation.NUMBER, self._rng.choice(COUNTERS), 0.0))
            await asyncio.sleep(self._rng.uniform(0.0, PAUSE_S))

    async def _watch(self, session: aiohttp.ClientSession, group: str, until: float) -> None:
        after = 0
        while time.monotonic() < until:
            told = await self._attempt(session, Call(Operation.WATCH, group, 0.0, after=after))
            if told.is_done:
                after = told.number
            else:
                await asyncio.sleep(PAUSE_S)

    async def _ask_for_all(self, session: aiohttp.ClientSession) -> None:
        calls = [
            *(Call(Operation.ACQUIRE, lock, 0.0, holder="last", hold_s=HOLD_S[0]) for lock in LOCKS),
            *(Call(Operation.NUMBER, name, 0.0) for name in COUNTERS),
            *(Call(Operation.GET, key, 0.0) for key in KEYS),
        ]
        await asyncio.gather(*(self._ask_at_the_end(session, call) for call in calls))

    async def _ask_at_the_end(self, session: aiohttp.ClientSession, call: Call) -> None:
        until = time.monotonic() + FINAL_S
        while time.monotonic() < until:
            last = await self._attempt(session, _unsent(call))
            if last.outcome in (Outcome.DONE, Outcome.REFUSED):
                return
            await asyncio.sleep(PAUSE_S)
        self._record.unanswered.append(f"{call.operation.name} {call.target}")

    async def _until_clear(self, session: aiohttp.ClientSession, call: Call) -> Call:
        """Send a call to one process after the other until it has a clear answer; the last attempt."""
        attempt = call
        for _ in range(ATTEMPTS):
            attempt = await self._attempt(session, _unsent(call))
            if attempt.outcome in (Outcome.DONE, Outcome.REFUSED):
                break
            await asyncio.sleep(PAUSE_S)
        return attempt

    async def _attempt(self, session: aiohttp.ClientSession, call: Call) -> Call:
        method, path, body = _request(call)
        control = self._rng.choice(self._deployment.of_role("control")).address("control")
        call.sent = time.monotonic()
        self._record.calls.append(call)
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S + (WATCH_S if call.operation is Operation.WATCH else 0.0)),
                session.request(method, f"http://{control}{path}", json=body) as response,
            ):
                status, answer = response.status, json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return call
        call.ended = time.monotonic()
        _take(call, status, answer)
        return call


def _unsent(call: Call) -> Call:
    """The same call, to be sent once more."""
    return replace(call, sent=0.0, ended=math.inf, outcome=Outcome.UNKNOWN, number=0, events=())


def _request(call: Call) -> tuple[str, str, Answer | None]:
    """Method, path and body of a call."""
    lock = f"/v1/locks/{call.target}"
    hold = {"holder": call.holder, "hold_ms": call.hold_s * 1000.0}
    match call.operation:
        case Operation.ACQUIRE:
            return "POST", f"{lock}/start", hold
        case Operation.RENEW:
            return "POST", f"{lock}/heartbeat", {**hold, "fence": call.fence}
        case Operation.RELEASE:
            return "POST", f"{lock}/finish", {"holder": call.holder, "fence": call.fence}
        case Operation.NUMBER:
            return "POST", f"/v1/numbers/{call.target}", {}
        case Operation.PUT:
            condition = {} if call.if_revision is None else {"if_revision": call.if_revision}
            return "POST", f"/v1/cells/{call.target}/put", {"value": call.value, **condition}
        case Operation.GET:
            return "GET", f"/v1/cells/{call.target}/get", None
        case Operation.WATCH:
            wait_ms = round(WATCH_S * 1000)
            return "GET", f"/v1/watch/{call.target}?after={call.after}&wait_ms={wait_ms}", None


def _take(call: Call, status: int, answer: Answer) -> None:
    """What a caller learns from an answer."""
    match status:
        case 200:
            call.outcome = Outcome.DONE
            call.fence = answer.get("fence", call.fence)
            call.value = answer.get("value", call.value) if call.operation is Operation.GET else call.value
            call.number = answer.get("value" if call.operation is Operation.NUMBER else "revision", 0)
            call.events = tuple(
                ShownEvent(event["name"], event["value"], event["revision"])
                for event in answer.get("events", ())
            )
        case 412:
            call.outcome, call.number = Outcome.REFUSED, answer["revision"]
        case 404 | 409 | 410:
            call.outcome = Outcome.REFUSED
        case _ if status in NOT_DONE_STATUSES:
            call.outcome = Outcome.NOT_DONE
        case _:
            call.ended = math.inf
