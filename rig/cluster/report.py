"""The report of a play, as JSON of one documented form; `python -m rig.cluster form` prints its schema."""

from __future__ import annotations

import math
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from rig.cluster.checkers import Finding, verdict
from rig.cluster.history import LIST, SETTINGS
from rig.cluster.judging import Played
from rig.cluster.schedules import Verdict

FORMAT = 2
MAX_FINDINGS = 200
MAX_SHOWN_EVENTS = 8  # per finding

Ms = Annotated[float, Meta(description="milliseconds", ge=0.0)]


class Found(Struct, frozen=True):
    """One finding of a checker. `shown`: the events that show it, as the nodes wrote them."""

    verdict: Verdict
    checker: str
    text: str
    shown: tuple[dict[str, Any], ...] = ()


class Longest(Struct, frozen=True):
    """The longest contradictions: on any server's entry of the lists, and on any settings."""

    lists_ms: Ms
    settings_ms: Ms
    lines: tuple[str, ...]


class Way(Struct, frozen=True):
    """What one direction of one link carried."""

    src: str
    dst: str
    taken_bytes: int
    passed_bytes: int
    messages: int
    dropped: int
    resets: int


class NodeUse(Struct, frozen=True):
    """What one node used over all of its lives. `rss_mb` is the peak memory of its last life."""

    node: str
    lives: int
    cpu_s: float
    rss_mb: float
    syncs: int
    written_bytes: int


class Report(Struct, frozen=True):
    """One play.

    `unsound`: why nothing in the report can be trusted. `recovery_ms`: null if a node never recovered.
    """

    format: int
    seed: int
    nodes: int
    length_ms: int
    bound_ms: Ms
    verdict: Verdict
    stated: Annotated[Verdict, Meta(description="what the schedule's file says it comes to")]
    unsound: tuple[str, ...]
    not_played: tuple[str, ...]
    longest: Longest
    recovery_ms: Ms | None
    findings: tuple[Found, ...]
    findings_more: Annotated[int, Meta(description=f"past {MAX_FINDINGS}, only counted")]
    answers: dict[str, int]
    ways: tuple[Way, ...]
    used: tuple[NodeUse, ...]
    events: Annotated[int, Meta(description="that the nodes told")]
    wall_s: float
    rig_cpu_s: float


def longest(played: Played) -> Longest:
    """Return the longest contradictions of lists and of settings."""
    spans = played.longest()
    lists = [span.ms for span in spans if span.rule.startswith(LIST)]
    settings = [span.ms for span in spans if span.rule.startswith(SETTINGS)]
    return Longest(
        max(lists, default=0.0), max(settings, default=0.0), tuple(span.line() for span in spans[:20])
    )


def report(played: Played, findings: list[Finding], bound_ms: float) -> Report:
    """Return the report of a play and of the findings of its checkers."""
    head = played.schedule.head
    recovered = played.recovery_ms()
    return Report(
        format=FORMAT,
        seed=head.seed,
        nodes=head.nodes,
        length_ms=head.length_ms,
        bound_ms=bound_ms,
        verdict=verdict(findings),
        stated=head.verdict,
        unsound=tuple(played.unsound),
        not_played=tuple(played.not_played),
        longest=longest(played),
        recovery_ms=recovered if math.isfinite(recovered) else None,
        findings=tuple(_found(finding) for finding in findings[:MAX_FINDINGS]),
        findings_more=max(0, len(findings) - MAX_FINDINGS),
        answers=dict(sorted(played.answers.items())),
        ways=tuple(
            Way(src, dst, made.taken, made.passed, made.messages, made.dropped, made.resets)
            for (src, dst), made in sorted(played.counts.items())
        ),
        used=tuple(
            NodeUse(node, made.lives, made.cpu_s, made.rss_mb, made.syncs, made.written_bytes)
            for node, made in played.used.items()
        ),
        events=len(played.events),
        wall_s=played.wall_s,
        rig_cpu_s=played.rig_cpu_s,
    )


def _found(finding: Finding) -> Found:
    shown = tuple(msgspec.to_builtins(event) for event in finding.shown[:MAX_SHOWN_EVENTS])
    return Found(finding.verdict, finding.checker, finding.text, shown)


def encode(made: Report) -> bytes:
    """Encode a report as the content of a file."""
    return msgspec.json.format(msgspec.json.encode(made), indent=1) + b"\n"


def decode(data: bytes) -> Report:
    """Decode the content of a file; `msgspec.MsgspecError` if it is no report."""
    return msgspec.json.decode(data, type=Report)


def schema() -> bytes:
    """Return the JSON Schema 2020-12 of a report."""
    return msgspec.json.format(msgspec.json.encode(msgspec.json.schema(Report)), indent=1) + b"\n"
