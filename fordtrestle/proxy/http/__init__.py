"""HTTP/1.1: the front that clients connect to, and the servers behind it."""
