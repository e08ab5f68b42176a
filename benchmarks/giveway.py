"""What it costs to make room: `python -m benchmarks.giveway [--json FILE]`.

In this process, with no crowd to share a core with: the CPU time from accepting a connection to having
closed it, for those that are closed while silent, turned away at once, and answered 503 at the limit;
and the pure table's choice of who is evicted at 100 to 10,000 connections. Microseconds, the least of
several rounds. Exit codes: 0 all bounds met, 1 a bound not met, 2 bad input.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import Callable

from benchmarks.common import DONE, NOT_MET, figure, make_ready, options, table, write_json
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.connection_table import ConnectionTable, TableOptions
from fordtrestle.proxy.engine.lag import LoopLagMeter
from fordtrestle.proxy.engine.limits import Limits
from fordtrestle.proxy.engine.open_requests import OpenRequest
from fordtrestle.proxy.http.accept import accept_queue
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.requests import RequestClass, RequestNames
from fordtrestle.proxy.http.server import HttpServer, HttpServerOptions

# The bounds, in microseconds. Closing is the part that a silent connection costs to be got rid of.
CLOSE_SILENT_MOST_US = 40.0
REFUSED_MOST_US = 150.0
FLAT_MOST = 3.0  # times the cost at 100 connections that it may cost at 10,000

COUNT, ROUNDS = 400, 5
NAMES = RequestNames({"look": RequestClass(0, "GET", False)}, {})
ASKED = b"GET /look HTTP/1.1\r\nHost: a\r\nX-Call-Id: %d\r\nX-Call-Class: look\r\nX-Budget: 900m\r\n\r\n"
BAD = b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"


class Nobody:
    """Takes nothing: every request is refused before it comes here, or the figure is of something else."""

    def arrive(self, call: ClientCall, now: float) -> OpenRequest | None:
        """Guards against measuring a request that was taken."""
        raise AssertionError("a request was taken")

    def client_gone(self, request: OpenRequest) -> None:
        """Never called."""


def _front(places: bool) -> HttpServer:
    """A front with places for all, or with none, and then room for all at the limit."""
    loop = asyncio.get_running_loop()
    budget = Limits(COUNT if places else 0, 2**24, COUNT).budget("clients")
    reserve = Limits(0 if places else COUNT, 0, 0).descriptors.add_share("at the limit")
    options = HttpServerOptions(NAMES, 10 * COUNT)
    clock = Clock(loop)
    return HttpServer(
        loop, clock, options, Nobody(), budget, reserve, LoopLagMeter(loop, clock.now, lambda: False)
    )


async def crowd(send: Callable[[int], bytes], places: bool = True) -> tuple[float, float]:
    """CPU microseconds for each of `COUNT` connections: until all are accepted, and closed if they ask
    anything; and then to close those that are left.
    """
    front = _front(places)
    address = await front.listen(socket.create_server(("127.0.0.1", 0), backlog=COUNT))
    clients = []
    for number in range(COUNT):
        client = socket.create_connection(address)
        client.sendall(send(number))
        clients.append(client)
    began = time.process_time()
    asks = bool(send(0))
    while _queued(front) or (asks and not front.is_empty):
        await asyncio.sleep(0.001)
    lived = time.process_time() - began
    began = time.process_time()
    for entry in front.table:
        entry.owner.close()
    closed = time.process_time() - began
    front.close()
    for client in clients:
        client.close()
    return lived / COUNT * 1e6, closed / COUNT * 1e6


def _queued(front: HttpServer) -> int:
    """Connections that wait to be accepted."""
    return accept_queue(front._acceptors[0].sock)[0]


def choice(size: int) -> float:
    """Microseconds to choose who is evicted in a table of so many, and to enter another."""
    made: ConnectionTable[int] = ConnectionTable(TableOptions(size))
    for number in range(size):
        _asked(made, number, 0.0)
    began = time.process_time()
    for number in range(COUNT):
        entry = made.victim(500.0, lambda owner: True)
        assert entry is not None
        made.remove(entry)
        _asked(made, size + number, 500.0)
    return (time.process_time() - began) / COUNT * 1e6


def _asked(made: ConnectionTable[int], number: int, now: float) -> None:
    entry = made.add(number, now)
    made.on_request(entry, now)
    made.on_idle(entry, now)


def figures() -> dict[str, float]:
    """The least of several rounds, by name, in microseconds."""
    silent = [asyncio.run(crowd(lambda number: b"")) for _ in range(ROUNDS)]
    away = [asyncio.run(crowd(lambda number: BAD)) for _ in range(ROUNDS)]
    refused = [asyncio.run(crowd(lambda number: ASKED % number, places=False)) for _ in range(ROUNDS)]
    measured = {
        "accept a silent one": min(lived for lived, _ in silent),
        "close a silent one": min(closed for _, closed in silent),
        "turned away, whole life": min(lived for lived, _ in away),
        "503 at the limit, whole life": min(lived for lived, _ in refused),
    }
    for size in (100, 1000, 10_000):
        measured[f"choose among {size}"] = min(choice(size) for _ in range(ROUNDS))
    return measured


def main() -> int:
    """Measure and judge; the exit code."""
    given = options("giveway", __doc__).parse_args()
    make_ready()
    measured = figures()
    bounds = {
        "close a silent one": CLOSE_SILENT_MOST_US,
        "turned away, whole life": REFUSED_MOST_US,
        "503 at the limit, whole life": REFUSED_MOST_US,
        "choose among 10000": FLAT_MOST * measured["choose among 100"],
    }
    rows = [(name, figure(value, ".1f"), figure(bounds.get(name), ".1f")) for name, value in measured.items()]
    print(table(("cost", "us", "at most"), rows))
    write_json(given.json, given.tree, measured)
    return NOT_MET if any(measured[name] > most for name, most in bounds.items()) else DONE


if __name__ == "__main__":
    sys.exit(main())
