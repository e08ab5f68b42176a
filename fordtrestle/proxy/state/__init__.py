"""Persistent state: the only package of the proxy that stores state on disk."""
