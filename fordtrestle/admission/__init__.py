"""Whether a request is sent at all: load, retries, cold servers. Pure."""
