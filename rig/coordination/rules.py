"""Checks of recorded histories of locks, counters, keys and watches, one per rule. This module is pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from rig.coordination.history import Breach, Call, Operation, Outcome, shown
from rig.coordination.objects import check_orders

Check = Callable[[Sequence[Call]], Iterator[Breach]]


def check_history(calls: Sequence[Call], history_s: float) -> list[Breach]:
    """Return all breaches of a history.

    Args:
        calls: The calls of all applications.
        history_s: Seconds for which a watch may resume after a revision that it received.
    """
    by_sending = sorted(calls, key=lambda call: call.sent)
    checks: tuple[Check, ...] = (
        one_holder,
        rising_fences,
        rising_numbers,
        rising_revisions,
        watches_in_order,
        fresh_reads,
        shown_values,
        refused_values,
        lambda all_calls: resumable_watches(all_calls, history_s),
    )
    breaches = [breach for check in checks for breach in check(by_sending)]
    return breaches + check_orders(by_sending)


def _of(calls: Sequence[Call], *operations: Operation) -> list[Call]:
    return [call for call in calls if call.operation in operations]


def _by_target(calls: Sequence[Call]) -> dict[str, list[Call]]:
    calls_by_target = defaultdict(list)
    for call in calls:
        calls_by_target[call.target].append(call)
    return calls_by_target


@dataclass(frozen=True, slots=True)
class _Hold:
    """Period in which a caller regarded itself as the holder of a lock."""

    holder: str
    fence: int
    since: float
    until: float


def one_holder(calls: Sequence[Call]) -> Iterator[Breach]:
    """Check ONE: no two callers regard themselves as the holder of a lock at the same time."""
    operations = (Operation.ACQUIRE, Operation.RENEW, Operation.RELEASE)
    for lock, of_lock in _by_target(_of(calls, *operations)).items():
        held = [hold for hold in _holds(of_lock) if hold.until > hold.since]
        holds = sorted(held, key=lambda hold: hold.since)
        latest: _Hold | None = None
        for hold in holds:
            if latest and hold.since < latest.until and hold.holder != latest.holder:
                text = (
                    f"{lock}: {hold.holder} from {hold.since:.3f}, {latest.holder} until {latest.until:.3f}"
                )
                yield Breach("ONE", text)
            if latest is None or hold.until > latest.until:
                latest = hold


def _holds(calls: Sequence[Call]) -> Iterator[_Hold]:
    by_holder = defaultdict(list)
    for call in calls:
        by_holder[call.holder].append(call)
    for of_holder in by_holder.values():
        yield from _holds_of(of_holder)


def _holds_of(calls: Sequence[Call]) -> Iterator[_Hold]:
    """Yield the holds of one caller.

    A hold begins when a successful acquisition is answered. It ends when the release is sent, or `hold_s`
    after the last successful call was sent. A holder that acquires the lock again goes on holding it.
    """
    hold: _Hold | None = None
    for call in calls:
        if call.operation is Operation.RELEASE:
            if hold and call.fence == hold.fence:
                yield _Hold(hold.holder, hold.fence, hold.since, min(hold.until, call.sent))
                hold = None
        elif call.is_done:
            until = call.sent + call.hold_s
            is_same_hold = call.operation is Operation.ACQUIRE or (hold and call.fence == hold.fence)
            if hold and is_same_hold and call.ended <= hold.until:
                hold = _Hold(hold.holder, call.fence, hold.since, max(until, hold.until))
            elif call.operation is Operation.ACQUIRE and call.ended < until:
                if hold:
                    yield hold
                hold = _Hold(call.holder, call.fence, call.ended, until)
    if hold:
        yield hold


def rising_fences(calls: Sequence[Call]) -> Iterator[Breach]:
    """Check ONE: a fencing token exceeds earlier ones of other holders and is granted to one holder."""
    for lock, granted in _by_target([c for c in _of(calls, Operation.ACQUIRE) if c.is_done]).items():
        for call in granted:
            for other in granted:
                if other.holder == call.holder:
                    continue
                if other.fence == call.fence:
                    yield Breach("ONE", f"{lock}: fence {call.fence} for {call.holder} and {other.holder}")
                elif other.ended < call.sent and other.fence > call.fence:
                    yield Breach("ONE", f"{lock}: fence {call.fence} after {other.fence}")


def rising_numbers(calls: Sequence[Call]) -> Iterator[Breach]:
    """Check ORDER: a number exceeds all numbers returned before its call was sent, and is unique."""
    for name, given in _by_target([c for c in _of(calls, Operation.NUMBER) if c.is_done]).items():
        yield from _rising(name, given)


def rising_revisions(calls: Sequence[Call]) -> Iterator[Breach]:
    """Check ORDER: a revision exceeds those acknowledged in its group before its put was first sent."""
    first_sent: dict[tuple[str, str], float] = {}
    by_group: defaultdict[str, dict[tuple[str, str], Call]] = defaultdict(dict)
    for call in _of(calls, Operation.PUT):
        put = (call.target, call.value)
        first_sent.setdefault(put, call.sent)
        if call.is_done:
            by_group[call.group].setdefault(put, replace(call, sent=first_sent[put]))
    for group, first in by_group.items():
        yield from _rising(group, list(first.values()))
        yield from _overwritten(list(first.values()))


def _rising(name: str, given: Sequence[Call]) -> Iterator[Breach]:
    numbers = set()
    for call in given:
        if call.number in numbers:
            yield Breach("ORDER", f"{name}: {call.number} was given twice")
        numbers.add(call.number)
        before = [other.number for other in given if other.ended < call.sent]
        if before and max(before) > call.number:
            yield Breach("ORDER", f"{name}: {call.number} after {max(before)}")


def _overwritten(puts: Sequence[Call]) -> Iterator[Breach]:
    """Check that no put of the same key lies between a conditional put and its expected revision."""
    for call in puts:
        if call.if_revision is None:
            continue
        between = [
            other.number
            for other in puts
            if other.target == call.target and call.if_revision < other.number < call.number
        ]
        if between:
            yield Breach("ORDER", f"{call.target}: {call.number} on {call.if_revision} over {between}")


def watches_in_order(calls: Sequence[Call]) -> Iterator[Breach]:
    """Check ORDER: the events of a watch ascend and contain every put in their range."""
    puts = defaultdict(set)
    for call in _of(calls, Operation.PUT):
        if call.is_done:
            puts[call.group].add(call.number)
    for call in _of(calls, Operation.WATCH):
        if not call.is_done or call.after == 0:
            continue
        revisions = [event.revision for event in call.events]
        if revisions != sorted(set(revisions)) or any(one <= call.after for one in revisions):
            yield Breach("ORDER", f"{call.target}: a watch after {call.after} was sent {revisions}")
        due = {revision for revision in puts[call.target] if call.after < revision <= call.number}
        if due - set(revisions):
            missing = sorted(due - set(revisions))
            yield Breach(
                "ORDER", f"{call.target}: a watch from {call.after} to {call.number} lacks {missing}"
            )


def fresh_reads(calls: Sequence[Call]) -> Iterator[Breach]:
    """Check STALE: a read returns no revision below that of a put acknowledged before it was sent."""
    puts = _by_target([call for call in _of(calls, Operation.PUT) if call.is_done])
    for call in _of(calls, Operation.GET):
        if call.outcome not in (Outcome.DONE, Outcome.REFUSED):
            continue
        before = [put.number for put in puts.get(call.target, ()) if put.ended < call.sent]
        if before and max(before) > call.number:
            yield Breach("STALE", f"{call.target}: {call.number} was read after {max(before)}")


def shown_values(calls: Sequence[Call]) -> Iterator[Breach]:
    """Check MIXED: an observed value was put to its key under one revision; refusals name known revisions."""
    put = {(call.target, call.value) for call in _of(calls, Operation.PUT)}
    revisions: dict[tuple[str, str], int] = {}
    for key, value, revision in shown(calls):
        if (key, value) not in put:
            yield Breach("MIXED", f"{key}: {value} was never put")
        elif revisions.setdefault((key, value), revision) != revision:
            yield Breach("MIXED", f"{key}: {value} under {revision} and {revisions[key, value]}")
    given = {(key, revision) for (key, _), revision in revisions.items()}
    unclear = {call.target for call in _of(calls, Operation.PUT) if call.outcome is Outcome.UNKNOWN}
    for call in _of(calls, Operation.PUT):
        is_named = call.outcome is Outcome.REFUSED and call.number and call.target not in unclear
        if is_named and (call.target, call.number) not in given:
            yield Breach("MIXED", f"{call.target}: a refusal names {call.number}, which no put gave")


def refused_values(calls: Sequence[Call]) -> Iterator[Breach]:
    """Check REFUSED: no value is observed if all of its puts were refused or not done."""
    may_be_done = {(call.target, call.value) for call in _of(calls, Operation.PUT) if call.may_be_done}
    put = {(call.target, call.value) for call in _of(calls, Operation.PUT)}
    for key, value, revision in shown(calls):
        if (key, value) in put - may_be_done:
            yield Breach("REFUSED", f"{key}: {value} is shown at {revision}")


def resumable_watches(calls: Sequence[Call], history_s: float) -> Iterator[Breach]:
    """Check LOST: a watch can resume after a revision that it received less than `history_s` ago."""
    sent_at: dict[tuple[str, int], float] = {}
    for call in sorted(_of(calls, Operation.WATCH), key=lambda call: call.ended):
        if call.outcome is Outcome.REFUSED:
            last_sent_at = sent_at.get((call.target, call.after))
            if last_sent_at is not None and call.sent - last_sent_at < history_s:
                yield Breach(
                    "LOST", f"{call.target}: {call.after}, sent {call.sent - last_sent_at:.1f} s ago, is gone"
                )
        elif call.is_done:
            sent_at[call.target, call.number] = call.ended
