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
MS_PER_S = 1000.0


def end_to_end(headers: Mapping[str, str], pairs: Iterable[tuple[str, str]]) -> CIMultiDict[str]:
    """The headers that do not concern one connection only."""
    nominated = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in pairs:
        if name.lower() not in HOP_BY_HOP and name.lower() not in nominated:
            passed.add(name, value)
    return passed


def for_server(passed: CIMultiDict[str], instance: str, left_s: float) -> CIMultiDict[str]:
    """A request's headers for one server: whom it is meant for, and the time that is left."""
    headers = passed.copy()
    headers[EXPECT_INSTANCE] = instance
    if DEADLINE in headers:
        headers[DEADLINE] = str(max(1, int(left_s * MS_PER_S)))
    return headers
