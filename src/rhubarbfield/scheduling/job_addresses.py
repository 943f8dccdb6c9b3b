"""Lookup of jobs by the host and path at which they were accepted.

A caller knows a job by the address that it submitted it to. That address outlasts
the route: the job is read and cancelled there, whatever is configured now.
"""

from __future__ import annotations

from rhubarbfield.scheduling.model import MAX_JOB_ID_LENGTH, split_identity
from rhubarbfield.scheduling.state import Job, SchedulingState
from rhubarbfield.types import JobId


def find_job_at(state: SchedulingState, host: str, path: str) -> Job | None:
    """Return the held job that was accepted at a host and path.

    The longest prefix takes precedence, as it does among routes.
    """
    path = path.rstrip("/")
    longest = min(MAX_JOB_ID_LENGTH, len(path))
    for length in range(1, longest + 1):
        job = state.jobs.get(JobId(path[-length:]))
        if job is not None and _is_accepted_at(state, job, host, path[:-length]):
            return job
    return None


def _is_accepted_at(state: SchedulingState, job: Job, host: str, before: str) -> bool:
    """Return whether the queue of a host and the path before an id accepted a job."""
    queue = state.find_serving_queue(job.queue)  # has the job's own host and prefix
    own_host, prefix = (
        split_identity(job.queue) if queue is None else (queue.host, queue.prefix)
    )
    if own_host != host or not before.startswith(prefix):
        return False
    return not before[len(prefix) :].strip("/")
