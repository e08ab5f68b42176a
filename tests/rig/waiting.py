"""What tests of the rig wait with: the bounds of the loopback partners, by names that fit here."""

from __future__ import annotations

from tests.loopback import PATIENCE_S, until
from tests.loopback import loopback as bounded

__all__ = ["PATIENCE_S", "address_of", "bounded", "until"]


def address_of(address):
    """`host:port` as a pair."""
    host, _, port = address.rpartition(":")
    return host, int(port)
