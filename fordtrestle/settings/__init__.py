"""Reads and validates the settings that a process is started with."""
