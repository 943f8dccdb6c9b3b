"""Measurements of the program; each is a command that prints a table."""
