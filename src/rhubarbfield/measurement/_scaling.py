"""Processor time of plans and commands by size of the fleet."""


def print_scaling() -> None:
    """Print a table."""
