"""HTTP client for the servers of services."""
