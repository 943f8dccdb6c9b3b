"""Admission of jobs: what is accepted must leave others what they need.

The load it answers: standing jobs keep the capacity that they reserve until they
are cancelled, and together they ask for more than the workers have. If all were
accepted, finite jobs, which come and go, would find only pieces of capacity that
are too small for their tasks. A share of the capacity is therefore left to finite
jobs; standing work beyond the rest is rejected when it is submitted, since it could
only wait.
"""

from __future__ import annotations

import functools
from collections import Counter
from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from rhubarbfield.clock import MS_PER_SECOND, Clock
from rhubarbfield.scheduling.model import (
    Demand,
    JobSubmission,
    Queue,
    QueueName,
)
from rhubarbfield.scheduling.state import Job, SchedulingState
from rhubarbfield.types import JobId, ServiceName, Term

# Share of the capacity that standing work leaves to finite work.
MIN_FINITE_SHARE = 0.16
MAX_FINITE_SHARE = 0.35
# Finite work comes in bursts, and its tasks use a worker's capacity only in part.
FINITE_HEADROOM = 3.0
FINITE_WINDOW = timedelta(seconds=20)
# Standing jobs last minutes, so that capacity seldom becomes free sooner.
STANDING_RETRY_AFTER = timedelta(seconds=10)
# While new workers still report themselves, the capacity is not known yet.
REPORTING_PERIOD = timedelta(seconds=1)


class Rejection(msgspec.Struct, frozen=True):
    """A job is not accepted, since it could not be served.

    Attributes
    ----------
    reason
        Explanation for the caller, who may not learn about others' work.
    detail
        Explanation for operators.
    retry_after
        Time after which the caller should retry.
    """

    reason: str
    detail: str
    retry_after: timedelta


class PendingJob(msgspec.Struct):
    """A job that is proposed and may become accepted.

    Attributes
    ----------
    service
        Service whose workers would run it.
    standing
        What its standing tasks reserve.
    term
        Term of the leader that proposed it; no other one can still commit it.
    attempts
        Number of proposals whose outcome is not known.
    """

    service: ServiceName
    standing: Demand
    term: Term
    attempts: int = 0


class Admission:
    """Decides which submissions a leader accepts.

    Decisions depend on the replicated state, and on what is proposed but not yet
    applied to it.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pending: dict[JobId, PendingJob] = {}
        self._worker_counts: Counter[ServiceName] = Counter()
        self._grown_at: dict[ServiceName, timedelta] = {}

    def observe_workers(self, state: SchedulingState) -> None:
        """Observe the workers, after a report of one was applied to the state."""
        counts = Counter(worker.service for worker in state.workers.values())
        now = self._clock.monotonic()
        for service, count in counts.items():
            if count > self._worker_counts[service]:
                self._grown_at[service] = now
        self._worker_counts = counts

    def begin(
        self, job: JobId, queue: Queue, submission: JobSubmission, term: Term
    ) -> None:
        """Count a job as accepted, as it is about to be proposed."""
        pending = self._pending.get(job)
        if pending is None or pending.term != term:
            standing = measure_standing(submission)
            pending = PendingJob(queue.service, standing, term)
            self._pending[job] = pending
        pending.attempts += 1

    def withdraw(self, job: JobId) -> None:
        """Undo ``begin`` for a proposal that certainly takes no effect."""
        pending = self._pending.get(job)
        if pending is None:
            return
        pending.attempts -= 1
        if pending.attempts <= 0:
            del self._pending[job]

    def decide(
        self,
        job: JobId,
        queue: Queue,
        submission: JobSubmission,
        *,
        state: SchedulingState,
        term: Term,
    ) -> Rejection | None:
        """Return why a submission is rejected, or None if it is to be accepted.

        A job that may already be accepted is never rejected.
        """
        self._forget_settled(state, term)
        wanted = measure_standing(submission)
        if wanted == Demand() or job in self._pending:
            return None
        capacities = [
            worker.capacity
            for worker in state.workers.values()
            if worker.service == queue.service and not worker.draining
        ]
        if not capacities or self._are_reporting(queue.service):
            return None
        limit = self._find_standing_limit(state, queue.service, capacities)
        held = self._measure_accepted(state, queue.service)
        if _fits(wanted, held, limit):
            return None
        return Rejection(
            "the workers have no capacity left for work without an end",
            f"standing work reserves {held} of {limit}, the job asks for {wanted}",
            STANDING_RETRY_AFTER,
        )

    def _forget_settled(self, state: SchedulingState, term: Term) -> None:
        """Drop pending jobs that the state shows, or that can't be committed."""
        self._pending = {
            job: pending
            for job, pending in self._pending.items()
            if pending.term == term and job not in state.jobs
        }

    def _are_reporting(self, service: ServiceName) -> bool:
        """Return whether the number of workers has just grown."""
        grown_at = self._grown_at.get(service)
        if grown_at is None:
            return False
        return self._clock.monotonic() - grown_at < REPORTING_PERIOD

    def _measure_accepted(self, state: SchedulingState, service: ServiceName) -> Demand:
        """Return what accepted standing work reserves, running or not."""
        queues = state.map_queues()
        accepted = (
            measure_standing(job.submission)
            for job in state.jobs.values()
            if job.is_open and _is_of_service(job, queues, service)
        )
        pending = (
            each.standing for each in self._pending.values() if each.service == service
        )
        return _add_up(accepted).plus(_add_up(pending))

    def _find_standing_limit(
        self, state: SchedulingState, service: ServiceName, capacities: list[Demand]
    ) -> Demand:
        """Return what standing work may reserve; a single worker in any case."""
        capacity = _add_up(capacities)
        share = 1 - self._find_finite_share(state, service, capacity)
        return Demand(
            max(int(capacity.millicores * share), *(c.millicores for c in capacities)),
            max(int(capacity.memory_mb * share), *(c.memory_mb for c in capacities)),
            max(
                int(capacity.accelerators * share),
                *(c.accelerators for c in capacities),
            ),
        )

    def _find_finite_share(
        self, state: SchedulingState, service: ServiceName, capacity: Demand
    ) -> float:
        """Return the share of the capacity that is left to finite work.

        It follows the finite work that was accepted lately, ended or not.
        """
        now_ms = self._clock.now().timestamp() * MS_PER_SECOND
        window_ms = FINITE_WINDOW.total_seconds() * MS_PER_SECOND
        queues = state.map_queues()
        work = sum(
            _measure_finite_work(job.submission, window_ms)
            for job in state.jobs.values()
            if 0 <= now_ms - job.accepted_ms <= window_ms
            and _is_of_service(job, queues, service)
        )
        mean_millicores = work / window_ms
        share = FINITE_HEADROOM * mean_millicores / max(capacity.millicores, 1)
        return min(max(share, MIN_FINITE_SHARE), MAX_FINITE_SHARE)


def measure_standing(submission: JobSubmission) -> Demand:
    """Return what the standing tasks of a job reserve together."""
    return _add_up(
        step.reserved.times(step.tasks) for step in submission.steps if step.standing
    )


def _measure_finite_work(submission: JobSubmission, window_ms: float) -> float:
    """Return millicores times ms that finite tasks reserve within a time window."""
    return sum(
        step.reserved.millicores * min(step.estimate_ms, window_ms) * step.tasks
        for step in submission.steps
        if not step.standing
    )


def _fits(wanted: Demand, held: Demand, limit: Demand) -> bool:
    """Return whether the limits hold for each resource that is wanted."""
    after = held.plus(wanted)
    return all(
        not want or total <= most
        for want, total, most in (
            (wanted.millicores, after.millicores, limit.millicores),
            (wanted.memory_mb, after.memory_mb, limit.memory_mb),
            (wanted.accelerators, after.accelerators, limit.accelerators),
        )
    )


def _is_of_service(
    job: Job, queues: Mapping[QueueName, Queue], service: ServiceName
) -> bool:
    queue = queues.get(job.queue)
    return queue is not None and queue.service == service


def _add_up(demands: Iterable[Demand]) -> Demand:
    return functools.reduce(Demand.plus, demands, Demand())
