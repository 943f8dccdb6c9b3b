"""The entry daemon, which routes requests from callers to backend servers."""

from rhubarbfield.entry.daemon import run_entry

__all__ = ["run_entry"]
