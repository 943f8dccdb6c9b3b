"""Jobs that stand still, since their tasks would harm serving tasks everywhere.

The load it answers: batch jobs on spare cores whose image slows all serving tasks,
while most of the workers' capacity is free. Waiting for a harmless place, such a job
would stand still for as long as the serving tasks run; so its tasks start where they
harm least, one after the other, and all members of a gang at once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.model import name_task
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.state import Job
from rhubarbfield.types import JobId, WorkerId


class Starvation:
    """Decides which jobs may start a task although it harms serving tasks.

    Parameters
    ----------
    limit
        For how long nothing of a job may work until it counts as starved.
    is_paused
        Returns whether a run on a worker is paused.
    clock
        Source of time.
    inherited
        Jobs that earlier leaders have accepted.
    """

    def __init__(
        self,
        limit: timedelta,
        is_paused: Callable[[WorkerId, RunKey], bool],
        clock: Clock,
        inherited: Iterable[JobId] = (),
    ) -> None:
        self._limit = limit
        self._is_paused = is_paused
        self._clock = clock
        self._idle_since: dict[JobId, timedelta] = {}
        self._starved: set[JobId] = set()
        self._inherited = set(inherited)

    def is_starved(self, job: Job, age: timedelta, is_mostly_free: bool) -> bool:
        """Return whether a job, of which a task found no worker, has starved.

        While most cores are free, a job that has starved once is starved whenever it
        has no live run, so that it does not pause after each of its runs. At a higher
        load its runs would slow jobs that are still in time. While it has some, and
        all are paused, it is starved after ``limit`` again: each has just done harm.

        When the last run of an inherited job ended is not known, so that it counts as
        idle since it was accepted.

        Parameters
        ----------
        job
            The job.
        age
            Time since it was accepted.
        is_mostly_free
            Whether less than half of its service's cores is reserved.
        """
        now = self._clock.monotonic()
        if job.job in self._inherited:
            self._inherited.remove(job.job)
            self._idle_since[job.job] = now - age
            if age > self._limit:
                self._starved.add(job.job)
        has_runs = False
        for worker, key in _iterate_runs(job):
            if not self._is_paused(worker, key):
                self._idle_since.pop(job.job, None)
                return False
            has_runs = True
        if not has_runs and is_mostly_free and job.job in self._starved:
            return True
        if now - self._idle_since.setdefault(job.job, now) <= self._limit:
            return False
        self._starved.add(job.job)
        return True

    def record_start(self, job: JobId) -> None:
        """Record that a run of a job was started."""
        self._idle_since.pop(job, None)
        self._inherited.discard(job)

    def forget(self, job: JobId) -> None:
        """Drop the data of a job that has ended."""
        self._idle_since.pop(job, None)
        self._starved.discard(job)
        self._inherited.discard(job)


def _iterate_runs(job: Job) -> Iterator[tuple[WorkerId, RunKey]]:
    """Yield the worker and the key of each run of a job that is live."""
    for occurrence, steps in job.unfinished.items():
        for number, progress in enumerate(steps):
            if progress.is_done:
                continue
            for index, task in enumerate(progress.tasks):
                if not task.live:
                    continue
                name = name_task(job.job, occurrence, number, index)
                for run, worker in task.live.items():
                    yield worker, RunKey(name, run)
