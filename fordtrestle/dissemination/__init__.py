"""Epidemic dissemination and membership. Pure: the caller passes in time, messages and randomness."""
