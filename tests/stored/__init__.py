"""Recorded bytes: the program must still read them, and write the current formats identically."""
