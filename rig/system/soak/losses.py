"""Checks that no request of a play is lost (RULES: LOST). Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from rig.system.model_server import Run
from rig.system.soak.record import DEADLINE_S, ClientRequest, Finding, ProcessLifetime, Record

# A disturbance of its process from this long before a request until the end of the request excuses a loss.
DISTURBANCE_MARGIN_S = 5.0
MAX_UNFORWARDED_S = 0.5  # within which a request that was not forwarded may end without a response
MAX_STREAM_START_S = 3.0  # after SIGTERM; streams sent until then may be cut as the grace time ends
MIN_CUT_SHARE = 5.0 / 6.0  # of the grace time, after which such a stream may be cut
DEADLINE_SLACK_S = 0.05  # a request is handled at most this long before its sending is recorded


def _lifetime_of(record: Record, request: ClientRequest) -> ProcessLifetime | None:
    """Find the process that a request was sent to."""
    for lifetime in record.lifetimes:
        if lifetime.front == request.front and lifetime.started <= request.sent <= (
            lifetime.ended or request.sent
        ):
            return lifetime
    return None


def _is_excused(lifetime: ProcessLifetime, start: float, until: float) -> bool:
    return any(start - DISTURBANCE_MARGIN_S <= at <= until for at in lifetime.disturbed_at)


def runs_by_request(record: Record) -> dict[str, list[Run]]:
    """Return the runs of each request, by its id."""
    runs = defaultdict(list)
    for run in record.runs:
        runs[run.request_id].append(run)
    return runs


def runs_by_send(record: Record) -> dict[tuple[str, float], list[Run]]:
    """Return the runs of each request by its key: those that began before its id was sent again."""
    sends = defaultdict(list)
    for request in sorted(record.requests, key=lambda request: request.sent):
        sends[request.request_id].append(request)
    runs = defaultdict(list)
    for run in record.runs:
        of_id = sends.get(run.request_id)
        if of_id:
            before = [request for request in of_id if request.sent <= run.began]
            runs[(before or of_id[:1])[-1].key].append(run)
    return runs


def check_losses(record: Record) -> Iterator[Finding]:
    """Check that requests are answered completely.

    A request that was not forwarded may end without a response soon after it was sent. A stream that was
    sent early in the grace time may be cut near its end, and each may be cut at its deadline.
    """
    runs = runs_by_send(record)
    for request in record.requests:
        if request.is_complete or any(run.fault for run in runs.get(request.key, ())):
            continue  # its server broke off or was in trouble
        if request.ended - request.sent >= DEADLINE_S - DEADLINE_SLACK_S:
            continue  # RULES, LOST: "the deadline or the route's timeout was reached"
        lifetime = _lifetime_of(record, request)
        if lifetime is None or _is_excused(lifetime, request.sent, request.ended):
            continue
        where = f"{request.kind.name} {request.request_id} at {lifetime.machine} (exit code {lifetime.code})"
        sigterm_at = lifetime.sigterm_at
        after_sigterm = (
            "" if sigterm_at is None else f", sent {request.sent - sigterm_at:.2f} s after SIGTERM"
        )
        if request.key in runs:
            in_time = sigterm_at is not None and request.sent - sigterm_at <= MAX_STREAM_START_S
            late_cut = sigterm_at is not None and request.ended - sigterm_at >= MIN_CUT_SHARE * record.grace_s
            if not (request.kind.streaming and in_time and late_cut):
                duration_s = request.ended - request.sent
                yield Finding(
                    "LOST", f"{where}{after_sigterm} was forwarded and cut after {duration_s:.2f} s"
                )
        elif request.ended - request.sent > MAX_UNFORWARDED_S:
            yield Finding(
                "LOST",
                f"{where}{after_sigterm} ended without a response after {request.ended - request.sent:.2f} s",
            )
