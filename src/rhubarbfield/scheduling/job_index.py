"""The open jobs among all jobs that the replicated state holds."""

from __future__ import annotations

from itertools import takewhile

from rhubarbfield.scheduling.model import Demand
from rhubarbfield.scheduling.state import Job, SchedulingState
from rhubarbfield.scheduling.workload import measure_standing
from rhubarbfield.types import JobId


class JobIndex:
    """The open jobs, and those that have ended since they were last asked for.

    Jobs are accepted in the order of their numbers, and an ended job stays
    ended, so only new and open jobs are examined.

    Attributes
    ----------
    open
        Open jobs in the order in which they were accepted.
    recurring
        Those of them that have occurrences in time.
    standing
        What the standing tasks of those that have any reserve together.
    """

    def __init__(self) -> None:
        self.open: dict[JobId, Job] = {}
        self.recurring: dict[JobId, Job] = {}
        self.standing: dict[JobId, Demand] = {}
        self._ended: list[Job] = []
        self._state: SchedulingState | None = None
        self._last_order = 0

    def synchronize(self, state: SchedulingState) -> None:
        """Update the index from the replicated state."""
        if state is not self._state:
            self._state = state
            self._last_order = 0
            self.open.clear()
            self.recurring.clear()
            self.standing.clear()
        for job in [job for job in self.open.values() if not job.is_open]:
            del self.open[job.job]
            self.recurring.pop(job.job, None)
            self.standing.pop(job.job, None)
            self._ended.append(job)
        new = takewhile(
            lambda job: job.order > self._last_order, reversed(state.jobs.values())
        )
        for job in reversed(list(new)):
            self._last_order = job.order
            if job.is_open:
                self.open[job.job] = job
                if job.submission.recurrence is not None:
                    self.recurring[job.job] = job
                if any(step.standing for step in job.submission.steps):
                    self.standing[job.job] = measure_standing(job.submission)
            else:
                self._ended.append(job)

    def take_ended(self) -> list[Job]:
        """Return the jobs that have ended since the last call."""
        ended, self._ended = self._ended, []
        return ended
