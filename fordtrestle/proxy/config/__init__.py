"""What a process is told at its start."""
