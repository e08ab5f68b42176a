"""The append-only record log of a control process."""
