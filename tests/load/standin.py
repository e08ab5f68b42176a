"""A scripted HTTP server on the loopback, with a thread per connection, and helpers that send it a load."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from pathlib import Path

from fordtrestle.load import schedule, spec
from fordtrestle.load.generator import Generator

RESET = object()  # a step of a script: reset the connection
CLOSE = object()  # a step of a script: close the connection without a response
NO_LINGER = struct.pack("ii", 1, 0)


def response(status=200, body=b"hi", fields=""):
    return f"HTTP/1.1 {status} scripted\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


class ScriptedServer:
    """Handles each request with the steps that `script(number, head)` returns, a list or a single one.

    A step is bytes to send, a float (seconds to sleep), RESET or CLOSE. `number` counts requests from 0.
    """

    def __init__(self, script=lambda number, head: response()):
        self._script = script
        self._lock = threading.Lock()
        self.requests = []  # the heads of all requests, as text
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._open = set()
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._listener.close()
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as file:
            while (head := self._read_head(file)) is not None:
                with self._lock:
                    number = len(self.requests)
                    self.requests.append(head)
                for step in self._steps(number, head):
                    if step is RESET:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                    if step is RESET or step is CLOSE:
                        return
                    if isinstance(step, float):
                        time.sleep(step)
                    else:
                        sock.sendall(step)
        self._open.discard(sock)

    def _steps(self, number, head):
        steps = self._script(number, head)
        return steps if isinstance(steps, list) else [steps]

    @staticmethod
    def _read_head(file):
        lines = []
        while (line := file.readline()) not in (b"\r\n", b""):
            lines.append(line.decode())
        if not lines or not line:
            return None
        size = next((int(r.split(":")[1]) for r in lines if r.lower().startswith("content-length")), 0)
        file.read(size)
        return "".join(lines)


LOAD = """
[target]
address = "127.0.0.1:{port}"
[run]
length_s = {length_s}
{run}
[arrivals.all]
shape = "constant"
spacing = "even"
rate_per_s = {rate}
[class.look]
semantics = "{semantics}"
budget_ms = {budget_ms}
{more}
"""


def load_toml(port, *, rate=100, length_s=0.2, run="", semantics="pure", budget_ms=20_000, more=""):
    """Return the text of a load file; its lag bound (10 s) and budget are long, as tests bound no time."""
    run = f"lag_p99_most_ms = 10000\n{run}"
    return LOAD.format(**locals())


def run_load(port, folder=Path("."), **options):
    """Send a load and return the run and its samples."""
    samples = []
    plan = schedule.make_schedule(spec.parse(load_toml(port, **options), "test"), folder)
    return Generator(plan, on_sample=samples.append).run(), samples


def header(head, name):
    """Return the value of a header in the head of a request; None if it is absent."""
    for line in head.split("\r\n"):
        if line.lower().startswith(f"{name.lower()}: "):
            return line.partition(": ")[2]
    return None
