"""Books and acts drawn from a world so small that they often meet in something, each by its number."""

from __future__ import annotations

from random import Random

from hypothesis import strategies as st
from msgspec.structs import replace

from fordtrestle.cluster import rulebook
from fordtrestle.cluster.rulebook import (
    EMPTY,
    Act,
    Change,
    ClassRules,
    Rulebook,
    ServerRules,
    ServiceRules,
    TenantRules,
    apply,
)

SERVICES, CLASSES, SERVERS = ("a", "b"), ("x", "y"), ("s0", "s1", "s2", "s3")
ZONES = ("east", "west")
TENANTS = ((), (TenantRules("t", share=0.5),), (TenantRules("t", share=0.25),))
BOUNDS = (*rulebook.SMALLER[1:], *rulebook.FLAGS, "release_ms", "settle_ms")
SAME = 0.85  # how often two books agree in one thing
FEW, SOME, COUNTS, FLAGS = (0.0, 5.0, 10.0), (5.0, 10.0), (1, 2, 3), (False, True)

CLASS = {
    "semantics": ("safe", "keyed", "keyed", "unsafe"),
    "aim_ms": SOME,
    "group": ("all", "zone", "cell"),
    "key_window_ms": SOME,
    "worth": FEW,
    "in_turn": FLAGS,
}
SERVICE = {
    "tenants": TENANTS,
    "attempts_most": COUNTS,
    "open_most": COUNTS,
    "connect_timeout_ms": SOME,
    "idle_close_ms": SOME,
    "retry_after_most_ms": FEW,
    "drain_grace_ms": FEW,
    "release_ms": FEW,
    "settle_ms": FEW,
    "warm_up_ms": FEW,
    "zones": (ZONES, ZONES[::-1]),
    "probes": FLAGS,
    "cancel": FLAGS,
    "parallel_tries": FLAGS,
}
SERVER = {
    "status": ("active", "active", "active", "leaving"),
    "incarnation": (1, 1, 2),
    "zone": ("", *ZONES),
    "group": (0, 1),
    "weight": (1.0, 2.0),
}


def _some(rng, names):
    return [name for name in names if rng.random() < 0.8]


def _drawn(rng, kinds):
    return {key: rng.choice(values) for key, values in kinds.items()}


def _class(rng, name):
    return ClassRules(name, deadline_ms=10.0, **_drawn(rng, CLASS))


def _server(rng, name):
    return ServerRules(name, f"{name}{rng.choice('gh')}:1", **_drawn(rng, SERVER))


def book_of(draw):
    """The book of that number."""
    rng = Random(draw)
    rules = {}
    for name in _some(rng, SERVICES):
        classes = tuple(_class(rng, kind) for kind in _some(rng, CLASSES)) or (_class(rng, "x"),)
        rules[name] = ServiceRules(classes, **_drawn(rng, SERVICE))
    lists = {name: tuple(_server(rng, at) for at in _some(rng, SERVERS)) for name in rules}
    return apply(EMPTY, Change(rules, lists), 1)


def _bent(rng, old, new):
    """One thing as it was, with what another draw has in its place here and there."""
    keys = [key for key in old.__struct_fields__ if rng.random() > SAME]
    return replace(old, **{key: getattr(new, key) for key in keys})


def _merged(rng, old, new):
    """Rows by name, of which some are bent and some there in one only."""
    names = {row.name: row for row in new}
    rows = {row.name: _bent(rng, row, names.get(row.name, row)) for row in old if rng.random() < SAME}
    rows |= {name: row for name, row in names.items() if rng.random() > SAME}
    return tuple(rows[name] for name in sorted(rows)) or old


def pair_of(draw):
    """Two books that agree in most."""
    rng = Random(draw)
    one, other = book_of(rng.random()), book_of(rng.random())
    rules = {name: row for name, row in one.services.items() if rng.random() < SAME}
    lists = {}
    for name, row in rules.items():
        new = other.services.get(name, row)
        rules[name] = replace(_bent(rng, row, new), classes=_merged(rng, row.classes, new.classes))
        lists[name] = _merged(rng, one.lists[name], other.lists.get(name, ()))
    return one, Rulebook(1, "", rules, lists)


def send_of(draw, whats=("first", "retry", "repeat", "repeat")):
    """The send of that number."""
    rng = Random(draw)
    server, what = rng.choice(SERVERS), rng.choice(whats)
    return Act(
        service=rng.choice(SERVICES),
        what=what,
        name=rng.choice(CLASSES),
        server=server,
        incarnation=rng.choice((1, 1, 2)),
        address=f"{server}{rng.choice('gh')}:1",
        hop=0 if what == "first" else rng.choice((0, 1, 1, 2)),
        amount=rng.choice((4.0, 5.0, 9.0)),
        ran_at=rng.choice(("", *SERVERS)),
        keyed=rng.random() < 0.8,
        parallel=rng.random() < 0.2,
        beside=rng.random() < 0.2,
    )


def act_of(draw):
    """The act of that number."""
    rng = Random(draw)
    if rng.random() < 0.8:
        return send_of(rng.random())
    amount = rng.choice((0.0, 1.0, 2.0, 5.0, 10.0, 20.0))
    return Act(rng.choice(SERVICES), rng.choice(BOUNDS), amount=amount)


DRAWS = st.integers(0, 2**48)
books, pairs = DRAWS.map(book_of), DRAWS.map(pair_of)
acts = DRAWS.map(lambda draw: [act_of(draw + place) for place in range(100)])
