"""The sources of a service's endpoint list: a registry over HTTP, or the operator file."""
