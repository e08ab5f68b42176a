"""Validation of a request before it is accepted, however its bytes are split."""

from __future__ import annotations

import asyncio

import pytest

from fordtrestle.proxy.http.errors import BadRequestError
from fordtrestle.proxy.http.requests import Message
from tests import loopback as partners
from tests.loopback import OK, App, Upstream, running
from tests.virtual import virtual


def rejection_status(target):
    """Return the status with which a target is rejected, or None."""
    message = Message()
    message.target = target
    try:
        message.finish_head()
    except BadRequestError as error:
        return error.status
    return None


@pytest.mark.parametrize(
    "target",
    [
        b"/look/a",
        b"/look",
        b"/look/a.b/..c/...",
        b"/look?next=/a/../b",
        b"/look/%41%20%2F?a=%7e",
        b"/look/.well-known",
        b"/look/%2ecfg",
        b"/look/100%",
    ],
)
def test_unambiguous_targets_are_accepted(target):
    assert rejection_status(target) is None


@pytest.mark.parametrize(
    ("target", "status"),
    [
        (b"/look/../pay", 400),
        (b"/look/..", 400),
        (b"/look/./a", 400),
        (b"/look/.", 400),
        (b"/look/%2e%2E/pay", 400),
        (b"/look/.%2e/pay", 400),
        (b"/look/%2e", 400),
        (b"/look/a%0d%0aX-Caller:%20x", 400),
        (b"/look?a=%00", 400),
        (b"/look?a=%7F", 400),
        (b"/look#top", 404),
        (b"/look\x7f", 404),
        (b"look", 404),
        (b"http://other/look", 404),
        (b"*", 404),
    ],
)
def test_ambiguous_targets_are_rejected(target, status):
    assert rejection_status(target) == status


@pytest.mark.parametrize("protocol", [b"RTSP/1.0", b"RTSP/1.1", b"ICE/1.0", b"ICE/1.1"])
@virtual
async def test_other_protocols_are_rejected_however_their_bytes_are_split(protocol):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        whole = partners.request().replace(b"HTTP/1.1", protocol)
        line = whole.index(b"\r\n")
        for cut in (len(whole), 3, line - 10, line - 6, line - 1, line, line + 9):
            app = await App.connect(sidecar.address)
            app.writer.write(whole[:cut])
            await app.writer.drain()
            if cut < len(whole):
                app.writer.write(whole[cut:])
            assert (await app.answer()).start.split(" ")[1] in ("400", "505"), cut
            app.close()
        assert upstream.seen == []


@virtual
async def test_another_protocol_is_found_long_before_the_end_of_the_head():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        whole = partners.request(X_Long="x" * 3000).replace(b"HTTP/1.1", b"RTSP/1.0")
        for start in range(0, len(whole), 500):
            app.writer.write(whole[start : start + 500])
            await asyncio.sleep(0.01)  # although it was rejected at the first part, it can read the answer
        assert (await app.answer()).start.split(" ")[1] == "505"
        assert upstream.seen == []


@virtual
async def test_a_body_may_contain_the_request_line_of_another_protocol():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        body = b"GET /look RTSP/1.0\r\n" * 50
        assert (await app.ask("POST", "/pay", body)).body == b"done"
        assert upstream.seen[0].body == body


@pytest.mark.parametrize(("size", "status"), [(100, "200"), (70_000, "400"), (500_000, "400")])
@virtual
async def test_chunk_extensions_are_dropped_and_limited(size, status):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
        app.writer.write(b"2;a=" + b"x" * size + b"\r\nhi\r\n0\r\n\r\n")
        assert (await app.answer()).start.split(" ")[1] == status
        assert [seen.body for seen in upstream.seen] == ([b"hi"] if status == "200" else [])


@virtual
async def test_a_body_in_many_small_chunks_is_accepted():
    """With small chunks the framing is larger than the body, which alone is no reason to reject it."""
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
        app.writer.write(b"1\r\nx\r\n" * 4000 + b"0\r\n\r\n")
        assert (await app.answer()).body == b"done"
        assert upstream.seen[0].body == b"x" * 4000
