"""Ages, remaining work and ranks of open jobs."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.clock import MILLISECOND, MS_PER_SECOND, Clock
from rhubarbfield.scheduling.model import Queue, QueueName
from rhubarbfield.scheduling.ordering import (
    Outlook,
    RemainingWork,
    find_latest,
    find_outlook,
    is_interrupted,
    measure_work,
    rank_job,
)
from rhubarbfield.scheduling.starvation import Starvation
from rhubarbfield.scheduling.state import Job
from rhubarbfield.types import JobId

# An older job is less likely than a clock that was stepped.
MAX_INITIAL_AGE_SECONDS = 60.0
# Times of callers have no bound of their own; longer ones are not valid durations.
MAX_OCCURRENCE_AGE_MS = timedelta(days=30) // MILLISECOND
MEAN_WEIGHT = 0.05  # weight of a new job in its queue's running mean of work


class Backlog:
    """The leader's in-memory data about open jobs, for ranking them.

    Parameters
    ----------
    clock
        Source of time.
    starvation
        Which of them stand still.
    """

    def __init__(self, clock: Clock, starvation: Starvation) -> None:
        self._clock = clock
        self._starvation = starvation
        self._accepted_at: dict[JobId, timedelta] = {}
        self._work: dict[JobId, tuple[tuple[int, ...], RemainingWork]] = {}
        self._mean_work: dict[QueueName, float] = {}

    def rank(self, job: Job, queue: Queue, occurrence: int) -> tuple[float, ...]:
        """Return the rank of an occurrence of a job; the lowest goes first."""
        work = self.measure(job)
        age = self._find_occurrence_age(job, occurrence)
        return rank_job(
            work,
            queue,
            age,
            self._mean_work.get(job.queue, 0.0),
            interrupted=work.is_standing and is_interrupted(job),
        )

    def find_outlook(self, job: Job, queue: Queue) -> Outlook:
        """Return whether a job can still reach its goal."""
        work = self.measure(job)
        interrupted = work.is_standing and is_interrupted(job)
        return find_outlook(work, queue, self.find_age(job), interrupted=interrupted)

    def is_starved(self, job: Job, is_mostly_free: bool) -> bool:
        """Return whether a job may start a task although it harms serving tasks."""
        return self._starvation.is_starved(job, self.find_age(job), is_mostly_free)

    def record_start(self, job: JobId) -> None:
        """Record that a run of a job was started."""
        self._starvation.record_start(job)

    def measure(self, job: Job) -> RemainingWork:
        """Return the remaining and total work of a job."""
        version = tuple(step.done for step in find_latest(job))
        known = self._work.get(job.job)
        if known is not None and known[0] == version:
            return known[1]
        work = measure_work(job)
        self._work[job.job] = (version, work)
        return work

    def forget(self, job: JobId) -> None:
        """Drop the data of a job that has ended."""
        self._accepted_at.pop(job, None)
        self._work.pop(job, None)
        self._starvation.forget(job)

    def find_age(self, job: Job) -> timedelta:
        """Return the time since a job was accepted, as far as this leader knows."""
        now = self._clock.monotonic()
        if job.job not in self._accepted_at:
            self._accepted_at[job.job] = now - self._estimate_initial_age(job)
            self._update_mean(job)
        return now - self._accepted_at[job.job]

    def _find_occurrence_age(self, job: Job, occurrence: int) -> timedelta:
        """Return the time since an occurrence was due; else the age of its job."""
        recurrence = job.submission.recurrence
        if recurrence is None:
            return self.find_age(job)
        due_ms = recurrence.first_ms + occurrence * recurrence.interval_ms
        age_ms = self._clock.now().timestamp() * MS_PER_SECOND - due_ms
        return min(max(age_ms, 0), MAX_OCCURRENCE_AGE_MS) * MILLISECOND

    def _estimate_initial_age(self, job: Job) -> timedelta:
        """Return the age of a job when this leader first sees it.

        An earlier leader may have accepted the job. The age comes from the time
        of day, which may have been stepped since, so it is only an estimate.
        """
        elapsed = self._clock.now().timestamp() - job.accepted_ms / MS_PER_SECOND
        return timedelta(seconds=min(max(elapsed, 0.0), MAX_INITIAL_AGE_SECONDS))

    def _update_mean(self, job: Job) -> None:
        whole = self.measure(job).total_millicore_ms
        mean = self._mean_work.get(job.queue, whole)
        self._mean_work[job.queue] = mean + MEAN_WEIGHT * (whole - mean)
