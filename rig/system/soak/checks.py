"""Checks the record of a play against the users' rules. Pure."""

from __future__ import annotations

import json
import signal
from collections import defaultdict
from collections.abc import Iterator

from rig.coordination.rules import check_history
from rig.system.model_server import SERVICE
from rig.system.soak.losses import check_losses, runs_by_send
from rig.system.soak.record import Finding, ProcessLifetime, Record
from rig.system.soak.run_checks import check_attempts, check_refusals, check_repeated_runs

STARTUP_S = 1.5  # within which a signal may end a process before it handles signals
MAX_REDIRECTED_SHARE = 1 / 20  # of the requests with home regions
MIN_HOME_REQUESTS = 40  # fewer are too few for a share
REDIRECT_SETTLE_S = 15.0  # after a disturbance, within which redirects are not counted
MAX_STALE_S = 8.0  # after its exit, within which a process may be returned along with others
MAX_STALE_ANSWERS = 3  # directory answers that return a process later than that
# Of all requests; the first applies to plays without disturbances.
MIN_SERVED_SHARE_PLANNED, MIN_SERVED_SHARE = 0.8, 0.4
OK = 200
HISTORY_S = 20.0  # within which a watch may resume after a revision


def check(record: Record) -> list[Finding]:
    """Return all breaches in the record of a play."""
    checks = (
        check_losses,
        _check_home_regions,
        check_repeated_runs,
        check_refusals,
        _check_answers,
        _check_streams,
        _check_services,
        _check_exits,
        _check_logs,
        check_attempts,
        _check_versions,
        _check_directory,
        _check_served,
        _check_coordination,
        _check_memory,
    )
    return [finding for check_rule in checks for finding in check_rule(record)]


def _check_home_regions(record: Record) -> Iterator[Finding]:
    """Check that requests with home regions run there and that few are redirected without a disturbance."""
    region_of = {lifetime.front: lifetime.region for lifetime in record.lifetimes if lifetime.front}
    disturbances = [(lifetime.region, at) for lifetime in record.lifetimes for at in lifetime.disturbed_at]
    runs, total, redirected = runs_by_send(record), 0, 0
    for request in record.requests:
        home_regions = request.kind.home_regions
        if not home_regions:
            continue
        for run in runs.get(request.key, ()):
            if run.zone.rpartition("-")[0] not in home_regions:
                yield Finding("HOME", f"{request.kind.name} {request.request_id} ran in {run.zone}")
        total += 1
        is_settled = not any(
            region == request.region and 0 <= request.sent - at <= REDIRECT_SETTLE_S
            for region, at in disturbances
        )
        redirected += is_settled and region_of[request.front] not in (*home_regions, request.region)
    if total >= MIN_HOME_REQUESTS and redirected > MAX_REDIRECTED_SHARE * total:
        yield Finding(
            "HOME", f"{redirected} of {total} requests with home regions were redirected to other regions"
        )


def _check_answers(record: Record) -> Iterator[Finding]:
    """Check that no client receives the response to another request."""
    for request in record.requests:
        if request.answered_id not in ("", request.request_id):
            yield Finding("MIXED", f"{request.request_id} got the response to {request.answered_id}")


def _check_streams(record: Record) -> Iterator[Finding]:
    """Check that each response that looks complete has all its events, each once, and no part of another."""
    for request in record.requests:
        if request.status != OK or not request.is_complete or request.events is None:
            continue
        if request.events != request.kind.events:
            yield Finding(
                "ORDER",
                f"{request.kind.name} {request.request_id} looks complete with {request.events} of "
                f"{request.kind.events} events",
            )


def _check_services(record: Record) -> Iterator[Finding]:
    """Check that requests run only at servers of the service that the routes lead to."""
    for run in record.runs:
        if run.service != SERVICE:
            yield Finding("ROUTE", f"{run.request_id} ran at a server of {run.service} in {run.zone}")


def _check_exits(record: Record) -> Iterator[Finding]:
    """Check that processes exit only after SIGTERM, within the grace time and with code 0."""
    for lifetime in record.lifetimes:
        if lifetime.ended is None or lifetime.disturbed_at:
            continue
        if lifetime.code == -signal.SIGHUP and lifetime.ended - lifetime.started <= STARTUP_S:
            continue  # the program cannot handle signals before the interpreter runs it
        if lifetime.sigterm_at is None:
            yield Finding("ENDS", f"{lifetime.machine} exited by itself with code {lifetime.code}")
        elif lifetime.overdue_state:
            delay_s, age_s = lifetime.ended - lifetime.sigterm_at, lifetime.sigterm_at - lifetime.started
            text = (
                f"{lifetime.machine}, {age_s:.2f} s old, exited {delay_s:.2f} s after SIGTERM, "
                f"code {lifetime.code}"
            )
            yield Finding("ENDS", f"{text}: after its grace time, in state {lifetime.overdue_state}")
        elif lifetime.code != 0 and lifetime.sigterm_at - lifetime.started > STARTUP_S:
            yield Finding("ENDS", f"{lifetime.machine} exited with code {lifetime.code}")


def _check_logs(record: Record) -> Iterator[Finding]:
    """Check that logs contain only events, and no traceback event."""
    for machine, line in record.log_lines:
        try:
            kind = json.loads(line)["message_type"]
        except (ValueError, KeyError, TypeError):
            yield Finding("LOG", f"{machine}: {line[:200]}")
            continue
        if kind == "eliot:traceback":
            yield Finding("LOG", f"{machine}: {line[:1000]}")


def _check_versions(record: Record) -> Iterator[Finding]:
    """Check that no read returns a configuration older than one acknowledged before it."""
    for read in record.reads:
        if read.generation < read.acknowledged:
            text = f"generation {read.generation} was read after {read.acknowledged} had been acknowledged"
            yield Finding("CONFIG", text)


def _check_directory(record: Record) -> Iterator[Finding]:
    """Check that the directory does not return processes that exited long ago along with others."""
    lifetimes = defaultdict(list)
    for lifetime in record.lifetimes:
        lifetimes[lifetime.front].append(lifetime)
    stale = 0
    for answer in record.directory_answers:
        exited_fronts = [front for front in answer.fronts if _has_exited(lifetimes[front], answer.at)]
        stale += bool(exited_fronts) and len(exited_fronts) < len(answer.fronts)
    if stale > MAX_STALE_ANSWERS:
        yield Finding("DRAIN", f"{stale} directory answers contained processes that had exited")


def _has_exited(lifetimes: list[ProcessLifetime], at: float) -> bool:
    """Return whether no process was running at that time or shortly before it."""
    return not any(
        lifetime.started <= at and (lifetime.ended is None or at - lifetime.ended <= MAX_STALE_S)
        for lifetime in lifetimes
    )


def _check_served(record: Record) -> Iterator[Finding]:
    """Check the share of requests that were served; one that was refused and sent again counts once."""
    requests = record.final_sends()
    served = sum(request.is_served for request in requests)
    is_planned = not record.has_server_faults and not any(
        lifetime.disturbed_at for lifetime in record.lifetimes
    )
    min_share = MIN_SERVED_SHARE_PLANNED if is_planned else MIN_SERVED_SHARE
    if served < min_share * len(requests):
        yield Finding("SERVED", f"{served} of {len(requests)} requests were served")


def _check_coordination(record: Record) -> Iterator[Finding]:
    """Check the history of locks, numbers, keys and watches, and that all of them are answered at the end."""
    for breach in check_history(record.calls, HISTORY_S):
        yield Finding(breach.rule, breach.text)
    for call in record.unanswered:
        yield Finding("LOST", f"no clear answer to the final call: {call}")


def _check_memory(record: Record) -> Iterator[Finding]:
    """Check that no process was larger than its limit."""
    for peak in record.memory_peaks:
        if peak.used_mb > peak.limit_mb:
            yield Finding("MEMORY", f"{peak.machine} used {peak.used_mb:.0f} of {peak.limit_mb:.0f} MB")
