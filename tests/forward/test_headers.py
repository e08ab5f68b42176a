"""What time and which headers a server is handed, at the first send and at a later one."""

from __future__ import annotations

from multidict import CIMultiDict

from fordtrestle.forward.headers import DEADLINE, EXPECT_INSTANCE, end_to_end, for_server


def test_a_later_send_is_handed_the_time_that_is_left_of_the_same_deadline():
    passed = CIMultiDict({DEADLINE: "5000", "X-Model": "m"})
    deadline = 100.0 + 5.0
    handed = [
        int(for_server(passed, "i-1", deadline - now)[DEADLINE]) for now in (100.0, 100.7, 104.9, 106.0)
    ]
    assert handed[0] == 5000
    assert 4299 <= handed[1] <= 4300
    assert 98 <= handed[2] <= 100
    assert handed[3] == 1
    assert passed[DEADLINE] == "5000"
    assert EXPECT_INSTANCE not in passed


def test_no_time_is_named_where_the_client_named_none():
    assert DEADLINE not in for_server(CIMultiDict(), "i-1", 3.0)


def test_what_tells_of_the_prompt_passes_as_it_came_and_what_concerns_one_connection_does_not():
    told = [("X-Model", "m"), ("X-Token-Count", "1460,80"), ("X-Prompt-Prefix", "5c1e:800,91bd:410")]
    own = [
        ("Connection", "x-own, close"),
        ("X-Own", "1"),
        ("Transfer-Encoding", "chunked"),
        ("TE", "trailers"),
    ]
    headers = CIMultiDict(told + own)
    assert list(end_to_end(headers, headers.items()).items()) == told
