"""Stand-ins for the environment of a sidecar: servers, discovery, clients and connection floods.

The sidecar under test is a black box, so nothing here imports it.
"""
