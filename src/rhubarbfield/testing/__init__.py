"""Stand-ins for workers, backend servers and networks, for tests and trials."""
