"""Plain typed values that the decision module takes and gives: no decisions."""

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
    """Why a request was refused or failed; each answer has one.

    Of several that hold, that its time is over comes first; for one that may have run, then that its attempts
    are used up, or else that no rule lets it be sent again; and then the first check that turned it away: the
    lots (of THROTTLE, SHED and PRESSURE the one that asks for the most), the trials of an OUTAGE, the draw.
    Where servers were kept from the draw for several reasons, the last of them as listed here is blamed: its
    server came nearest to being sent to.
    """

    DRAIN = 0  # no server of the list takes requests: none is told, or all of them leave
    ATTEMPTS = 1  # none is left, or each server that it may go to was tried
    MAY_HAVE_RUN = 2  # and no rule lets it be sent again, or not there
    NO_TIME = 3  # left; or it would come too late: too heavy, or its turn too far off
    RESTING = 4  # the server was ejected, turned all away or refused connections, and has its one trial out
    CUT_OFF = 5  # the server's zone is silent while another is not
    FULL_ROOM = 6  # the server holds as many of ours as it takes
    COLD = 7  # the server is cold, and has had what it may have of this fleet
    OUTAGE = 8  # nothing at all is accepted, and its trials are out
    THROTTLE = 9  # the window's requests exceed what was accepted too far
    SHED = 10  # servers turn work away: what is worth least goes
    PRESSURE = 11  # this sidecar itself is pressed


class Send(NamedTuple):
    """Start an attempt; it times out after `timeout` milliseconds.

    One whose first byte is not written `begin_within` milliseconds from now must not begin any more: its
    outcome is ABANDONED.
    """

    request: int
    server: str
    timeout: float
    begin_within: float = math.inf


class Refuse(NamedTuple):
    """Final answer: refused, and a client's retry does no harm."""

    request: int
    retry_after: float
    cause: Cause = Cause.DRAIN


class Fail(NamedTuple):
    """Final answer: failed, with no promise about effects."""

    request: int
    cause: Cause = Cause.DRAIN


class Cancel(NamedTuple):
    """Stop waiting for one attempt."""

    request: int
    attempt: int


class Timer(NamedTuple):
    """Ask for a timer event with this token after `delay` milliseconds."""

    delay: float
    token: str


class Fetch(NamedTuple):
    """Ask discovery for the whole list once."""


class Watch(NamedTuple):
    """Ask discovery to send changes from now on, or to stop."""

    on: bool


class Probe(NamedTuple):
    """Ask one server how it is."""

    server: str


class CloseIdle(NamedTuple):
    """Close the idle connections to a server."""

    server: str


class Tell(NamedTuple):
    """Send a message to one peer, or to all when `peer` is None."""

    peer: int | None
    data: bytes


class Log(NamedTuple):
    """A line for on-call staff."""

    text: str


Action = Send | Refuse | Fail | Cancel | Timer | Fetch | Watch | Probe | CloseIdle | Tell | Log


class Listing(NamedTuple):
    """One entry of a server list."""

    server: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: str = "active"
    weight: float = 1.0
    started: float = 0.0


class Arrival(NamedTuple):
    """A client's request, with the clock time at which the client gives up."""

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
    """One request class."""

    objective: float
    deadline: float
    semantics: str
    group: str
    key_ttl: float
    late_worth: float
    streaming: bool
    worth: float
    in_turn: bool  # requests with one key run one at a time, in the order taken
    gone: bool = False  # of settings that have changed: the class keeps its place, and no attempt is begun

    @property
    def harmless(self) -> bool:
        """Whether one that may have run may be sent again to any server, by its client, too."""
        return self.semantics == "pure" or (self.semantics == "token" and self.group == "all")


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told at its start; names are deliberately not kept."""

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
    release_within: float  # 0: idle connections to a leaving server may stay
    settle_after_doubt: float
    tail: float  # the part of the goal that few misses decide
    weighted: bool

    @classmethod
    def parse(cls, raw: Mapping[str, Any]) -> Settings:
        """Read the settings; `ValueError` names the first senseless field."""
        if not isinstance(raw, Mapping):
            raise ValueError("settings: expected an object")
        limits = _part(raw, "PolicyLimits")
        rules = _part(raw, "Rules")
        report = _part(raw, "Report")
        profiles = _rows(raw, "Profiles")
        if not profiles:
            raise ValueError("Profiles: at least one request class is needed")
        zones = max(1, len(_list(raw, "FailureDomains")))
        fields = tuple(f for f in _list(report, "Fields", "Report.") if isinstance(f, str))
        return cls(
            profiles=tuple(_profile(row, f"Profiles[{i}].") for i, row in enumerate(profiles)),
            me=int(_number(raw, "Me", 0.0)),
            balancers=int(_number(raw, "Balancers", 1.0, low=1.0)),
            locality=int(_number(raw, "Locality", 0.0, high=zones - 1)),
            zones=zones,
            kinds=max(1, len(_list(raw, "Kinds"))),
            discovery=_word(raw, "Discovery", ("automatic", "subscribe"), "automatic"),
            warm_keys=_flag(_part(raw, "Domain"), "WarmKeys", "Domain."),
            allowances=tuple(
                _number(row, "AllowancePerS", math.inf, at=f"Tenants[{i}].")
                for i, row in enumerate(_rows(raw, "Tenants"))
            ),
            over_share_worth=_number(raw, "OverShareWorth", 1.0),
            worth_by_work=_word(raw, "WorthBy", ("request", "work"), "request") == "work",
            worst_class=_goal(raw, "WorstClass"),
            max_attempts=int(_number(limits, "MaxAttempts", 1.0, 1.0, at="PolicyLimits.")),
            max_retry_after=_number(limits, "MaxRetryAfter", 0.0, at="PolicyLimits."),
            may_cancel=_flag(limits, "MayCancel", "PolicyLimits."),
            may_probe=_flag(limits, "MayProbe", "PolicyLimits."),
            parallel_tries=_flag(limits, "ParallelTries", "PolicyLimits."),
            peer_messages=_flag(limits, "PeerMessages", "PolicyLimits."),
            retry_after=_flag(limits, "RetryAfter", "PolicyLimits."),
            connect_timeout=_number(limits, "ConnectTimeout", 250.0, at="PolicyLimits."),
            idle_close=_number(limits, "IdleClose", 15000.0, at="PolicyLimits."),
            prices={
                name: float(value)
                for name, value in _part(raw, "Prices").items()
                if isinstance(value, int | float)
            },
            report_how=_word(report, "How", ("inline", "on_probe", "off"), "off", "Report."),
            report_fields=fields,
            ask_within=_number(rules, "AskWithin", 10000.0, 1.0, at="Rules."),
            cold_from=_number(rules, "ColdFrom", 1.0, 0.0, 1.0, "Rules."),
            warm_up=_number(rules, "WarmUp", 0.0, at="Rules."),
            fall_multiple=_number(rules, "FallMultiple", 1.0, at="Rules."),
            overload_for=_number(rules, "OverloadFor", 0.0, at="Rules."),
            release_within=_number(rules, "ReleaseWithin", 0.0, at="Rules."),
            settle_after_doubt=_number(rules, "SettleAfterDoubt", 0.0, at="Rules."),
            tail=_goal(raw, "KeptPromises"),
            weighted=raw.get("WeightKind", "off") != "off",
        )


GOAL_PARTS = ("Whole", "WorstWindow", "WorstClass", "WorstTenant", "KeptPromises")


def _goal(raw: Mapping[str, Any], part: str) -> float:
    """The share of the goal that rests on one of its parts; its other figures are no weights."""
    goal = _part(raw, "Goal")
    whole = sum(_number(goal, name, 0.0, at="Goal.") for name in GOAL_PARTS)
    return _number(goal, part, 0.0, at="Goal.") / whole if whole else 0.0


def _profile(row: Mapping[str, Any], at: str) -> Profile:
    deadline = _number(row, "Deadline", None, 1e-3, at=at)
    return Profile(
        objective=_number(row, "Objective", deadline, 1e-3, at=at),
        deadline=deadline,
        semantics=_word(row, "Semantics", ("pure", "token", "side_effect"), None, at),
        group=_word(row, "Group", ("all", "zone", "cell"), "cell", at),
        key_ttl=_number(row, "KeyTtl", 0.0, at=at),
        late_worth=_number(row, "LateWorth", 0.0, at=at),
        streaming=_flag(row, "Streaming", at),
        worth=_number(row, "Worth", 1.0, at=at),
        in_turn=_flag(row, "InTurn", at),
    )


def _part(raw: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    part = raw.get(name)
    if part is None:
        return {}
    if not isinstance(part, Mapping):
        raise ValueError(f"{name}: expected an object")
    return part


def _list(raw: Mapping[str, Any], name: str, at: str = "") -> list[Any]:
    rows = raw.get(name)
    if rows is None:
        return []
    if not isinstance(rows, list):
        raise ValueError(f"{at}{name}: expected a list")
    return rows


def _rows(raw: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    rows = _list(raw, name)
    for i, row in enumerate(rows):
        if not isinstance(row, Mapping):
            raise ValueError(f"{name}[{i}]: expected an object")
    return rows


def _number(
    raw: Mapping[str, Any],
    name: str,
    default: float | None,
    low: float = 0.0,
    high: float = math.inf,
    at: str = "",
) -> float:
    value = raw.get(name, default)
    if value is None:
        value = default
    if value is None:
        raise ValueError(f"{at}{name}: missing")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{at}{name}: expected a number")
    # Only a default may be infinite: a given figure that is would overflow or never end.
    given_endless = math.isinf(value) and value is not default
    if given_endless or not low <= value <= high:
        raise ValueError(f"{at}{name}: {value} is out of range")
    return float(value)


def _flag(raw: Mapping[str, Any], name: str, at: str) -> bool:
    value = raw.get(name, False)
    if not isinstance(value, bool | None):
        raise ValueError(f"{at}{name}: expected true or false")
    return bool(value)


def _word(
    raw: Mapping[str, Any], name: str, words: tuple[str, ...], default: str | None, at: str = ""
) -> str:
    value = raw.get(name, default)
    if value is None:
        value = default
    if value not in words:
        raise ValueError(f"{at}{name}: expected one of {', '.join(words)}")
    return str(value)
