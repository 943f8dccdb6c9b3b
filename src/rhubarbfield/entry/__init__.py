"""The daemon on the request path: callers in, backend servers out."""

from rhubarbfield.entry.daemon import run_entry

__all__ = ["run_entry"]
