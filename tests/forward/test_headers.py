"""The headers of a request to a server, on the first send and on retries."""

from __future__ import annotations

import pytest
from multidict import CIMultiDict

from fordtrestle.forward.headers import (
    DEADLINE,
    EXPECT_INSTANCE,
    end_to_end,
    has_length_within,
    headers_for_server,
)


def test_each_send_contains_the_remaining_time_until_the_same_deadline():
    client_headers = CIMultiDict({DEADLINE: "5000", "X-Model": "m"})
    deadline = 100.0 + 5.0
    sent_ms = [
        int(headers_for_server(client_headers, "i-1", deadline - now)[DEADLINE])
        for now in (100.0, 100.7, 104.9, 106.0)
    ]
    assert sent_ms[0] == 5000
    assert 4299 <= sent_ms[1] <= 4300
    assert 98 <= sent_ms[2] <= 100
    assert sent_ms[3] == 1
    assert client_headers[DEADLINE] == "5000"
    assert EXPECT_INSTANCE not in client_headers


def test_without_a_deadline_of_the_client_none_is_sent_to_the_server():
    assert DEADLINE not in headers_for_server(CIMultiDict(), "i-1", 3.0)


def test_prompt_headers_are_forwarded_unchanged_and_hop_by_hop_headers_are_removed():
    end_to_end_headers = [
        ("X-Model", "m"),
        ("X-Token-Count", "1460,80"),
        ("X-Prompt-Prefix", "5c1e:800,91bd:410"),
    ]
    hop_by_hop = [
        ("Connection", "x-own, close"),
        ("X-Own", "1"),
        ("Transfer-Encoding", "chunked"),
        ("TE", "trailers"),
    ]
    headers = CIMultiDict(end_to_end_headers + hop_by_hop)
    assert list(end_to_end(headers, headers.items()).items()) == end_to_end_headers


@pytest.mark.parametrize(
    ("length", "expected"), [("8", True), ("9", False), ("", False), ("-1", False), ("\u0665", False)]
)
def test_a_message_is_within_the_limit_only_if_its_length_header_says_so(length, expected):
    assert has_length_within({"Content-Length": length}, 8) is expected
