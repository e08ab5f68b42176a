"""The registry's protocol without I/O: requests, and the lines, lists and states read from responses."""

from __future__ import annotations

import pytest

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.membership import registry_protocol
from fordtrestle.proxy.membership.errors import ListError, ResponseError
from fordtrestle.proxy.membership.registry_protocol import (
    ListReader,
    ResponseReader,
    ResponseState,
    WatchReader,
)

HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.fixture
def lines():
    return []


@pytest.fixture
def response(lines):
    return ResponseReader(lines.append)


def test_a_request_names_its_target_and_host():
    request = registry_protocol.encode_request(Address("registry", 80), registry_protocol.watch_target(7))
    assert request == b"GET /registry/instances?watch=1&from=7 HTTP/1.1\r\nHost: registry:80\r\n\r\n"


def test_a_response_is_complete_at_its_end_and_reads_no_more(response, lines):
    for byte in HEAD + b"Content-Length: 5\r\n\r\na\n\nbc":
        assert response.state is ResponseState.READING
        response.feed(bytes([byte]))
    assert response.state is ResponseState.COMPLETE
    assert lines == [b"a", b"", b"bc"]
    response.feed(HEAD + b"Content-Length: 1\r\n\r\nd")
    response.stop()
    assert response.state is ResponseState.COMPLETE
    assert lines == [b"a", b"", b"bc"]


def test_a_response_that_is_stopped_by_a_line_delivers_no_later_line_of_the_same_data():
    lines = []

    def stop_after(line):
        lines.append(line)
        response.stop()

    response = ResponseReader(stop_after)
    response.feed(HEAD + b"Content-Length: 4\r\n\r\na\nb\n")
    assert lines == [b"a"]
    assert response.state is ResponseState.STOPPED


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", r"^status 503$"),
        (HEAD + b"Content-Length: 99\r\n\r\n123456789", r"^a line is too long$"),
        (b"\x00\x01\r\n\r\n", "."),
    ],
    ids=["status", "long line", "no HTTP"],
)
def test_a_response_that_can_not_be_read_is_an_error_with_its_reason(data, reason, response, monkeypatch):
    monkeypatch.setattr(registry_protocol, "MAX_LINE_BYTES", 8)
    with pytest.raises(ResponseError, match=reason):
        response.feed(data)


def test_a_line_that_is_rejected_is_an_error_of_the_response():
    def reject(line):
        raise ListError(f"not a list: {line.decode()}")

    with pytest.raises(ResponseError, match=r"^not a list: x$"):
        ResponseReader(reject).feed(HEAD + b"Content-Length: 2\r\n\r\nx\n")


def test_only_heartbeats_and_ends_of_lists_prove_that_a_watch_is_alive(lines):
    reader = WatchReader(lines.append)
    assert [reader.add_line(line) for line in (b"", b"{", b' "a": {}', b"}", b"{}", b" ")] == [
        *(True, False, False, True, True, True)
    ]
    assert lines == [b'{\n "a": {}\n}\n', b"{}\n"]


def test_a_heartbeat_within_a_list_and_a_list_that_is_too_long_are_rejected(lines, monkeypatch):
    monkeypatch.setattr(registry_protocol, "MAX_LIST_BYTES", 8)
    reader = WatchReader(lines.append)
    reader.add_line(b"{")
    with pytest.raises(ListError, match="heartbeat"):
        reader.add_line(b"")
    for too_long in (WatchReader(lines.append), ListReader()):
        with pytest.raises(ListError, match="too long"):
            too_long.add_line(b"12345678")
    assert lines == []
