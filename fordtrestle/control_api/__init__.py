"""The HTTP endpoint of a control process: operators' and applications' calls, heartbeats, listings."""
