"""Survey of the backlog: what is open, with which outlook, and what it holds.

It tells a backlog that delays new work from a lack of capacity, and both from
delays in the scheduler itself.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.scheduling.metrics import JOBS_BY_OUTLOOK
from rhubarbfield.scheduling.model import Queue, QueueName
from rhubarbfield.scheduling.ordering import Outlook
from rhubarbfield.scheduling.state import Job, TaskPhase

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.leader")

SURVEY_INTERVAL = timedelta(seconds=1)
MAX_SURVEYED = 20  # lines of one survey; queues beyond it are only counted


class BacklogShare(msgspec.Struct):
    """The open jobs of one queue with the same outlook.

    Attributes
    ----------
    jobs
        Number of jobs.
    waiting
        Number of tasks that could start if there was capacity for them.
    live
        Number of tasks that run.
    held_millicores, held_memory_mb
        Capacity that the live tasks reserve.
    """

    jobs: int = 0
    waiting: int = 0
    live: int = 0
    held_millicores: int = 0
    held_memory_mb: int = 0

    def add(self, job: Job) -> None:
        """Include a job."""
        self.jobs += 1
        for occurrence, steps in job.unfinished.items():
            for number, progress in enumerate(steps):
                if progress.is_done or not job.is_step_ready(occurrence, number):
                    continue
                reserved = job.get_step(number).reserved
                phases = [task.phase for task in progress.tasks]
                live = phases.count(TaskPhase.LIVE)
                self.waiting += phases.count(TaskPhase.WAITING)
                self.live += live
                self.held_millicores += live * reserved.millicores
                self.held_memory_mb += live * reserved.memory_mb


def survey_backlog(
    jobs: Iterable[Job], queues: Mapping[QueueName, Queue], backlog: Backlog
) -> dict[tuple[QueueName, Outlook], BacklogShare]:
    """Return the shares of the backlog by queue and outlook."""
    shares: dict[tuple[QueueName, Outlook], BacklogShare] = {}
    for job in jobs:
        queue = queues.get(job.queue)
        if queue is not None:
            key = (queue.name, backlog.find_outlook(job, queue))
            shares.setdefault(key, BacklogShare()).add(job)
    return shares


class BacklogLog:
    """Logs at intervals what the backlog consists of.

    Parameters
    ----------
    backlog
        Ages and outlooks of open jobs.
    clock
        Source of time.
    """

    def __init__(self, backlog: Backlog, clock: Clock) -> None:
        self._backlog = backlog
        self._clock = clock
        self._written_at: timedelta | None = None

    def write(
        self,
        jobs: Iterable[Job],
        queues: Mapping[QueueName, Queue],
        headrooms: Iterable[WorkerHeadroom],
    ) -> None:
        """Log the backlog and the free capacity, unless it was done just before."""
        now = self._clock.monotonic()
        if self._written_at is not None and now - self._written_at < SURVEY_INTERVAL:
            return
        self._written_at = now
        shares = survey_backlog(jobs, queues, self._backlog)
        for outlook in Outlook:
            JOBS_BY_OUTLOOK.labels(outlook.name.lower()).set(
                sum(share.jobs for key, share in shares.items() if key[1] is outlook)
            )
        for (queue, outlook), share in list(shares.items())[:MAX_SURVEYED]:
            log_event(
                logger,
                logging.INFO,
                "backlog-surveyed",
                queue=queue,
                outlook=outlook.name.lower(),
                **msgspec.structs.asdict(share),
                shares=len(shares),
            )
        _log_capacity(headrooms)


def _log_capacity(headrooms: Iterable[WorkerHeadroom]) -> None:
    """Log the capacity that is not reserved, and how it is distributed."""
    members = list(headrooms)
    free = [each.free for each in members]
    unshared = [each for each in members if not each.serving_images]
    log_event(
        logger,
        logging.INFO,
        "capacity-surveyed",
        workers=len(free),
        free_millicores=sum(max(each.millicores, 0) for each in free),
        largest_millicores=max((each.millicores for each in free), default=0),
        free_memory_mb=sum(max(each.memory_mb, 0) for each in free),
        without_serving=len(unshared),
        spare_without_serving=sum(max(each.spare_millicores, 0) for each in unshared),
    )
