"""Lists in all forms that the protocol allows, whole and in pieces, over a call and over a watch."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.loopback import entry, listed, read_message
from tests.proxy.membership.standin import NewsRecorder, asking
from tests.virtual import virtual

ROWS = [entry("s0"), entry("s1", status="leaving", weight=1, since_ms=1700000000000.5)]
WHOLE = listed(42, *ROWS)
LEAST = {"index": 42, "snapshot": True, "endpoints": [{"name": "s0", "address": "10.1.0.18:7070"}]}
TEXTS = {
    "one line": json.dumps(WHOLE),
    "no blanks": json.dumps(WHOLE, separators=(",", ":")),
    "indented": json.dumps(WHOLE, indent=2),
    "indented by tabs, lines that end in CR LF": json.dumps(WHOLE, indent="\t").replace("\n", "\r\n"),
    "other letters in names, escaped": json.dumps(listed(42, entry("s-é{}"), entry("s1"))),
    "other letters in names, as they are": json.dumps(
        listed(42, entry("s-é"), entry("s1")), ensure_ascii=False
    ),
    "members in another order, and more of them": json.dumps({"more": {"a": [1]}, **WHOLE}, sort_keys=True),
    "the least": json.dumps(LEAST),
    "no servers": json.dumps(listed(42)),
}


def chunks(raw, size, form):
    """Raw bytes as chunks of one size, written in one of several forms."""
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
LENGTH = {
    "a length": lambda raw: HEAD + b"Content-Length: %d\r\n\r\n" % len(raw) + raw,
    "a length and a close": lambda raw: (
        HEAD + b"content-length:%d\r\nConnection: close\r\n\r\n" % len(raw) + raw
    ),
    **{name: lambda raw, frame=frame: frame(raw) + b"0\r\n\r\n" for name, frame in FRAMES.items()},
}


class Answers:
    """Discovery that answers each call with given bytes, in pieces, and leaves a watch open behind them."""

    def __init__(self, answer, size):
        self.answer, self.size = answer, size
        self.writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        await read_message(reader)
        for at in range(0, len(self.answer), self.size):
            writer.write(self.answer[at : at + self.size])
            await writer.drain()
            await asyncio.sleep(0)
        await reader.read()

    def stop(self):
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()


async def taken(answer, size, watch):
    place, told = await Answers(answer, size).start(), NewsRecorder()
    discovery = asking(place.address, told, pushed=watch, version=41)
    discovery.start()
    if not watch:
        discovery.fetch()
    await told.until(lambda news: news[0] != "remembered")
    discovery.close()
    place.stop()
    return told.since_start()[0]


def expected(text):
    return "all", 42, [row["name"] for row in json.loads(text)["endpoints"]]


@pytest.mark.parametrize("frame", FRAMES)
@pytest.mark.parametrize("what", TEXTS)
@virtual
async def test_a_list_of_any_form_over_a_watch_is_taken_as_it_stands(what, frame):
    text = TEXTS[what]
    for size in (1, 7, 100_000):
        assert await taken(FRAMES[frame](text.encode() + b"\n"), size, True) == expected(text)


@pytest.mark.parametrize("frame", LENGTH)
@pytest.mark.parametrize("what", TEXTS)
@virtual
async def test_a_whole_list_of_any_form_is_taken_as_it_stands(what, frame):
    text = TEXTS[what]
    for size in (1, 7, 100_000):
        assert await taken(LENGTH[frame](text.encode()), size, False) == expected(text)
