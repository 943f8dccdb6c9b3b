"""Stand-ins for the systems around this one, for tests and first trials."""
