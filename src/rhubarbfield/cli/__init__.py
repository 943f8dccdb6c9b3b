"""The command line."""

from __future__ import annotations


def main() -> None:
    """Run the command named on the command line."""
    raise SystemExit(2)
