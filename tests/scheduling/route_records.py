"""What operators and clients of a random day of changing routes have sent."""

from __future__ import annotations

import msgspec

from rhubarbfield.scheduling.gateway import Undecided
from rhubarbfield.scheduling.model import Queue, QueueConfiguration
from rhubarbfield.scheduling.queue_index import QueueIndex
from rhubarbfield.scheduling.requests import Accepted, JobReply


class Change(msgspec.Struct):
    """A configuration that an operator sent.

    Attributes
    ----------
    configuration
        The configuration.
    acknowledged_at
        Time of its first acknowledgement, or None.
    """

    configuration: QueueConfiguration
    acknowledged_at: float | None = None

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue that takes a request."""
        return QueueIndex(self.configuration).find(host, path)


class Handed(msgspec.Struct):
    """A job that a client hands in.

    Attributes
    ----------
    name, host, prefix
        The job, and the route that it is handed in on.
    attempts
        The answer of each attempt.
    accepted
        Whether one was answered with success.
    cancelled
        Whether a cancel was sent.
    """

    name: str
    host: str
    prefix: str
    attempts: list[JobReply | Undecided] = []
    accepted: bool = False
    cancelled: bool = False

    @property
    def path(self) -> str:
        """Path of the job."""
        return self.prefix.rstrip("/") + "/" + self.name

    @property
    def is_rejected(self) -> bool:
        """Whether each attempt was answered as not run."""
        return bool(self.attempts) and not any(
            isinstance(each, Accepted)
            or (isinstance(each, Undecided) and each.in_doubt)
            for each in self.attempts
        )
