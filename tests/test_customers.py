"""Whose sidecar it is, only the settings tell: days of other customers, and no name of one in the program."""

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


def site(path):
    return tomllib.loads(path.read_text(encoding="utf-8"))


def names(made):
    """What a customer calls its parts."""
    rows = [*made["class"], *made.get("tenant", ()), *made["tier"]]
    kinds = [kind for tier in made["tier"] for kind in tier["kind"]]
    return {made["name"], *made["net"]["zones"], *(row["name"] for row in rows + kinds)}


def profiles(made):
    """A site's classes as the settings tell them; times are ten times as long, for slow machines."""
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
        for row in made["class"]
    ]


def hits(text, words):
    """The names that stand in a text as words of their own, whatever their case."""
    met = {word.lower() for word in words}
    return sorted(met & set(re.findall(r"[a-z0-9]+(?:-[a-z0-9]+)*", text.lower())))


ALL_NAMES = {name for path in SITES for name in names(site(path))} | {made.name for made in fleet.CLASSES}


def test_there_are_customers_of_different_kinds():
    made = [site(path) for path in SITES]
    assert len({len(one["class"]) for one in made}) == len(made) >= 2
    assert {one["discovery"]["mode"] for one in made} == {"push", "ask"}
    assert {row["effect"] for one in made for row in one["class"]} == set(EFFECTS)
    for path in SITES:
        assert all((path.parent / name).is_file() for name in ("real.json", "wire.json", "unlock.txt"))


def test_a_name_is_found_where_it_stands():
    """Guards the search itself: hyphens, quotes, case and longer words."""
    assert hits('if band.name == "Ticket-Issue":', {"ticket-issue"}) == ["ticket-issue"]
    assert hits("ticket-issued, my-ticket-issue", {"ticket-issue"}) == []
    assert len(ALL_NAMES) > 20
    assert "port-check" in ALL_NAMES
    assert hits((ROOT / "rig" / "fleet.py").read_text(), ALL_NAMES) == ["port-check", "port-commit"]


@pytest.mark.parametrize("path", PROGRAM, ids=lambda path: str(path.relative_to(ROOT)))
def test_no_customers_names_stand_in_the_program_or_its_deploy_file(path):
    assert hits(path.read_text(encoding="utf-8"), ALL_NAMES) == []


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
@loopback
async def test_each_customers_classes_are_served_and_repeated_as_its_settings_say(path):
    """A connection that breaks under a request: what is unsafe is not sent again, all else once more."""
    made = site(path)
    tenants = [{"Name": row["name"], "AllowancePerS": 50.0} for row in made.get("tenant", ())]
    upstreams = [await Upstream().start() for _ in range(4)]  # in one zone and one cell
    told = {"Profiles": profiles(made), "Tenants": tenants, "FailureDomains": made["net"]["zones"]}
    async with running(*upstreams, **told) as sidecar:
        for row in made["class"]:
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
            tries = sum(len(upstream.seen) for upstream in upstreams)
            assert (served, tries) == ((False, 1) if row["effect"] == "unsafe" else (True, 2)), row["name"]
            app.close()
