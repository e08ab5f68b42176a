"""Five stores of which two may be lost: how long orders wait after losses by two, and how soon the next two
are borne, in virtual time.

`python -m benchmarks.control_double_losses [--seeds 20]`: stores, links and disks as in `benchmarks.control`.
"Written" is the time until a change is acknowledged by three live replicas again; "whole" the time until five
live witnesses know of the epoch, so that two more may be lost and orders are still taken.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from benchmarks.control import Deployment, Machine, add_machine, end_once_it_may
from fordtrestle.replication.state import Evacuation

STORES = 5
SETTLED_S = 10.0
LASTS_S = 40.0
STEP_S = 0.01
DELAYS_S = (0.0, 0.035, 0.055, 0.110)
BACK_S = 1.0  # after which what is lost comes back, or another machine in its place
ROLL_GAP_S = 3.0

Act = Callable[[Deployment, list[Machine]], None]


@dataclass(frozen=True, slots=True)
class Row:
    """A loss: what is done to the replicas (the primary first) and the others, and whether all are there
    again later.
    """

    name: str
    act: Act
    returns: bool = True


def _later(deployment: Deployment, seconds: float, act: Callable[[], None]) -> None:
    deployment.at(deployment.now + seconds, act)


def _kill(*places: int, after_s: float = 0.0, back_s: float | None = None, wipe: bool = False) -> Act:
    """End the stores at these places of the list, the second so long after the first."""

    def act(deployment: Deployment, stores: list[Machine]) -> None:
        for index, place in enumerate(places):
            machine = stores[place]
            _later(deployment, index * after_s, partial(deployment.kill, machine, wipe))
            if back_s is not None:
                _later(deployment, index * after_s + back_s, partial(deployment.start, machine))

    return act


def _replace(*places: int) -> Act:
    """These are gone for good; as many empty machines come elsewhere a second later."""

    def act(deployment: Deployment, stores: list[Machine]) -> None:
        for place in places:
            deployment.kill(stores[place], wipe=True)
            _later(deployment, BACK_S, partial(add_machine, deployment))

    return act


def _leave(deployment: Deployment, machine: Machine) -> None:
    if machine.node is not None:
        machine.node.leave(deployment.now)
        deployment.pump(machine)
        end_once_it_may(deployment, machine)


def _replace_as_planned(*places: int) -> Act:
    """As many empty machines come, and a second later these are told to end."""

    def act(deployment: Deployment, stores: list[Machine]) -> None:
        for place in places:
            add_machine(deployment)
            _later(deployment, BACK_S, partial(_leave, deployment, stores[place]))

    return act


def _both(first: Act, second: Act) -> Act:
    def act(deployment: Deployment, stores: list[Machine]) -> None:
        first(deployment, stores)
        second(deployment, stores)

    return act


def _come_back_to_no_place(deployment: Deployment, stores: list[Machine]) -> None:
    """Two are dark for 6 s; two others have taken their places by then."""
    for machine in stores[1:3]:
        deployment.kill(machine)
        _later(deployment, BACK_S, partial(add_machine, deployment))
        _later(deployment, 6.0, partial(deployment.start, machine))


def _roll_by_two(deployment: Deployment, stores: list[Machine]) -> None:
    """All are told to end, two at a time, and start again as soon as they are gone."""
    for index, machine in enumerate(stores):
        at = index // 2 * ROLL_GAP_S
        _later(deployment, at, partial(_leave, deployment, machine))
        _later(deployment, at + ROLL_GAP_S - 0.5, partial(_start_again, deployment, machine))


def _start_again(deployment: Deployment, machine: Machine) -> None:
    if machine.node is None:
        deployment.start(machine)


def _three_back_one_by_one(deployment: Deployment, stores: list[Machine]) -> None:
    for index, machine in enumerate(stores[:3]):
        deployment.kill(machine)
        _later(deployment, BACK_S * (index + 1), partial(deployment.start, machine))


def _region_then_one_more(deployment: Deployment, stores: list[Machine]) -> None:
    """Two stores are cut off from the three others, of which one is killed a second later; all are back
    after 4 s: as long as three are lost, nothing can be acknowledged.
    """
    cut = {(one.address, other.address) for one in stores[:2] for other in stores[2:]}
    deployment.cut |= cut | {(other, one) for one, other in cut}
    _later(deployment, BACK_S, partial(deployment.kill, stores[2]))
    _later(deployment, 4.0, deployment.cut.clear)
    _later(deployment, 4.0, partial(deployment.start, stores[2]))


ROWS = (
    Row("the primary and a backup killed at once", _kill(0, 1), returns=False),
    Row("both backups killed at once", _kill(1, 2), returns=False),
    Row("the primary killed, a backup 0.2 s later", _kill(0, 1, after_s=0.2), returns=False),
    Row("the primary killed, a backup 0.5 s later", _kill(0, 1, after_s=0.5), returns=False),
    Row("the primary killed, a backup 1 s later", _kill(0, 1, after_s=1.0), returns=False),
    Row("the primary and a backup wiped, back after 1 s", _kill(0, 1, back_s=BACK_S, wipe=True)),
    Row("both backups wiped, back after 1 s", _kill(1, 2, back_s=BACK_S, wipe=True)),
    Row("two that are no replicas wiped, back after 1 s", _kill(3, 4, back_s=BACK_S, wipe=True)),
    Row("a region of two cut off, one more killed, all back after 4 s", _region_then_one_more),
    Row("the primary and a backup gone, two others 1 s later", _replace(0, 1)),
    Row("two that are no replicas gone, two others 1 s later", _replace(3, 4)),
    Row("planned: two new first, 1 s later two replicas leave", _replace_as_planned(0, 1)),
    Row("one replica as planned, one gone at the same time", _both(_replace_as_planned(1), _replace(2))),
    Row("two come back to places given away", _come_back_to_no_place),
    Row("all rolled by two, 3 s apart", _roll_by_two),
    Row("three killed, back one by one, 1 s apart", _three_back_one_by_one),
    Row("all killed, back after 0.5 s", _kill(0, 1, 2, 3, 4, back_s=0.5)),
)


def stores_of(deployment: Deployment) -> list[Machine]:
    """The machines, the primary's first, then the other replicas'."""
    primary = deployment.primary()
    assert primary is not None
    assert primary.node is not None
    assert primary.node.epoch is not None
    replicas = primary.node.epoch.replicas

    def rank(machine: Machine) -> tuple[bool, bool]:
        return machine is not primary, not (machine.node and machine.node.me.id in replicas)

    return sorted(deployment.machines, key=rank)


def is_whole(deployment: Deployment) -> bool:
    """Whether five live witnesses know of the epoch."""
    primary = deployment.primary()
    if primary is None or primary.node is None or primary.node.epoch is None:
        return False
    epoch = primary.node.epoch
    knowing = {
        machine.node.me.id
        for machine in deployment.machines
        if machine.node and machine.node.epoch and machine.node.epoch.term == epoch.term
    }
    return len(epoch.witness_ids) == STORES and knowing.issuperset(epoch.witness_ids)


def times(row: Row, delay_s: float, seed: int) -> tuple[float, float]:
    """The longest time for which a change was not acknowledged, and the time until all is whole; infinite
    where it never is.
    """
    deployment = Deployment(delay_s, seed, STORES)
    deployment.run_until(SETTLED_S + deployment.rng.random())
    began = deployment.now
    row.act(deployment, stores_of(deployment))
    longest, whole_at = _follow(deployment, began)
    return longest, whole_at - began if row.returns else float("nan")


def _follow(deployment: Deployment, began: float) -> tuple[float, float]:
    """Ask for a change each 10 ms, one at a time, and watch until nothing happens any more."""
    acknowledged_at, longest, whole_at = began, 0.0, float("inf")
    asked: tuple[Machine, int] | None = None
    number = 0
    while deployment.now < began + LASTS_S:
        at = deployment.now + STEP_S
        deployment.run_until(at)
        deployment.now = at
        asked, is_done = _ask(deployment, asked, number)
        number += is_done
        if is_done:
            longest = max(longest, deployment.now - acknowledged_at)
            acknowledged_at = deployment.now
        if not is_whole(deployment):
            whole_at = float("inf")
        elif whole_at == float("inf"):
            whole_at = deployment.now
    return max(longest, deployment.now - acknowledged_at), whole_at


def _ask(
    deployment: Deployment, asked: tuple[Machine, int] | None, number: int
) -> tuple[tuple[Machine, int] | None, bool]:
    """See to the change that is asked for; what is asked for now, and whether the last one is done."""
    primary = deployment.primary()
    if asked:
        machine, sequence = asked
        state = machine.node.committed_state if machine.node else None
        if state and state.sequence >= sequence:
            return None, True
        if machine is primary:
            return asked, False
    if primary is None or primary.node is None:
        return None, False
    ticket = primary.node.propose(Evacuation(f"z{number % 7}", number % 2 == 0), deployment.now)
    deployment.pump(primary)
    return ((primary, ticket.sequence) if ticket else None), False


def main(words: Sequence[str] | None = None) -> int:
    """Print the table; 1 where changes are never acknowledged again, or the core is never whole."""
    parser = argparse.ArgumentParser(description="five stores after losses by two")
    parser.add_argument("--seeds", type=int, default=20)
    given = parser.parse_args(words)
    heads = "  ".join(f"{1000 * delay:5.0f} ms" for delay in DELAYS_S)
    print(f"{'median, s, by delay one way':62} written:  {heads}   whole:  {heads}")
    is_borne = True
    for row in ROWS:
        written, whole = [], []
        for delay_s in DELAYS_S:
            both = [times(row, delay_s, seed) for seed in range(given.seeds)]
            written.append(statistics.median(one for one, _ in both))
            whole.append(statistics.median(two for _, two in both))
            is_borne &= all(one < LASTS_S / 2 and two != float("inf") for one, two in both)
        first, second = ("  ".join(f"{value:8.2f}" for value in part) for part in (written, whole))
        print(f"{row.name:62}           {first}           {second}", flush=True)
    return int(not is_borne)


if __name__ == "__main__":
    sys.exit(main())
