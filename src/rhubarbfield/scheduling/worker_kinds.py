"""Which steps the workers of a service could run if they were idle."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from rhubarbfield.scheduling.headroom import (
    WorkerHeadroom,
    count_places,
    measure_steps,
)
from rhubarbfield.scheduling.model import Demand, JobSubmission, Label, Step
from rhubarbfield.scheduling.state import Worker
from rhubarbfield.types import JobId, ServiceName

MAX_KNOWN_JOBS = 10_000

_Kind = tuple[Demand, tuple[Label, ...]]


class WorkerKinds:
    """The different capacities and labels of a service's workers.

    Parameters
    ----------
    workers
        Workers of the service. Those without any cores, which tell nothing about
        what can be done, are left out.
    """

    def __init__(self, workers: Iterable[Worker]) -> None:
        self._counts: Counter[_Kind] = Counter()
        self._idle: dict[_Kind, WorkerHeadroom] = {}
        for worker in workers:
            kind = worker.capacity, worker.labels
            if not worker.capacity.millicores:
                continue
            self._counts[kind] += 1
            if kind not in self._idle:
                self._idle[kind] = measure_steps(worker, ())
        self._known: dict[JobId, tuple[JobSubmission, Sequence[bool]]] = {}

    def is_like(self, other: WorkerKinds) -> bool:
        """Return whether as many workers of each kind are in the other one."""
        return self._counts == other._counts

    def list_possible(self, job: JobId, submission: JobSubmission) -> Sequence[bool]:
        """Return of each step of a job whether idle workers could run its tasks.

        A step that starts after an impossible one is impossible, too.
        """
        known = self._known.get(job)
        if known is not None and known[0] is submission:
            return known[1]
        if len(self._known) >= MAX_KNOWN_JOBS:
            self._known.clear()
        possible = self._find_possible(submission)
        self._known[job] = submission, possible
        return possible

    def _find_possible(self, submission: JobSubmission) -> Sequence[bool]:
        possible: list[bool] = []
        for step in submission.steps:
            is_reachable = all(possible[earlier] for earlier in step.after)
            possible.append(is_reachable and self._can_run(step))
        return possible

    def _can_run(self, step: Step) -> bool:
        missing = step.tasks if step.gang else 1
        for kind, workers in self._counts.items():
            missing -= workers * count_places(step, self._idle[kind])
            if missing <= 0:
                return True
        return not self._counts


class KindsIndex:
    """The kinds of the workers of each service, and what is known of jobs there."""

    def __init__(self) -> None:
        self._kinds: dict[ServiceName, WorkerKinds] = {}
        self._counted: dict[ServiceName, list[_Kind]] = {}

    def find(self, service: ServiceName, workers: Iterable[Worker]) -> WorkerKinds:
        """Return the kinds of a service's workers; the last ones if none changed."""
        workers = list(workers)
        last = self._kinds.get(service)
        # Comparing the same objects costs a fraction of counting them.
        listed = [(worker.capacity, worker.labels) for worker in workers]
        if last is not None and listed == self._counted[service]:
            return last
        self._counted[service] = listed
        kinds = WorkerKinds(workers)
        if last is None or not kinds.is_like(last):
            last = self._kinds[service] = kinds
        return last
