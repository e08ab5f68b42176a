"""What the stand-ins say to one another: calls, the body that belongs to each, and scripted answers."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass, fields
from functools import lru_cache
from typing import Any, Literal
from urllib.parse import parse_qsl, urlencode

KNOWN_TENANT = "acme"
UNKNOWN_TENANT = "nobody"
SIZE_MOST = 1024 * 1024  # bytes of an answer's body
DELAY_MOST_MS = 60_000.0
METHODS = {"look": "GET", "book": "POST", "pay": "POST"}  # pure, token and side_effect

Way = Literal["answer", "silent", "reset", "half"]
Behind = Literal["", "answer", "noise"]
NOISE = b"\x00\xff\x16\x03stray"


@dataclass(frozen=True, slots=True)
class Act:
    """What a server does with one request.

    `way`: a whole answer, nothing at all, a reset, or half an answer and then a reset. `delay_ms` of
    None is drawn from the server's own time. `copy_after_ms`: the same answer once more, so long after
    the first. `behind`: what follows the answer in the same bytes, a 200 of its own or noise.
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
            raise ValueError(f"no such act: {self.way!r}, {self.behind!r}")
        if not 200 <= self.status <= 599 or not 0 <= self.size_bytes <= SIZE_MOST:
            raise ValueError(f"out of range: status {self.status}, {self.size_bytes} bytes")
        for delay in (self.delay_ms, self.copy_after_ms):
            if delay is not None and not 0.0 <= delay <= DELAY_MOST_MS:
                raise ValueError(f"out of range: {delay} ms")

    def as_json(self) -> dict[str, Any]:
        """All that differs from a plain answer, as JSON values."""
        plain = asdict(Act())
        return {name: value for name, value in asdict(self).items() if value != plain[name]}

    def query(self) -> str:
        """The act as a query, which sidecars pass on: a request that carries its own script."""
        return urlencode({name: int(v) if isinstance(v, bool) else v for name, v in self.as_json().items()})


def act_of(values: Mapping[str, Any]) -> Act:
    """An act from JSON values; `ValueError` or `TypeError` where it is none."""
    return Act(**values)


@lru_cache(maxsize=256)
def act_of_query(query: str) -> Act | None:
    """The act that a request brings along; None without one. `ValueError` where it is none."""
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
    """The one body that belongs to a call: its id over and over, once at least."""
    line = call_id.encode() + b"\n"
    return line if size_bytes <= len(line) else (line * (size_bytes // len(line) + 1))[:size_bytes]


def call_ids(seed: str) -> Iterator[str]:
    """Identities that no other seed gives, for good."""
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
    """A request as an application writes it to its sidecar; `KeyError` for an unknown class."""
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
