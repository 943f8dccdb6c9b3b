"""The adapter that speaks HTTP to backend servers."""

from rhubarbfield.backends.http import HttpBackends

__all__ = ["HttpBackends"]
