"""Configuration of a process: the operator file (TOML), or the platform's JSON file and environment."""
