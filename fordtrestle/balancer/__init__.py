"""Decisions of a sidecar balancer for service-to-service calls."""

from fordtrestle.balancer.balancer import Balancer
from fordtrestle.balancer.model import Settings

__all__ = ["Balancer", "Settings"]
