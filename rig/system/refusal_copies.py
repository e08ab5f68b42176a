"""Copies of refusals that a simulated server sends where the next response is due (PROTOCOL: servers)."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from weakref import WeakKeyDictionary

from aiohttp import web

from rig.system.server_faults import DrawnFault, Fault

COPIES_PER_S = 3.0  # further copies by the time that was drawn with the fault
REFUSED_STATUS = HTTPStatus.SERVICE_UNAVAILABLE
NOT_EXECUTED = {"X-Not-Executed": "1"}


class RefusalCopies:
    """The copies that one server has still to send, by connection."""

    def __init__(self, request_id_header: str) -> None:
        """Create an empty set of copies; responses contain the request id in this header."""
        self._request_id_header = request_id_header
        self._until_next_request: WeakKeyDictionary[asyncio.Transport, bytes] = WeakKeyDictionary()

    def refuse(self, request: web.Request, request_id: str, drawn: DrawnFault) -> web.Response:
        """Return the refusal of a request, and send copies of it later, as its fault says."""
        transport = request.transport
        if transport is not None:
            copies = self._encode(request_id) * (1 + round(drawn.hold_s * COPIES_PER_S))
            self._schedule(transport, copies, drawn)
        headers = {self._request_id_header: request_id, **NOT_EXECUTED}
        return web.Response(status=REFUSED_STATUS, headers=headers)

    def on_request(self, transport: asyncio.Transport | None) -> None:
        """Send the copies that wait for the next request on a connection: it has been read now."""
        copies = self._until_next_request.pop(transport, b"") if transport is not None else b""
        if copies and transport is not None and not transport.is_closing():
            transport.write(copies)

    def _schedule(self, transport: asyncio.Transport, copies: bytes, drawn: DrawnFault) -> None:
        idle, under_way = copies, b""
        if drawn.fault is Fault.REFUSE_COPY_UNDER_WAY:
            idle, under_way = b"", copies
        elif drawn.fault is Fault.REFUSE_COPY_IN_PIECES:
            idle, under_way = copies[: len(copies) // 2], copies[len(copies) // 2 :]
        if under_way:
            self._until_next_request[transport] = under_way
        if idle:
            asyncio.get_running_loop().call_later(drawn.hold_s, _write_idle, transport, idle)

    def _encode(self, request_id: str) -> bytes:
        fields = {self._request_id_header: request_id, **NOT_EXECUTED, "Content-Length": "0"}
        lines = [f"HTTP/1.1 {REFUSED_STATUS} {REFUSED_STATUS.phrase}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return "\r\n".join([*lines, "", ""]).encode()


def _write_idle(transport: asyncio.Transport, copies: bytes) -> None:
    """Send copies unless a request has been read on the connection meanwhile and is being answered."""
    protocol = transport.get_protocol()
    is_busy = isinstance(protocol, web.RequestHandler) and protocol._current_request is not None
    if not transport.is_closing() and not is_busy:
        transport.write(copies)
