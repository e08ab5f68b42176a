"""Wiring of one role each: processes of the system."""
