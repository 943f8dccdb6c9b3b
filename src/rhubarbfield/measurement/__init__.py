"""Measurements of the program, each a command that prints a table."""
