"""Decisions of a sidecar balancer for service-to-service calls.

The public names are loaded on first access: the processes of the system use only the throttle, and must not
load the other modules when they start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from fordtrestle.balancer.balancer import Balancer
    from fordtrestle.balancer.model import Settings

__all__ = ["Balancer", "Settings"]


def __getattr__(name: str) -> Any:
    """Load the module of a public name and return the name's value (PEP 562).

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
