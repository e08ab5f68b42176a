"""The HTTP endpoint of a control process: operators' commands, heartbeats of servers, listings."""
