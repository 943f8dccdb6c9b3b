"""Admission of jobs: what is accepted must leave others what they need.

The load it answers: standing jobs keep the capacity that they reserve until they
are cancelled, and together they ask for more than the workers have. If all were
accepted, finite jobs, which come and go, would find only pieces of capacity that
are too small for their tasks. A share of the capacity is therefore left to finite
jobs; standing work beyond the rest is rejected when it is submitted, since it could
only wait. Finite jobs, too, may come faster than the workers can do them: a job is
rejected while the open work would occupy the workers for longer than its goal, since
it would end when its caller has no use for it any more.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

import msgspec

from rhubarbfield.clock import MILLISECOND, MS_PER_SECOND, Clock
from rhubarbfield.scheduling.job_index import JobIndex
from rhubarbfield.scheduling.model import (
    Demand,
    JobSubmission,
    Queue,
    QueueName,
)
from rhubarbfield.scheduling.ordering import find_goal, measure_submission
from rhubarbfield.scheduling.state import Job, SchedulingState, Worker
from rhubarbfield.scheduling.worker_kinds import KindsIndex, WorkerKinds
from rhubarbfield.scheduling.workload import (
    add_up,
    fits_limit,
    measure_finite,
    measure_remaining,
    measure_standing,
)
from rhubarbfield.types import JobId, ServiceName, Term

# Share of the capacity that standing work leaves to finite work. What it holds stays
# accepted when a tenth of the workers is lost, and finite work needs large pieces.
MIN_FINITE_SHARE = 0.22
MAX_FINITE_SHARE = 0.35
# Finite work comes in bursts, and its tasks use a worker's capacity only in part.
FINITE_HEADROOM = 3.0
FINITE_WINDOW = timedelta(seconds=20)
# A job is not rejected for a shorter wait, whatever its goal.
MIN_REJECTED_WAIT = timedelta(seconds=2)
MIN_FINITE_RETRY_AFTER = timedelta(seconds=1)
# Workers' capacity may grow again at any time.
MAX_FINITE_RETRY_AFTER = timedelta(seconds=30)
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
    submission
        The job.
    priority
        Priority of its queue.
    term
        Term of the leader that proposed it; no other one can still commit it.
    attempts
        Number of proposals whose outcome is not known.
    """

    service: ServiceName
    submission: JobSubmission
    priority: int
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
        self._jobs = JobIndex()
        self._worker_counts: Counter[ServiceName] = Counter()
        self._grown_at: dict[ServiceName, timedelta] = {}
        self._kinds = KindsIndex()

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
            pending = self._pending[job] = PendingJob(
                queue.service, submission, queue.priority, term
            )
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
        wanted = measure_standing(submission)
        is_standing = wanted != Demand()
        if not is_standing and not any(
            step.reserved.millicores for step in submission.steps
        ):
            return None
        self._forget_settled(state, term)
        if job in self._pending or self._are_reporting(queue.service):
            return None
        workers = [
            worker
            for worker in state.workers.values()
            if worker.service == queue.service and not worker.draining
        ]
        if not workers:
            return None
        self._jobs.synchronize(state)
        self._jobs.take_ended()
        if is_standing:
            return self._decide_standing(wanted, queue.service, state, workers)
        return self._decide_finite(queue, submission, state, workers)

    def _decide_standing(
        self,
        wanted: Demand,
        service: ServiceName,
        state: SchedulingState,
        workers: list[Worker],
    ) -> Rejection | None:
        limit = self._find_standing_limit(state, service, workers)
        held = self._measure_standing_held(state, service)
        if fits_limit(wanted, held, limit):
            return None
        return Rejection(
            "the workers have no capacity left for work without an end",
            f"standing work reserves {held} of {limit}, the job asks for {wanted}",
            STANDING_RETRY_AFTER,
        )

    def _decide_finite(
        self,
        queue: Queue,
        submission: JobSubmission,
        state: SchedulingState,
        workers: list[Worker],
    ) -> Rejection | None:
        goal = find_goal(measure_submission(submission), queue)
        tolerated = max(goal, MIN_REJECTED_WAIT)
        tolerated_ms = tolerated / MILLISECOND
        capacity = sum(worker.capacity.millicores for worker in workers)
        held = self._measure_standing_held(state, queue.service).millicores
        room = max(capacity - held, capacity * MIN_FINITE_SHARE)
        backlog = self._measure_finite_backlog(
            state, queue, tolerated_ms, self._kinds.find(queue.service, workers)
        )
        wait_ms = backlog / max(room, 1)
        if wait_ms <= tolerated_ms:
            return None
        return Rejection(
            "more work waits than can be done in time",
            f"open work of {wait_ms:.0f} ms with {room:.0f} millicores",
            _limit_retry_after(wait_ms - tolerated_ms),
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

    def _measure_standing_held(
        self, state: SchedulingState, service: ServiceName
    ) -> Demand:
        """Return what accepted standing work reserves, running or not."""
        queues = state.map_serving_queues()
        accepted = (
            reserved
            for name, reserved in self._jobs.standing.items()
            if _is_of_service(self._jobs.open[name], queues, service)
        )
        pending = (
            measure_standing(each.submission)
            for each in self._pending.values()
            if each.service == service
        )
        return add_up(accepted).plus(add_up(pending))

    def _measure_finite_backlog(
        self,
        state: SchedulingState,
        queue: Queue,
        horizon_ms: float,
        kinds: WorkerKinds,
    ) -> float:
        """Return the open finite work that may delay a new job of a queue.

        Each task counts for at most ``horizon_ms``, for which it occupies its cores;
        one that no worker can run occupies none.
        """
        queues = state.map_serving_queues()
        accepted = sum(
            measure_remaining(
                job, horizon_ms, kinds.list_possible(job.job, job.submission)
            )
            for job in self._jobs.open.values()
            if _is_of_service(job, queues, queue.service)
            and queues[job.queue].priority <= queue.priority
        )
        pending = sum(
            measure_finite(
                each.submission, horizon_ms, kinds.list_possible(name, each.submission)
            )
            for name, each in self._pending.items()
            if each.service == queue.service and each.priority <= queue.priority
        )
        return accepted + pending

    def _find_standing_limit(
        self, state: SchedulingState, service: ServiceName, workers: list[Worker]
    ) -> Demand:
        """Return what standing work may reserve; a single worker in any case."""
        capacities = [worker.capacity for worker in workers]
        capacity = add_up(capacities)
        kinds = self._kinds.find(service, workers)
        share = 1 - self._find_finite_share(state, service, capacity, kinds)
        return Demand(
            max(int(capacity.millicores * share), *(c.millicores for c in capacities)),
            max(int(capacity.memory_mb * share), *(c.memory_mb for c in capacities)),
            max(
                int(capacity.accelerators * share),
                *(c.accelerators for c in capacities),
            ),
        )

    def _find_finite_share(
        self,
        state: SchedulingState,
        service: ServiceName,
        capacity: Demand,
        kinds: WorkerKinds,
    ) -> float:
        """Return the share of the capacity that is left to finite work.

        It follows the finite work that was accepted lately, ended or not.
        """
        now_ms = self._clock.now().timestamp() * MS_PER_SECOND
        window_ms = FINITE_WINDOW.total_seconds() * MS_PER_SECOND
        queues = state.map_serving_queues()
        recent = itertools.takewhile(
            lambda job: now_ms - job.accepted_ms <= window_ms,
            reversed(state.jobs.values()),
        )
        work = sum(
            measure_finite(
                job.submission,
                window_ms,
                kinds.list_possible(job.job, job.submission),
            )
            for job in recent
            if _is_of_service(job, queues, service)
        )
        mean_millicores = work / window_ms
        share = FINITE_HEADROOM * mean_millicores / max(capacity.millicores, 1)
        return min(max(share, MIN_FINITE_SHARE), MAX_FINITE_SHARE)


def _is_of_service(
    job: Job, queues: Mapping[QueueName, Queue], service: ServiceName
) -> bool:
    queue = queues.get(job.queue)
    return queue is not None and queue.service == service


def _limit_retry_after(excess_ms: float) -> timedelta:
    limit_ms = MAX_FINITE_RETRY_AFTER / MILLISECOND
    return max(min(excess_ms, limit_ms) * MILLISECOND, MIN_FINITE_RETRY_AFTER)
