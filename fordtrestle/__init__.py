"""The real sidecar: sockets, timers and books around the decision module."""
