"""Filters and builds the headers of forwarded messages (RFC 9110, section 7.6.1). Pure."""

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

EVENT_STREAM = "text/event-stream"  # media type of server-sent events
MISDIRECTED_STATUS = 421  # the address belongs to another incarnation (RFC 9110, section 15.5.20)
MS_PER_S = 1000.0


def end_to_end(headers: Mapping[str, str], pairs: Iterable[tuple[str, str]]) -> CIMultiDict[str]:
    """Return the end-to-end headers of a message, without the hop-by-hop headers.

    Args:
        headers: All headers of the message. Its `Connection` header may name further hop-by-hop headers.
        pairs: The same headers as names and values, in order and with duplicates.

    Returns:
        The end-to-end headers, in order.
    """
    connection_headers = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    forwarded: CIMultiDict[str] = CIMultiDict()
    for name, value in pairs:
        if name.lower() not in HOP_BY_HOP and name.lower() not in connection_headers:
            forwarded.add(name, value)
    return forwarded


def headers_for_server(forwarded: CIMultiDict[str], instance: str, remaining_s: float) -> CIMultiDict[str]:
    """Return the headers of a request to one server.

    Args:
        forwarded: The end-to-end headers of the client's request.
        instance: The id of the server incarnation that the request is intended for.
        remaining_s: The time until the deadline, in seconds. It is included only if the client's request has
            a deadline header, as at least 1 ms.

    Returns:
        A copy of the headers with the expected instance and, where included, the remaining time.
    """
    headers = forwarded.copy()
    headers[EXPECT_INSTANCE] = instance
    update_deadline(headers, remaining_s)
    return headers


def update_deadline(headers: CIMultiDict[str], remaining_s: float) -> None:
    """Set the time until the deadline, in seconds, if the headers contain one; to at least 1 ms."""
    if DEADLINE in headers:
        headers[DEADLINE] = str(max(1, int(remaining_s * MS_PER_S)))


def media_type_of(headers: Mapping[str, str]) -> str:
    """Return the media type of a message in lower case, without parameters; empty if it has none."""
    return headers.get("Content-Type", "").partition(";")[0].strip().lower()


def has_framing(headers: Mapping[str, str]) -> bool:
    """Return whether the end of a message's body is marked by other means than the end of its connection."""
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def has_length_within(headers: Mapping[str, str], max_bytes: int) -> bool:
    """Return whether a message has a valid `Content-Length` of at most `max_bytes`."""
    length = headers.get("Content-Length", "")
    return length.isascii() and length.isdigit() and int(length) <= max_bytes
