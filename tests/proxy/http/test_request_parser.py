"""The request parser without a socket: its events, their order, and its errors."""

from __future__ import annotations

import pytest

from fordtrestle.proxy.http import wire
from fordtrestle.proxy.http.errors import BadRequestError, HttpError, RemoteProtocolError
from fordtrestle.proxy.http.request_parser import MAX_UNFINISHED_BYTES, RequestParser

HEAD = b"POST /pay HTTP/1.1\r\nHost: api\r\nContent-Length: 4\r\n\r\n"
CHUNKED = b"POST /pay HTTP/1.1\r\nHost: api\r\nTransfer-Encoding: chunked\r\n\r\n"
GET = b"GET /look HTTP/1.1\r\nHost: api\r\n\r\n"


class RecordedEvents:
    """Records each event; accepts all heads, and reads requests until `is_reading` is false."""

    def __init__(self):
        self.calls = []
        self.is_reading = True

    def on_request_begun(self):
        self.calls.append("begun")
        return self.is_reading

    def on_head(self, message):
        self.calls.append(("head", message.method, message.target))
        message.is_validated = True

    def on_request(self, message, keep_alive):
        self.calls.append(("request", bytes(message.body), keep_alive))


@pytest.fixture
def events():
    return RecordedEvents()


@pytest.fixture
def parser(events):
    made = RequestParser(events)
    yield made
    made.close()


def status_raised(parser, *parts):
    """Return the status with which one of the parts is rejected, or None."""
    try:
        for part in parts:
            parser.feed(part)
    except BadRequestError as error:
        return error.status
    return None


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_a_request_in_pieces_of_any_size_is_reported_once_in_three_steps(parser, events, size):
    raw = HEAD + b"body"
    for start in range(0, len(raw), size):
        parser.feed(raw[start : start + size])
    assert events.calls == ["begun", ("head", "POST", b"/pay"), ("request", b"body", True)]
    assert parser.message is None
    assert parser.unfinished_bytes == 0


def test_pipelined_requests_are_reported_one_after_the_other(parser, events):
    parser.feed(HEAD + b"body" + GET)
    assert [call[0] for call in events.calls if call != "begun"] == ["head", "request", "head", "request"]
    assert events.calls.index(("request", b"body", True)) < events.calls.index(("head", "GET", b"/look"))


def test_bytes_after_the_last_request_are_not_parsed_into_a_request(parser, events):
    events.is_reading = False
    parser.feed(HEAD + b"body")
    assert events.calls == ["begun"]
    assert parser.message is None


def test_an_incomplete_request_is_buffered_until_it_is_dropped(parser):
    parser.feed(HEAD + b"bo")
    assert parser.message is not None
    assert parser.unfinished_bytes > len(b"bo")
    parser.drop_message()
    assert parser.unfinished_bytes == 0


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ([b"NO SUCH THING\r\n\r\n"], 400),
        ([b"GET /look HTTP/2.0\r\n\r\n"], 505),
        ([b"GET /look RTSP/1.0\r\n\r\n"], 505),
        ([b"GET /look RTSP/1", b".0\r\n\r\n"], 505),
        ([b"GET /look HTTP/1.1\r\nX: " + b"x" * wire.MAX_HEAD_BYTES + b"\r\n\r\n"], 431),
        ([b"GET /look HTTP/1.1\r\nX: "] + [b"x" * 1024] * (MAX_UNFINISHED_BYTES // 1024 + 1), 431),
        ([CHUNKED, b"%x\r\n" % (wire.MAX_BODY_BYTES + 1) + b"x" * (wire.MAX_BODY_BYTES + 1)], 413),
        ([CHUNKED, b"1;"] + [b"x" * 1024] * (MAX_UNFINISHED_BYTES // 1024 + 1), 400),
        ([HEAD.replace(b"4", b"%d" % (wire.MAX_BODY_BYTES + 1))], 413),
        ([HEAD.replace(b"Host: api", b"Host: api\r\nHost: other")], 400),
        ([HEAD + b"body"], None),
    ],
)
def test_malformed_or_oversized_input_is_rejected_with_its_status(parser, parts, status):
    assert status_raised(parser, *parts) == status


def test_errors_of_both_sides_are_http_errors():
    assert issubclass(BadRequestError, HttpError)
    assert issubclass(RemoteProtocolError, HttpError)
