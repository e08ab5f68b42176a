"""Linearizability check of concurrent calls on one object. This module is pure.

The search is that of Wing and Gong (1993) with Lowe's cache of explored configurations (2017): a call may be
next if no other remaining call ended before it was sent.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable, Iterator, Sequence
from dataclasses import dataclass

from rig.coordination.history import Call

MAX_CONFIGURATIONS = 400_000  # explored before a history counts as undecided
MAX_EFFECT_S = 1.0  # latest time after its sending at which a call without an answer may take effect

Step = Callable[[Hashable, Call], Hashable | None]
"""Returns the state after a call, or None if its answer is impossible in the given state."""


class UndecidedError(Exception):
    """Raised if a history has too many configurations to decide."""


@dataclass(frozen=True, slots=True)
class _Configuration:
    done: int  # a bit for each call
    state: Hashable


def is_linearizable(calls: Sequence[Call], initial: Hashable, step: Step) -> bool:
    """Return whether an order of the calls, each between its sending and its end, explains all answers.

    A call without a known outcome may take effect within `MAX_EFFECT_S` after it was last sent, or never.

    Args:
        calls: The calls on one object.
        initial: State of the object before the calls.
        step: Transition function of the object.

    Raises:
        UndecidedError: If there are more than `MAX_CONFIGURATIONS` configurations.
    """
    ordered = sorted(calls, key=lambda call: call.sent)
    required = sum(1 << index for index, call in enumerate(ordered) if call.ended < math.inf)
    seen: set[_Configuration] = set()
    waiting = [_Configuration(0, initial)]
    while waiting:
        configuration = _without_expired(waiting.pop(), ordered)
        if configuration.done & required == required:
            return True
        if configuration in seen:
            continue
        seen.add(configuration)
        if len(seen) > MAX_CONFIGURATIONS:
            raise UndecidedError(f"more than {MAX_CONFIGURATIONS} configurations of {len(ordered)} calls")
        waiting.extend(_successors(configuration, ordered, step))
    return False


def _without_expired(configuration: _Configuration, ordered: Sequence[Call]) -> _Configuration:
    """Count the unanswered calls that can take effect no more as done: they make no difference any more.

    Otherwise each set of them that may have taken effect would be a configuration of its own.
    """
    done = configuration.done
    reached = _reached(done, ordered)
    for index, call in enumerate(ordered):
        if call.sent + MAX_EFFECT_S >= reached:
            break
        if call.ended == math.inf and call.last_sent + MAX_EFFECT_S < reached:
            done |= 1 << index
    return _Configuration(done, configuration.state)


def _reached(done: int, ordered: Sequence[Call]) -> float:
    """Return the time after which the next call takes effect: when the last of those done was sent."""
    return ordered[done.bit_length() - 1].sent if done else -math.inf


def _successors(
    configuration: _Configuration, ordered: Sequence[Call], step: Step
) -> Iterator[_Configuration]:
    """Yield the configuration after each call that may be next; the search tries the last one first.

    It tries answered calls first, and of these the earliest sent: an unanswered call has mostly had no
    effect, and one that is assumed to have had it too early is refuted only by calls much later.
    """
    left = [index for index in range(len(ordered)) if not configuration.done >> index & 1]
    first_end = min((ordered[index].ended for index in left), default=math.inf)
    reached = _reached(configuration.done, ordered)
    unanswered = [index for index in left if ordered[index].ended == math.inf]
    answered = [index for index in left if ordered[index].ended < math.inf]
    for index in (*reversed(unanswered), *reversed(answered)):
        call = ordered[index]
        is_too_old = call.ended == math.inf and call.last_sent + MAX_EFFECT_S < reached
        if call.sent > first_end or is_too_old:
            continue
        state = step(configuration.state, call)
        is_without_effect = call.ended == math.inf and state == configuration.state
        if state is not None and not is_without_effect:  # the latter equals a call that never took effect
            yield _Configuration(configuration.done | 1 << index, state)
