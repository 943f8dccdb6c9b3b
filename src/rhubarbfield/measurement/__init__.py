"""Commands that measure the system and print tables."""
