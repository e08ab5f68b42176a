"""The real sidecar: sockets, timers and ledgers around the decision module."""
