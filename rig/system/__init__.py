"""Loopback deployment of the whole system: real processes, simulated model servers, operator and clients."""
