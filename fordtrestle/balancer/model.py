"""Events, actions and settings of the decision module: plain typed values without decisions."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple


class Outcome(IntEnum):
    """How one attempt or probe ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    ABANDONED = 7


class Cause(IntEnum):
    """Why a request was refused or failed; each final answer has exactly one cause.

    If several causes apply, NO_TIME takes precedence. For a request that may have run, ATTEMPTS comes next,
    then MAY_HAVE_RUN. Otherwise the first check that rejected the request is the cause: the bound on trials
    during an OUTAGE, the random refusal (THROTTLE, SHED or PRESSURE, whichever asks for the largest share),
    or the selection of candidates. If servers were excluded from the selection for different reasons, the
    reason that is listed last here is the cause, because its server came closest to being chosen.
    """

    DRAIN = 0  # no server accepts requests: the list is empty, or every server is leaving
    ATTEMPTS = 1  # all attempts are used up, or every server that the request may go to was tried
    MAY_HAVE_RUN = 2  # an attempt may have run, and no rule allows a retry, or none on this server
    NO_TIME = 3  # expired, or would be answered too late: too much work, or too far back in its key's queue
    RESTING = 4  # the server is ejected, rejected all or refused connections, or its one trial is in flight
    CUT_OFF = 5  # the server's zone does not respond while another one does
    FULL_ROOM = 6  # the server has as many of this sidecar's requests in flight as it accepts
    COLD = 7  # the server is warming up, and is sent only a limited part of this fleet's requests
    OUTAGE = 8  # no server accepts anything, and the allowed trial requests are in flight
    THROTTLE = 9  # requests in the throttle's window exceed its accepts by too much
    SHED = 10  # the servers are overloaded, and the requests of least value are shed
    PRESSURE = 11  # this sidecar itself is overloaded


class Send(NamedTuple):
    """Starts an attempt, which times out after `timeout` milliseconds.

    If its first byte is not written within `begin_within` milliseconds from now, the attempt must not begin,
    and its outcome is ABANDONED.
    """

    request: int
    server: str
    timeout: float
    begin_within: float = math.inf


class Refuse(NamedTuple):
    """Refuses a request as its final answer: the client can safely retry it, after `retry_after` ms."""

    request: int
    retry_after: float
    cause: Cause = Cause.DRAIN


class Fail(NamedTuple):
    """Fails a request as its final answer: it may or may not have had effects."""

    request: int
    cause: Cause = Cause.DRAIN


class Cancel(NamedTuple):
    """Stops waiting for one attempt; `attempt` is its index among the request's attempts."""

    request: int
    attempt: int


class Timer(NamedTuple):
    """Requests a timer event with this token after `delay` milliseconds."""

    delay: float
    token: str


class Fetch(NamedTuple):
    """Requests the complete server list from discovery once."""


class Watch(NamedTuple):
    """Subscribes to changes of the server list, or ends the subscription."""

    on: bool


class Probe(NamedTuple):
    """Sends a health probe to one server."""

    server: str


class CloseIdle(NamedTuple):
    """Closes the idle connections to a server."""

    server: str


class Tell(NamedTuple):
    """Sends a message to one peer, or to all peers if `peer` is None."""

    peer: int | None
    data: bytes


class Log(NamedTuple):
    """Writes a log line for operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | Timer | Fetch | Watch | Probe | CloseIdle | Tell | Log


class Listing(NamedTuple):
    """One server of a server list; `started` is a clock time in milliseconds, 0 if it is unknown."""

    server: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: str = "active"
    weight: float = 1.0
    started: float = 0.0


class Arrival(NamedTuple):
    """A client's request; `give_up_at` is the clock time in milliseconds at which the client gives up."""

    request: int
    traffic_class: int
    give_up_at: float
    tenant: int = 0
    key: int | None = None
    work: float | None = None
    again: bool = False
    mutates: bool = False


@dataclass(frozen=True, slots=True)
class Profile:
    """The settings of one request class; times are in milliseconds."""

    objective: float
    deadline: float
    semantics: str
    group: str
    key_ttl: float
    late_worth: float
    streaming: bool
    worth: float
    in_turn: bool  # requests with the same key run one at a time, in the order of arrival
    gone: bool = False  # removed by a change of settings: the class keeps its index, and starts no attempts

    @property
    def harmless(self) -> bool:
        """Whether a request that may have run can be retried on any server, also by its client."""
        return self.semantics == "pure" or (self.semantics == "token" and self.group == "all")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one sidecar; times are in milliseconds.

    The names of classes, zones and kinds are deliberately not kept.
    """

    profiles: tuple[Profile, ...]
    me: int
    balancers: int
    locality: int
    zones: int
    kinds: int
    discovery: str
    warm_keys: bool
    allowances: tuple[float, ...]
    over_share_worth: float
    worth_by_work: bool
    worst_class: float
    max_attempts: int
    max_retry_after: float
    may_cancel: bool
    may_probe: bool
    parallel_tries: bool
    peer_messages: bool
    retry_after: bool
    connect_timeout: float
    idle_close: float
    prices: Mapping[str, float]
    report_how: str
    report_fields: tuple[str, ...]
    ask_within: float
    cold_from: float
    warm_up: float
    fall_multiple: float
    overload_for: float
    release_within: float  # 0: idle connections to a leaving server may stay open
    settle_after_doubt: float
    tail: float  # weight of KeptPromises in the goal, which few misses decide
    weighted: bool

    @classmethod
    def parse(cls, raw: Mapping[str, Any]) -> Settings:
        """Parse the settings from plain values.

        Raises:
            ValueError: A field is missing or invalid; the message names the first such field.
        """
        if not isinstance(raw, Mapping):
            raise ValueError(f"settings: expected an object, not {raw!r}")
        limits = _object(raw, "PolicyLimits")
        rules = _object(raw, "Rules")
        report = _object(raw, "Report")
        profiles = _objects(raw, "Profiles")
        if not profiles:
            raise ValueError("Profiles: expected at least one request class")
        zones = max(1, len(_list(raw, "FailureDomains")))
        fields = tuple(f for f in _list(report, "Fields", "Report.") if isinstance(f, str))
        return cls(
            profiles=tuple(_profile(row, f"Profiles[{i}].") for i, row in enumerate(profiles)),
            me=int(_number(raw, "Me", 0.0)),
            balancers=int(_number(raw, "Balancers", 1.0, low=1.0)),
            locality=int(_number(raw, "Locality", 0.0, high=zones - 1)),
            zones=zones,
            kinds=max(1, len(_list(raw, "Kinds"))),
            discovery=_choice(raw, "Discovery", ("automatic", "subscribe"), "automatic"),
            warm_keys=_flag(_object(raw, "Domain"), "WarmKeys", "Domain."),
            allowances=tuple(
                _number(row, "AllowancePerS", math.inf, path=f"Tenants[{i}].")
                for i, row in enumerate(_objects(raw, "Tenants"))
            ),
            over_share_worth=_number(raw, "OverShareWorth", 1.0),
            worth_by_work=_choice(raw, "WorthBy", ("request", "work"), "request") == "work",
            worst_class=_goal_weight(raw, "WorstClass"),
            max_attempts=int(_number(limits, "MaxAttempts", 1.0, 1.0, path="PolicyLimits.")),
            max_retry_after=_number(limits, "MaxRetryAfter", 0.0, path="PolicyLimits."),
            may_cancel=_flag(limits, "MayCancel", "PolicyLimits."),
            may_probe=_flag(limits, "MayProbe", "PolicyLimits."),
            parallel_tries=_flag(limits, "ParallelTries", "PolicyLimits."),
            peer_messages=_flag(limits, "PeerMessages", "PolicyLimits."),
            retry_after=_flag(limits, "RetryAfter", "PolicyLimits."),
            connect_timeout=_number(limits, "ConnectTimeout", 250.0, path="PolicyLimits."),
            idle_close=_number(limits, "IdleClose", 15000.0, path="PolicyLimits."),
            prices={
                name: float(value)
                for name, value in _object(raw, "Prices").items()
                if isinstance(value, int | float)
            },
            report_how=_choice(report, "How", ("inline", "on_probe", "off"), "off", "Report."),
            report_fields=fields,
            ask_within=_number(rules, "AskWithin", 10000.0, 1.0, path="Rules."),
            cold_from=_number(rules, "ColdFrom", 1.0, 0.0, 1.0, "Rules."),
            warm_up=_number(rules, "WarmUp", 0.0, path="Rules."),
            fall_multiple=_number(rules, "FallMultiple", 1.0, path="Rules."),
            overload_for=_number(rules, "OverloadFor", 0.0, path="Rules."),
            release_within=_number(rules, "ReleaseWithin", 0.0, path="Rules."),
            settle_after_doubt=_number(rules, "SettleAfterDoubt", 0.0, path="Rules."),
            tail=_goal_weight(raw, "KeptPromises"),
            weighted=raw.get("WeightKind", "off") != "off",
        )


GOAL_PARTS = ("Whole", "WorstWindow", "WorstClass", "WorstTenant", "KeptPromises")


def _goal_weight(raw: Mapping[str, Any], part: str) -> float:
    """Return the weight of one part of the goal, from 0 to 1; fields that are not parts are no weights."""
    goal = _object(raw, "Goal")
    total = sum(_number(goal, name, 0.0, path="Goal.") for name in GOAL_PARTS)
    return _number(goal, part, 0.0, path="Goal.") / total if total else 0.0


def _profile(row: Mapping[str, Any], path: str) -> Profile:
    deadline = _number(row, "Deadline", None, 1e-3, path=path)
    return Profile(
        objective=_number(row, "Objective", deadline, 1e-3, path=path),
        deadline=deadline,
        semantics=_choice(row, "Semantics", ("pure", "token", "side_effect"), None, path),
        group=_choice(row, "Group", ("all", "zone", "cell"), "cell", path),
        key_ttl=_number(row, "KeyTtl", 0.0, path=path),
        late_worth=_number(row, "LateWorth", 0.0, path=path),
        streaming=_flag(row, "Streaming", path),
        worth=_number(row, "Worth", 1.0, path=path),
        in_turn=_flag(row, "InTurn", path),
    )


def _object(raw: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    part = raw.get(name)
    if part is None:
        return {}
    if not isinstance(part, Mapping):
        raise ValueError(f"{name}: expected an object, not {part!r}")
    return part


def _list(raw: Mapping[str, Any], name: str, path: str = "") -> list[Any]:
    rows = raw.get(name)
    if rows is None:
        return []
    if not isinstance(rows, list):
        raise ValueError(f"{path}{name}: expected a list, not {rows!r}")
    return rows


def _objects(raw: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    rows = _list(raw, name)
    for i, row in enumerate(rows):
        if not isinstance(row, Mapping):
            raise ValueError(f"{name}[{i}]: expected an object, not {row!r}")
    return rows


def _number(
    raw: Mapping[str, Any],
    name: str,
    default: float | None,
    low: float = 0.0,
    high: float = math.inf,
    path: str = "",
) -> float:
    value = raw.get(name, default)
    if value is None:
        value = default
    if value is None:
        raise ValueError(f"{path}{name}: expected a number, but the field is missing")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{path}{name}: expected a number, not {value!r}")
    # Only a default may be infinite: an infinite value in the settings would overflow, or loop forever.
    is_given_infinite = math.isinf(value) and value is not default
    if is_given_infinite or not low <= value <= high:
        raise ValueError(f"{path}{name}: expected a finite number in [{low}, {high}], not {value}")
    return float(value)


def _flag(raw: Mapping[str, Any], name: str, path: str) -> bool:
    value = raw.get(name, False)
    if not isinstance(value, bool | None):
        raise ValueError(f"{path}{name}: expected true or false, not {value!r}")
    return bool(value)


def _choice(
    raw: Mapping[str, Any], name: str, choices: tuple[str, ...], default: str | None, path: str = ""
) -> str:
    value = raw.get(name, default)
    if value is None:
        value = default
    if value not in choices:
        raise ValueError(f"{path}{name}: expected one of {', '.join(choices)}, not {value!r}")
    return str(value)
