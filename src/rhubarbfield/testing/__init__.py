"""Stand-ins and fakes at the interfaces, for tests and the guided tour."""
