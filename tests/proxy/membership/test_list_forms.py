"""Lists in all forms that the protocol allows, in one or many pieces, fetched and watched."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.loopback import entry, listed, read_message
from tests.proxy.membership.stand_ins import UpdateRecorder, make_client
from tests.virtual import virtual

ROWS = [entry("s0"), entry("s1", status="leaving", weight=1, since_ms=1700000000000.5)]
COMPLETE = listed(42, *ROWS)
MINIMAL = {"index": 42, "snapshot": True, "endpoints": [{"name": "s0", "address": "10.1.0.18:7070"}]}
TEXTS = {
    "one line": json.dumps(COMPLETE),
    "no blanks": json.dumps(COMPLETE, separators=(",", ":")),
    "indented": json.dumps(COMPLETE, indent=2),
    "indented by tabs, lines that end in CR LF": json.dumps(COMPLETE, indent="\t").replace("\n", "\r\n"),
    "other letters in names, escaped": json.dumps(listed(42, entry("s-é{}"), entry("s1"))),
    "other letters in names, as they are": json.dumps(
        listed(42, entry("s-é"), entry("s1")), ensure_ascii=False
    ),
    "members in another order, and more of them": json.dumps(
        {"more": {"a": [1]}, **COMPLETE}, sort_keys=True
    ),
    "minimal": json.dumps(MINIMAL),
    "no servers": json.dumps(listed(42)),
}


def chunks(raw, size, form):
    """Return raw bytes as chunks of one size, whose headers have the given form."""
    pieces = [raw[at : at + size] for at in range(0, len(raw), size)]
    return b"".join(form % len(piece) + b"\r\n" + piece + b"\r\n" for piece in pieces)


HEAD = b"HTTP/1.1 200 OK\r\n"
CODED = b"Transfer-Encoding: chunked\r\n\r\n"
FRAMES = {
    "chunks": lambda raw: HEAD + CODED + chunks(raw, 1000, b"%x"),
    "a chunk for each byte": lambda raw: HEAD + CODED + chunks(raw, 1, b"%x"),
    "chunks in capitals, with extensions": lambda raw: (
        HEAD + b"transfer-encoding:Chunked \r\nX-More: 1\r\n\r\n" + chunks(raw, 27, b"00%X;a=b")
    ),
}
BODIES = {
    "a length": lambda raw: HEAD + b"Content-Length: %d\r\n\r\n" % len(raw) + raw,
    "a length and a close": lambda raw: (
        HEAD + b"content-length:%d\r\nConnection: close\r\n\r\n" % len(raw) + raw
    ),
    **{name: lambda raw, frame=frame: frame(raw) + b"0\r\n\r\n" for name, frame in FRAMES.items()},
}


class ScriptedRegistry:
    """A registry that responds with given bytes, in pieces, and then keeps the connection open."""

    def __init__(self, response, size):
        self.response, self.size = response, size
        self.writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        await read_message(reader)
        for at in range(0, len(self.response), self.size):
            writer.write(self.response[at : at + self.size])
            await writer.drain()
            await asyncio.sleep(0)
        await reader.read()

    def stop(self):
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()


async def first_update(response, size, is_pushed):
    registry, recorder = await ScriptedRegistry(response, size).start(), UpdateRecorder()
    client = make_client(registry.address, recorder, is_pushed, version=41)
    client.start()
    if not is_pushed:
        client.fetch()
    await recorder.until(lambda update: update[0] != "remembered")
    client.close()
    registry.stop()
    return recorder.since_start()[0]


def expected(text):
    return "all", 42, [row["name"] for row in json.loads(text)["endpoints"]]


@pytest.mark.parametrize("frame", FRAMES)
@pytest.mark.parametrize("case", TEXTS)
@virtual
async def test_a_list_of_any_form_in_a_watch_is_reported(case, frame):
    text = TEXTS[case]
    for size in (1, 7, 100_000):
        assert await first_update(FRAMES[frame](text.encode() + b"\n"), size, True) == expected(text)


@pytest.mark.parametrize("frame", BODIES)
@pytest.mark.parametrize("case", TEXTS)
@virtual
async def test_a_complete_list_of_any_form_is_reported(case, frame):
    text = TEXTS[case]
    for size in (1, 7, 100_000):
        assert await first_update(BODIES[frame](text.encode()), size, False) == expected(text)
