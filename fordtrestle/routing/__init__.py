"""Selects the route and the server of each request. Pure."""
