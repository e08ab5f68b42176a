"""Soak test of the system: real processes are signalled, killed and restarted under traffic and changes."""
