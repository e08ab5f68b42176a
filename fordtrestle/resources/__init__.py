"""The resources of a process: quotas that its users share, and the order in which connections are evicted."""
