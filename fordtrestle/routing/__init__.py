"""Which route a request takes and which server gets it. Pure."""
