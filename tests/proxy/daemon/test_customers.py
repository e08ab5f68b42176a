"""The rules hold with the settings of any customer, while some servers hang, reset or reject."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.judged import Site, hang, reject, reset, serve
from tests.loopback import SETTINGS, App, running
from tests.proxy.http.test_bad_servers import judged, later
from tests.virtual import virtual

LIMITS = SETTINGS["PolicyLimits"]
BEHAVIOURS = (serve, later(0.02, serve), later(0.1, serve), hang, reset, reject, later(0.05, reset))


def kind(name, semantics, deadline=600.0, **changes):
    return {
        "Name": name,
        "Semantics": semantics,
        "Objective": deadline / 2.0,
        "Deadline": deadline,
        **changes,
    }


def keyed(name, group, window=300.0, deadline=600.0):
    return kind(name, "token", deadline, Group=group, KeyTtl=window)


FIVE = [
    kind("a", "pure"),
    keyed("b", "all"),
    keyed("c", "zone"),
    keyed("d", "cell", 60.0),
    kind("e", "side_effect"),
]
# The seeds of the tests contain the names.
CUSTOMERS = {
    "one safe class": {"Profiles": [kind("only", "pure")]},
    "one unsafe class": {"Profiles": [kind("only", "side_effect")]},
    "one keyed class, by cell": {"Profiles": [keyed("only", "cell", 150.0)]},
    "one keyed class, by zone": {"Profiles": [keyed("only", "zone")]},
    "five classes": {"Profiles": FIVE},
    "no tenants": {"Profiles": FIVE, "Tenants": []},
    "no zones, no kinds": {"Profiles": FIVE, "FailureDomains": [], "Kinds": []},
    "nothing is cancelled": {"Profiles": FIVE, "PolicyLimits": {**LIMITS, "MayCancel": False}},
    "second copies": {"Profiles": FIVE, "PolicyLimits": {**LIMITS, "ParallelTries": True}},
    "no word on when to return": {"Profiles": FIVE, "PolicyLimits": {**LIMITS, "RetryAfter": False}},
    "one attempt": {"Profiles": FIVE, "PolicyLimits": {**LIMITS, "MaxAttempts": 1}},
    "nothing but attempts": {"Profiles": FIVE, "PolicyLimits": {"MaxAttempts": 2}, "Rules": {}, "Report": {}},
    "50 ms": {
        "Profiles": [
            kind("quick", "pure", 50.0),
            keyed("key", "cell", 20.0, 50.0),
            kind("once", "side_effect", 50.0),
        ]
    },
    "a window longer than all": {"Profiles": [keyed("key", "all", 60_000.0), kind("look", "pure")]},
    "no window": {"Profiles": [keyed("key", "all", 0.0), kind("look", "pure")]},
    "alone": {"Profiles": FIVE, "Balancers": 1, "PolicyLimits": {**LIMITS, "PeerMessages": False}},
    "lists are asked for": {"Profiles": FIVE, "Discovery": "subscribe"},
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("customer", CUSTOMERS)
@virtual
async def test_the_rules_hold_with_any_settings(customer, seed):
    """Six servers in two zones and three cells: one serves, the behaviours of the others are random."""
    rng = random.Random(f"{customer}/{seed}")
    settings = {**SETTINGS, **CUSTOMERS[customer]}
    behaviours = [serve, *rng.choices(BEHAVIOURS, k=5)]
    rng.shuffle(behaviours)
    servers = [
        (f"s{i}", behaviour, {"zone": ("east", "west")[i % 2], "group": i % 3})
        for i, behaviour in enumerate(behaviours)
    ]

    async def client(site, address, row, pauses):
        app = await App.connect(address)
        for pause in pauses:
            await site.ask(address, row, row["Deadline"] / 1000.0, app)
            if app.reader.at_eof():
                app = await App.connect(address)
            await asyncio.sleep(pause)
        app.close()

    async with judged(settings, *servers) as (site, sidecar):
        rows = settings["Profiles"] * (8 // len(settings["Profiles"]))
        await asyncio.gather(
            *(client(site, sidecar.address, row, [rng.uniform(0.0, 0.05) for _ in range(8)]) for row in rows)
        )
    assert len(site.calls) == 8 * len(rows)
    assert site.attempts


# --- each limit is kept although a violation would serve the request ----------------------

SLOW_RESET = later(0.12, reset)
# The class; the changes of a customer who allows more; servers by zone and cell; the fault.
# Settings can't allow more for an unsafe class, since its method follows from its kind.
LIMIT_CASES = {
    "cells": (
        keyed("key", "cell", 5000.0),
        {"Group": "all"},
        [(reset, "east", 0), (reset, "east", 1), (serve, "east", 2)],
        "of another group",
    ),
    "zones": (
        keyed("key", "zone", 5000.0),
        {"Group": "all"},
        [(reset, "east", 0), (serve, "west", 0), (serve, "west", 0)],
        "of another group",
    ),
    "a window": (
        keyed("key", "all", 50.0),
        {"KeyTtl": 5000.0},
        [(SLOW_RESET, "east", 0), (SLOW_RESET, "east", 0), (serve, "east", 0)],
        "sent again after",
    ),
    "a window by cell": (
        keyed("key", "cell", 50.0),
        {"KeyTtl": 5000.0},
        [(SLOW_RESET, "east", 0), (SLOW_RESET, "east", 0), (serve, "east", 0)],
        "sent again after",
    ),
    "most attempts": (
        kind("look", "pure"),
        {},
        [(reset, "east", 0), (reset, "east", 0), (reset, "east", 0), (reset, "east", 0)],
        "3 attempts",
    ),
}


@pytest.mark.parametrize("allowed", [False, True], ids=["forbidden", "allowed"])
@pytest.mark.parametrize("limit", LIMIT_CASES)
@virtual
async def test_a_limit_is_kept_although_a_violation_would_serve_and_violations_are_detected(limit, allowed):
    """Judged by one customer's settings; if "allowed", the sidecar has those of one that allows more."""
    row, changes_if_allowed, servers, fault = LIMIT_CASES[limit]
    settings = {**SETTINGS, "Profiles": [row], "PolicyLimits": {**LIMITS, "MaxAttempts": 2}}
    sidecar_settings = settings
    if allowed:
        max_attempts = 3 if limit == "most attempts" else 2
        sidecar_settings = {
            **settings,
            "Profiles": [{**row, **changes_if_allowed}],
            "PolicyLimits": {**LIMITS, "MaxAttempts": max_attempts},
        }
    site = Site(settings)
    for number, (behaviour, zone, cell) in enumerate(servers):
        await site.add(f"s{number}", behaviour, zone=zone, group=cell)
    watching = asyncio.create_task(site.lag.watch())
    async with running(raw={"known": site.known()}, **sidecar_settings) as sidecar:
        sidecar.front.wake = sidecar.front.lag.wake
        for _ in range(10):
            await site.ask(sidecar.address, row, row["Deadline"] / 1000.0)
    watching.cancel()
    site.stop()
    broken = site.violations()
    assert [line for line in broken if fault in line] if allowed else broken == []
    # The limit mattered: some calls went to a server that does not serve.
    assert any(got.server.behave is not serve for got in site.attempts)
