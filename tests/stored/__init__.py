"""Bytes that the program wrote once, kept as data: what landed has to be read, and written the same again."""
