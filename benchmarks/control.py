"""Measures the latency of writes and the outages of the control state, in virtual time.

Measures how long a write takes to be acknowledged, how long there is no primary after each loss, and how long
it takes after a loss until the next one is tolerated.

`python -m benchmarks.control`: three stores (f = 1; five if halves are partitioned) whose links and disks
have the stated delays. Runs the replication code of the program without sockets or processes. Each row is
repeated with `--seeds` seeds.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import statistics
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial

from fordtrestle.peer.store_links import LINK_LOST_TIMEOUT_S
from fordtrestle.replication.durable import Durable
from fordtrestle.replication.epochs import Store
from fordtrestle.replication.messages import Message, Record
from fordtrestle.replication.node import Node
from fordtrestle.replication.state import Evacuation

TICK_S = 0.05
ANNOUNCE_S = 0.4
SYNC_S = 0.001
SETTLE_S = 10.0  # from the start to the loss
MAX_OUTAGE_S = 30.0
WRITES = 200
MACHINES = 3  # tolerate one loss at a time
MACHINES_OF_HALVES = 5


@dataclass
class Machine:
    """A machine whose disk outlives its process."""

    address: str
    disk: list[Record] = field(default_factory=list)
    node: Node | None = None
    incarnation: int = 0
    synced_at: float = 0.0  # time until which the disk is busy
    stalled_until: float = 0.0
    frozen_until: float = 0.0


@dataclass(frozen=True, slots=True)
class Conditions:
    """Behaviour of links and disks. TCP sends a lost message again, and later messages wait for it."""

    jitter_s: float = 0.0  # maximum addition to the delay
    lost: float = 0.0  # share of messages
    resend_s: tuple[float, float] = (0.2, 0.4)
    sync_s: float = SYNC_S


IDEAL = Conditions()


class Deployment:
    """Simulated stores in virtual time."""

    def __init__(
        self, delay_s: float, seed: int, machines: int = MACHINES, conditions: Conditions = IDEAL
    ) -> None:
        self.now = 0.0
        self._delay_s = delay_s
        self._conditions = conditions
        self._link_free_at: dict[tuple[str, str], float] = {}  # by sender and receiver
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._store_numbers = itertools.count(1)
        self.cut: set[tuple[str, str]] = set()  # address pairs: sender, receiver
        self._tolerated = machines // 2
        self.machines = [Machine(f"10.0.0.{index}:1") for index in range(machines)]
        for machine in self.machines:
            self.start(machine)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._events, (when, next(self._event_numbers), action))

    def run_until(self, when: float, done: Callable[[], bool] = lambda: False) -> None:
        """Advance virtual time until `when` or until `done` returns true."""
        while self._events and self._events[0][0] <= when and not done():
            self.now, _, action = heapq.heappop(self._events)
            action()

    def start(self, machine: Machine) -> None:
        """Start a process from the content of its disk."""
        is_founder = machine is self.machines[0] and machine.incarnation == 0
        durable = Durable.restore(machine.disk) or Durable(f"s{next(self._store_numbers)}", is_founder)
        machine.disk = list(durable.snapshot())
        store = Store(durable.store, machine.address, machine.address, machine.address)
        machine.incarnation += 1
        machine.node = Node(
            store,
            durable,
            tolerated_failures=self._tolerated,
            counts_for_quorum=True,
            draw=self.rng.random,
            now=self.now,
        )
        self._tick(machine, machine.incarnation, 0)

    def kill(self, machine: Machine, wipe: bool = False) -> None:
        """End a process and its links, and optionally wipe its disk."""
        if machine.node:
            ended = machine.node.me.id
            self.at(self.now + self._delay_s + LINK_LOST_TIMEOUT_S, lambda: self._unlink(machine, ended))
        machine.node = None
        if wipe:
            machine.disk = []

    def _unlink(self, machine: Machine, ended: str) -> None:
        """Report the lost links to a store to the other stores, unless it is back."""
        if machine.node and machine.node.me.id == ended:
            return
        for other in self.machines:
            if other.node:
                other.node.on_connection_lost(ended, self.now)
                self.pump(other)

    def primary(self) -> Machine | None:
        """Return the machine whose store accepts writes, if any."""
        ready = []
        for machine in self.machines:
            node = machine.node
            if node and node.epoch and node.is_ready:
                ready.append((node.epoch.term, machine))
        return max(ready, key=lambda pair: pair[0])[1] if ready else None

    def pump(self, machine: Machine) -> None:
        """Sync the records of a node to disk, then send the messages that depend on them."""
        assert machine.node is not None
        effects = machine.node.drain()
        if not effects:
            return
        incarnation = machine.incarnation
        machine.synced_at = max(machine.synced_at, self.now, machine.stalled_until)
        if effects.records:
            machine.synced_at += self._conditions.sync_s

        def synced() -> None:
            if machine.incarnation != incarnation or machine.node is None:
                return
            machine.disk = machine.disk + effects.records
            for receiver, message in effects.messages:
                self._send(machine, receiver, message)
            self.pump(machine)

        self.at(machine.synced_at, synced)

    def _send(self, machine: Machine, receiver: str, message: Message) -> None:
        node = machine.node
        assert node is not None
        if receiver == node.me.id:
            node.receive(receiver, message, self.now)
            return
        sender = node.me.id
        at = self._arrival_time(sender, receiver)
        self.at(at, lambda: self._deliver(machine.address, sender, receiver, message))

    def _arrival_time(self, sender: str, receiver: str) -> float:
        """Return when a message sent now arrives; messages do not overtake each other on a link."""
        conditions, delay_s = self._conditions, self._delay_s
        if conditions is IDEAL:
            return self.now + delay_s
        delay_s += conditions.jitter_s * self.rng.random()
        if self.rng.random() < conditions.lost:
            delay_s += self.rng.uniform(*conditions.resend_s)
        link = (sender, receiver)
        at = max(self.now + delay_s, self._link_free_at.get(link, 0.0))
        self._link_free_at[link] = at
        return at

    def _deliver(self, source: str, sender: str, receiver: str, message: Message) -> None:
        for machine in self.machines:
            if (
                machine.node is None
                or machine.node.me.id != receiver
                or (source, machine.address) in self.cut
            ):
                continue
            if self.now < machine.frozen_until:
                self.at(machine.frozen_until, lambda: self._deliver(source, sender, receiver, message))
                return
            machine.node.receive(sender, message, self.now)
            self.pump(machine)

    def _tick(self, machine: Machine, incarnation: int, count: int) -> None:
        node = machine.node
        if machine.incarnation != incarnation or node is None:
            return
        if self.now < machine.frozen_until:
            self.at(machine.frozen_until, lambda: self._tick(machine, incarnation, count))
            return
        waits = max(0.0, machine.synced_at - self.now)
        node.tick(self.now, waits if machine.stalled_until > self.now else 0.0)
        if count % round(ANNOUNCE_S / TICK_S) == 0:
            for other in self.machines:
                if other.node and other is not machine and (machine.address, other.address) not in self.cut:
                    self._send(machine, other.node.me.id, node.announcement())
        self.pump(machine)
        self.at(self.now + TICK_S, lambda: self._tick(machine, incarnation, count + 1))


def acknowledged(delay_s: float, seed: int) -> list[float]:
    """Return the latency (s) of each of `WRITES` writes."""
    deployment = Deployment(delay_s, seed)
    deployment.run_until(SETTLE_S)
    latencies_s = []
    for number in range(WRITES):
        machine = deployment.primary()
        assert machine is not None
        assert machine.node is not None
        node, began = machine.node, deployment.now
        ticket = node.propose(Evacuation(f"z{number}", number % 2 == 0), began)
        assert ticket is not None
        deployment.pump(machine)
        sequence = ticket.sequence
        deployment.run_until(began + MAX_OUTAGE_S, partial(_holds, node, sequence))
        latencies_s.append(deployment.now - began)
    return latencies_s


def _holds(node: Node, sequence: int) -> bool:
    state = node.committed_state
    return state is not None and state.sequence >= sequence


def _kill(deployment: Deployment, primary: Machine) -> None:
    deployment.kill(primary)


def _wipe(deployment: Deployment, primary: Machine) -> None:
    deployment.kill(primary, wipe=True)
    deployment.at(deployment.now + 1.0, lambda: deployment.start(primary))


def _restart(deployment: Deployment, primary: Machine) -> None:
    deployment.kill(primary)
    deployment.at(deployment.now + 0.5, lambda: deployment.start(primary))


def _others(deployment: Deployment, machine: Machine) -> list[Machine]:
    return [other for other in deployment.machines if other is not machine]


def _mute(deployment: Deployment, primary: Machine) -> None:
    deployment.cut |= {(primary.address, other.address) for other in _others(deployment, primary)}


def _deafen(deployment: Deployment, primary: Machine) -> None:
    deployment.cut |= {(other.address, primary.address) for other in _others(deployment, primary)}


def _cut(deployment: Deployment, primary: Machine) -> None:
    _mute(deployment, primary)
    _deafen(deployment, primary)


def _halve(deployment: Deployment, primary: Machine) -> None:
    """Partition the primary and as many stores as form the smaller half from the others."""
    others = _others(deployment, primary)
    minority = [primary, *others[: len(deployment.machines) // 2 - 1]]
    for member in minority:
        for other in deployment.machines:
            if other not in minority:
                deployment.cut |= {(member.address, other.address), (other.address, member.address)}


def _freeze(deployment: Deployment, primary: Machine) -> None:
    primary.frozen_until = deployment.now + 5.0


def _backup(deployment: Deployment, primary: Machine) -> Machine:
    assert primary.node is not None
    assert primary.node.epoch is not None
    replicas = primary.node.epoch.replicas
    return next(m for m in _others(deployment, primary) if m.node and m.node.me.id in replicas)


def _third(deployment: Deployment, primary: Machine) -> Machine:
    backup = _backup(deployment, primary)
    return next(machine for machine in _others(deployment, primary) if machine is not backup)


def add_machine(deployment: Deployment) -> None:
    """Add an empty machine at an unused address."""
    machine = Machine(f"10.0.1.{len(deployment.machines)}:1")
    deployment.machines.append(machine)
    deployment.start(machine)


def _replace(deployment: Deployment, machine: Machine) -> None:
    deployment.kill(machine, wipe=True)
    deployment.at(deployment.now + 1.0, partial(add_machine, deployment))


def _replace_as_planned(deployment: Deployment, machine: Machine) -> None:
    add_machine(deployment)
    deployment.at(deployment.now + 1.0, partial(_resign, deployment, machine))


def _stall(deployment: Deployment, primary: Machine) -> None:
    primary.stalled_until = deployment.now + MAX_OUTAGE_S
    assert primary.node is not None
    primary.node.propose(Evacuation("z", True), deployment.now)
    deployment.pump(primary)


def _resign(deployment: Deployment, primary: Machine) -> None:
    assert primary.node is not None
    primary.node.leave(deployment.now)
    deployment.pump(primary)
    kill_when_allowed(deployment, primary)


def kill_when_allowed(deployment: Deployment, machine: Machine) -> None:
    """End a process that shuts down as soon as it is allowed to."""
    node = machine.node
    if node is None or node.can_leave(deployment.now):
        deployment.kill(machine)
    else:
        deployment.at(deployment.now + TICK_S, lambda: kill_when_allowed(deployment, machine))


def _kill_all(deployment: Deployment, primary: Machine) -> None:
    for machine in deployment.machines:
        deployment.kill(machine)
        deployment.at(deployment.now + 0.5, partial(deployment.start, machine))


def _kill_all_and_wipe(deployment: Deployment, primary: Machine) -> None:
    for machine in deployment.machines:
        deployment.kill(machine, wipe=machine is primary)
        deployment.at(deployment.now + 0.5, partial(deployment.start, machine))


# From the loss until enough live stores hold the state, under their own epoch, to tolerate the next loss.
REPAIRS: dict[str, Callable[[Deployment, Machine], None]] = {
    "backup killed": lambda d, primary: d.kill(_backup(d, primary)),
    "backup wiped, back after 1 s": lambda d, primary: _wipe(d, _backup(d, primary)),
    "backup leaves (SIGTERM)": lambda d, primary: _resign(d, _backup(d, primary)),
    "third store wiped, back after 1 s: a witness again": lambda d, primary: _wipe(d, _third(d, primary)),
    "primary gone, another 1 s later elsewhere": _replace,
    "backup gone, another 1 s later elsewhere": lambda d, primary: _replace(d, _backup(d, primary)),
    "planned: new first, 1 s later the primary leaves": _replace_as_planned,
    "planned: new first, 1 s later the backup leaves": lambda d, primary: _replace_as_planned(
        d, _backup(d, primary)
    ),
}
HALVES = "halves of five, the primary in the smaller"
LOSSES: dict[str, Callable[[Deployment, Machine], None]] = {
    "primary killed": _kill,
    "primary killed, back after 0.5 s": _restart,
    "primary wiped, back after 1 s": _wipe,
    "primary cut off": _cut,
    "primary heard by nobody (cut one way)": _mute,
    "primary hears nobody (cut the other way)": _deafen,
    HALVES: _halve,
    "primary frozen for 5 s": _freeze,
    "primary's disk stalls": _stall,
    "primary resigns (SIGTERM)": _resign,
    "all killed, back after 0.5 s": _kill_all,
    "all killed and the primary wiped, back after 0.5 s": _kill_all_and_wipe,
}


def outage(loss: str, delay_s: float, seed: int) -> float:
    """Return the seconds from a loss until a store accepts writes again under a new epoch."""
    deployment = Deployment(delay_s, seed, MACHINES_OF_HALVES if loss == HALVES else MACHINES)
    deployment.run_until(SETTLE_S + deployment.rng.random())
    primary = deployment.primary()
    assert primary is not None
    assert primary.node is not None
    assert primary.node.epoch is not None
    before, began = primary.node.epoch.term, deployment.now
    (LOSSES | REPAIRS)[loss](deployment, primary)

    def served() -> bool:
        machine = deployment.primary()
        epoch = machine.node.epoch if machine and machine.node else None
        return epoch is not None and epoch.term > before

    deployment.run_until(began + MAX_OUTAGE_S, served)
    return deployment.now - began if served() else float("inf")


def main(arguments: list[str] | None = None) -> int:
    """Print the tables.

    Returns:
        The exit code: 1 if a loss was never recovered from, otherwise 0.
    """
    parser = argparse.ArgumentParser(description="acknowledgement and outage times of the control state")
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args(arguments)
    delays = (0.0, 0.055, 0.110)
    print("one way       acknowledged after, ms: median    99th")
    for delay_s in delays:
        times = sorted(
            1000 * seconds for seed in range(options.seeds) for seconds in acknowledged(delay_s, seed)
        )
        print(
            f"{1000 * delay_s:4.0f} ms {statistics.median(times):31.1f} {times[int(0.99 * len(times))]:7.1f}"
        )
    worst = _print_outages("without a primary", LOSSES, delays, options.seeds)
    worst = max(worst, _print_outages("until the next loss is borne", REPAIRS, delays, options.seeds))
    return int(worst == float("inf"))


def _print_outages(title: str, losses: Iterable[str], delays: Sequence[float], seeds: int) -> float:
    """Print one row per loss and return the longest time."""
    print(f"\n{title}, s: median and worst, one way 0, 55, 110 ms")
    worst = 0.0
    for loss in losses:
        columns = []
        for delay_s in delays:
            outages_s = [outage(loss, delay_s, seed) for seed in range(seeds)]
            worst = max(worst, *outages_s)
            columns.append(f"{statistics.median(outages_s):5.2f} {max(outages_s):5.2f}")
        print(f"{loss:52} {'   '.join(columns)}")
    return worst


if __name__ == "__main__":
    sys.exit(main())
