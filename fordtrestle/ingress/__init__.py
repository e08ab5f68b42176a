"""HTTP from clients: requests, readiness, directory."""
