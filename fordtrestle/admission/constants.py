"""Constants that several parts of admission share. Pure."""

from __future__ import annotations

# The share of a fleet-wide budget that sidecars divide among themselves. The rest is a reserve: for some
# seconds after a sidecar starts or fails, sidecars disagree on how many share the budget.
BUDGET_MARGIN = 0.7
