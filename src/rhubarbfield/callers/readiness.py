"""Whether the balancer should send callers here."""

from __future__ import annotations


class Readiness:
    """Tells the balancer, and open connections, to go elsewhere.

    Attributes
    ----------
    stopping
        Whether a planned stop has begun; it never ends.
    """

    def __init__(self) -> None:
        self.stopping = False
        self._ready = False

    def is_ready(self) -> bool:
        """Say whether new callers are welcome."""
        return self._ready and not self.stopping

    def open(self) -> None:
        """Welcome new callers, unless a stop has begun."""
        self._ready = True

    def close(self) -> None:
        """Welcome no new callers for now."""
        self._ready = False

    def begin_stop(self) -> None:
        """Welcome no new callers ever again; those here are still served."""
        self.stopping = True
