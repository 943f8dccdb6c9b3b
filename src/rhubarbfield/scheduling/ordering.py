"""In which order waiting work is served."""

from __future__ import annotations

from rhubarbfield.scheduling.model import Queue
from rhubarbfield.scheduling.state import Job


def rank_job(job: Job, queue: Queue) -> tuple[float, ...]:
    """Return the rank of a job among the waiting; the lowest goes first.

    Urgent queues first; within a queue jobs that have started are finished
    before others begin, oldest first.
    """
    return (queue.priority, not job.started, job.order)
