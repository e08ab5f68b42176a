"""Agreed rules: rulebooks, their one order, the leases to act by them, and how they spread. Pure."""
