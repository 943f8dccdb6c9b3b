"""The HTTP adapter for backend servers."""

from rhubarbfield.backends.http import HttpBackends

__all__ = ["HttpBackends"]
