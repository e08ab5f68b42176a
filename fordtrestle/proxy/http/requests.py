"""A client's request as it is parsed and judged, before it is taken. Pure."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from fordtrestle.proxy.http import wire
from fordtrestle.proxy.http.errors import BadRequestError

KEY_LIMIT = 2**53  # keys are integers that any program holds exactly, also one that knows only doubles
TARGET_TAIL_BYTES = 64  # of a target by which its end is found again

MAX_BUDGET_MS = 3_600_000.0  # an hour
# As many decimals as any machine writes of a number; in milliseconds (m) or microseconds (u).
BUDGET = re.compile(r"(\d{1,12}(?:\.\d{1,20})?)([mu])")
IDENTITY = re.compile(r"[!-~]{1,128}")
TARGET = re.compile(rb"/[!\"$-~]*")  # RFC 9112, 3.2.1: a path and a query; a fragment is never sent
# RFC 3986, 5.2.4: a server may take these away, and find the path of another class. And control
# characters, which some servers decode before they read on.
DOT_SEGMENT = re.compile(rb"/(?:\.|%2[eE]){1,2}(?:/|$)")
CONTROL_CHARACTER = re.compile(rb"%(?:[01][0-9a-fA-F]|7[fF])")
# Fields that are judged here, in the order in which they are written for a server.
JUDGED_FIELDS = (
    "host",
    "x-call-id",
    "x-call-class",
    "x-caller",
    "cookie",
    "x-again",
    "x-call-cost",
    "x-call-info",
    "idempotency-key",
)
# Written anew for each side.
REWRITTEN_FIELDS = frozenset(("x-budget", "content-length", "transfer-encoding"))
# Each at most once: guards against a head of which we judge one field and a server reads another.
SINGLE_FIELDS = REWRITTEN_FIELDS | frozenset(JUDGED_FIELDS)
FIELD_PREFIXES = tuple((name, name.encode() + b": ") for name in JUDGED_FIELDS)
# Passed on as they came, and not judged.
FORWARDED_FIELDS = frozenset(("content-type", "accept", "authorization", "traceparent", "tracestate"))


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class as requests name it: its index in the settings and the method that it asks for."""

    traffic_class: int
    method: str
    keyed: bool


@dataclass(frozen=True, slots=True)
class RequestNames:
    """The classes and tenants as requests name them, and the index in the settings of each tenant."""

    classes: Mapping[str, RequestClass]
    tenants: Mapping[str, int]


# Names of fields as they are written, and in lower case: those that clients use are few, and are met
# with each request. Bounded: guards against clients that make names up.
_LOWERCASE_NAMES: dict[bytes, str] = {}
MAX_CACHED_NAMES = 256


def lowercase_name(name: bytes) -> str:
    """Decode the name of a field in lower case: names differ in nothing else (RFC 9110, 5.1)."""
    known = _LOWERCASE_NAMES.get(name)
    if known is None:
        known = name.decode("latin-1").lower()
        if len(_LOWERCASE_NAMES) < MAX_CACHED_NAMES and len(name) <= TARGET_TAIL_BYTES:
            _LOWERCASE_NAMES[name] = known
    return known


class Message:
    """A request as it is parsed.

    Attributes:
        method: The method, once the head is complete.
        target: The request target so far (RFC 9112, 3.2).
        headers: The head's fields, as they came.
        body: The body's content so far.
        is_judged: Whether the head was judged, and found good.
    """

    __slots__ = ("_passed", "_values", "body", "headers", "is_judged", "method", "target")

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.headers: wire.Headers = []
        self.body = bytearray()
        self.is_judged = False
        self._values: dict[str, bytes] = {}
        self._passed: wire.Headers = []

    def finish_head(self) -> None:
        """Index the fields of a complete head, and reject what can be read in two ways.

        Raises:
            BadRequestError: With 400 a field that may come once comes twice, or the target may be read as
                another one; 404 the target is no path; 413 the body is too large (RFC 9110, 15.5.14); 501 a
                transfer coding that is not known (RFC 9112, 6.1).
        """
        values = self._values
        for key, raw in self.headers:
            # RFC 9110, 5.5: blanks behind a value are not of it.
            name, value = lowercase_name(key), raw.rstrip(b" \t")
            if name in SINGLE_FIELDS and name in values:
                raise BadRequestError(400, f"{name}: more than once")
            values[name] = value
            if name in FORWARDED_FIELDS:
                self._passed.append((key, value))
        if values.get("transfer-encoding", b"chunked").lower() != b"chunked":
            raise BadRequestError(501, "Transfer-Encoding: only chunked")
        if int(values.get("content-length") or 0) > wire.MAX_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        if TARGET.fullmatch(self.target) is None:
            raise BadRequestError(404, "no such path")
        if b"%" in self.target and CONTROL_CHARACTER.search(self.target):
            raise BadRequestError(400, "control characters in the target")
        dotted = b"/." in self.target or b"/%" in self.target
        if dotted and DOT_SEGMENT.search(self.target.partition(b"?")[0]):
            raise BadRequestError(400, "dot segments in the path")

    def names_other_protocol(self, raw: bytes) -> bool:
        """Whether the request line, if `raw` holds its end, names another protocol than HTTP.

        The parser takes RTSP/1.0 and ICE/1.0 for versions, too, and does not report which it was.
        """
        if b" RTSP/" not in raw and b" ICE/" not in raw:
            return False
        end = self.target[-TARGET_TAIL_BYTES:] + b" "
        return end + b"RTSP/" in raw or end + b"ICE/" in raw

    def encode_forwarded_fields(self) -> bytes:
        """Encode the known fields, and no others: what a server reads is what was judged here."""
        values, parts = self._values, list[bytes]()
        for name, start in FIELD_PREFIXES:
            value = values.get(name)
            if value is not None:
                parts += (start, value, b"\r\n")
        for key, value in self._passed:
            parts += (key, b": ", value, b"\r\n")
        return b"".join(parts)

    def text(self, name: str) -> str | None:
        """Find a field's value, if it is there; `name` is in lower case."""
        value = self._values.get(name)
        return None if value is None else value.decode("latin-1")

    def require(self, name: str) -> str:
        """Find a field's value; `BadRequestError` if it is not there."""
        value = self.text(name)
        if value is None:
            raise BadRequestError(400, f"{name}: missing")
        return value


def resolve_class(message: Message, names: RequestNames) -> RequestClass:
    """Find a request's class, which its path and a field name alike; the method follows from it.

    Raises:
        BadRequestError: There is no such class, or path, field and method don't agree.
    """
    path = message.target.partition(b"?")[0].decode("latin-1")
    first = path.split("/")[1] if path.startswith("/") else ""
    if first not in names.classes:
        # With a class in the header it is a request for servers, though of no class there is.
        status = 400 if message.text("x-call-class") is not None else 404
        raise BadRequestError(status, "no such path")
    kind = names.classes[first]
    if message.require("x-call-class") != first:
        raise BadRequestError(400, "X-Call-Class: not the first part of the path")
    if message.method != kind.method:
        raise BadRequestError(400, f"the class asks for {kind.method}")
    if kind.keyed and IDENTITY.fullmatch(message.require("idempotency-key")) is None:
        raise BadRequestError(400, "Idempotency-Key: not a key")
    return kind


def recheck_names(traffic_class: int, tenant: int, then: RequestNames, now: RequestNames) -> None:
    """Judge a head once more where other names hold by now.

    Guards against a request that is complete only after its class or caller was removed, or its class takes
    another form: what it is asked for by now can't be read from it any more.

    Raises:
        BadRequestError: It would not be taken as it was judged.
    """
    name = {kind.traffic_class: name for name, kind in then.classes.items()}[traffic_class]
    if name not in now.classes:
        raise BadRequestError(400, "no such path")
    caller = {index: name for name, index in then.tenants.items()}.get(tenant, "")
    if then.tenants and now.tenants and caller not in now.tenants:
        raise BadRequestError(400, "X-Caller: not known")
    if now.classes[name] != then.classes[name] or (now.tenants and now.tenants.get(caller) != tenant):
        raise BadRequestError(503, "what is asked for in a request of this class has changed")


def parse_budget(text: str) -> float:
    """Read X-Budget as milliseconds; `BadRequestError` if it is no time above 0 and up to `MAX_BUDGET_MS`."""
    match = BUDGET.fullmatch(text)
    if match is None:
        raise BadRequestError(400, "X-Budget: not a time")
    budget = float(match[1]) / (1.0 if match[2] == "m" else 1000.0)
    if not 0.0 < budget <= MAX_BUDGET_MS:
        raise BadRequestError(400, "X-Budget: out of range")
    return budget


def parse_cost(text: str) -> float:
    """Read X-Call-Cost, which is in milliseconds, as seconds; `BadRequestError` if it is no time."""
    try:
        cost = float(text) / 1000.0
    except ValueError:
        cost = math.nan
    if not 0.0 <= cost < math.inf:
        raise BadRequestError(400, "X-Call-Cost: not a time")
    return cost


def find_cookie(text: str, name: str) -> str | None:
    """Find a cookie's value in a Cookie field (RFC 6265, 4.2.1); None if it is not there."""
    for pair in text.split(";"):
        key, found, value = pair.strip().partition("=")
        if found and key == name:
            return value
    return None


def stable_number(text: str) -> int:
    """A text as a number below 2^53, the same in every process.

    Guards against `hash()`, which differs between processes: sidecars would disagree on a key.
    """
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) % KEY_LIMIT
