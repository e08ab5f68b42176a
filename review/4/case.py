"""A store counts a lease from a renewal that was never committed, and as primary ends it too early."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
from dataclasses import dataclass
from pathlib import Path

from stage2 import BROKEN, HELD, CannotRunError, Machine, Record, Reply, Site, ask, run_case, trouble

ZONES = {
    "perth-kewdale": "perth",
    "perth-welshpool": "perth",
    "ger-webberton": "geraldton",
    "ger-narngulu": "geraldton",
    "alb-mira-mar": "albany",
}
LOCKS_BOUNDS = {"contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 6, "max_skew_ms": 8000, "free_ms": 1500}
LOCK, HOLD_S = "/v1/locks/l1", 45.0
CATCH_UP_S = 7.0  # more than the 6 s of `catch_up_s`, for which a machine counts as lost after it is back
PRIMARY_DIES_AFTER_S = 0.2  # after the kill of its two backups
BACKUPS_BACK_S, PRIMARY_BACK_S = 0.3, 3.5  # after the kill


@dataclass(slots=True)
class Holder:
    """What a caller knows of its hold."""

    fence: int = 0
    good_sent_at: float = 0.0  # when it sent its last good call

    @property
    def until(self) -> float:
        """Until when the caller counts itself holder."""
        return self.good_sent_at + HOLD_S


class Stage:
    """The site and its callers."""

    def __init__(self, site: Site) -> None:
        self.site, self.record = site, site.record
        self.a = Holder()
        self._cycle = itertools.cycle(site.core)

    async def call(self, caller: str, step: str, machine: Machine | None = None) -> tuple[float, Reply]:
        """Send one call on the lock, and return when it was sent and its answer."""
        machine = machine or next(self._cycle)
        body = {"holder": caller, "hold_ms": int(HOLD_S * 1000)}
        if step == "heartbeat":
            body["fence"] = self.a.fence
        sent_at = self.record.now()
        reply = await ask(
            machine.address("control"),
            "POST",
            f"{LOCK}/{step}",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
        )
        answer = f"{reply.status} {reply.body.decode()}" if reply.complete else "no answer"
        if reply.status not in (0, 409, 503):
            self.record.line(f"{caller}: {step} at {machine.name}, sent at {sent_at:.3f} s: {answer}")
        return sent_at, reply

    async def until_good(self, step: str, patience_s: float) -> None:
        """Have caller `a` send a call, to one address after another, until it is answered with 200."""
        give_up_at = self.record.now() + patience_s
        while self.record.now() < give_up_at:
            sent_at, reply = await self.call("a", step)
            if reply.status == 200 and reply.complete:
                self.a.good_sent_at = sent_at
                self.a.fence = reply.json().get("fence", self.a.fence)
                return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"no good answer to {step}")

    async def roles(self) -> dict[str, list[Machine]]:
        """Return the machines by their roles, as the newest epoch that any of them tells has them."""
        newest: list[dict[str, object]] = []
        for machine in self.site.core:
            rows = (await ask(machine.address("control"), "GET", "/v1/epoch")).json().get("rows", [])
            if rows and (not newest or int(rows[0]["epoch"]) > int(str(newest[0]["epoch"]))):
                newest = rows
        by_address = {machine.address("control"): machine for machine in self.site.core}
        roles: dict[str, list[Machine]] = {"primary": [], "backup": [], "witness": []}
        for row in newest:
            roles[str(row["role"])].append(by_address[str(row["control"])])
        names = {role: [machine.name for machine in machines] for role, machines in roles.items()}
        self.record.line(f"epoch {newest[0]['epoch'] if newest else '?'}: {names}")
        return roles


async def kill(machines: list[Machine]) -> None:
    """Kill machines' processes at once."""
    await asyncio.gather(*(machine.end(signal.SIGKILL) for machine in machines))


async def start(machines: list[Machine]) -> None:
    """Start machines' processes."""
    await asyncio.gather(*(machine.start() for machine in machines))


async def renew_over_a_loss(stage: Stage) -> Machine | None:
    """Lose the backups, and then the primary, around a renewal; return the store that has seen it twice."""
    roles = await stage.roles()
    (primary,), backups, witnesses = roles["primary"], roles["backup"], roles["witness"]
    if not trouble():
        await stage.until_good("heartbeat", 5.0)
        return None
    await kill(backups)
    renewal = asyncio.create_task(stage.call("a", "heartbeat", primary))
    await asyncio.sleep(PRIMARY_DIES_AFTER_S)
    await kill([primary])
    killed_at = stage.record.now()
    _, reply = await renewal
    if reply.status == 200:
        raise CannotRunError("the renewal was committed before the primary was killed")
    again = asyncio.create_task(stage.until_good("heartbeat", 15.0))
    await asyncio.sleep(BACKUPS_BACK_S - PRIMARY_DIES_AFTER_S)
    await start(backups)
    await again
    roles = await stage.roles()
    late = [machine for machine in witnesses if machine in roles["witness"]]
    await asyncio.sleep(max(0.0, killed_at + PRIMARY_BACK_S - stage.record.now()))
    await start([primary])
    if len(late) != 1:
        raise CannotRunError("both witnesses, or none, are replicas of the next epoch")
    return late[0]


async def make_primary(stage: Stage, wanted: Machine) -> None:
    """Lose two machines at a time, so that a store becomes a replica and then the primary."""
    await asyncio.sleep(CATCH_UP_S)
    roles = await stage.roles()
    lost = [machine for machine in (*roles["backup"], *roles["witness"]) if machine is not wanted][:2]
    await kill(lost)
    await asyncio.sleep(2.0)
    await start(lost)
    await asyncio.sleep(CATCH_UP_S)
    roles = await stage.roles()
    if wanted in roles["witness"]:
        raise CannotRunError(f"{wanted.name} is no replica")
    if wanted in roles["primary"]:
        return
    lost = [machine for machine in (*roles["primary"], *roles["backup"]) if machine is not wanted]
    await kill(lost)
    await asyncio.sleep(3.0)
    await start(lost)
    await asyncio.sleep(2.0)
    roles = await stage.roles()
    if wanted not in roles["primary"]:
        raise CannotRunError(f"{wanted.name} is not primary")


async def play(folder: Path, record: Record) -> int:
    """Play the case."""
    site = Site(folder, record, fronts=0, zones=ZONES, tolerance=2)
    site.bounds |= LOCKS_BOUNDS
    site.contracts += ["health", "pool", "coord"]
    stage = Stage(site)
    try:
        await start(site.core)
        await stage.until_good("start", 20.0)
        await asyncio.sleep(CATCH_UP_S)
        late = await renew_over_a_loss(stage)
        record.line(f"a counts itself holder until {stage.a.until:.3f} s")
        if late is not None:
            record.line(f"{late.name} was no replica of the epoch of the lost renewal, nor of the next one")
            await make_primary(stage, late)
        await asyncio.sleep(max(0.0, stage.a.until - 6.0 - record.now()))
        while True:
            _, reply = await stage.call("b", "start")
            if reply.status == 200 and reply.complete:
                break
            if record.now() > stage.a.until + 30.0:
                raise CannotRunError("b is never granted the lock")
            await asyncio.sleep(0.05)
        early_s = stage.a.until - record.now()
        record.line(f"b has the lock; a counts itself holder for {early_s:.3f} s more")
        return BROKEN if early_s > 0 else HELD
    finally:
        await site.end()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play, 115.0)
