"""Builders shared by the tests."""

from __future__ import annotations

from typing import Any

from fordtrestle.balancer import Balancer, Settings
from fordtrestle.balancer.model import Arrival, Listing

CLASSES = {
    "safe": {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0},
    "keyed": {
        "Semantics": "token",
        "Group": "cell",
        "KeyTtl": 500.0,
        "Objective": 200.0,
        "Deadline": 1000.0,
    },
    "unsafe": {"Semantics": "side_effect", "Objective": 200.0, "Deadline": 1000.0},
}


def raw_settings(*names: str, **changes: Any) -> dict[str, Any]:
    """Plain settings with the named classes; `changes` replace whole members."""
    raw: dict[str, Any] = {
        "Profiles": [dict(CLASSES[name]) for name in names or ("safe",)],
        "FailureDomains": ["left", "right"],
        "PolicyLimits": {"MaxAttempts": 4},
    }
    raw.update(changes)
    return raw


def listing(count: int, **changes: Any) -> list[Listing]:
    """`count` active servers, all near unless told otherwise."""
    return [Listing(f"s{i}", cell=i // 2, **changes) for i in range(count)]


def balancer(*names: str, servers: int = 6, now: float = 0.0, seed: int = 1, **changes: Any) -> Balancer:
    """A balancer that has its remembered list."""
    made = Balancer(now, Settings.parse(raw_settings(*names, **changes)), seed)
    made.server_list(now, "remembered", listing(servers))
    return made


def arrival(request: int, now: float = 0.0, traffic_class: int = 0, left: float = 1000.0) -> Arrival:
    """A request whose client gives up after `left`."""
    return Arrival(request, traffic_class, now + left)


def of_type(actions: list[Any], kind: type) -> list[Any]:
    """The actions of one kind, in order."""
    return [action for action in actions if isinstance(action, kind)]
