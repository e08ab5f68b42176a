"""A release of a lock that waited in a frozen control process is executed seconds later.

Caller `a` holds the lock again by then. See `claim.txt`.
"""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stage
from stage import Answer, CannotRunError, Machine, Record, Stage, call

LOCK = "/v1/locks/dispute-7"
HOLD_MS = 20_000
FREEZE_S = 3.0  # the pages' largest: 4.0 s
WATCHED_S = 8.0  # for how long the other caller asks


def start(record: Record, at: Machine, holder: str) -> Answer:
    """Ask for the lock, as an application does."""
    began = record.now()
    answer = call(at.address("control"), "POST", f"{LOCK}/start", {"holder": holder, "hold_ms": HOLD_MS})
    record.write(f"{holder}: start sent at {began:.3f} s to {at.name}: {answer.status} {answer.body}")
    return answer


def take(record: Record, machines: list[Machine], holder: str, within_s: float) -> tuple[int, float]:
    """Ask until the lock is granted; return the fence and until when the caller counts itself holder."""
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        for machine in machines:
            sent = record.now()
            answer = start(record, machine, holder)
            if answer.status == 200:
                return answer.body["fence"], sent + HOLD_MS / 1000
            time.sleep(0.1)
    return 0, 0.0


def freeze(record: Record, machine: Machine) -> threading.Thread:
    """Freeze a machine for `FREEZE_S` from now on."""
    machine.send_signal(signal.SIGSTOP)
    record.write(f"{machine.name} stands still")

    def thaw() -> None:
        time.sleep(FREEZE_S)
        machine.send_signal(signal.SIGCONT)
        record.write(f"{machine.name} wakes")

    thread = threading.Thread(target=thaw)
    thread.start()
    return thread


def play(record: Record) -> int:
    """Play the case and return the exit code."""
    with Stage() as site:
        roles = site.roles()
        frozen = roles["witness"]
        others = [control for control in site.controls if control is not frozen]
        record.write(f"primary {roles['primary'].name}, backup {roles['backup'].name}, other {frozen.name}")
        fence, _ = take(record, others, "a", 15.0)
        if not fence:
            raise CannotRunError("the lock is not granted")
        time.sleep(1.0)
        thaw = freeze(record, frozen) if stage.IS_TROUBLED else None
        sent = record.now()
        answer = call(frozen.address("control"), "POST", f"{LOCK}/finish", {"holder": "a", "fence": fence})
        record.write(
            f"a: finish {fence} sent at {sent:.3f} s to {frozen.name}: {answer.status or 'no answer'}"
        )
        fence, a_until = take(record, others, "a", 5.0)
        if not fence:
            raise CannotRunError("the lock is not granted again")
        record.write(f"a counts itself holder with fence {fence} until {a_until:.3f} s")
        b_fence, _ = take(record, others, "b", WATCHED_S)
        b_from = record.now()
        if thaw:
            thaw.join()
        if b_fence and b_from < a_until:
            record.write(f"BROKEN (ONE): b is holder with fence {b_fence} from {b_from:.3f} s, and so is a")
            return stage.BROKEN
        record.write("held: b was not granted the lock while a held it")
        return stage.HELD


def main() -> int:
    """Play the case; exit with 2 if it could not run."""
    record = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        return play(record)
    except (CannotRunError, OSError) as error:
        record.write(f"not run: {error}")
        return stage.NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
