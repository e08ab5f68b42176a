"""Which headers pass between a client's connection and a server's (RFC 9110, section 7.6.1). Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)
REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
EXPECT_INSTANCE = "X-Expect-Instance"
NOT_EXECUTED = "X-Not-Executed"
PRIORITY = "Priority"
LAST_EVENT_ID = "Last-Event-Id"

MISDIRECTED_STATUS = 421  # another incarnation of the server is at the address (RFC 9110, section 15.5.20)
MS_PER_S = 1000.0


def end_to_end(headers: Mapping[str, str], pairs: Iterable[tuple[str, str]]) -> CIMultiDict[str]:
    """The headers that do not concern one connection only.

    Args:
        headers: All headers of the message; its `Connection` names further hop-by-hop ones.
        pairs: The same as names and values, in their order and with repetitions.

    Returns:
        The end-to-end headers, in their order.
    """
    connection_headers = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in pairs:
        if name.lower() not in HOP_BY_HOP and name.lower() not in connection_headers:
            passed.add(name, value)
    return passed


def headers_for_server(passed: CIMultiDict[str], instance: str, remaining_s: float) -> CIMultiDict[str]:
    """A request's headers for one server.

    Args:
        passed: The end-to-end headers of the client.
        instance: The incarnation of the server that the request is meant for.
        remaining_s: The time that is left; named only where the client named a deadline, 1 ms at least.

    Returns:
        A copy with these two.
    """
    headers = passed.copy()
    headers[EXPECT_INSTANCE] = instance
    if DEADLINE in headers:
        headers[DEADLINE] = str(max(1, int(remaining_s * MS_PER_S)))
    return headers


def has_length_within(headers: Mapping[str, str], max_bytes: int) -> bool:
    """Whether a message names a length, and one that is not above `max_bytes`."""
    length = headers.get("Content-Length", "")
    return length.isascii() and length.isdigit() and int(length) <= max_bytes
