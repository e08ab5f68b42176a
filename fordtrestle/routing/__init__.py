"""Which route a request takes and which servers may get it. Pure."""
