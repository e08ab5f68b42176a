"""The one append-only file of a control process."""
