"""State that outlives a process: the only package of the proxy that writes to disk for it."""
