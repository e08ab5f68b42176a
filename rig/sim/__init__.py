"""Simulation in virtual time: runs as fast as it can be computed and is reproducible by seed."""
