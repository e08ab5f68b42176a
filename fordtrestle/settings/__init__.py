"""Settings that a process is started with, read and checked."""
