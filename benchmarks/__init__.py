"""Measurements on loopback sockets, one a file; the program under test is a black box."""
