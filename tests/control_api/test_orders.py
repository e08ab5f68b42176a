"""Orders at the moments that the search meets too seldom: a primary that is none any more, calls that are
sent again long after, callers that have left, more orders than may wait.
"""

from __future__ import annotations

import asyncio
import functools
import json
from collections.abc import Callable, Coroutine
from dataclasses import replace

import pytest

from fordtrestle.control_api import orders as orders_module
from fordtrestle.control_api.orders import Orders, Outcome, Verdict, digest_of, judge
from fordtrestle.replication import state as state_module
from fordtrestle.replication.state import ConfigChange, ControlState
from tests.control_api.world import VirtualReplicator
from tests.exchanges import loopback
from tests.replication.test_hard_cases import Script
from tests.replication.world import Machine


def document(generation: int, name: str = "pool") -> bytes:
    return json.dumps({"generation": generation, "services": [{"name": name}], "routes": []}).encode()


def waiting() -> bool:
    return True


def left() -> bool:
    return False


class Core(Script):
    """Three stores that serve, and the orders of each."""

    def __init__(self) -> None:
        super().__init__()
        self.orders = {m.address: Orders(VirtualReplicator(self, m)) for m in self.machines}

    def at(self, machine: Machine) -> Orders:
        return self.orders[machine.address]

    async def run(
        self, order: Coroutine[None, None, Outcome], *among: Machine, between: Callable[[], object] = waiting
    ) -> Outcome:
        """Let an order run while these machines hear each other, until it has its outcome."""
        task = asyncio.get_running_loop().create_task(order)
        await asyncio.sleep(0)
        between()
        while not task.done():
            self.flow(*among)
            for machine in among:
                self.tick(machine, 0.05)
            await asyncio.sleep(0)
        return task.result()

    async def put(self, base: int, generation: int, name: str = "pool") -> Outcome:
        order = self.at(self.a).change_config("put", base, document(generation, name), waiting)
        return await self.run(order, *self.machines)

    def depose(self) -> None:
        """A is cut off from the others, and has not noticed yet that B is primary."""
        self.candidate(self.b, self.c)
        assert self.a.node.is_primary
        assert self.b.node.is_primary


@loopback
async def test_a_primary_that_is_none_any_more_gives_no_read():
    core = Core()
    assert (await core.put(0, 3)).verdict is Verdict.DONE
    core.depose()
    order = core.at(core.b).change_config("put", 3, document(5), waiting)
    assert (await core.run(order, core.b, core.c)).verdict is Verdict.DONE
    outcome = await core.run(core.at(core.a).current(), core.a)
    assert outcome.verdict in (Verdict.UNCLEAR, Verdict.ELSEWHERE)


@pytest.mark.parametrize("body", [document(7), document(5), b"{"], ids=["proper", "number", "cut short"])
@loopback
async def test_a_primary_that_is_none_any_more_refuses_nothing(body):
    core = Core()
    assert (await core.put(0, 3)).verdict is Verdict.DONE
    core.depose()
    order = core.at(core.b).change_config("put", 3, document(5), waiting)
    assert (await core.run(order, core.b, core.c)).verdict is Verdict.DONE
    for base in (3, 5):
        order = core.at(core.a).change_config("put", base, body, waiting)
        assert (await core.run(order, core.a)).verdict in (Verdict.UNCLEAR, Verdict.ELSEWHERE)


@loopback
async def test_a_primary_that_is_none_any_more_acknowledges_no_evacuation_again():
    core = Core()
    order = core.at(core.a).evacuate("z-1", True, waiting)
    assert (await core.run(order, *core.machines)).verdict is Verdict.DONE
    core.depose()
    order = core.at(core.b).evacuate("z-1", False, waiting)
    assert (await core.run(order, core.b, core.c)).verdict is Verdict.DONE
    order = core.at(core.a).evacuate("z-1", True, waiting)
    assert (await core.run(order, core.a)).verdict in (Verdict.UNCLEAR, Verdict.ELSEWHERE)


@loopback
async def test_no_order_acts_whose_caller_has_left():
    core = Core()
    for order in (
        core.at(core.a).change_config("put", 0, document(3), left),
        core.at(core.a).evacuate("z-1", True, left),
    ):
        assert (await core.run(order, *core.machines)).verdict is Verdict.UNCLEAR
    assert core.a.node.durable.state == ControlState()


@loopback
async def test_no_change_acts_whose_caller_leaves_while_it_is_judged():
    core = Core()
    answers = iter([True, False])
    order = core.at(core.a).change_config("put", 0, document(3), lambda: next(answers))
    assert (await core.run(order, *core.machines)).verdict is Verdict.UNCLEAR
    assert core.a.node.durable.state == ControlState()


@loopback
async def test_no_evacuation_acts_once_its_caller_has_gone_elsewhere():
    """A process that stands still wakes with an order in its queue, whose caller's leave it does not see."""
    core = Core()

    def stand_still() -> None:
        core.a.now += 1.1

    order = core.at(core.a).evacuate("z-1", True, waiting)
    assert (await core.run(order, *core.machines, between=stand_still)).verdict is Verdict.UNCLEAR
    assert core.a.node.durable.state == ControlState()


async def lead_meanwhile(core: Core, order: Coroutine[None, None, Outcome]) -> None:
    """B is primary for a while, takes an order, and A is primary again with what came of it."""
    core.candidate(core.b, core.a)
    assert not core.a.node.is_primary
    assert (await core.run(order, core.a, core.b)).verdict is Verdict.DONE
    core.candidate(core.a, core.b, core.c)
    assert core.a.node.is_primary


@loopback
async def test_no_change_acts_on_a_state_that_another_primary_has_changed_since(monkeypatch):
    """A long document is checked beside the loop; before that is done A was deposed and is primary again."""
    monkeypatch.setattr(orders_module, "INLINE_MOST", 0)
    core = Core()
    checked = asyncio.Event()

    async def to_thread(call, *args):
        judged = call(*args)
        await checked.wait()
        return judged

    with monkeypatch.context() as patch:
        patch.setattr(orders_module.asyncio, "to_thread", to_thread)
        held = asyncio.create_task(core.at(core.a).change_config("put", 0, document(3, "held"), waiting))
        await asyncio.sleep(0)
    monkeypatch.setattr(orders_module, "INLINE_MOST", 1 << 20)
    await lead_meanwhile(core, core.at(core.b).change_config("put", 0, document(3, "other"), waiting))
    checked.set()
    assert (await core.run(_result(held), *core.machines)).verdict is Verdict.UNCLEAR
    assert json.loads(core.a.node.durable.state.document)["services"] == [{"name": "other"}]


@loopback
async def test_orders_that_wait_are_bounded(monkeypatch):
    monkeypatch.setattr(orders_module, "WAITING_MOST", 2)
    core = Core()
    loop = asyncio.get_running_loop()
    first = [
        loop.create_task(core.at(core.a).change_config("put", 0, document(3, f"s{n}"), waiting))
        for n in range(2)
    ]
    await asyncio.sleep(0)
    outcome = await core.run(core.at(core.a).change_config("put", 0, document(3), waiting))
    assert outcome.verdict is Verdict.UNCLEAR
    verdicts = {(await core.run(_result(task), *core.machines)).verdict for task in first}
    assert verdicts == {Verdict.DONE, Verdict.STALE}


async def _result(task: asyncio.Task[Outcome]) -> Outcome:
    return await task


# what a call comes to on a state


def after(changes: int) -> ControlState:
    """The state after so many changes, each built on the one before."""
    state = ControlState()
    for number in range(changes):
        judged = judge("put", number, document(number + 1, f"s{number}"), state)
        assert not isinstance(judged, Outcome)
        state = state.apply(judged)
    return state


@functools.cache
def long_day() -> ControlState:
    return after(2_501)


@pytest.mark.parametrize(
    ("newer", "verdict"), [(1, "DONE"), (500, "DONE"), (2_000, "DONE"), (2_500, "UNCLEAR")]
)
def test_a_call_that_was_taken_is_never_refused_however_long_ago(newer, verdict):
    number = 2_500 - newer
    judged = judge("put", number, document(number + 1, f"s{number}"), long_day())
    assert judged.verdict is Verdict[verdict]


def test_what_another_has_taken_is_refused_as_far_back_as_calls_are_remembered():
    assert judge("put", 2_400, document(2_401, "another"), long_day()).verdict is Verdict.STALE
    assert judge("patch", 2_500, b'{"generation": 2501}', long_day()).verdict is Verdict.STALE


def test_calls_are_remembered_across_a_change_of_epoch_and_a_snapshot():
    kept = replace(long_day())
    assert judge("put", 2_000, document(2_001, "s2000"), kept).verdict is Verdict.DONE


def test_the_same_number_with_another_body_is_another_change():
    state = after(1)
    assert judge("put", 0, document(1, "other"), state).verdict is Verdict.STALE
    assert judge("put", 1, document(1, "other"), state).verdict is Verdict.INVALID
    assert judge("patch", 0, document(1, "s0"), state).verdict is Verdict.STALE


def test_a_configuration_that_fits_no_message_is_refused(monkeypatch):
    monkeypatch.setattr(orders_module, "MAX_DOCUMENT_BYTES", 1000)
    assert judge("put", 0, document(1, "s" * 1000), ControlState()).verdict is Verdict.INVALID
    state = after(1)
    patch = {"generation": 2, "upsert": {"services": [{"name": "s" * 990}]}}
    assert judge("patch", 1, json.dumps(patch).encode(), state).verdict is Verdict.INVALID


def taken_calls(count: int, most: int, monkeypatch, prints_most: int = 100) -> ControlState:
    """A state after so many changes, of which the newest `most` are known by their digests."""
    monkeypatch.setattr(state_module, "MAX_APPLIED_CALLS", most)
    monkeypatch.setattr(state_module, "MAX_DIGEST_PREFIXES", prints_most)
    state = ControlState()
    for number in range(1, count + 1):
        digest = digest_of("put", number - 1, b"%d" % number)
        state = state.apply(ConfigChange(digest, number, b"{}"))
    return state


def test_a_call_on_an_old_version_that_was_never_taken_is_refused_however_old(monkeypatch):
    state = taken_calls(20, 3, monkeypatch)
    for base in range(19):
        assert judge("put", base, b"another", state).verdict is Verdict.STALE


def test_a_call_that_was_taken_long_ago_is_never_refused(monkeypatch):
    state = taken_calls(20, 3, monkeypatch)
    verdicts = [judge("put", number - 1, b"%d" % number, state).verdict for number in range(1, 21)]
    assert verdicts == 17 * [Verdict.UNCLEAR] + 3 * [Verdict.DONE]


def test_what_is_known_of_old_calls_is_bounded_and_none_of_them_is_refused_for_it(monkeypatch):
    state = taken_calls(40, 3, monkeypatch, prints_most=10)
    assert len(state.digest_prefixes) <= 10 * state_module.DIGEST_PREFIX_BYTES
    verdicts = {judge("put", number - 1, b"%d" % number, state).verdict for number in range(1, 38)}
    assert verdicts == {Verdict.UNCLEAR}
    assert judge("put", 36, b"another", state).verdict is Verdict.STALE


def test_a_print_is_found_only_where_one_begins():
    state = ControlState(generation=9, digest_prefixes=b"\x01\x02\x03\x04\x05\x06\x07\x08")
    assert state.may_have_applied(b"\x05\x06\x07\x08 and more", 1)
    assert not state.may_have_applied(b"\x03\x04\x05\x06 and more", 1)
