"""HTTP connections from clients: accepted within quotas, accounted for, and bounded in time."""
