"""Checks of how often the requests of a play ran, against what clients and logs were told. Pure."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from fordtrestle.ingress.send_log import ATTEMPT_EVENT
from rig.system.soak.losses import runs_by_request, runs_by_send
from rig.system.soak.record import Finding, Record
from rig.system.soak.route_changes import allowed_runs, possibly_active

MAX_RUNS = 1  # of a request whose route does not allow that it is repeated


@dataclass(frozen=True, slots=True)
class LoggedAttempt:
    """What a machine's log tells of one attempt to send a request."""

    machine: str
    number: int
    server: str
    generation: int
    after: str | None


def check_repeated_runs(record: Record) -> Iterator[Finding]:
    """Check that a request runs again only if a configuration that may be active allows it."""
    runs_of = runs_by_send(record)
    attempts = _attempts_by_request(record)
    for request in record.requests:
        runs = sorted(runs_of.get(request.key, ()), key=lambda run: run.began)
        for count, run in enumerate(runs[1:], start=MAX_RUNS + 1):
            allowed = max(MAX_RUNS, allowed_runs(record.versions, request.path, request.sent, run.began))
            if count > allowed:
                generations = [version.generation for version in possibly_active(record.versions, run.began)]
                yield Finding(
                    "TWICE" if allowed == MAX_RUNS else "BUDGET",
                    f"{request.kind.name} {request.request_id} sent to {request.front} began run {count} "
                    f"{run.began - request.sent:.2f} s later, "
                    f"{allowed} allowed by generations {generations}; "
                    f"in the logs: {attempts[request.request_id]}",
                )


def check_refusals(record: Record) -> Iterator[Finding]:
    """Check that nothing runs whose client was promised that it has not run and never will."""
    runs_of = runs_by_send(record)
    attempts = _attempts_by_request(record)
    for request in record.requests:
        runs = runs_of.get(request.key, ())
        if request.is_refused and runs:
            delays = ", ".join(f"{run.began - request.sent:.2f} s" for run in runs)
            yield Finding(
                "REFUSED",
                f"{request.kind.name} {request.request_id} sent to {request.front} got {request.status} "
                f"and ran after {delays}; in the logs: {attempts[request.request_id]}",
            )


def check_attempts(record: Record) -> Iterator[Finding]:
    """Check that the logs tell of each run who sent the request, and that no request was handled twice.

    If an id has more first attempts than sends, two handlers have sent it; the clients of a crowd all use the
    same id. Programs from before this event log none.
    """
    attempts = _attempts_by_request(record)
    if not attempts:
        return
    for request_id, runs in runs_by_request(record).items():
        if len(runs) > len(attempts[request_id]):
            yield Finding("LOG", f"{request_id} began {len(runs)} runs, in the logs: {attempts[request_id]}")
    for request_id, sends in Counter(request.request_id for request in record.requests).items():
        logged = attempts[request_id]
        if sum(attempt.number == 1 for attempt in logged) > sends:
            yield Finding("TWICE", f"{request_id} was handled twice: {logged}")


def _attempts_by_request(record: Record) -> defaultdict[str, list[LoggedAttempt]]:
    """Return what the logs tell of the attempts of each request, by its id."""
    attempts: defaultdict[str, list[LoggedAttempt]] = defaultdict(list)
    for machine, line in record.log_lines:
        if ATTEMPT_EVENT in line:
            event = json.loads(line)
            attempt = LoggedAttempt(
                machine, event["attempt"], event["server"], event["generation"], event["after"]
            )
            attempts[event["request_id"]].append(attempt)
    return attempts
