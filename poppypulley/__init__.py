"""Decisions of a sidecar balancer for service-to-service calls."""

from poppypulley.balancer import Balancer
from poppypulley.model import Settings

__all__ = ["Balancer", "Settings"]
