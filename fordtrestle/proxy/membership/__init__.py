"""Where the endpoint list of a service comes from: a registry over HTTP, or the operator's file."""
