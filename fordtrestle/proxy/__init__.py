"""The program in service: a sidecar that balances the calls of one application over a fleet."""
