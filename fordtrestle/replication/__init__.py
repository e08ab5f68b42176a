"""Control state: epochs, witnesses, primary and backups. Pure: time, messages and disk are handed in."""
