"""Simulated applications that call the control processes for locks, numbers, keys and watches."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from dataclasses import dataclass, replace
from typing import Any

import aiohttp

from rig.coordination.history import Call, Operation, Outcome, ShownEvent
from rig.system.deployment import Deployment
from rig.system.soak.record import Record

CALL_TIMEOUT_S = 1.0  # after which the call may be sent to another process
WATCH_WAIT_S = 1.0  # for which a control process holds a watch open
RETRY_DELAY_S = 0.1  # between attempts
MAX_ATTEMPTS = 6
FINAL_HOLD_S = 0.3  # of the final call to each lock
FINAL_TIMEOUT_S = 10.0  # within which each final call must have a clear answer
LOCKS = tuple(f"l{number}" for number in range(4))
COUNTERS = ("n0", "n1")
KEYS = tuple(f"{group}.{name}" for group in ("g", "h") for name in ("a", "b", "c"))
GROUPS = ("g.", "h.")
NOT_DONE_STATUSES = (429, 503)

Answer = dict[str, Any]


@dataclass(frozen=True, slots=True)
class LockUse:
    """How holders use locks.

    Attributes:
        hold_range_s: The shortest and the longest lease, in seconds.
        reacquires: Whether a holder whose release was not answered acquires the lock again at once.
    """

    hold_range_s: tuple[float, float]
    reacquires: bool


SHORT_HOLDS = LockUse((0.3, 1.5), reacquires=False)
LONG_HOLDS = LockUse((0.5, 6.0), reacquires=True)


class Applications:
    """Several applications that call concurrently and record their calls."""

    def __init__(
        self, deployment: Deployment, record: Record, rng: random.Random, lock_use: LockUse = SHORT_HOLDS
    ) -> None:
        """Create the applications.

        Args:
            deployment: Deployment whose control processes are called.
            record: Record that receives the calls.
            rng: Random source.
            lock_use: How holders use locks.
        """
        self._deployment = deployment
        self._record = record
        self._rng = rng
        self._lock_use = lock_use
        self._value_count = 0

    async def run(self, session: aiohttp.ClientSession, until: float) -> None:
        """Call until a time (s, monotonic clock), then call once more for each lock, number and key."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(3):
                tasks.create_task(self._hold_locks(session, f"a{number}", until))
            for _ in range(2):
                tasks.create_task(self._write_keys(session, until))
            tasks.create_task(self._count(session, until))
            for group in GROUPS:
                tasks.create_task(self._watch(session, group, until))
        await self._make_final_calls(session)

    async def _hold_locks(self, session: aiohttp.ClientSession, holder: str, until: float) -> None:
        while time.monotonic() < until:
            lock, hold_s = self._rng.choice(LOCKS), self._rng.uniform(*self._lock_use.hold_range_s)
            call = Call(Operation.ACQUIRE, lock, 0.0, holder=holder, hold_s=hold_s)
            must_acquire = True
            while must_acquire and time.monotonic() < until:
                granted = await self._call_until_decided(session, call)
                is_released = await self._hold(session, granted) if granted.is_done else True
                must_acquire = self._lock_use.reacquires and not is_released
            await asyncio.sleep(self._rng.uniform(0.0, RETRY_DELAY_S))

    async def _hold(self, session: aiohttp.ClientSession, granted: Call) -> bool:
        """Renew a lock a few times, sometimes too late, and then release it or let it expire.

        Returns:
            False if the release was sent and not answered.
        """
        until = granted.sent + granted.hold_s
        for _ in range(self._rng.randint(0, 3)):
            await asyncio.sleep(self._rng.uniform(0.0, 1.1) * granted.hold_s)
            renewal = await self._attempt(session, replace(_copy_unsent(granted), operation=Operation.RENEW))
            if not renewal.is_done or renewal.ended > until:
                return True
            until = max(until, renewal.sent + renewal.hold_s)
        if self._rng.random() >= 0.7:
            return True
        release = replace(_copy_unsent(granted), operation=Operation.RELEASE)
        return (await self._attempt(session, release)).outcome is not Outcome.UNKNOWN

    async def _write_keys(self, session: aiohttp.ClientSession, until: float) -> None:
        revisions = dict.fromkeys(KEYS, 0)
        while time.monotonic() < until:
            key = self._rng.choice(KEYS)
            if self._rng.random() < 0.4:
                read = await self._attempt(session, Call(Operation.GET, key, 0.0))
                revisions[key] = read.number or revisions[key]
            else:
                self._value_count += 1
                if_revision = revisions[key] if self._rng.random() < 0.5 else None
                put = Call(Operation.PUT, key, 0.0, value=f"v{self._value_count}", if_revision=if_revision)
                revisions[key] = (await self._call_until_decided(session, put)).number or revisions[key]
            await asyncio.sleep(self._rng.uniform(0.0, RETRY_DELAY_S))

    async def _count(self, session: aiohttp.ClientSession, until: float) -> None:
        while time.monotonic() < until:
            await self._call_until_decided(session, Call(Operation.NUMBER, self._rng.choice(COUNTERS), 0.0))
            await asyncio.sleep(self._rng.uniform(0.0, RETRY_DELAY_S))

    async def _watch(self, session: aiohttp.ClientSession, group: str, until: float) -> None:
        after = 0
        while time.monotonic() < until:
            result = await self._attempt(session, Call(Operation.WATCH, group, 0.0, after=after))
            if result.is_done:
                after = result.number
            else:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _make_final_calls(self, session: aiohttp.ClientSession) -> None:
        calls = [
            *(Call(Operation.ACQUIRE, lock, 0.0, holder="last", hold_s=FINAL_HOLD_S) for lock in LOCKS),
            *(Call(Operation.NUMBER, name, 0.0) for name in COUNTERS),
            *(Call(Operation.GET, key, 0.0) for key in KEYS),
        ]
        await asyncio.gather(*(self._make_final_call(session, call) for call in calls))

    async def _make_final_call(self, session: aiohttp.ClientSession, call: Call) -> None:
        until = time.monotonic() + FINAL_TIMEOUT_S
        while time.monotonic() < until:
            last = await self._attempt(session, _copy_unsent(call))
            if last.outcome in (Outcome.DONE, Outcome.REFUSED):
                return
            await asyncio.sleep(RETRY_DELAY_S)
        self._record.unanswered.append(f"{call.operation.name} {call.target}")

    async def _call_until_decided(self, session: aiohttp.ClientSession, call: Call) -> Call:
        """Send a call to random control processes until it is done or refused; return the last attempt."""
        attempt = call
        for _ in range(MAX_ATTEMPTS):
            attempt = await self._attempt(session, _copy_unsent(call))
            if attempt.outcome in (Outcome.DONE, Outcome.REFUSED):
                break
            await asyncio.sleep(RETRY_DELAY_S)
        return attempt

    async def _attempt(self, session: aiohttp.ClientSession, call: Call) -> Call:
        method, path, body = _request_of(call)
        control = self._rng.choice(self._deployment.of_role("control")).address("control")
        call.sent = time.monotonic()
        self._record.calls.append(call)
        try:
            async with (
                asyncio.timeout(
                    CALL_TIMEOUT_S + (WATCH_WAIT_S if call.operation is Operation.WATCH else 0.0)
                ),
                session.request(method, f"http://{control}{path}", json=body) as response,
            ):
                status, answer = response.status, json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return call
        call.ended = time.monotonic()
        _apply_answer(call, status, answer)
        return call


def _copy_unsent(call: Call) -> Call:
    """Return a copy of a call that has not been sent."""
    return replace(call, sent=0.0, ended=math.inf, outcome=Outcome.UNKNOWN, number=0, events=())


def _request_of(call: Call) -> tuple[str, str, Answer | None]:
    """Return the method, path and body of a call."""
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
            wait_ms = round(WATCH_WAIT_S * 1000)
            return "GET", f"/v1/watch/{call.target}?after={call.after}&wait_ms={wait_ms}", None


def _apply_answer(call: Call, status: int, answer: Answer) -> None:
    """Store the status and the answer of a response in its call."""
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
