"""Readiness of an entry for new connections."""

from __future__ import annotations


class Readiness:
    """State that the readiness page reports to the load balancer.

    Attributes
    ----------
    stopping
        Whether a planned stop has begun; it can't be cancelled.
    """

    def __init__(self) -> None:
        self.stopping = False
        self._ready = False

    def is_ready(self) -> bool:
        """Return whether new connections are accepted."""
        return self._ready and not self.stopping

    def set_ready(self) -> None:
        """Report that new connections are accepted, unless a stop has begun."""
        self._ready = True

    def set_unready(self) -> None:
        """Report that no new connections are accepted for now."""
        self._ready = False

    def begin_stop(self) -> None:
        """Report not ready for good; requests on open connections are still served."""
        self.stopping = True
