"""HTTP towards the servers of services."""
