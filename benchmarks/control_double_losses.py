"""Measures outages of five stores after losses of two at a time, in virtual time.

`python -m benchmarks.control_double_losses [--seeds 20]`: stores, links and disks as in `benchmarks.control`.
"Written" is the time until a change is acknowledged by three live replicas again. "Whole" is the time until
five live witnesses know the epoch, so that changes are still accepted after two more losses.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from benchmarks.control import Deployment, Machine, add_machine, kill_when_allowed
from fordtrestle.replication.state import Evacuation

STORES = 5
SETTLE_S = 10.0
MAX_OUTAGE_S = 40.0
STEP_S = 0.01
DELAYS_S = (0.0, 0.035, 0.055, 0.110)
RETURN_DELAY_S = 1.0  # until a lost machine or its replacement starts
ROLL_GAP_S = 3.0

Action = Callable[[Deployment, list[Machine]], None]


@dataclass(frozen=True, slots=True)
class Row:
    """A loss of stores.

    Attributes:
        name: Text in the table.
        act: Causes the loss. Its list of stores has the primary first, then the other replicas.
        returns: Whether all five stores, or replacements, are back later.
    """

    name: str
    act: Action
    returns: bool = True


def _later(deployment: Deployment, seconds: float, act: Callable[[], None]) -> None:
    deployment.at(deployment.now + seconds, act)


def _kill(*indexes: int, after_s: float = 0.0, back_s: float | None = None, wipe: bool = False) -> Action:
    """Return an action that kills the stores at these indexes, each `after_s` later than the one before."""

    def act(deployment: Deployment, stores: list[Machine]) -> None:
        for number, index in enumerate(indexes):
            machine = stores[index]
            _later(deployment, number * after_s, partial(deployment.kill, machine, wipe))
            if back_s is not None:
                _later(deployment, number * after_s + back_s, partial(deployment.start, machine))

    return act


def _replace(*indexes: int) -> Action:
    """Return an action that loses stores for good and adds as many empty machines a second later."""

    def act(deployment: Deployment, stores: list[Machine]) -> None:
        for index in indexes:
            deployment.kill(stores[index], wipe=True)
            _later(deployment, RETURN_DELAY_S, partial(add_machine, deployment))

    return act


def _leave(deployment: Deployment, machine: Machine) -> None:
    if machine.node is not None:
        machine.node.leave(deployment.now)
        deployment.pump(machine)
        kill_when_allowed(deployment, machine)


def _replace_as_planned(*indexes: int) -> Action:
    """Return an action that adds empty machines and shuts stores down a second later."""

    def act(deployment: Deployment, stores: list[Machine]) -> None:
        for index in indexes:
            add_machine(deployment)
            _later(deployment, RETURN_DELAY_S, partial(_leave, deployment, stores[index]))

    return act


def _both(first: Action, second: Action) -> Action:
    def act(deployment: Deployment, stores: list[Machine]) -> None:
        first(deployment, stores)
        second(deployment, stores)

    return act


def _return_to_taken_slots(deployment: Deployment, stores: list[Machine]) -> None:
    """Kill two stores for 6 s, in which two others take their places."""
    for machine in stores[1:3]:
        deployment.kill(machine)
        _later(deployment, RETURN_DELAY_S, partial(add_machine, deployment))
        _later(deployment, 6.0, partial(deployment.start, machine))


def _roll_by_two(deployment: Deployment, stores: list[Machine]) -> None:
    """Shut all stores down, two at a time, and restart them once they have exited."""
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
        _later(deployment, RETURN_DELAY_S * (index + 1), partial(deployment.start, machine))


def _region_then_one_more(deployment: Deployment, stores: list[Machine]) -> None:
    """Cut two stores off from the three others, and kill one of those a second later.

    All are back after 4 s. While three are lost, nothing can be acknowledged.
    """
    cut = {(first.address, other.address) for first in stores[:2] for other in stores[2:]}
    deployment.cut |= cut | {(receiver, sender) for sender, receiver in cut}
    _later(deployment, RETURN_DELAY_S, partial(deployment.kill, stores[2]))
    _later(deployment, 4.0, deployment.cut.clear)
    _later(deployment, 4.0, partial(deployment.start, stores[2]))


ROWS = (
    Row("the primary and a backup killed at once", _kill(0, 1), returns=False),
    Row("both backups killed at once", _kill(1, 2), returns=False),
    Row("the primary killed, a backup 0.2 s later", _kill(0, 1, after_s=0.2), returns=False),
    Row("the primary killed, a backup 0.5 s later", _kill(0, 1, after_s=0.5), returns=False),
    Row("the primary killed, a backup 1 s later", _kill(0, 1, after_s=1.0), returns=False),
    Row("the primary and a backup wiped, back after 1 s", _kill(0, 1, back_s=RETURN_DELAY_S, wipe=True)),
    Row("both backups wiped, back after 1 s", _kill(1, 2, back_s=RETURN_DELAY_S, wipe=True)),
    Row("two that are no replicas wiped, back after 1 s", _kill(3, 4, back_s=RETURN_DELAY_S, wipe=True)),
    Row("a region of two cut off, one more killed, all back after 4 s", _region_then_one_more),
    Row("the primary and a backup gone, two others 1 s later", _replace(0, 1)),
    Row("two that are no replicas gone, two others 1 s later", _replace(3, 4)),
    Row("planned: two new first, 1 s later two replicas leave", _replace_as_planned(0, 1)),
    Row("one replica as planned, one gone at the same time", _both(_replace_as_planned(1), _replace(2))),
    Row("two come back to places given away", _return_to_taken_slots),
    Row("all rolled by two, 3 s apart", _roll_by_two),
    Row("three killed, back one by one, 1 s apart", _three_back_one_by_one),
    Row("all killed, back after 0.5 s", _kill(0, 1, 2, 3, 4, back_s=0.5)),
)


def stores_of(deployment: Deployment) -> list[Machine]:
    """Return the machines: the primary first, then the other replicas, then the rest."""
    primary = deployment.primary()
    assert primary is not None
    assert primary.node is not None
    assert primary.node.epoch is not None
    replicas = primary.node.epoch.replicas

    def rank(machine: Machine) -> tuple[bool, bool]:
        return machine is not primary, not (machine.node and machine.node.me.id in replicas)

    return sorted(deployment.machines, key=rank)


def is_whole(deployment: Deployment) -> bool:
    """Return whether five live witnesses know the epoch."""
    primary = deployment.primary()
    if primary is None or primary.node is None or primary.node.epoch is None:
        return False
    epoch = primary.node.epoch
    informed = {
        machine.node.me.id
        for machine in deployment.machines
        if machine.node and machine.node.epoch and machine.node.epoch.term == epoch.term
    }
    return len(epoch.witness_ids) == STORES and informed.issuperset(epoch.witness_ids)


def measure_loss(row: Row, delay_s: float, seed: int) -> tuple[float, float]:
    """Play a loss.

    Returns:
        The longest time without an acknowledged change (s), and the time until five live witnesses know the
        epoch (s): infinite if that never happens, not a number if the row does not expect it.
    """
    deployment = Deployment(delay_s, seed, STORES)
    deployment.run_until(SETTLE_S + deployment.rng.random())
    began = deployment.now
    row.act(deployment, stores_of(deployment))
    longest, whole_at = _measure(deployment, began)
    return longest, whole_at - began if row.returns else float("nan")


def _measure(deployment: Deployment, began: float) -> tuple[float, float]:
    """Propose changes, one at a time, and check every 10 ms until `MAX_OUTAGE_S` after the loss."""
    acknowledged_at, longest, whole_at = began, 0.0, float("inf")
    pending: tuple[Machine, int] | None = None
    number = 0
    while deployment.now < began + MAX_OUTAGE_S:
        at = deployment.now + STEP_S
        deployment.run_until(at)
        deployment.now = at
        pending, is_done = _propose(deployment, pending, number)
        number += is_done
        if is_done:
            longest = max(longest, deployment.now - acknowledged_at)
            acknowledged_at = deployment.now
        if not is_whole(deployment):
            whole_at = float("inf")
        elif whole_at == float("inf"):
            whole_at = deployment.now
    return max(longest, deployment.now - acknowledged_at), whole_at


def _propose(
    deployment: Deployment, pending: tuple[Machine, int] | None, number: int
) -> tuple[tuple[Machine, int] | None, bool]:
    """Check the pending change and propose the next one.

    Returns:
        The pending change, if any, and whether the previous one is done.
    """
    primary = deployment.primary()
    if pending:
        machine, sequence = pending
        state = machine.node.committed_state if machine.node else None
        if state and state.sequence >= sequence:
            return None, True
        if machine is primary:
            return pending, False
    if primary is None or primary.node is None:
        return None, False
    ticket = primary.node.propose(Evacuation(f"z{number % 7}", number % 2 == 0), deployment.now)
    deployment.pump(primary)
    return ((primary, ticket.sequence) if ticket else None), False


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the table.

    Returns:
        The exit code: 1 if changes are never acknowledged again or five witnesses never know the epoch.
    """
    parser = argparse.ArgumentParser(description="Measure outages of five stores after losses of two.")
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args(arguments)
    heads = "  ".join(f"{1000 * delay:5.0f} ms" for delay in DELAYS_S)
    print(f"{'median, s, by delay one way':62} written:  {heads}   whole:  {heads}")
    is_tolerated = True
    for row in ROWS:
        written, whole = [], []
        for delay_s in DELAYS_S:
            results = [measure_loss(row, delay_s, seed) for seed in range(options.seeds)]
            written.append(statistics.median(written_s for written_s, _ in results))
            whole.append(statistics.median(whole_s for _, whole_s in results))
            is_tolerated &= all(
                written_s < MAX_OUTAGE_S / 2 and whole_s != float("inf") for written_s, whole_s in results
            )
        first, second = ("  ".join(f"{value:8.2f}" for value in part) for part in (written, whole))
        print(f"{row.name:62}           {first}           {second}", flush=True)
    return int(not is_tolerated)


if __name__ == "__main__":
    sys.exit(main())
