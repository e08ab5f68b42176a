"""Messages between the stand-ins: calls, the body expected for each, and scripted answers."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass, fields
from functools import lru_cache
from typing import Any, Literal
from urllib.parse import parse_qsl, urlencode

KNOWN_TENANT = "acme"
UNKNOWN_TENANT = "nobody"
MAX_BODY_BYTES = 1024 * 1024  # of an answer
MAX_DELAY_MS = 60_000.0
METHODS = {"look": "GET", "book": "POST", "pay": "POST"}  # pure, token and side_effect

Way = Literal["answer", "silent", "reset", "half"]
Behind = Literal["", "answer", "noise"]
NOISE = b"\x00\xff\x16\x03stray"


@dataclass(frozen=True, slots=True)
class Act:
    """Scripted reaction of a server to a request.

    Attributes:
        way: A complete answer, no answer, a reset, or half an answer followed by a reset.
        delay_ms: Service time; None draws it from the range of the server.
        copy_after_ms: Time after which the same answer is sent again.
        behind: Bytes sent directly after the answer: another 200 answer, or noise.
    """

    way: Way = "answer"
    status: int = 200
    delay_ms: float | None = None
    size_bytes: int = 0
    rejected: bool = False
    copy_after_ms: float | None = None
    behind: Behind = ""
    close: bool = False

    def __post_init__(self) -> None:
        if self.way not in ("answer", "silent", "reset", "half") or self.behind not in (
            "",
            "answer",
            "noise",
        ):
            raise ValueError(f"unknown way {self.way!r} or behind {self.behind!r}")
        if not 200 <= self.status <= 599 or not 0 <= self.size_bytes <= MAX_BODY_BYTES:
            raise ValueError(
                f"status must be 200 to 599 and size_bytes 0 to {MAX_BODY_BYTES},"
                f" got {self.status} and {self.size_bytes}"
            )
        for delay in (self.delay_ms, self.copy_after_ms):
            if delay is not None and not 0.0 <= delay <= MAX_DELAY_MS:
                raise ValueError(f"a delay must be 0 to {MAX_DELAY_MS:g} ms, got {delay}")

    def as_json(self) -> dict[str, Any]:
        """Return the fields that differ from a default answer as JSON values."""
        plain = asdict(Act())
        return {name: value for name, value in asdict(self).items() if value != plain[name]}

    def query(self) -> str:
        """Return the act as a URL query; sidecars pass it on, so a request can carry its own script."""
        return urlencode({name: int(v) if isinstance(v, bool) else v for name, v in self.as_json().items()})


def act_of(values: Mapping[str, Any]) -> Act:
    """Create an act from JSON values.

    Raises:
        ValueError or TypeError: If the values are invalid.
    """
    return Act(**values)


@lru_cache(maxsize=256)
def act_of_query(query: str) -> Act | None:
    """Return the act that the query of a request contains, or None.

    Raises:
        ValueError: If its values are invalid.
    """
    names = {field.name for field in fields(Act)}
    values: dict[str, Any] = {}
    for name, text in parse_qsl(query):
        if name not in names:
            continue
        if name in ("way", "behind"):
            values[name] = text
        elif name in ("rejected", "close"):
            values[name] = text == "1"
        else:
            values[name] = float(text) if name.endswith("_ms") else int(text)
    return Act(**values) if values else None


def body_for(call_id: str, size_bytes: int) -> bytes:
    """Return the expected body for a call: its id repeated up to the size, but at least once."""
    line = call_id.encode() + b"\n"
    return line if size_bytes <= len(line) else (line * (size_bytes // len(line) + 1))[:size_bytes]


def call_ids(seed: str) -> Iterator[str]:
    """Generate call ids without end that differ between seeds."""
    rng = random.Random(seed)
    while True:
        yield f"{rng.getrandbits(64):016x}"


def request(
    call_id: str,
    kind: str = "look",
    budget_ms: int = 2000,
    tenant: str = KNOWN_TENANT,
    act: Act | None = None,
    body: bytes = b"",
) -> bytes:
    """Return a request of an application to its sidecar.

    Raises:
        KeyError: If the call class is unknown.
    """
    method = METHODS[kind]
    query = act.query() if act is not None else ""
    rows = [
        f"{method} /{kind}{'?' + query if query else ''} HTTP/1.1",
        "Host: api.internal",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {kind}",
        f"X-Caller: {tenant}",
        f"X-Budget: {budget_ms}m",
    ]
    if kind == "book":
        rows.append(f"Idempotency-Key: {call_id}")
    if method == "POST":
        rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*rows, "\r\n"]).encode() + body
