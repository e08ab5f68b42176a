"""Decisions of a sidecar balancer for service-to-service calls.

The names below are loaded when they are first asked for: the system uses the throttle alone, and its
processes are not to pay for the other modules as they start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from fordtrestle.balancer.balancer import Balancer
    from fordtrestle.balancer.model import Settings

__all__ = ["Balancer", "Settings"]


def __getattr__(name: str) -> Any:
    """Return a public name of the package, and load its module (PEP 562).

    Raises:
        AttributeError: The package has no such name.
    """
    if name == "Balancer":
        from fordtrestle.balancer.balancer import Balancer

        return Balancer
    if name == "Settings":
        from fordtrestle.balancer.model import Settings

        return Settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
