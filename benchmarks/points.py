"""Measures each point of the issue on limits from outside the process.

`python -m benchmarks.points [--tree DIR] [--json FILE] [--only N[,N]]`: runs on two
checkouts give the table of before and after. Exit codes: 0 measured, 2 bad input. No bounds are checked.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, cast

from benchmarks.common import BAD_INPUT, DONE, create_parser, prepare_process, select_names, table, write_json
from rig.balancers import stage
from rig.clients import Address, Burst, Clients, Plan, Raw, Result, Tally, ask_raw
from rig.crowds import PIPELINED, Crowd, Size, take_in_little
from rig.messages import Act, call_ids, request
from rig.process import Program, ProgramError, reserve_core, sampled

BIG_SOCKETS = 1024
READERS, ANSWER_BYTES = 200, 64 * 1024
UNREAD_S = 5.0  # for which slow readers stay, and then until memory is read again
UNREAD_BUDGET_MS = 5000
READERS_PER_S = 40.0  # low enough that their requests are not rejected as an overload
CONNECT_S = 5.0
EXIT_S = 5.0
TERM_EACH_S, TERM_RUNS = 0.002, 5
RELOAD_RUNS = 3
ANSWER_S = 4.0
SETTLE_S = 0.1  # until a connection that carried a response carries the next request
UNSAFE = 20  # requests of point 5
EXTENSION_BYTES = 70_000


@dataclass(frozen=True, slots=True)
class Row:
    """One figure and the value that is wanted."""

    point: str
    measured: str
    figure: str
    wanted: str
    figures: dict[str, Any]


def _count_results(tally: Tally) -> tuple[str, dict[str, Any]]:
    """Return how requests ended, as text and as figures."""
    counts = {result.value: tally.count(result) for result in Result if tally.count(result)}
    return ", ".join(f"{count} {name}" for name, count in counts.items()), tally.summary()


# --- 2: a full table ------------------------------------------------------------------


async def full_table(tree: Path, seed: int, count: int) -> Row:
    """Open `count` connections at once, each with one complete request; none is retried."""
    plan = Plan(0.0, 0.1, seed=seed, connections=count, bursts=(Burst(0.0, count),), resends=0, after="close")
    async with stage(
        tree, seed=seed, core=reserve_core(), work_ms=(300.0, 300.0), sockets=BIG_SOCKETS
    ) as setup:
        result_text, figures = _count_results(await Clients(setup.target.address, plan).run())
    return Row(
        "2", f"{count} connections, each a whole request, servers 300 ms", result_text, "0 cut", figures
    )


async def slowloris(tree: Path, seed: int) -> Row:
    """Send incomplete requests beside complete ones, each on its own connection; none is retried."""
    plan = Plan(150.0, 10.0, seed=seed, connections=300, resends=0, after="close")
    async with stage(tree, seed=seed, core=reserve_core(), sockets=BIG_SOCKETS) as setup:
        crowd = await Crowd.start(setup.target.address, {"half": Size(500.0, 1000)}, seed=seed)
        try:
            result_text, figures = _count_results(await Clients(setup.target.address, plan).run())
            figures["crowd"] = await crowd.counts()
        finally:
            await crowd.stop()
    description = "1,000 half connections at 500/s beside 150 good requests/s, 10 s"
    return Row("2", description, result_text, "0 cut", figures)


# --- 3: unread responses -----------------------------------------------------------------


class Unread(asyncio.Protocol):
    """Client that sends requests and reads no responses."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pause reading and send the requests."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.pause_reading()
        self.transport.write(self._data)


async def _connect_unread(address: Address, data: bytes) -> Unread:
    """Connect a client whose kernel also receives next to nothing."""
    loop, sock = asyncio.get_running_loop(), socket.socket()
    sock.setblocking(False)
    take_in_little(sock)
    async with asyncio.timeout(CONNECT_S):
        await loop.sock_connect(sock, address)
        _, reader = await loop.create_connection(lambda: Unread(data), sock=sock)
    return reader


async def unread(tree: Path, seed: int) -> Row:
    """Measure the memory that unread responses take, and whether it is released."""
    ids, act = call_ids(f"unread/{seed}"), Act(size_bytes=ANSWER_BYTES)
    async with stage(tree, seed=seed, core=reserve_core(), work_ms=(5.0, 10.0), sockets=BIG_SOCKETS) as setup:
        program = setup.target.program
        start = program.usage().rss_mb
        readers = []
        async with sampled(program) as peaks:
            for _ in range(READERS):
                data = b"".join(
                    request(next(ids), act=act, budget_ms=UNREAD_BUDGET_MS) for _ in range(PIPELINED)
                )
                readers.append(await _connect_unread(setup.target.address, data))
                await asyncio.sleep(1.0 / READERS_PER_S)
            await asyncio.sleep(UNREAD_S)
            held_mb = program.usage().rss_mb
        for reader in readers:
            reader.transport.abort()
        await asyncio.sleep(UNREAD_S)
        after, ledger = program.usage().rss_mb, await setup.fleet.ledger()
    figures = {
        "start_mb": start,
        "peak_mb": peaks.rss_mb,
        "held_mb": held_mb,
        "after_mb": after,
        "servers": ledger,
    }
    result_text = (
        f"{start:.0f} MB, peak {peaks.rss_mb:.0f}, held {held_mb:.0f}, {UNREAD_S:g} s after {after:.0f}"
    )
    description = f"memory: {READERS} clients pipeline {PIPELINED} answers of 64 KiB and read nothing"
    return Row("3", description, result_text, "peak bounded, well under 192", figures)


# --- 4 and 5: invalid responses ----------------------------------------------


async def second_copies(tree: Path, seed: int, after_ms: float) -> Row:
    """Measure whether a second copy of a response is forwarded as that of another request."""
    plan = Plan(100.0, 2.0, seed=seed, connections=64)
    async with stage(tree, seed=seed, core=reserve_core(), servers=1, work_ms=(5.0, 15.0)) as setup:
        await setup.fleet.script(Act(copy_after_ms=after_ms))
        result_text, figures = _count_results(await Clients(setup.target.address, plan).run())
        figures["connections_to_servers"] = (await setup.fleet.ledger())["connections"]
    description = f"a second copy of each answer after {after_ms:g} ms, 100 requests/s, 2 s"
    return Row("4", description, result_text, "0 mixed up, or a stated few before the first sign", figures)


async def spoilt_rejections(tree: Path, seed: int) -> Row:
    """Measure how often an unsafe request is sent if its rejection is followed by another response."""
    ids = call_ids(f"rejections/{seed}")
    async with stage(tree, seed=seed, core=reserve_core()) as setup:
        await setup.fleet.script(Act(status=503, rejected=True, behind="answer", delay_ms=5.0))
        answers = [await ask_raw(setup.target.address, _unsafe(next(ids)), ANSWER_S) for _ in range(UNSAFE)]
        ledger = await setup.fleet.ledger()
    result_text = (
        f"sent up to {ledger['unsafe_most']} times; {ledger['unsafe_repeated']} of {UNSAFE} more than once"
    )
    figures = {"statuses": [answer.status for answer in answers], "servers": ledger}
    return Row(
        "5", "unsafe requests; 503 + X-Rejected, and a 200 in the same bytes", result_text, "once", figures
    )


def _unsafe(call_id: str) -> bytes:
    return request(call_id, kind="pay", body=b"1")


# --- 6: a stray byte ---------------------------------------------------------------------


async def stray_byte(tree: Path, seed: int) -> Row:
    """Measure whether an unsafe request gets its response if a stray byte follows it."""
    ids = call_ids(f"stray/{seed}")
    data = _unsafe(next(ids)) + b"\x00"
    async with stage(tree, seed=seed, core=reserve_core(), servers=1, work_ms=(100.0, 100.0)) as setup:
        # Leaves an idle connection to the server, so that the request is forwarded as soon as it is accepted.
        await ask_raw(setup.target.address, request(next(ids)), ANSWER_S)
        await asyncio.sleep(SETTLE_S)
        await setup.fleet.clear()
        answer = await ask_raw(setup.target.address, data, ANSWER_S)
        ledger = await setup.fleet.ledger()
    received_count = ledger["received"]
    result_text = (
        f"{_result_text(answer)} after {answer.took_ms:.0f} ms, received by servers {received_count} times"
    )
    figures = {"status": answer.status, "took_ms": answer.took_ms, "servers": ledger}
    return Row(
        "6", "an unsafe request and a stray byte behind it, answer after 100 ms", result_text, "200", figures
    )


def _result_text(answer: Raw) -> str:
    return str(answer.status) if answer.status else "closed with no answer" if answer.ended else "no answer"


# --- 7: signals and heads ------------------------------------------------------------------


async def reload_burst(tree: Path, seed: int) -> Row:
    """Measure whether SIGTERM is handled after a burst of SIGHUPs."""
    codes = []
    for _ in range(RELOAD_RUNS):
        async with stage(tree, seed=seed, core=reserve_core()) as setup:
            for _ in range(1000):
                setup.target.program.signal(signal.SIGHUP)
            setup.target.program.signal(signal.SIGTERM)
            codes.append(await setup.target.program.wait(EXIT_S))
    description = f"1,000 SIGHUPs, then SIGTERM, {RELOAD_RUNS} runs"
    return Row("7", description, _exits(codes), "0 each time", {"codes": codes})


async def repeated_term(tree: Path, seed: int) -> Row:
    """Measure whether repeated SIGTERMs still lead to a graceful exit."""
    codes = []
    for _ in range(TERM_RUNS):
        async with stage(tree, seed=seed, core=reserve_core()) as setup:
            codes.append(await _terminate_until_exit(setup.target.program))
    description = f"SIGTERM each {TERM_EACH_S * 1000:g} ms until the exit, {TERM_RUNS} runs"
    return Row("7", description, _exits(codes), "0 each time", {"codes": codes})


def _exits(codes: list[int | None]) -> str:
    none = f"none in {EXIT_S:g} s"
    return "exit codes " + ", ".join(none if code is None else str(code) for code in codes)


async def _terminate_until_exit(program: Program) -> int | None:
    for _ in range(int(EXIT_S / TERM_EACH_S)):
        program.signal(signal.SIGTERM)
        if (code := await program.wait(TERM_EACH_S)) is not None:
            return code
    return None


def _heads(seed: int) -> dict[str, bytes]:
    """Return requests that must not be forwarded."""
    ids = call_ids(f"heads/{seed}")

    def target(suffix: bytes) -> bytes:
        return request(next(ids)).replace(b"/look ", b"/look" + suffix + b" ", 1)

    chunked = _unsafe(next(ids)).partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        "RTSP/1.0 as version": request(next(ids)).replace(b"HTTP/1.1", b"RTSP/1.0", 1),
        "# in the target": target(b"/a#b"),
        ".. in the target": target(b"/../pay"),
        "%0d%0a in the target": target(b"/a%0d%0ab"),
        "70 KB of chunk extension": chunked + b"1;a=" + b"x" * EXTENSION_BYTES + b"\r\n1\r\n0\r\n\r\n",
    }


async def heads(tree: Path, seed: int) -> list[Row]:
    """Measure the responses to ambiguous request heads, and whether such requests reach servers."""
    rows = []
    async with stage(tree, seed=seed, core=reserve_core(), work_ms=(1.0, 5.0)) as setup:
        for name, data in _heads(seed).items():
            await setup.fleet.clear()
            answer = await ask_raw(setup.target.address, data, ANSWER_S)
            passed = (await setup.fleet.ledger())["received"]
            result_text = f"{_result_text(answer)}, {'passed on' if passed else 'not passed on'}"
            figures = {"status": answer.status, "passed_on": passed}
            rows.append(Row("7", name, result_text, "4xx or 505, not passed on", figures))
    return rows


Measure = Callable[[Path, int], Awaitable[Row | list[Row]]]
POINTS: dict[str, list[Measure]] = {
    "2": [
        partial(full_table, count=500),
        partial(full_table, count=700),
        slowloris,
    ],
    "3": [unread],
    "4": [
        partial(second_copies, after_ms=10.0),
        partial(second_copies, after_ms=50.0),
    ],
    "5": [spoilt_rejections],
    "6": [stray_byte],
    "7": [reload_burst, repeated_term, heads],
}


async def run(points: list[str], tree: Path, seed: int) -> list[Row]:
    """Measure all rows of the points."""
    rows: list[Row] = []
    for point in points:
        for measure in POINTS[point]:
            result = await measure(tree, seed)
            rows += result if isinstance(result, list) else [result]
            print(f"point {point}: {rows[-1].measured}", file=sys.stderr, flush=True)
    return rows


def main() -> int:
    """Measure and print.

    Returns:
        The exit code: `DONE` or `BAD_INPUT`.
    """
    parser = create_parser("points", __doc__)
    parser.add_argument("--only", metavar="N[,N]", help=f"of {', '.join(POINTS)}")
    options = parser.parse_args()
    points = select_names(options.only, list(POINTS), parser)
    prepare_process()
    try:
        rows = asyncio.run(run(points, options.tree, options.seed))
    except ProgramError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    cells = [[row.point, row.measured, row.figure, row.wanted] for row in rows]
    print(table(("point", "measured", "figure", "wanted"), cells, right=False))
    summaries = [
        {
            "point": r.point,
            "measured": r.measured,
            "figure": r.figure,
            "wanted": r.wanted,
            "figures": r.figures,
        }
        for r in rows
    ]
    write_json(options.json, options.tree, {"seed": options.seed, "rows": summaries})
    return DONE


if __name__ == "__main__":
    sys.exit(main())
