"""Stand-ins for clients, runners and the operator, for the cases of the review."""
