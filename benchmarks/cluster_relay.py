"""How much the relay of the cluster rig carries, and how late: small messages between many ends.

`python -m benchmarks.cluster_relay [--quick] [--seed N] [--json FILE] [--ends N] [--shards N]`. Each end is a
plain UDP socket and sends 50 messages of 200 bytes a second to others drawn by the seed: first straight to
them, then through the relays with no fault on, then at twice that rate and on until it is not carried. Times
are from the send call to the read; the ends are in processes of their own, whose lateness is measured too.

A row is unsound where messages were late by more than 10 ms at the 99th percentile, or lost; it names who was
the bottleneck: the relay, the ends, or both, which is the machine. Exit codes: 0 the first rate is carried
soundly, 1 not so, 2 bad input or a process that can't be started.
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

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, figure, make_ready, options, table, write_json
from rig.cluster.links import DROPS, MEMINFO, SO_MEMINFO, Address, UdpLink
from rig.cluster.relays import MAX_LATE_MS, SHARDS, Relays
from rig.cluster.schedules import names
from rig.helper import Helper, obey_until_hung_up, prepare, say
from rig.process import ProgramError, raise_descriptors

ENDS, A_SECOND, SIZE = 100, 50, 200
PROCESSES = 4  # that the ends are in
FACTORS = (1, 2, 4, 8, 16, 32)
# With what is waited before and after it, a run stays below the bound of a helper's answer.
LENGTH_S, STEP_S, QUICK_LENGTH_S, QUICK_STEP_S = 10.0, 4.0, 3.0, 1.0
AHEAD_S = 0.3  # from the word to the first message
DRAIN_S = 0.5  # after the last one
BINS_MS, BINS_MOST = 0.05, 100_000
EVENTS_MOST = 256
STAMP = 8  # bytes of a message that say when it was sent


def p_ms(bins: Counter[int], share: float) -> float:
    """A percentile of what was counted in bins; 0 where there is nothing."""
    left = share * sum(bins.values())
    for index in sorted(bins):
        left -= bins[index]
        if left <= 0:
            return (index + 1) * BINS_MS
    return 0.0


# --- the ends, in processes of their own -------------------------------------------------------------------


class Ends:
    """Some ends and the commands that they take."""

    def __init__(self) -> None:
        self._socks: dict[str, socket.socket] = {}
        self._routes: dict[str, list[Address]] = {}

    def obey(self, do: str, **command: Any) -> Any:
        """One command; `ValueError` where there is none of that name."""
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
        raise ValueError(f"no command {do!r}")

    def _bind(self, ends: Sequence[str]) -> list[Address]:
        for name in ends:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            sock.bind(("127.0.0.1", 0))
            self._socks[name] = sock
        return [sock.getsockname() for sock in self._socks.values()]

    def _run(self, from_s: float, length_s: float, a_second: float, seed: int) -> dict[str, Any]:
        """Send in an even pace from that time of CLOCK_MONOTONIC on, and read until all is over."""
        rng = random.Random(f"{seed}/{min(self._socks)}")
        with select.epoll() as ready:
            by_number = {sock.fileno(): sock for sock in self._socks.values()}
            for number in by_number:
                ready.register(number, select.EPOLLIN)
            rows = [(sock, self._routes[name]) for name, sock in self._socks.items()]
            gap_s = 1.0 / (a_second * len(rows))
            total, sent, got, failed = round(length_s / gap_s), 0, 0, 0
            lags: Counter[int] = Counter()
            lates: Counter[int] = Counter()
            rest = b"x" * (SIZE - STAMP)
            dropped, cpu_s, clock = self._dropped(), time.process_time(), time.monotonic
            while (now := clock()) < from_s + length_s + DRAIN_S:
                due_s = from_s + sent * gap_s
                if sent < total and now >= due_s:
                    sock, routes = rows[sent % len(rows)]
                    lates[int((now - due_s) * 1000.0 / BINS_MS)] += 1
                    sent += 1
                    try:
                        sock.sendto(time.monotonic_ns().to_bytes(STAMP, "big") + rest, rng.choice(routes))
                    except OSError:
                        failed += 1
                # What waits is read between any two sends, so that no end is behind for long.
                wait_s = 0.01 if sent >= total else max(0.0, from_s + sent * gap_s - clock())
                for number, _ in ready.poll(min(0.01, wait_s), EVENTS_MOST):
                    data = by_number[number].recv(SIZE)
                    lag_ms = (time.monotonic_ns() - int.from_bytes(data[:STAMP], "big")) / 1e6
                    lags[min(BINS_MOST, int(lag_ms / BINS_MS))] += 1
                    got += 1
        return {
            "sent": sent - failed,
            "unsent": total - sent + failed,
            "got": got,
            "dropped": self._dropped() - dropped,
            "lags": list(lags.items()),
            "lates": list(lates.items()),
            "cpu_s": time.process_time() - cpu_s,
        }

    def _dropped(self) -> int:
        """Messages that found an end's own buffer full."""
        meminfo = [
            sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size) for sock in self._socks.values()
        ]
        return sum(MEMINFO.unpack(one)[DROPS] for one in meminfo)


def host_ends() -> int:
    """Be a process of ends until the owner hangs up."""
    prepare()
    say({"ready": True})
    asyncio.run(obey_until_hung_up(Ends().obey))
    return DONE


# --- the measurement -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Row:
    """What one rate showed."""

    way: str
    a_second: int  # of all ends
    sent: int
    lost: int
    p50_ms: float
    p99_ms: float
    ends_late_ms: float  # p99 of the ends' own sends
    relay_lag_ms: float  # p99, of the latest relay
    relay_cores: float  # of all relays together
    relay_us: float  # CPU a message
    bottleneck: str  # empty where it is sound
    unsound: str


class Setting:
    """Ends in their processes, and relays between all of them."""

    def __init__(self, ends: int, shards: int, seed: int) -> None:
        self._names = names(ends)
        self._relays = Relays(seed, shards)
        self._helpers: list[Helper] = []
        self._parts = [self._names[index::PROCESSES] for index in range(PROCESSES)]
        self.links_s = 0.0  # that it took to make all links
        self._straight: dict[str, dict[str, Address]] = {}
        self._relayed: dict[str, dict[str, Address]] = {name: {} for name in self._names}

    async def start(self) -> Setting:
        """Start all processes and make all links; `ProgramError` where that can't be."""
        await self._relays.start()
        at: dict[str, Address] = {}
        for part in self._parts:
            helper = await Helper.start("benchmarks.cluster_relay", ["--host-ends"])
            self._helpers.append(helper)
            await helper.hear()
            bound = await helper.ask(do="bind", ends=part)
            at.update({name: (host, port) for name, (host, port) in zip(part, bound, strict=True)})
        self._straight = {name: {other: at[other] for other in at if other != name} for name in at}
        pairs = list(itertools.combinations(self._names, 2))
        began = time.monotonic()
        made = await self._relays.make([UdpLink(one, other, at[one], at[other]) for one, other in pairs])
        self.links_s = time.monotonic() - began
        for (one, other), address in zip(pairs, made, strict=True):
            self._relayed[one][other] = self._relayed[other][one] = address
        return self

    async def stop(self) -> None:
        """End all processes."""
        await asyncio.gather(*(helper.stop() for helper in self._helpers), self._relays.stop())

    async def measure(self, relayed: bool, a_second: float, length_s: float, seed: int) -> Row:
        """Send at this rate of each end for so long; `ProgramError` if a process dies."""
        routes = self._relayed if relayed else self._straight
        for helper, part in zip(self._helpers, self._parts, strict=True):
            await helper.ask(do="route", to={name: list(routes[name].values()) for name in part})
        await self._relays.forget_lag()
        before = await self._relays.report()
        run = {"from_s": time.monotonic() + AHEAD_S, "length_s": length_s, "a_second": a_second, "seed": seed}
        ends = await asyncio.gather(*(helper.ask(do="run", **run) for helper in self._helpers))
        after = await self._relays.report()
        lags, lates = (
            sum((Counter(dict(end[name])) for end in ends), Counter[int]()) for name in ("lags", "lates")
        )
        sent, got, dropped, unsent = (
            sum(end[name] for end in ends) for name in ("sent", "got", "dropped", "unsent")
        )
        cpu_s = after.cpu_s - before.cpu_s
        late_ms, p99_ms = p_ms(lates, 0.99), p_ms(lags, 0.99)
        wrong: dict[str, str] = {}
        if relayed and after.unsound:
            wrong["relay"] = after.unsound
        if unsent or dropped or late_ms > MAX_LATE_MS:
            wrong["ends"] = (
                f"the ends were late by {late_ms:.1f} ms, did not send {unsent} and did not read {dropped}"
            )
        if not wrong and (sent > got or p99_ms > MAX_LATE_MS):
            wrong["unknown"] = f"{sent - got} messages were lost, others took {p99_ms:.1f} ms"
        return Row(
            way="relayed" if relayed else "straight",
            a_second=round(a_second * len(self._names)),
            sent=sent,
            lost=sent - got,
            p50_ms=p_ms(lags, 0.5),
            p99_ms=p99_ms,
            ends_late_ms=late_ms,
            relay_lag_ms=max(after.lag_p99_ms),
            relay_cores=cpu_s / (AHEAD_S + length_s + DRAIN_S) if relayed else 0.0,
            relay_us=1e6 * cpu_s / max(1, got) if relayed else 0.0,
            bottleneck=" and ".join(wrong),
            unsound="; ".join(wrong.values()),
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
    """A row as the table shows it."""
    return [
        row.way,
        str(row.a_second),
        str(row.sent),
        str(row.lost),
        figure(row.p50_ms, ".2f"),
        figure(row.p99_ms, ".2f"),
        figure(row.ends_late_ms, ".2f"),
        figure(row.relay_lag_ms, ".1f"),
        figure(row.relay_cores, ".2f"),
        figure(row.relay_us, ".1f"),
        f"unsound: {row.bottleneck}" if row.unsound else "-",
    ]


async def run(given: argparse.Namespace) -> tuple[list[Row], float]:
    """All rows until one is unsound, and how long it took to make all links."""
    length_s, step_s = (QUICK_LENGTH_S, QUICK_STEP_S) if given.quick else (LENGTH_S, STEP_S)
    setting = Setting(given.ends, given.shards, given.seed)
    rows: list[Row] = []
    try:
        await setting.start()
        rows.append(await setting.measure(False, A_SECOND, step_s, given.seed))
        for factor in FACTORS:
            for_s = length_s if factor == 1 else step_s
            rows.append(await setting.measure(True, A_SECOND * factor, for_s, given.seed))
            print(f"{rows[-1].a_second} messages a second: measured", file=sys.stderr, flush=True)
            if rows[-1].unsound:
                break
    finally:
        await setting.stop()
    return rows, setting.links_s


def judged(rows: Sequence[Row]) -> tuple[bool, str]:
    """Whether the first rate was carried soundly, and what is to be said of all of them."""
    relayed = [row for row in rows if row.way == "relayed"]
    met = bool(relayed) and not relayed[0].unsound
    sound = [row.a_second for row in relayed if not row.unsound]
    unsound = [row for row in relayed if row.unsound]
    said = f"sound up to {max(sound)} messages a second" if sound else "no rate was sound"
    if unsound:
        said += f"; unsound at {unsound[0].a_second}: {unsound[0].unsound}"
    return met, said


def main() -> int:
    """Measure, print and judge; the exit code."""
    made = options("cluster_relay", __doc__)
    made.add_argument("--quick", action="store_true", help="shorter runs")
    made.add_argument("--ends", type=int, default=ENDS, help="4 to 200")
    made.add_argument("--shards", type=int, default=SHARDS, help="processes of the relay, 1 to 16")
    made.add_argument("--host-ends", action="store_true", help=argparse.SUPPRESS)
    given = made.parse_args()
    if given.host_ends:
        return host_ends()
    if not PROCESSES <= given.ends <= 200:
        made.error(f"--ends: {given.ends} is not from {PROCESSES} to 200")
    if not 1 <= given.shards <= 16:
        made.error(f"--shards: {given.shards} is not from 1 to 16")
    make_ready()
    raise_descriptors()
    try:
        rows, links_s = asyncio.run(run(given))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    met, said = judged(rows)
    print(table(HEADS, [cells(row) for row in rows]))
    links = given.ends * (given.ends - 1) // 2
    print(f"{said}; {links} links were made in {links_s:.2f} s by {given.shards} processes")
    figures = {"seed": given.seed, "ends": given.ends, "shards": given.shards, "links_s": links_s, "met": met}
    write_json(given.json, given.tree, {**figures, "rows": [asdict(row) for row in rows]})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())
