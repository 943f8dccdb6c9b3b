"""Jobs of which a worker is known to have begun a run."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.commands import EndRuns
from rhubarbfield.scheduling.model import TaskName
from rhubarbfield.scheduling.recording import propose_until_committed
from rhubarbfield.scheduling.state import Job, find_job_id
from rhubarbfield.types import JobId

# Half of the age that a count of waiting jobs may have.
SAVE_INTERVAL = timedelta(seconds=1)
MAX_SAVED_JOBS = 4096  # of one command, which has a size limit


class BegunJobs:
    """Learns which jobs have begun, and replicates it for the next leader.

    An order to start says nothing: it may be refused, or never arrive.

    Parameters
    ----------
    log
        The deployment's log.
    clock
        Source of time.
    """

    def __init__(self, log: ReplicatedLog[SchedulingLogState], clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._unsaved: dict[JobId, None] = {}

    def record(self, tasks: Iterable[TaskName]) -> None:
        """Record that workers have begun runs of some tasks."""
        jobs = self._log.state.scheduling.jobs
        for task in tasks:
            job = jobs.get(find_job_id(task))
            # A worker may list tasks of an earlier job with the same id.
            if job is not None and job.started and not job.begun:
                self._unsaved[job.job] = None

    def has_begun(self, job: Job) -> bool:
        """Return whether a worker is known to have begun a run of a job."""
        return job.has_begun or job.job in self._unsaved

    def list_unsaved(self) -> tuple[JobId, ...]:
        """Return the jobs to name in the next command that records ends."""
        return tuple(self._unsaved)[:MAX_SAVED_JOBS]

    def drop_saved(self, saved: Sequence[JobId]) -> None:
        """Forget jobs whose begin is committed."""
        for job in saved:
            self._unsaved.pop(job, None)

    async def run(self) -> None:
        """Save what no command about ends has saved, until cancelled."""
        while True:
            await self._clock.sleep(SAVE_INTERVAL)
            while unsaved := self.list_unsaved():
                command = EndRuns(workers=(), begun=unsaved)
                await propose_until_committed(self._log, command, self._clock)
                self.drop_saved(unsaved)
