"""Cluster that a schedule is played on: nodes, their links, a registry, servers and callers, all bounded.

Nodes are processes of the unchanged program, each with an operator file of its own. The registry, the callers
and the other nodes reach them through relays that run in processes of their own. The servers record the
requests that they receive, and the nodes report which rules they acted on.

Links: from the registry and from the callers to each node, and both ways between any two nodes that exchange
messages (all of up to 20 nodes; beyond that, four neighbours on either side of a ring). Nodes reach servers
directly, unless the schedule has a fault on these links and there are `SERVERS_RELAYED` nodes or fewer: then
each node reaches each server through a relay.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from rig import ledger
from rig.callers import Caller, Callers, Seen
from rig.cluster import history, site
from rig.cluster.fault_player import Player
from rig.cluster.judging import Change, Played, Used, notifications, without_addresses
from rig.cluster.link_types import Address
from rig.cluster.nodes import Life, Node, Processes, start_all
from rig.cluster.outages import Downtime
from rig.cluster.relays import Relays
from rig.cluster.schedules import SERVERS, Link, News, Schedule, Step, line_of, names, servers
from rig.helper import ROOT
from rig.lag import LagWatch
from rig.portservers import PortHost
from rig.process import ProgramError
from rig.registry import Entry, Registry

REGISTRY, CLIENTS, SERVERS_END = "registry", "clients", "servers"
SERVERS_RELAYED = 10  # nodes at most
MAX_WATCH_WAIT_S = 20.0  # until every node watches the registry
SETTLE_S = 0.3
MAX_OVERRUN_S = 60.0  # beyond a schedule's length, until all that it began must have ended
MAX_LAG_MS = 10.0  # of this process, at the 99th percentile
MAX_LATE_MS = 10.0  # delay of a change by the schedule
MAX_PAST_LISTS = 1000  # lists that a registry can go back to
RATE_A_NODE = 20.0  # calls per second


class Restorable(Registry):
    """Registry that can return to its state before the last change, as if restored from an older disk."""

    def __init__(self, rows: list[Entry]) -> None:
        super().__init__(rows)
        self._past: list[tuple[int, dict[str, Entry]]] = []

    def change(self, *rows: Entry) -> None:
        """See `Registry.change`."""
        self._past = [*self._past[-MAX_PAST_LISTS:], (self._index, dict(self._rows))]
        super().change(*rows)

    def rewind(self) -> None:
        """Restore the list and the index from before the last change; watches are cut off and begin again."""
        if not self._past:
            return
        self._index, self._rows = self._past.pop()
        self._history = [item for item in self._history if item[0] <= self._index]
        for writer in list(self._watches):
            writer.transport.abort()


class Cluster:
    """Cluster for one schedule: call `start`, then `play`, and `stop` in any case.

    Args:
        schedule: The schedule to play.
        tree: The checkout whose program runs.
        breach: Name of the breach to plant in each node; empty for none.
        rate_a_node: Calls per second at each node.
        servers: Number of servers.
        static: Whether the servers stand in the nodes' files, so that only a reload changes them.
    """

    def __init__(
        self,
        schedule: Schedule,
        tree: Path = ROOT,
        *,
        breach: str = "",
        rate_a_node: float = RATE_A_NODE,
        servers: int = SERVERS,
        static: bool = False,
    ) -> None:
        self.schedule = schedule
        self.names = names(schedule.head.nodes)
        self.nodes: dict[str, Node] = {}
        self.registries: dict[str, Restorable] = {}  # one for all nodes under "", or one per node
        self.changes: list[Change] = []
        self.answers: Counter[str] = Counter()
        self.began_ms = 0.0
        self._tree = tree
        self._breach = breach
        self._rate = rate_a_node
        self._servers = servers
        self._static = static
        self._relays = Relays(schedule.head.seed, shards(schedule.head.nodes))
        self._hosts: list[PortHost] = []
        self._callers: dict[str, Caller] = {}
        self._rows: list[Entry] = []
        self._own_rows: dict[str, list[Entry]] = {}  # by node: the servers at the relays' addresses
        self._registry_at: dict[str, Address] = {}  # by node: the address of its registry
        self._peers: dict[int, site.Peers] = {}
        self._seen = Seen()
        self._before: dict[str, Used] = {}
        self._late_ms: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def relayed(self) -> bool:
        """Whether nodes reach servers through relays."""
        return self.schedule.head.nodes <= SERVERS_RELAYED and any(
            isinstance(step, Link) and SERVERS_END in (*step.src, *step.dst) for step in self.schedule.steps
        )

    @property
    def not_played(self) -> list[Step]:
        """Steps that have nothing to act on in this cluster."""
        return [step for step in self.schedule.steps if self._is_unplayable(step)]

    def _is_unplayable(self, step: Step) -> bool:
        if isinstance(step, News):
            return self._static or (bool(step.server) and step.server not in servers(self._servers))
        if not isinstance(step, Link):
            return False
        outside = SERVERS_END in (*step.src, *step.dst) and not self.relayed
        return outside or (self._static and REGISTRY in (*step.src, *step.dst))

    # --- starting --------------------------------------------------------------------

    async def start(self) -> Cluster:
        """Start all relays, servers, registries and nodes; `ProgramError` if one can't be started."""
        await self._relays.start()
        await self._start_servers()
        for number, name in enumerate(self.names):
            self.nodes[name] = Node(
                number, self._operator, self._tree, seed=self.schedule.head.seed, breach=self._breach
            )
        await self._link_peers()
        for name in self.names:
            await self._link(name)
        await start_all(self.nodes.values())
        await self._wait_for_watches()
        return self

    async def _start_servers(self) -> None:
        addresses: dict[str, str] = {}
        for index, zone in enumerate(site.ZONES):
            zone_servers = servers(self._servers)[index :: len(site.ZONES)]
            host = await PortHost.start(
                zone,
                dict.fromkeys(zone_servers, site.server_model()),
                seed=self.schedule.head.seed,
                window_ms=site.KEY_WINDOW_MS,
                idle_close_ms=site.IDLE_CLOSE_MS,
            )
            self._hosts.append(host)
            addresses |= host.addresses
        self._rows = site.rows({name: addresses[name] for name in servers(self._servers)})
        if not self._static and not self.relayed:
            self.registries[""] = await self._registry(self._rows)

    async def _registry(self, rows: list[Entry]) -> Restorable:
        registry = Restorable([dict(row) for row in rows])
        await registry.start()
        return registry

    async def _link(self, name: str) -> None:
        """Make the links of one node to the ends outside of the cluster."""
        if self.relayed and not self._static:
            ways = [await self._relays.tcp(name, SERVERS_END, _address(row["address"])) for row in self._rows]
            self._own_rows[name] = [
                {**row, "address": f"{host}:{port}"}
                for row, (host, port) in zip(self._rows, ways, strict=True)
            ]
            self.registries[name] = await self._registry(self._own_rows[name])
        if not self._static:
            self._registry_at[name] = await self._relays.tcp(
                name, REGISTRY, _address(self._registry_of(name).address)
            )
        address = await self._relays.tcp(CLIENTS, name, self.nodes[name].address)
        self._callers[name] = Caller(name, address)

    def _registry_of(self, name: str) -> Restorable:
        return self.registries[name if self.relayed else ""]

    def _operator(self, life: Life) -> str:
        """Return the operator file of one start of a node."""
        options = site.StartOptions(
            name=life.name,
            number=life.number,
            seed=self.schedule.head.seed * 1_000_000 + life.number * 1000 + life.life,
            listen=life.listen,
            settings=life.settings,
            registry=self._registry_at.get(life.name),
            servers=self._rows,
            state=str(life.state),
            events=str(life.events),
            peers=self._peers.get(life.number),
        )
        return site.operator_file(options)

    async def _link_peers(self) -> None:
        """Make one link for both directions of each pair of nodes that exchange messages."""
        count = len(self.names)
        if count < 2:
            return
        addresses = [node.peers_address for node in self.nodes.values()]
        ways: dict[tuple[int, int], Address] = {}
        for one, other in site.pairs(count):
            way = await self._relays.udp(self.names[one], self.names[other], addresses[one], addresses[other])
            ways[one, other] = ways[other, one] = way
        for number in range(count):
            neighbours = site.neighbours(number, count)
            reached_at = tuple(
                addresses[number] if other == number else ways[number, other] for other in neighbours
            )
            self._peers[number] = site.Peers(addresses[number], neighbours.index(number), reached_at)

    async def _wait_for_watches(self) -> None:
        """Wait until every node watches its registry; `ProgramError` if one does not in time."""
        until_s = self._loop.time() + MAX_WATCH_WAIT_S
        wanted = 0 if self._static else len(self.names)
        while sum(registry.watches for registry in self.registries.values()) < wanted:
            if self._loop.time() > until_s:
                raise ProgramError(f"some nodes do not watch the registry after {MAX_WATCH_WAIT_S:g} s")
            await asyncio.sleep(0.02)
        await asyncio.sleep(SETTLE_S)

    # --- playing ---------------------------------------------------------------------

    async def play(self) -> Played:
        """Play the schedule to its length, shut the nodes down in order, and read all records."""
        head = self.schedule.head
        steps = [step for step in self.schedule.steps if not self._is_unplayable(step)]
        links = Player(self._relays, [step for step in steps if isinstance(step, Link)])
        processes = Processes(self.nodes, tuple(steps))
        demand = site.demand(head.seed, head.nodes, self._rate, head.length_ms / 1000.0)
        callers = Callers(demand, self._callers)
        self._seen = callers.seen
        self._before = {name: await _used(node) for name, node in self.nodes.items()}
        await self._relays.forget_lag()
        lag = LagWatch().start()
        spent_s, began_s = time.process_time(), self._loop.time()
        self.began_ms = began_s * 1000.0
        try:
            async with asyncio.timeout(head.length_ms / 1000.0 + MAX_OVERRUN_S), asyncio.TaskGroup() as group:
                group.create_task(callers.run())
                group.create_task(links.run())
                group.create_task(processes.run())
                group.create_task(self._play_news([step for step in steps if isinstance(step, News)]))
        except* ProgramError as errors:
            raise ProgramError(str(errors.exceptions[0])) from None
        except* TimeoutError:
            raise ProgramError(f"the schedule has not ended {MAX_OVERRUN_S:g} s after its length") from None
        finally:
            lag.stop()
        self._late_ms |= {"links": links.late_ms, "nodes": processes.late_ms}
        wall_s, spent_s = self._loop.time() - began_s, time.process_time() - spent_s
        return await self._played(processes, lag, wall_s, spent_s)

    async def _play_news(self, steps: Sequence[News]) -> None:
        """Change the registry's list at the times of the steps."""
        began_s, late_ms = self._loop.time(), 0.0
        for step in steps:
            await asyncio.sleep(max(0.0, began_s + step.at_ms / 1000.0 - self._loop.time()))
            late_ms = max(late_ms, (self._loop.time() - began_s) * 1000.0 - step.at_ms)
            self._change(step)
        self._late_ms["news"] = late_ms

    def _change(self, step: News) -> None:
        now_ms = self._loop.time() * 1000.0
        for name, registry in self.registries.items():
            if step.status == "rewind":
                registry.rewind()
                continue
            row = next(row for row in self._rows_of(name) if row["name"] == step.server)
            registry.change({**row, "status": step.status})
        if step.status != "rewind":
            self.changes.append(Change(now_ms, step.server, step.status))

    def _rows_of(self, name: str) -> list[Entry]:
        return self._own_rows.get(name, self._rows)

    # --- results -----------------------------------------------------------------------

    async def _played(self, processes: Processes, lag: LagWatch, wall_s: float, spent_s: float) -> Played:
        exit_errors = {name: node.exit_error for name, node in self.nodes.items() if node.exit_error}
        used = {name: _since(await _used(node), self._before[name]) for name, node in self.nodes.items()}
        for caller in self._callers.values():
            caller.close()
        ends = await asyncio.gather(*(node.terminate() for node in self.nodes.values()))
        relays = await self._relays.report()
        kills = [(name, at_s * 1000.0) for name, at_s in processes.killed]
        for name, at_s in zip(self.nodes, ends, strict=True):
            if at_s is not None:
                kills.append((name, at_s * 1000.0))
                exit_errors.setdefault(name, "did not shut down in order when it was told to")
        files = [node.events for node in self.nodes.values() if node.events.exists()]
        histories = [list(history.parse(file.read_bytes(), str(file))) for file in files]
        events = history.with_kills(history.merged(histories), kills)
        if self.relayed:
            events = without_addresses(events)
        call_ledger = ledger.Ledger(
            asked=self._seen.asked,
            notifications=notifications(events, self.changes),
            crashes=[
                ledger.Crash(down.node, _killed_s(down, processes.killed), down.until_s)
                for down in processes.downtimes
                if down.killed
            ],
            strays=sum(caller.strays for caller in self._callers.values()),
            limits=ledger.Limits(site.DRAIN_GRACE_MS / 1000.0, site.KEY_WINDOW_MS / 1000.0),
        )
        lag_ms = {"this process": lag.summary()["p99_ms"]}
        for zone, host in zip(site.ZONES, self._hosts, strict=True):
            zone_servers = await host.summary()
            call_ledger.executions += await host.executions()
            lag_ms[f"servers {zone}"] = zone_servers["lag"]["p99_ms"]
            spent_s += zone_servers["cpu_s"]
        unsound = [self._relays.unsound] if self._relays.unsound else []
        unsound += [f"{part} lagged by {ms:.1f} ms" for part, ms in lag_ms.items() if ms > MAX_LAG_MS]
        unsound += [
            f"a change of {part} late by {ms:.1f} ms"
            for part, ms in self._late_ms.items()
            if ms > MAX_LATE_MS
        ]
        return Played(
            schedule=self.schedule,
            nodes=self.names,
            began_ms=self.began_ms,
            events=events,
            call_ledger=call_ledger,
            changes=self.changes,
            downtimes=processes.downtimes,
            disk_faults=processes.disk_faults,
            answers=dict(Counter(row.result for row in self._seen.asked)),
            counts=relays.counts,
            used=used,
            exit_errors=[f"{name}: {why}" for name, why in exit_errors.items()],
            unsound=unsound,
            not_played=[line_of(step) for step in self.not_played],
            wall_s=wall_s,
            rig_cpu_s=spent_s + relays.cpu_s,
        )

    async def stop(self) -> None:
        """Stop everything; no process is left."""
        for caller in self._callers.values():
            caller.close()
        for ends in (
            [node.stop() for node in self.nodes.values()],
            [registry.stop() for registry in self.registries.values()],
            [host.stop() for host in self._hosts],
            [self._relays.stop()],
        ):
            await asyncio.gather(*ends, return_exceptions=True)


def shards(nodes: int) -> int:
    """Return the number of relay processes for so many nodes."""
    return 1 if nodes <= 5 else 2 if nodes <= 20 else 4


def _address(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return host, int(port)


async def _used(node: Node) -> Used:
    """Return what a node has used so far."""
    if node.is_ready:
        await node.read_figures()
    cost = node.cost()
    return Used(cost.lives, cost.cpu_s, cost.peak_rss_mb, cost.syncs, cost.written_bytes)


def _killed_s(down: Downtime, killed: Sequence[tuple[str, float]]) -> float:
    """Return when the node's process was gone.

    A process that was shut down in order went on accepting calls until then.
    """
    times = [at_s for node, at_s in killed if node == down.node and down.from_s <= at_s <= down.until_s]
    return min(times, default=down.from_s)


def _since(now: Used, before: Used) -> Used:
    return Used(
        now.lives,
        now.cpu_s - before.cpu_s,
        now.rss_mb,
        now.syncs - before.syncs,
        now.written_bytes - before.written_bytes,
    )
