"""Sequential specifications of counters, groups of keys and locks. This module is pure."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

from rig.coordination.history import Breach, Call, Operation, Outcome, shown
from rig.coordination.linearizability import Step, UndecidedError, is_linearizable

_LOCK_OPERATIONS = (Operation.ACQUIRE, Operation.RENEW, Operation.RELEASE)


def check_orders(calls: Sequence[Call]) -> list[Breach]:
    """Return a breach for each object whose calls are not linearizable or not decidable."""
    breaches = []
    for name, of_object, initial, step in _objects(calls):
        try:
            if not is_linearizable(of_object, initial, step):
                breaches.append(
                    Breach("LINEARIZABLE", f"no order explains the {len(of_object)} calls on {name}")
                )
        except UndecidedError as error:
            breaches.append(Breach("UNDECIDED", f"{name}: {error}"))
    return breaches


def _objects(calls: Sequence[Call]) -> Iterator[tuple[str, list[Call], Hashable, Step]]:
    by_object: defaultdict[tuple[str, str], list[Call]] = defaultdict(list)
    for call in (*_numbers(calls), *_puts(calls), *_reads(calls), *_lock_calls(calls)):
        if call.operation in _LOCK_OPERATIONS:
            by_object["lock", call.target].append(call)
        elif call.operation is Operation.NUMBER:
            by_object["counter", call.target].append(call)
        else:
            by_object["group", call.group].append(call)
    starts: dict[str, tuple[Hashable, Step]] = {
        "counter": (0, _count),
        "group": (_Keys(), _key_step),
        "lock": (_Lock(), _lock_step),
    }
    for (kind, name), of_object in by_object.items():
        initial, step = starts[kind]
        yield f"{kind} {name}", of_object, initial, step


def _numbers(calls: Iterable[Call]) -> list[Call]:
    """Return the answered calls; gaps are allowed, so unanswered ones constrain nothing."""
    return [call for call in calls if call.operation is Operation.NUMBER and call.is_done]


def _lock_calls(calls: Iterable[Call]) -> list[Call]:
    of_locks = [call for call in calls if call.operation in _LOCK_OPERATIONS]
    return [call for call in of_locks if call.outcome is not Outcome.NOT_DONE]


def _reads(calls: Iterable[Call]) -> list[Call]:
    known = (Outcome.DONE, Outcome.REFUSED)
    return [call for call in calls if call.operation is Operation.GET and call.outcome in known]


def _puts(calls: Sequence[Call]) -> list[Call]:
    """Return refused puts, and each executed one as a call from first attempt to first acknowledgement.

    A put without an acknowledgement is included if its value was observed; otherwise it constrains nothing.
    A refusal that names the revision of an unknown put is left out, since `rules.shown_values` checks it.
    """
    revisions = {(key, value): revision for key, value, revision in shown(calls)}
    given = {(key, revision) for (key, _), revision in revisions.items()}
    executed: dict[tuple[str, str], Call] = {}
    refusals = []
    for call in sorted((c for c in calls if c.operation is Operation.PUT), key=lambda call: call.sent):
        put = (call.target, call.value)
        if call.outcome is Outcome.REFUSED:
            if call.number == 0 or (call.target, call.number) in given:
                refusals.append(call)
        elif call.may_be_done and put in revisions:
            first = executed.setdefault(put, replace(call, number=revisions[put]))
            executed[put] = replace(first, ended=min(first.ended, call.ended), resent=call.sent)
    return [*executed.values(), *refusals]


def _count(state: Hashable, call: Call) -> Hashable | None:
    """Return the new count; gaps are allowed, since unanswered calls may have used numbers."""
    assert isinstance(state, int)
    return call.number if call.number > state else None


@dataclass(frozen=True, slots=True)
class _Keys:
    revision: int = 0
    newest: frozenset[tuple[str, str, int]] = frozenset()  # key, value, revision

    def find(self, key: str) -> tuple[str, int]:
        """Return the value and revision of a key, or ("", 0) if it does not exist."""
        return next(((value, revision) for name, value, revision in self.newest if name == key), ("", 0))


def _key_step(state: Hashable, call: Call) -> Hashable | None:
    assert isinstance(state, _Keys)
    value, revision = state.find(call.target)
    if call.operation is Operation.GET:
        expected = (call.value, call.number) if call.is_done else ("", 0)
        return state if (value, revision) == expected else None
    if call.outcome is Outcome.REFUSED:
        return state if call.number == revision != call.if_revision else None
    is_conflict = call.if_revision is not None and call.if_revision != revision
    if is_conflict or call.number <= state.revision:
        return None
    others = frozenset(known for known in state.newest if known[0] != call.target)
    return _Keys(call.number, others | {(call.target, call.value, call.number)})


@dataclass(frozen=True, slots=True)
class _Lock:
    holder: str = ""
    fence: int = 0
    guaranteed_until: float = -math.inf  # time until which its holder relies on it; it is never freed earlier
    is_fence_known: bool = True  # otherwise an unanswered acquisition has raised it

    @property
    def is_free(self) -> bool:
        return not self.holder

    def is_held_under(self, call: Call) -> bool:
        return self.is_fence_known and (self.holder, self.fence) == (call.holder, call.fence)


def _lock_step(state: Hashable, call: Call) -> Hashable | None:
    """Return the state after a lock call; a lease may expire once its holder stops relying on it."""
    assert isinstance(state, _Lock)
    match call.operation:
        case Operation.ACQUIRE:
            return _acquire(state, call)
        case Operation.RENEW:
            return _renew(state, call)
        case _:
            return _Lock(fence=state.fence) if state.is_held_under(call) else state


def _acquire(state: _Lock, call: Call) -> _Lock | None:
    if call.outcome is Outcome.REFUSED:
        return state if not state.is_free else None
    until = call.sent + call.hold_s
    if state.holder == call.holder:
        return _reacquire(state, call, max(until, state.guaranteed_until))
    if not state.is_free and call.ended <= state.guaranteed_until:
        return None
    if call.is_done:
        return _Lock(call.holder, call.fence, until) if call.fence > state.fence else None
    return _Lock(call.holder, state.fence, is_fence_known=False)  # nobody relies on the lock


def _reacquire(state: _Lock, call: Call, until: float) -> _Lock | None:
    """Return the state after an acquisition by the holder itself: its token is the same or a higher one."""
    if not call.is_done:
        return replace(state, guaranteed_until=until, is_fence_known=False)
    is_allowed = call.fence > state.fence or (call.fence == state.fence and state.is_fence_known)
    return _Lock(call.holder, call.fence, until) if is_allowed else None


def _renew(state: _Lock, call: Call) -> _Lock | None:
    is_held = state.is_held_under(call)
    if call.outcome is Outcome.REFUSED:
        return state if not is_held or call.ended > state.guaranteed_until else None
    if not is_held:
        return None if call.is_done else state
    return replace(state, guaranteed_until=max(call.sent + call.hold_s, state.guaranteed_until))
