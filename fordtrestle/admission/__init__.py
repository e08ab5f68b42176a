"""Whether a request is sent at all: load shedding, retry and warm-up budgets, priorities. Pure."""
