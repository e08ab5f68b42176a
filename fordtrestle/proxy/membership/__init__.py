"""Where the list of servers comes from."""
