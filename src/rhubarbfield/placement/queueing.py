"""Queueing order of jobs, and handling of jobs for which capacity is lacking."""

from __future__ import annotations

import heapq
import math
from datetime import datetime
from random import Random

import msgspec

from rhubarbfield.placement.commands import AttemptStart, Rejection
from rhubarbfield.placement.decision import Decision
from rhubarbfield.placement.fleet import Fleet, PlacementRequest, PlannedWorker
from rhubarbfield.placement.placing import Choice, Chooser, Window
from rhubarbfield.placement.preemption import Preemptor
from rhubarbfield.placement.quarantine import find_probe
from rhubarbfield.placement.relief import Relief
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.runnable import count_places
from rhubarbfield.placement.starvation import (
    describe_outgrown_gang,
    find_starving,
    is_short_of_headroom,
)
from rhubarbfield.placement.state import Job, QuarantineState, Task
from rhubarbfield.placement.strategies import Strategy
from rhubarbfield.types import JobId, Priority, TaskId, Tenant, WorkerId

CHUNK_TASKS = 8  # tasks of one job placed before tenants' shares are compared again
STARTS_PER_CANDIDATE = 4


class WaitReason(msgspec.Struct, frozen=True):
    """Why tasks of a job were not placed in this round."""

    job: JobId
    reason: str


class ChunkResult(msgspec.Struct, frozen=True):
    """Result of placing a chunk of a job's tasks.

    Attributes
    ----------
    placed
        Number of tasks placed.
    has_more
        Whether to try to place more tasks of the job in this round.
    unplaced
        Number of tasks that could start but found no worker.
    """

    placed: int = 0
    has_more: bool = False
    unplaced: int = 0


class UnplaceableRequest(msgspec.Struct, frozen=True):
    """A request for which no worker was found, used to skip similar requests.

    Attributes
    ----------
    request
        The request.
    by_capacity
        Whether any task of at least the same size would be rejected too.
    """

    request: PlacementRequest
    by_capacity: bool

    def covers(self, request: PlacementRequest) -> bool:
        """Return whether ``request`` cannot be placed either."""
        if not self.request.size.fits(request.size):
            return False
        if self.by_capacity:
            return True
        return (
            request.spec.batch_kind == self.request.spec.batch_kind
            and request.spec.service == self.request.spec.service
            and request.proven == self.request.proven
            and request.ceiling <= self.request.ceiling
            and request.spec.priority.value >= self.request.spec.priority.value
        )


def _find_queue_order(job: Job) -> tuple[bool, datetime, JobId]:
    """Return the sort key among a tenant's jobs; services and standing work first."""
    return (not job.spec.endless, job.accepted_at, job.spec.job)


class Placer:
    """Places pending tasks in one planning round.

    Parameters
    ----------
    fleet
        Workers of the planning round.
    strategy
        Strategy that scores workers.
    random
        Random number generator.
    relief
        Changes to running attempts that the round has planned already; evictions
        for urgent work are added to it.

    Attributes
    ----------
    starts
        Attempts to start.
    rejections
        Gangs that can never fit.
    waits
        Why jobs with pending tasks were not placed.
    """

    def __init__(
        self, fleet: Fleet, strategy: Strategy, random: Random, relief: Relief
    ) -> None:
        self._fleet = fleet
        self._strategy = strategy
        self._random = random
        self._first = random.randrange(len(fleet.planned_workers) or 1)
        self._relief = relief
        self._planned_tasks: set[TaskId] = set()
        self._used = {
            tenant: account.used + relief.usage_growth.get(tenant, Resources())
            for tenant, account in fleet.state.accounts.items()
        }
        self._unplaceable: list[UnplaceableRequest] = []
        self.starts: list[AttemptStart] = []
        self.rejections: list[Rejection] = []
        self.waits: dict[JobId, str] = {}

    def place(self) -> None:
        """Place probes, then urgent work, then other work by tenants' shares."""
        self._probe()
        waiting: dict[Priority, dict[Tenant, list[Job]]] = {}
        for job_id in self._fleet.state.waiting:
            job = self._fleet.state.jobs[job_id]
            tenants = waiting.setdefault(job.spec.priority, {})
            tenants.setdefault(job.spec.tenant, []).append(job)
        evicting = {order.attempt for order in self._relief.evictions}
        preemptor = Preemptor(self._fleet, evicting)
        for priority in Priority:
            tenants = waiting.get(priority, {})
            # No capacity is held back for urgent work, since it evicts other work.
            if priority is not Priority.URGENT and self._place_starving(tenants):
                return
            self._place_priority(tenants, preemptor)

    def _probe(self) -> None:
        for planned in self._fleet.planned_workers:
            if planned.worker.quarantine is not QuarantineState.QUARANTINED:
                continue
            task = find_probe(self._fleet, planned, self._planned_tasks)
            if task is not None:
                self._start_probe(planned, task)

    def _start_probe(self, planned: PlannedWorker, task: Task) -> None:
        job = self._fleet.state.jobs[task.job]
        request = self._make_request(job)
        fits = request.size.fits(planned.headroom)
        if not fits or not self._count_within_quota(job, request, 1):
            return
        decision = Decision("probe", reason="probes a quarantined worker")
        self._start(task, request, Choice(planned, decision))
        self._fleet.add_task(planned, request)

    def _place_priority(
        self, tenants: dict[Tenant, list[Job]], preemptor: Preemptor
    ) -> None:
        """Place jobs of one priority, the tenant with the lowest share first."""
        for jobs in tenants.values():
            jobs.sort(key=_find_queue_order, reverse=True)
        heap = [(self._find_share(tenant), tenant) for tenant in tenants]
        heapq.heapify(heap)
        while heap and len(self.starts) < self._fleet.settings.max_starts:
            _, tenant = heapq.heappop(heap)
            jobs = tenants[tenant]
            job = jobs[-1]
            result = self._place_chunk(job)
            if not result.has_more:
                jobs.pop()
            if result.unplaced and job.spec.priority is Priority.URGENT:
                request = self._make_request(job)
                self._relief.evictions += preemptor.plan_evictions(
                    request, result.unplaced
                )
            if jobs:
                heapq.heappush(heap, (self._find_share(tenant), tenant))

    def _place_starving(self, tenants: dict[Tenant, list[Job]]) -> bool:
        """Place a starving job first; return whether capacity is held back for it."""
        waiting = (job for jobs in tenants.values() for job in jobs)
        job = find_starving(self._fleet, waiting)
        if job is None:
            return False
        result = self._place_chunk(job)
        request = self._make_request(job)
        needed = result.unplaced if job.spec.gang else 1
        if result.placed or not result.unplaced:
            return False
        if not is_short_of_headroom(self._fleet, request, needed):
            return False
        self.waits[job.spec.job] += "; it holds back those behind it"
        return True

    def _find_share(self, tenant: Tenant) -> float:
        account = self._fleet.state.accounts[tenant]
        used = self._used[tenant]
        return used.dominant_share(self._fleet.total) / account.quota.weight

    def _make_request(self, job: Job) -> PlacementRequest:
        spec = job.spec
        sizes = self._fleet.observations.sizes
        # The margin alone must not make a task exceed every worker or the quota.
        available = self._fleet.largest
        limit = self._fleet.state.accounts[spec.tenant].quota.limit
        if limit is not None:
            available = available.reduce(limit.divide(spec.tasks if spec.gang else 1))
        size = sizes.estimate_within(spec, available, self._fleet.largest_known)
        proven = sizes.is_proven(spec)
        return PlacementRequest(spec, size, proven, self._find_latency_ceiling(job))

    def _find_latency_ceiling(self, job: Job) -> float:
        """Return the log of the allowed latency ratio; it grows while a job waits."""
        if job.spec.priority is Priority.URGENT:
            return math.inf
        settings = self._fleet.settings
        waited = (self._fleet.now - job.accepted_at) / settings.starvation_delay
        excess = 0.0 if job.live else max(0.0, waited - 1)
        return math.log(settings.latency_ceiling * (1 + excess))

    def _place_chunk(self, job: Job) -> ChunkResult:
        """Place the next chunk of a job's tasks, or all tasks of a gang."""
        tasks = self._list_eligible(job)
        if not tasks:
            self.waits[job.spec.job] = "its tasks wait out a backoff or an eviction"
            return ChunkResult()
        request = self._make_request(job)
        wanted = tasks if job.spec.gang else tasks[:CHUNK_TASKS]
        wanted = wanted[: self._count_within_quota(job, request, len(wanted))]
        if not wanted or (job.spec.gang and len(wanted) < len(tasks)):
            self.waits[job.spec.job] = self._describe_quota(job, request)
            return ChunkResult()
        if any(unplaceable.covers(request) for unplaceable in self._unplaceable):
            self.waits[job.spec.job] = "no worker could take a task like it"
            return ChunkResult(unplaced=len(wanted))
        if job.spec.gang:
            placed = self._place_gang(job, request, wanted)
        else:
            placed = self._place_each(job, request, wanted)
        whole = placed == len(wanted)
        has_more = whole and len(tasks) > len(wanted)
        return ChunkResult(placed, has_more, len(wanted) - placed)

    def _list_eligible(self, job: Job) -> list[Task]:
        """Return tasks that may start now; for a gang all pending tasks or none."""
        limit = len(job.pending) if job.spec.gang else CHUNK_TASKS + 1
        found: list[Task] = []
        for task_id in job.pending:
            task = self._fleet.state.tasks[task_id]
            if (
                task.not_before <= self._fleet.now
                and task_id not in self._planned_tasks
            ):
                found.append(task)
                if len(found) >= limit:
                    break
        if job.spec.gang and (job.live or len(found) < len(job.pending)):
            return []
        return found

    def _count_within_quota(
        self, job: Job, request: PlacementRequest, count: int
    ) -> int:
        account = self._fleet.state.accounts[job.spec.tenant]
        limit = account.quota.limit
        if limit is None:
            return count
        used = self._used[job.spec.tenant]
        return min(count, count_places(request.size, limit - used))

    def _describe_quota(self, job: Job, request: PlacementRequest) -> str:
        limit = self._fleet.state.accounts[job.spec.tenant].quota.limit
        needed = request.size.scale(len(job.pending) if job.spec.gang else 1)
        if limit is not None and not needed.fits(limit):
            return f"{needed.describe()} is beyond its tenant's whole quota"
        return "the quota of its tenant is used up"

    def _place_gang(
        self, job: Job, request: PlacementRequest, tasks: list[Task]
    ) -> int:
        """Place all tasks of a gang or none; if needed, without the memory margin."""
        unpadded = self._fleet.observations.sizes.estimate_without_margin(job.spec)
        for size in (request.size, request.size.reduce(unpadded)):
            trial = PlacementRequest(job.spec, size, request.proven, request.ceiling)
            placed = self._choose(job, trial, tasks, ())
            if placed:
                return placed
        reason = describe_outgrown_gang(self._fleet, job)
        if reason is not None:
            self.rejections.append(Rejection(job.spec.job, reason))
        return 0

    def _place_each(
        self, job: Job, request: PlacementRequest, tasks: list[Task]
    ) -> int:
        """Place as many tasks as fit; place tasks with failures one by one.

        A task with failures avoids the workers on which it failed.
        """
        without_failures = [task for task in tasks if not task.failed_on]
        placed = (
            self._choose(job, request, without_failures, ()) if without_failures else 0
        )
        for task in tasks:
            if task.failed_on:
                placed += self._place_avoiding_failures(job, request, task)
        return placed

    def _place_avoiding_failures(
        self, job: Job, request: PlacementRequest, task: Task
    ) -> int:
        avoid = tuple(task.failed_on)
        placed = self._choose(job, request, [task], avoid)
        if not placed and len(self._fleet.planned_workers) <= len(avoid):
            placed = self._choose(job, request, [task], ())
        return placed

    def _choose(
        self,
        job: Job,
        request: PlacementRequest,
        tasks: list[Task],
        avoid: tuple[WorkerId, ...],
    ) -> int:
        chooser = Chooser(
            self._fleet,
            self._strategy,
            self._make_window(),
            job=job,
            request=request,
            avoid=avoid,
        )
        chosen = chooser.choose(len(tasks))
        if len(chosen) < len(tasks):
            self.waits[job.spec.job] = chooser.describe_wait()
            if not avoid and not job.spec.gang:
                self._unplaceable.append(
                    UnplaceableRequest(request, chooser.lacks_capacity)
                )
            if job.spec.gang:
                for choice in chosen:
                    self._fleet.remove_task(choice.planned, request)
                return 0
        for task, choice in zip(tasks, chosen, strict=False):
            self._start(task, request, choice)
        return len(chosen)

    def _make_window(self) -> Window:
        """Return the candidates to search; they increase with starts in this round."""
        extra = len(self.starts) // STARTS_PER_CANDIDATE
        candidates = self._fleet.settings.candidates + extra
        return Window(self._first, candidates, self._random)

    def _start(self, task: Task, request: PlacementRequest, choice: Choice) -> None:
        name, decision = choice.planned.name, choice.decision
        self.starts.append(AttemptStart(task.task, name, request.size, decision))
        self._planned_tasks.add(task.task)
        tenant = request.spec.tenant
        self._used[tenant] = self._used[tenant] + request.size
