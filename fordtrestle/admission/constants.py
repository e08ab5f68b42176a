"""Constants that several parts of admission share. Pure."""

from __future__ import annotations

# Part of a fleet-wide budget that sidecars divide among themselves. The rest is a reserve: for some seconds
# after a sidecar starts or fails their views of how many share the budget differ.
BUDGET_MARGIN = 0.7
