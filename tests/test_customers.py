"""Customers differ in their settings only: each site's settings work, and the program names no customer."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

from rig import fleet
from tests.loopback import OK, App, Upstream, break_off, loopback, running

ROOT = Path(__file__).resolve().parent.parent
SITES = sorted((ROOT / "deploy" / "sites").glob("*/*.toml"))
EFFECTS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
PROGRAM = [
    *(ROOT / "fordtrestle").rglob("*.py"),
    ROOT / "deploy" / "balancer.toml",
]


def load_site(path):
    return tomllib.loads(path.read_text(encoding="utf-8"))


def customer_names(site):
    """Return the names that a customer gives to its classes, tenants, tiers, kinds and zones."""
    rows = [*site["class"], *site.get("tenant", ()), *site["tier"]]
    kinds = [kind for tier in site["tier"] for kind in tier["kind"]]
    return {site["name"], *site["net"]["zones"], *(row["name"] for row in rows + kinds)}


def profiles(site):
    """Return a site's classes in the form of the settings, with times ten times as long for slow machines."""
    return [
        {
            "Name": row["name"],
            "Semantics": EFFECTS[row["effect"]],
            "Group": row.get("group", "all"),
            "KeyTtl": 10.0 * row.get("window_ms", 5000),
            "Objective": 10.0 * row["aim_ms"],
            "Deadline": 10.0 * row["deadline_ms"],
            "Worth": float(row["worth"]),
        }
        for row in site["class"]
    ]


def find_names(text, names):
    """Return the names that occur in a text as whole words, in any case."""
    lowered = {name.lower() for name in names}
    return sorted(lowered & set(re.findall(r"[a-z0-9]+(?:-[a-z0-9]+)*", text.lower())))


ALL_NAMES = {name for path in SITES for name in customer_names(load_site(path))} | {
    row.name for row in fleet.CLASSES
}


def test_there_are_customers_of_different_kinds():
    sites = [load_site(path) for path in SITES]
    assert len({len(site["class"]) for site in sites}) == len(sites) >= 2
    assert {site["discovery"]["mode"] for site in sites} == {"push", "ask"}
    assert {row["effect"] for site in sites for row in site["class"]} == set(EFFECTS)
    for path in SITES:
        assert all((path.parent / name).is_file() for name in ("real.json", "wire.json", "unlock.txt"))


def test_names_are_found_as_whole_words():
    """Checks the search itself: hyphens, quotes, case and longer words."""
    assert find_names('if band.name == "Ticket-Issue":', {"ticket-issue"}) == ["ticket-issue"]
    assert find_names("ticket-issued, my-ticket-issue", {"ticket-issue"}) == []
    assert len(ALL_NAMES) > 20
    assert "port-check" in ALL_NAMES
    assert find_names((ROOT / "rig" / "fleet.py").read_text(), ALL_NAMES) == ["port-check", "port-commit"]


@pytest.mark.parametrize("path", PROGRAM, ids=lambda path: str(path.relative_to(ROOT)))
def test_no_customer_names_occur_in_the_program_or_its_deploy_file(path):
    assert find_names(path.read_text(encoding="utf-8"), ALL_NAMES) == []


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
@loopback
async def test_each_customers_classes_are_served_and_retried_as_its_settings_say(path):
    """If a connection breaks during a request, an unsafe request is not retried; others are, once."""
    site = load_site(path)
    tenants = [{"Name": row["name"], "AllowancePerS": 50.0} for row in site.get("tenant", ())]
    upstreams = [await Upstream().start() for _ in range(4)]  # in one zone and one cell
    settings = {"Profiles": profiles(site), "Tenants": tenants, "FailureDomains": site["net"]["zones"]}
    async with running(*upstreams, **settings) as sidecar:
        for row in site["class"]:
            app = await App.connect(sidecar.address)
            replies = [break_off, OK]
            for upstream in upstreams:
                upstream.replies = replies
                upstream.seen.clear()
            method = "GET" if row["effect"] == "safe" else "POST"
            key = "k1" if row["effect"] == "keyed" else None
            caller = tenants[0]["Name"] if tenants else None
            answer = await app.ask(method, f"/{row['name']}", X_Caller=caller, Idempotency_Key=key)
            served = answer.start.split(" ")[1] == "200"
            attempts = sum(len(upstream.seen) for upstream in upstreams)
            assert (served, attempts) == ((False, 1) if row["effect"] == "unsafe" else (True, 2)), row["name"]
            app.close()
