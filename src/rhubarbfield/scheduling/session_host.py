"""Interface of the leader that its worker sessions use."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from rhubarbfield.scheduling.commands import WorkerEnds
from rhubarbfield.scheduling.crashes import CrashedRun
from rhubarbfield.scheduling.handover import ViewsInProgress
from rhubarbfield.scheduling.late_ends import AbandonCause
from rhubarbfield.scheduling.model import CheckpointToken, Step, TaskName
from rhubarbfield.scheduling.orders import Start
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.state import Worker
from rhubarbfield.types import Term, WorkerId

if TYPE_CHECKING:
    from rhubarbfield.scheduling.session import WorkerSession


class SessionHost(Protocol):
    """The leader, as a worker session uses it.

    Attributes
    ----------
    views
        The views of all sessions that are in progress.
    """

    views: ViewsInProgress

    def find_worker(self, worker: WorkerId) -> Worker | None:
        """Return the replicated record of a worker."""

    def get_term(self) -> Term | None:
        """Return the term if the leader may send orders now, else None."""

    def is_wanted(self, task: TaskName) -> bool:
        """Return whether runs of a task may work: neither it nor its job has ended."""

    def record_answer(self, worker: WorkerId, start: Start) -> None:
        """Record that a worker has answered the order to start a run."""

    async def record_ends(
        self, ends: WorkerEnds, since: timedelta | None = None
    ) -> None:
        """Record ends of runs; returns once they are committed.

        ``since`` is when they may have occurred, if that is long ago.
        """

    def record_abandoned(
        self, key: RunKey, cause: AbandonCause, basis: str | None = None
    ) -> None:
        """Record that a run counts as ended without the word of its worker."""

    async def remove_worker(
        self, worker: WorkerId, checkpoints: dict[TaskName, CheckpointToken]
    ) -> None:
        """Record that an incarnation of a machine has ended."""

    def list_checkpoints(self, worker: WorkerId) -> dict[TaskName, CheckpointToken]:
        """Return the newest checkpoint that views show of each run on a worker."""

    def assess_runs(self, session: WorkerSession) -> list[CrashedRun]:
        """Return what a crash of a worker, which is silent, says about its runs."""

    def fits_capacity(self, worker: Worker) -> bool:
        """Return whether a worker's capacity is known, and holds all its runs."""

    def handle_view(self, worker: WorkerId) -> None:
        """Process a new view of the worker."""

    def is_standing(self, task: TaskName) -> bool:
        """Return whether a task runs until its job is cancelled."""

    def find_steps(self, worker: Worker) -> Mapping[TaskName, Step]:
        """Return the steps of the tasks that are recorded on a worker."""

    def choose_view_timeout(self, worker: Worker) -> timedelta:
        """Return how long a view of a worker may wait for a run to end.

        Short if new runs can harm serving tasks, or the worker itself.
        """
