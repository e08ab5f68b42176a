"""Measures the cost of making room for connections: `python -m benchmarks.giveway [--json FILE]`.

Runs in this process, without a connection flood that shares the core. Measures the CPU time from accepting a
connection until it is closed, for connections that are closed while silent, rejected at once, or answered 503
at the limit, and the time in which the connection table selects a connection to evict, for 100 to 10,000
connections. Figures are microseconds, the minimum of several rounds. Exit codes: 0 all bounds met, 1 a bound
not met, 2 bad input.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import Callable

from benchmarks.common import DONE, NOT_MET, create_parser, format_figure, prepare_process, table, write_json
from fordtrestle.listener.acceptor import accept_queue
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.lag import LoopLagMeter
from fordtrestle.proxy.engine.open_requests import OpenRequest
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.requests import RequestClass, RequestNames
from fordtrestle.proxy.http.server import HttpServer, HttpServerOptions
from fordtrestle.resources.connection_table import ConnectionTable, TableOptions
from fordtrestle.resources.quotas import Limits

# Bounds. Closing is the cost of evicting a silent connection.
MAX_CLOSE_SILENT_US = 40.0
MAX_REJECT_US = 150.0
MAX_GROWTH = 3.0  # cost at 10,000 connections, relative to that at 100

COUNT, ROUNDS = 400, 5
NAMES = RequestNames({"look": RequestClass(0, "GET", False)}, {})
ASKED = b"GET /look HTTP/1.1\r\nHost: a\r\nX-Call-Id: %d\r\nX-Call-Class: look\r\nX-Budget: 900m\r\n\r\n"
BAD = b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"


class RejectingHandler:
    """Request handler that must not be called: every request is rejected before it."""

    def arrive(self, call: ClientCall, now: float) -> OpenRequest | None:
        """Fail, since a request that is accepted would be measured instead of a rejection."""
        raise AssertionError("expected every request to be rejected, but one was accepted")

    def client_gone(self, request: OpenRequest) -> None:
        """Do nothing; it is never called."""


def _create_server(places: bool) -> HttpServer:
    """Create a server with capacity for all connections, or with only a reserve for answers at the limit."""
    loop = asyncio.get_running_loop()
    budget = Limits(COUNT if places else 0, 2**24, COUNT).budget("clients")
    reserve = Limits(0 if places else COUNT, 0, 0).descriptors.add_share("at the limit")
    options = HttpServerOptions(NAMES, 10 * COUNT)
    clock = Clock(loop)
    return HttpServer(
        loop,
        clock,
        options,
        RejectingHandler(),
        budget,
        reserve,
        LoopLagMeter(loop, clock.now, lambda: False),
    )


async def measure_connections(send: Callable[[int], bytes], places: bool = True) -> tuple[float, float]:
    """Measure `COUNT` connections.

    Args:
        send: Returns the bytes that a connection sends.
        places: Whether the server has capacity for the connections.

    Returns:
        CPU microseconds per connection until all are accepted, and closed if they send anything, and
        CPU microseconds per connection to close the remaining ones.
    """
    server = _create_server(places)
    address = await server.listen(socket.create_server(("127.0.0.1", 0), backlog=COUNT))
    clients = []
    for number in range(COUNT):
        client = socket.create_connection(address)
        client.sendall(send(number))
        clients.append(client)
    began = time.process_time()
    asks = bool(send(0))
    while _queued(server) or (asks and not server.is_empty):
        await asyncio.sleep(0.001)
    lived = time.process_time() - began
    began = time.process_time()
    for entry in server.table:
        entry.owner.close()
    closed = time.process_time() - began
    server.close()
    for client in clients:
        client.close()
    return lived / COUNT * 1e6, closed / COUNT * 1e6


def _queued(server: HttpServer) -> int:
    """Return the number of connections that wait to be accepted."""
    return accept_queue(server._acceptors[0].sock)[0]


def measure_eviction(size: int) -> float:
    """Return the microseconds to select a connection to evict from a table of `size`, and to add another."""
    connection_table: ConnectionTable[int] = ConnectionTable(TableOptions(size))
    for number in range(size):
        _add_idle(connection_table, number, 0.0)
    began = time.process_time()
    for number in range(COUNT):
        entry = connection_table.victim(500.0, lambda owner: True)
        assert entry is not None
        connection_table.remove(entry)
        _add_idle(connection_table, size + number, 500.0)
    return (time.process_time() - began) / COUNT * 1e6


def _add_idle(connection_table: ConnectionTable[int], number: int, now: float) -> None:
    entry = connection_table.add(number, now)
    connection_table.on_request(entry, now)
    connection_table.on_idle(entry, now)


def measure_all() -> dict[str, float]:
    """Return the minimum of several rounds by name, in microseconds."""
    silent_costs = [asyncio.run(measure_connections(lambda number: b"")) for _ in range(ROUNDS)]
    rejected_costs = [asyncio.run(measure_connections(lambda number: BAD)) for _ in range(ROUNDS)]
    refused_costs = [
        asyncio.run(measure_connections(lambda number: ASKED % number, places=False)) for _ in range(ROUNDS)
    ]
    measured = {
        "accept a silent one": min(lived for lived, _ in silent_costs),
        "close a silent one": min(closed for _, closed in silent_costs),
        "turned away, whole life": min(lived for lived, _ in rejected_costs),
        "503 at the limit, whole life": min(lived for lived, _ in refused_costs),
    }
    for size in (100, 1000, 10_000):
        measured[f"choose among {size}"] = min(measure_eviction(size) for _ in range(ROUNDS))
    return measured


def main() -> int:
    """Measure and check the bounds.

    Returns:
        The exit code: `DONE` or `NOT_MET`.
    """
    options = create_parser("giveway", __doc__).parse_args()
    prepare_process()
    measured = measure_all()
    bounds = {
        "close a silent one": MAX_CLOSE_SILENT_US,
        "turned away, whole life": MAX_REJECT_US,
        "503 at the limit, whole life": MAX_REJECT_US,
        "choose among 10000": MAX_GROWTH * measured["choose among 100"],
    }
    rows = [
        (name, format_figure(value, ".1f"), format_figure(bounds.get(name), ".1f"))
        for name, value in measured.items()
    ]
    print(table(("cost", "us", "at most"), rows))
    write_json(options.json, options.tree, measured)
    return NOT_MET if any(measured[name] > bound for name, bound in bounds.items()) else DONE


if __name__ == "__main__":
    sys.exit(main())
