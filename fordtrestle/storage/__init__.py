"""The append-only log on the disk of a control process."""
