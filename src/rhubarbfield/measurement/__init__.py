"""Commands that measure parts of the program and print a table."""
