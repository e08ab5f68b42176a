"""Parsing and validation of a client's request before it is accepted. Pure."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from fordtrestle.proxy.http import wire
from fordtrestle.proxy.http.errors import BadRequestError

KEY_LIMIT = 2**53  # keys are integers that a double represents exactly
TARGET_TAIL_BYTES = 64  # the end of a target, by which its position in the raw bytes is found

MAX_BUDGET_MS = 3_600_000.0  # an hour
# A number in milliseconds (m) or microseconds (u), with as many decimals as any system writes.
BUDGET = re.compile(r"(\d{1,12}(?:\.\d{1,20})?)([mu])")
IDENTITY = re.compile(r"[!-~]{1,128}")
TARGET = re.compile(rb"/[!\"$-~]*")  # RFC 9112, 3.2.1: a path and a query; a fragment is never sent
# RFC 3986, 5.2.4: a server may remove dot segments and arrive at the path of another class. Control
# characters are rejected as well, because some servers decode them before they parse on.
DOT_SEGMENT = re.compile(rb"/(?:\.|%2[eE]){1,2}(?:/|$)")
CONTROL_CHARACTER = re.compile(rb"%(?:[01][0-9a-fA-F]|7[fF])")
# Fields that are validated here, in the order in which they are written for a server.
VALIDATED_FIELDS = (
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
# Written anew for each connection.
REWRITTEN_FIELDS = frozenset(("x-budget", "content-length", "transfer-encoding"))
# Allowed at most once: guards against a head of which we validate one value and a server reads another.
SINGLE_FIELDS = REWRITTEN_FIELDS | frozenset(VALIDATED_FIELDS)
FIELD_PREFIXES = tuple((name, name.encode() + b": ") for name in VALIDATED_FIELDS)
# Passed on as received, without validation.
FORWARDED_FIELDS = frozenset(("content-type", "accept", "authorization", "traceparent", "tracestate"))


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A traffic class that requests name: its index in the settings and the method that it requires."""

    traffic_class: int
    method: str
    keyed: bool


@dataclass(frozen=True, slots=True)
class RequestNames:
    """The classes and tenants that requests may name; tenants with their index in the settings."""

    classes: Mapping[str, RequestClass]
    tenants: Mapping[str, int]


# Caches field names in lower case, since clients use few names and use them in each request. Bounded, as a
# guard against clients that send ever new names.
_LOWERCASE_NAMES: dict[bytes, str] = {}
MAX_CACHED_NAMES = 256


def lowercase_name(name: bytes) -> str:
    """Decode the name of a field in lower case, since names are case-insensitive (RFC 9110, 5.1)."""
    known = _LOWERCASE_NAMES.get(name)
    if known is None:
        known = name.decode("latin-1").lower()
        if len(_LOWERCASE_NAMES) < MAX_CACHED_NAMES and len(name) <= TARGET_TAIL_BYTES:
            _LOWERCASE_NAMES[name] = known
    return known


class Message:
    """A request that is being parsed.

    Attributes:
        method: The method, once the head is complete.
        target: The request target so far (RFC 9112, 3.2).
        headers: The fields of the head, as received.
        body: The body so far.
        is_validated: Whether the head was validated and accepted.
    """

    __slots__ = ("_forwarded", "_values", "body", "headers", "is_validated", "method", "target")

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.headers: wire.Headers = []
        self.body = bytearray()
        self.is_validated = False
        self._values: dict[str, bytes] = {}
        self._forwarded: wire.Headers = []

    def finish_head(self) -> None:
        """Index the fields of a complete head and reject ambiguous ones.

        Raises:
            BadRequestError: Status 400 for a field that is allowed once and occurs twice, or a target that
                can be read as another one; 404 for a target that is not a path; 413 for a body that is too
                large (RFC 9110, 15.5.14); 501 for an unknown transfer coding (RFC 9112, 6.1).
        """
        values = self._values
        for key, raw in self.headers:
            # RFC 9110, 5.5: trailing white space is not part of a value.
            name, value = lowercase_name(key), raw.rstrip(b" \t")
            if name in SINGLE_FIELDS and name in values:
                raise BadRequestError(400, f"{name}: more than once")
            values[name] = value
            if name in FORWARDED_FIELDS:
                self._forwarded.append((key, value))
        if values.get("transfer-encoding", b"chunked").lower() != b"chunked":
            raise BadRequestError(501, "Transfer-Encoding: only chunked")
        if int(values.get("content-length") or 0) > wire.MAX_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        if TARGET.fullmatch(self.target) is None:
            raise BadRequestError(404, "no such path")
        if b"%" in self.target and CONTROL_CHARACTER.search(self.target):
            raise BadRequestError(400, "control characters in the target")
        may_have_dot_segment = b"/." in self.target or b"/%" in self.target
        if may_have_dot_segment and DOT_SEGMENT.search(self.target.partition(b"?")[0]):
            raise BadRequestError(400, "dot segments in the path")

    def names_other_protocol(self, raw: bytes) -> bool:
        """Return whether the request line, if `raw` contains its end, names a protocol other than HTTP.

        The parser accepts RTSP/1.0 and ICE/1.0 as well, and does not report which protocol it read.
        """
        if b" RTSP/" not in raw and b" ICE/" not in raw:
            return False
        end = self.target[-TARGET_TAIL_BYTES:] + b" "
        return end + b"RTSP/" in raw or end + b"ICE/" in raw

    def encode_forwarded_fields(self) -> bytes:
        """Encode only the known fields, so that a server reads what was validated here."""
        values, parts = self._values, list[bytes]()
        for name, prefix in FIELD_PREFIXES:
            value = values.get(name)
            if value is not None:
                parts += (prefix, value, b"\r\n")
        for key, value in self._forwarded:
            parts += (key, b": ", value, b"\r\n")
        return b"".join(parts)

    def text(self, name: str) -> str | None:
        """Return the value of a field, or None if it is missing; `name` is in lower case."""
        value = self._values.get(name)
        return None if value is None else value.decode("latin-1")

    def require(self, name: str) -> str:
        """Return the value of a field.

        Raises:
            BadRequestError: The field is missing.
        """
        value = self.text(name)
        if value is None:
            raise BadRequestError(400, f"{name}: missing")
        return value


def resolve_class(message: Message, names: RequestNames) -> RequestClass:
    """Return the class of a request, which its path and a field both name and which requires a method.

    Raises:
        BadRequestError: There is no such class, or path, field and method don't agree.
    """
    path = message.target.partition(b"?")[0].decode("latin-1")
    path_class = path.split("/")[1] if path.startswith("/") else ""
    if path_class not in names.classes:
        # A request with a class field is meant for servers, but its class does not exist.
        status = 400 if message.text("x-call-class") is not None else 404
        raise BadRequestError(status, "no such path")
    request_class = names.classes[path_class]
    if message.require("x-call-class") != path_class:
        raise BadRequestError(400, "X-Call-Class: not the first part of the path")
    if message.method != request_class.method:
        raise BadRequestError(400, f"the class asks for {request_class.method}")
    if request_class.keyed and IDENTITY.fullmatch(message.require("idempotency-key")) is None:
        raise BadRequestError(400, "Idempotency-Key: not a key")
    return request_class


def recheck_names(traffic_class: int, tenant: int, old: RequestNames, new: RequestNames) -> None:
    """Check whether a validated head is still valid under new names.

    Guards against a request that becomes complete after its class or caller was removed, or after its class
    changed what it requires: the head may then lack what is required now.

    Args:
        traffic_class: The index of its class under the old names.
        tenant: The index of its tenant under the old names.
        old: The names that the head was validated against.
        new: The names that apply now.

    Raises:
        BadRequestError: The head would not be accepted with the same class and tenant.
    """
    name = {request_class.traffic_class: name for name, request_class in old.classes.items()}[traffic_class]
    if name not in new.classes:
        raise BadRequestError(400, "no such path")
    caller = {index: name for name, index in old.tenants.items()}.get(tenant, "")
    if old.tenants and new.tenants and caller not in new.tenants:
        raise BadRequestError(400, "X-Caller: not known")
    if new.classes[name] != old.classes[name] or (new.tenants and new.tenants.get(caller) != tenant):
        raise BadRequestError(503, "what is asked for in a request of this class has changed")


def parse_budget(text: str) -> float:
    """Parse X-Budget and return milliseconds.

    Raises:
        BadRequestError: It is not a time above 0 and up to `MAX_BUDGET_MS`.
    """
    match = BUDGET.fullmatch(text)
    if match is None:
        raise BadRequestError(400, "X-Budget: not a time")
    budget = float(match[1]) / (1.0 if match[2] == "m" else 1000.0)
    if not 0.0 < budget <= MAX_BUDGET_MS:
        raise BadRequestError(400, "X-Budget: out of range")
    return budget


def parse_cost(text: str) -> float:
    """Parse X-Call-Cost, which is in milliseconds, and return seconds.

    Raises:
        BadRequestError: It is not a time of 0 or more.
    """
    try:
        cost = float(text) / 1000.0
    except ValueError:
        cost = math.nan
    if not 0.0 <= cost < math.inf:
        raise BadRequestError(400, "X-Call-Cost: not a time")
    return cost


def find_cookie(text: str, name: str) -> str | None:
    """Return the value of a cookie in a Cookie field (RFC 6265, 4.2.1); None if it is missing."""
    for pair in text.split(";"):
        key, found, value = pair.strip().partition("=")
        if found and key == name:
            return value
    return None


def stable_number(text: str) -> int:
    """Hash a text to a number below 2^53 that is the same in every process.

    `hash()` differs between processes, so sidecars would disagree on a key.
    """
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) % KEY_LIMIT
