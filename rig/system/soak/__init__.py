"""A soak of the system: real processes, signalled, killed and restarted beside traffic and changes."""
