"""Readiness of an entry for new connections."""

from __future__ import annotations

from collections.abc import Callable


class Readiness:
    """State that the readiness page reports to the load balancer.

    Parameters
    ----------
    is_informed
        Returns whether the entry knows which services exist. Until then it
        would refuse requests that another entry can serve.

    Attributes
    ----------
    stopping
        Whether a planned stop has begun; it can't be cancelled.
    """

    def __init__(self, is_informed: Callable[[], bool] = lambda: True) -> None:
        self.stopping = False
        self._is_informed = is_informed
        self._listening = False

    def is_ready(self) -> bool:
        """Return whether new connections are accepted."""
        return self._listening and self._is_informed() and not self.stopping

    def set_listening(self) -> None:
        """Report that the entry listens for connections."""
        self._listening = True

    def begin_stop(self) -> None:
        """Report not ready from now on; open connections are still served."""
        self.stopping = True
