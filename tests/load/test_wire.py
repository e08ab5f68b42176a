"""Requests are encoded and responses parsed as the protocol defines; malformed responses are rejected."""

from __future__ import annotations

import gc
import weakref

import httptools
import pytest

from fordtrestle.load.errors import ResponseError
from fordtrestle.load.wire import RequestHead, RequestTemplate, ResponseReader, encode_budget, filler

HEADS = {s: RequestHead("book", s, "/book", "api.internal").encode() for s in ("pure", "keyed", "unsafe")}


def encode(semantics, size=3):
    return RequestTemplate(HEADS[semantics], semantics, "acme", "7f3a", "t0", size).encode_attempt(
        "id1", 480_000, False
    )


def test_a_keyed_request_has_the_headers_of_the_protocol():
    assert encode("keyed") == (
        b"POST /book HTTP/1.1\r\nHost: api.internal\r\nX-Call-Class: book\r\nX-Call-Id: id1\r\n"
        b"X-Budget: 480m\r\nX-Caller: acme\r\nCookie: user=7f3a\r\nIdempotency-Key: t0\r\n"
        b"Content-Length: 3\r\n\r\n012"
    )


def test_an_unsafe_request_has_no_key_and_a_pure_one_no_body():
    assert encode("unsafe").startswith(b"POST")
    assert b"Idempotency-Key" not in encode("unsafe")
    assert encode("pure").startswith(b"GET")
    assert encode("pure").endswith(b"user=7f3a\r\n\r\n")


def test_a_retry_has_a_new_id_the_same_key_and_a_marker():
    template = RequestTemplate(HEADS["keyed"], "keyed", "", "", "t0", 0)
    first, retry = template.encode_attempt("id1", 1500, False), template.encode_attempt("id2", 700, True)
    assert retry == first.replace(b"id1", b"id2").replace(b"1500u\r\n", b"700u\r\nX-Again: 1\r\n")
    assert b"X-Caller" not in first
    assert b"Cookie" not in first


def test_budgets_have_their_unit_and_bodies_their_size():
    assert (encode_budget(480_000), encode_budget(480_001)) == (b"480m", b"480001u")
    assert [len(filler(size)) for size in (0, 1, 16, 17, 65_536)] == [0, 1, 16, 17, 65_536]


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def read_response(*parts):
    reader = ResponseReader()
    reader.begin()
    for part in parts:
        reader.feed(part)
    return reader


def test_responses_are_read_byte_by_byte_and_one_after_the_other():
    reader = read_response(*(OK[i : i + 1] for i in range(len(OK))))
    assert (reader.is_complete, reader.status, reader.can_keep_alive) == (True, 200, True)
    reader.begin()
    assert not reader.has_received
    reader.feed(b"HTTP/1.1 503 no\r\nRetry-After: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    assert (reader.status, reader.can_keep_alive, reader.retry_after_s) == (503, False, 0.25)


def test_chunked_and_interim_responses_are_read():
    reader = read_response(
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
    )
    assert not reader.is_complete
    assert not reader.on_connection_closed()
    reader.feed(b"0\r\n\r\n")
    assert reader.is_complete
    assert reader.status == 200


def test_only_a_response_without_length_is_complete_at_the_connections_end():
    assert read_response(b"HTTP/1.1 200 OK\r\n\r\nhi").on_connection_closed()
    assert not read_response(OK[:-1]).on_connection_closed()
    assert not read_response(b"HTTP/1.1 200 OK\r\nContent-").on_connection_closed()


@pytest.mark.parametrize(
    "data",
    [
        b"\x00noise",
        OK + OK,
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 70_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + b"y" * 2_200_000,
    ],
)
def test_malformed_and_too_large_responses_are_rejected(data):
    with pytest.raises(ResponseError):
        read_response(data)


@pytest.mark.parametrize("text", [b"Wed, 21 Oct 2015 07:28:00 GMT", b"nan", b"-1", b"inf"])
def test_a_retry_after_that_is_no_number_of_seconds_is_ignored(text):
    data = b"HTTP/1.1 503 no\r\nRetry-After: %b\r\nContent-Length: 0\r\n\r\n" % text
    assert read_response(data).retry_after_s is None


def test_a_closed_parser_leaves_no_cycle():
    reader = read_response(OK)
    reference = weakref.ref(reader)
    gc.disable()
    try:
        reader.close()
        del reader
        assert reference() is None
    finally:
        gc.enable()


def test_an_encoded_request_is_read_by_a_parser():
    fields = {}

    class Handler:
        def on_header(self, name, value):
            fields[name] = value

        def on_body(self, body):
            fields["body"] = body

    parser = httptools.HttpRequestParser(Handler())
    parser.feed_data(encode("unsafe", 20))
    assert (parser.get_method(), fields["body"], fields[b"X-Call-Id"]) == (b"POST", filler(20), b"id1")
