"""What parts of a leader need of it."""

from __future__ import annotations

from typing import Protocol

from rhubarbfield.scheduling.commands import WorkerEnds
from rhubarbfield.scheduling.model import CheckpointToken, TaskName
from rhubarbfield.scheduling.state import Worker
from rhubarbfield.types import Term, WorkerId


class SessionHost(Protocol):
    """What a session needs of the leader that it belongs to."""

    def find_worker(self, worker: WorkerId) -> Worker | None:
        """Return the replicated record of a worker."""

    def get_term(self) -> Term | None:
        """Return the term in which orders may be given now, or None."""

    async def record_ends(self, ends: WorkerEnds) -> None:
        """Record ends; returns once they are committed."""

    async def remove_worker(
        self, worker: WorkerId, checkpoints: dict[TaskName, CheckpointToken]
    ) -> None:
        """Record that a life of a machine is over."""

    def note_view(self, worker: WorkerId) -> None:
        """Learn that the worker has just been seen."""

    def needs_frequent_views(self, worker: Worker) -> bool:
        """Return whether tasks there are harmed by their neighbours at once."""
