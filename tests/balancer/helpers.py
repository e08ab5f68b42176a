"""Builders that the tests of the decision module share."""

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
    """Build plain settings with the named classes; `changes` replace top-level fields."""
    raw: dict[str, Any] = {
        "Profiles": [dict(CLASSES[name]) for name in names or ("safe",)],
        "FailureDomains": ["left", "right"],
        "PolicyLimits": {"MaxAttempts": 4},
    }
    raw.update(changes)
    return raw


def listing(count: int, **changes: Any) -> list[Listing]:
    """Build a list of `count` servers, by default active and in zone 0."""
    return [Listing(f"s{i}", cell=i // 2, **changes) for i in range(count)]


def balancer(*names: str, servers: int = 6, now: float = 0.0, seed: int = 1, **changes: Any) -> Balancer:
    """Build a balancer that has received its remembered server list."""
    instance = Balancer(now, Settings.parse(raw_settings(*names, **changes)), seed)
    instance.server_list(now, "remembered", listing(servers))
    return instance


def arrival(request: int, now: float = 0.0, traffic_class: int = 0, left: float = 1000.0) -> Arrival:
    """Build a request whose client gives up after `left` ms."""
    return Arrival(request, traffic_class, now + left)


def of_type(actions: list[Any], kind: type) -> list[Any]:
    """Return the actions of one type, in order."""
    return [action for action in actions if isinstance(action, kind)]
