"""Admission of requests: load shedding, retry and warm-up budgets, priorities. Pure."""
