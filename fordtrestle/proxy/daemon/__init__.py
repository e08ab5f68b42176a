"""One process: its parts wired together, its signals and its end."""
