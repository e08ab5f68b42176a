"""Measures throughput and delay of the relay of the cluster rig, with small messages between many ends.

`python -m benchmarks.cluster_relay [--quick] [--seed N] [--json FILE] [--ends N] [--shards N]`. Each end is a
plain UDP socket and sends 50 messages of 200 bytes per second to others drawn by the seed: first directly,
then through the relays without faults, then at doubled rates until a rate is not carried. Delays are measured
from the send call to the read. The ends are in separate processes, whose lateness is measured too.

A row is unsound if messages were lost or were late by more than 10 ms at the 99th percentile. It names the
bottleneck: the relay, the ends, or both, which means the machine. Exit codes: 0 the first rate was sound, 1
otherwise, 2 bad input or a process can't be started.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import select
import socket
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.common import (
    BAD_INPUT,
    DONE,
    NOT_MET,
    create_parser,
    format_figure,
    prepare_process,
    table,
    write_json,
)
from rig.cluster.link_types import Address, UdpLink
from rig.cluster.links import DROPS, MEMINFO, SO_MEMINFO
from rig.cluster.relays import MAX_LATE_MS, SHARDS, Relays
from rig.cluster.schedules import names
from rig.helper import Helper, obey_until_hung_up, prepare, say
from rig.process import ProgramError, raise_descriptors

ENDS, MESSAGES_PER_S, MESSAGE_BYTES = 100, 50, 200
PROCESSES = 4  # that host the ends
FACTORS = (1, 2, 4, 8, 16, 32)
# Including the waits before and after it, a run is shorter than the timeout of a helper's answer.
LENGTH_S, STEP_S, QUICK_LENGTH_S, QUICK_STEP_S = 10.0, 4.0, 3.0, 1.0
START_DELAY_S = 0.3  # from the command to the first message
DRAIN_S = 0.5  # after the last message
BIN_MS, MAX_BIN = 0.05, 100_000
MAX_EVENTS = 256
TIMESTAMP_BYTES = 8  # bytes of the send time in a message


def percentile_ms(bins: Counter[int], share: float) -> float:
    """Return a percentile (ms) of the values counted in bins; 0 if there are none."""
    left = share * sum(bins.values())
    for index in sorted(bins):
        left -= bins[index]
        if left <= 0:
            return (index + 1) * BIN_MS
    return 0.0


# --- the ends, in separate processes -------------------------------------------------------------------


class Ends:
    """The ends of one process, and the commands that they accept."""

    def __init__(self) -> None:
        self._socks: dict[str, socket.socket] = {}
        self._routes: dict[str, list[Address]] = {}

    def obey(self, do: str, **command: Any) -> Any:
        """Execute a command.

        Raises:
            ValueError: There is no command of that name.
        """
        match do:
            case "bind":
                return self._bind(command["ends"])
            case "route":
                self._routes.update(
                    {end: [(host, port) for host, port in at] for end, at in command["to"].items()}
                )
                return None
            case "run":
                return self._run(**command)
        raise ValueError(f"expected one of bind, route and run; got {do!r}")

    def _bind(self, ends: Sequence[str]) -> list[Address]:
        for name in ends:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            sock.bind(("127.0.0.1", 0))
            self._socks[name] = sock
        return [sock.getsockname() for sock in self._socks.values()]

    def _run(self, from_s: float, length_s: float, a_second: float, seed: int) -> dict[str, Any]:
        """Send at a constant rate from a time of CLOCK_MONOTONIC on, and read until the end of the run."""
        rng = random.Random(f"{seed}/{min(self._socks)}")
        with select.epoll() as ready:
            by_number = {sock.fileno(): sock for sock in self._socks.values()}
            for number in by_number:
                ready.register(number, select.EPOLLIN)
            rows = [(sock, self._routes[name]) for name, sock in self._socks.items()]
            gap_s = 1.0 / (a_second * len(rows))
            total, sent, received, failed = round(length_s / gap_s), 0, 0, 0
            lags: Counter[int] = Counter()
            lates: Counter[int] = Counter()
            padding = b"x" * (MESSAGE_BYTES - TIMESTAMP_BYTES)
            dropped, cpu_s, clock = self._dropped(), time.process_time(), time.monotonic
            while (now := clock()) < from_s + length_s + DRAIN_S:
                due_s = from_s + sent * gap_s
                if sent < total and now >= due_s:
                    sock, routes = rows[sent % len(rows)]
                    lates[int((now - due_s) * 1000.0 / BIN_MS)] += 1
                    sent += 1
                    try:
                        sock.sendto(
                            time.monotonic_ns().to_bytes(TIMESTAMP_BYTES, "big") + padding, rng.choice(routes)
                        )
                    except OSError:
                        failed += 1
                # Waiting messages are read between any two sends, so that no end falls behind for long.
                wait_s = 0.01 if sent >= total else max(0.0, from_s + sent * gap_s - clock())
                for number, _ in ready.poll(min(0.01, wait_s), MAX_EVENTS):
                    data = by_number[number].recv(MESSAGE_BYTES)
                    lag_ms = (time.monotonic_ns() - int.from_bytes(data[:TIMESTAMP_BYTES], "big")) / 1e6
                    lags[min(MAX_BIN, int(lag_ms / BIN_MS))] += 1
                    received += 1
        return {
            "sent": sent - failed,
            "unsent": total - sent + failed,
            "got": received,
            "dropped": self._dropped() - dropped,
            "lags": list(lags.items()),
            "lates": list(lates.items()),
            "cpu_s": time.process_time() - cpu_s,
        }

    def _dropped(self) -> int:
        """Return the number of messages dropped because the receive buffer of an end was full."""
        meminfo = [
            sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size) for sock in self._socks.values()
        ]
        return sum(MEMINFO.unpack(buffer)[DROPS] for buffer in meminfo)


def run_ends() -> int:
    """Run a process of ends until the owner closes its connection."""
    prepare()
    say({"ready": True})
    asyncio.run(obey_until_hung_up(Ends().obey))
    return DONE


# --- the measurement -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Row:
    """Results of one rate."""

    way: str
    a_second: int  # of all ends together
    sent: int
    lost: int
    p50_ms: float
    p99_ms: float
    ends_late_ms: float  # p99 lateness of the sends
    relay_lag_ms: float  # p99 of the slowest relay
    relay_cores: float  # of all relays together
    relay_us: float  # CPU time per message
    bottleneck: str  # empty if the row is sound
    unsound: str


class Setting:
    """Ends in their processes, and relays between all pairs of ends."""

    def __init__(self, ends: int, shards: int, seed: int) -> None:
        self._names = names(ends)
        self._relays = Relays(seed, shards)
        self._helpers: list[Helper] = []
        self._ends_by_process = [self._names[index::PROCESSES] for index in range(PROCESSES)]
        self.links_s = 0.0  # time that it took to create all links
        self._direct_routes: dict[str, dict[str, Address]] = {}
        self._relayed_routes: dict[str, dict[str, Address]] = {name: {} for name in self._names}

    async def start(self) -> Setting:
        """Start all processes and create all links.

        Raises:
            ProgramError: A process cannot be started.
        """
        await self._relays.start()
        at: dict[str, Address] = {}
        for end_names in self._ends_by_process:
            helper = await Helper.start("benchmarks.cluster_relay", ["--host-ends"])
            self._helpers.append(helper)
            await helper.hear()
            bound = await helper.ask(do="bind", ends=end_names)
            at.update({name: (host, port) for name, (host, port) in zip(end_names, bound, strict=True)})
        self._direct_routes = {name: {other: at[other] for other in at if other != name} for name in at}
        pairs = list(itertools.combinations(self._names, 2))
        began = time.monotonic()
        addresses = await self._relays.make(
            [UdpLink(first, second, at[first], at[second]) for first, second in pairs]
        )
        self.links_s = time.monotonic() - began
        for (first, second), address in zip(pairs, addresses, strict=True):
            self._relayed_routes[first][second] = self._relayed_routes[second][first] = address
        return self

    async def stop(self) -> None:
        """Stop all processes."""
        await asyncio.gather(*(helper.stop() for helper in self._helpers), self._relays.stop())

    async def measure(self, relayed: bool, a_second: float, length_s: float, seed: int) -> Row:
        """Send at a rate per end for `length_s`.

        Raises:
            ProgramError: A process died.
        """
        routes = self._relayed_routes if relayed else self._direct_routes
        for helper, end_names in zip(self._helpers, self._ends_by_process, strict=True):
            await helper.ask(do="route", to={name: list(routes[name].values()) for name in end_names})
        await self._relays.forget_lag()
        before = await self._relays.report()
        run = {
            "from_s": time.monotonic() + START_DELAY_S,
            "length_s": length_s,
            "a_second": a_second,
            "seed": seed,
        }
        ends = await asyncio.gather(*(helper.ask(do="run", **run) for helper in self._helpers))
        after = await self._relays.report()
        lags, lates = (
            sum((Counter(dict(end[name])) for end in ends), Counter[int]()) for name in ("lags", "lates")
        )
        sent, received, dropped, unsent = (
            sum(end[name] for end in ends) for name in ("sent", "got", "dropped", "unsent")
        )
        cpu_s = after.cpu_s - before.cpu_s
        late_ms, p99_ms = percentile_ms(lates, 0.99), percentile_ms(lags, 0.99)
        problems: dict[str, str] = {}
        if relayed and after.unsound:
            problems["relay"] = after.unsound
        if unsent or dropped or late_ms > MAX_LATE_MS:
            problems["ends"] = (
                f"the ends were late by {late_ms:.1f} ms, did not send {unsent} and did not read {dropped}"
            )
        if not problems and (sent > received or p99_ms > MAX_LATE_MS):
            problems["unknown"] = f"{sent - received} messages were lost, others took {p99_ms:.1f} ms"
        return Row(
            way="relayed" if relayed else "straight",
            a_second=round(a_second * len(self._names)),
            sent=sent,
            lost=sent - received,
            p50_ms=percentile_ms(lags, 0.5),
            p99_ms=p99_ms,
            ends_late_ms=late_ms,
            relay_lag_ms=max(after.lag_p99_ms),
            relay_cores=cpu_s / (START_DELAY_S + length_s + DRAIN_S) if relayed else 0.0,
            relay_us=1e6 * cpu_s / max(1, received) if relayed else 0.0,
            bottleneck=" and ".join(problems),
            unsound="; ".join(problems.values()),
        )


HEADS = (
    "way",
    "messages/s",
    "sent",
    "lost",
    "p50 ms",
    "p99 ms",
    "ends late ms",
    "relay lag ms",
    "relay cores",
    "relay us/message",
    "bottleneck",
)


def cells(row: Row) -> list[str]:
    """Return the table row of a rate."""
    return [
        row.way,
        str(row.a_second),
        str(row.sent),
        str(row.lost),
        format_figure(row.p50_ms, ".2f"),
        format_figure(row.p99_ms, ".2f"),
        format_figure(row.ends_late_ms, ".2f"),
        format_figure(row.relay_lag_ms, ".1f"),
        format_figure(row.relay_cores, ".2f"),
        format_figure(row.relay_us, ".1f"),
        f"unsound: {row.bottleneck}" if row.unsound else "-",
    ]


async def run(options: argparse.Namespace) -> tuple[list[Row], float]:
    """Measure rows until one is unsound; return them and the time (s) that creating the links took."""
    length_s, step_s = (QUICK_LENGTH_S, QUICK_STEP_S) if options.quick else (LENGTH_S, STEP_S)
    setting = Setting(options.ends, options.shards, options.seed)
    rows: list[Row] = []
    try:
        await setting.start()
        rows.append(await setting.measure(False, MESSAGES_PER_S, step_s, options.seed))
        for factor in FACTORS:
            for_s = length_s if factor == 1 else step_s
            rows.append(await setting.measure(True, MESSAGES_PER_S * factor, for_s, options.seed))
            print(f"{rows[-1].a_second} messages a second: measured", file=sys.stderr, flush=True)
            if rows[-1].unsound:
                break
    finally:
        await setting.stop()
    return rows, setting.links_s


def check_rates(rows: Sequence[Row]) -> tuple[bool, str]:
    """Return whether the first rate was sound, and a summary of all rates."""
    relayed = [row for row in rows if row.way == "relayed"]
    met = bool(relayed) and not relayed[0].unsound
    sound = [row.a_second for row in relayed if not row.unsound]
    unsound = [row for row in relayed if row.unsound]
    summary = f"sound up to {max(sound)} messages a second" if sound else "no rate was sound"
    if unsound:
        summary += f"; unsound at {unsound[0].a_second}: {unsound[0].unsound}"
    return met, summary


def main() -> int:
    """Measure, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = create_parser("cluster_relay", __doc__)
    parser.add_argument("--quick", action="store_true", help="shorter runs")
    parser.add_argument("--ends", type=int, default=ENDS, help="4 to 200")
    parser.add_argument("--shards", type=int, default=SHARDS, help="processes of the relay, 1 to 16")
    parser.add_argument("--host-ends", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.host_ends:
        return run_ends()
    if not PROCESSES <= options.ends <= 200:
        parser.error(f"--ends: expected {PROCESSES} to 200, got {options.ends}")
    if not 1 <= options.shards <= 16:
        parser.error(f"--shards: expected 1 to 16, got {options.shards}")
    prepare_process()
    raise_descriptors()
    try:
        rows, links_s = asyncio.run(run(options))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    met, summary = check_rates(rows)
    print(table(HEADS, [cells(row) for row in rows]))
    links = options.ends * (options.ends - 1) // 2
    print(f"{summary}; {links} links were made in {links_s:.2f} s by {options.shards} processes")
    figures = {
        "seed": options.seed,
        "ends": options.ends,
        "shards": options.shards,
        "links_s": links_s,
        "met": met,
    }
    write_json(options.json, options.tree, {**figures, "rows": [asdict(row) for row in rows]})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())
