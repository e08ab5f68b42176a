"""Epidemic dissemination and membership. Pure: time, messages and randomness are handed in."""
