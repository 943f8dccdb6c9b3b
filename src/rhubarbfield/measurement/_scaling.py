"""Processor time of planning and of commands by fleet size."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from random import Random
from typing import TypeVar

import msgspec

from rhubarbfield.machine import Reply
from rhubarbfield.placement import (
    AcceptJob,
    AddWorker,
    AttemptReport,
    AttemptsStarted,
    AttemptUsage,
    BatchKind,
    JobSpec,
    Observations,
    PlacementSettings,
    ReportAttempts,
    Resources,
    ServiceLatency,
    StartedAttempt,
    UsageReport,
    WorkState,
    plan,
    work_commands,
)
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    FailureDomain,
    Incarnation,
    JobId,
    RackName,
    ServiceName,
    Tenant,
    WorkerId,
    WorkKind,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
SECOND = timedelta(seconds=1)
LATENCY_GOAL = timedelta(milliseconds=100)
CAPACITY = Resources.of(64, 250_000, 4)
SERVICES, KINDS, KINDS_PER_TENANT = 20, 30, 3
REPORT_INTERVAL_ROUNDS = 10
STARTS_PER_WORKER_SECOND = 0.2
ROUNDS = 12
FILLING_ROUNDS = 120
WORKERS_PER_RACK = 10
MEGABYTE = 1_000_000
ResultT = TypeVar("ResultT")


class FleetSize(msgspec.Struct, frozen=True):
    """Size of a fleet to measure; `queued` is the number of waiting jobs."""

    workers: int
    service_tasks: int
    batch_tasks: int
    queued: int
    tenants: int


class Cost(msgspec.Struct, frozen=True):
    """Processor time in milliseconds, and size of the state in megabytes.

    Attributes
    ----------
    idle_plan
        Planning without new reports or jobs.
    busy_plan
        Planning with the reports and new jobs of one second at peak load.
    blocked_plan
        Planning with a queue of jobs that do not fit on any worker.
    start, report, record
        Committing one start, committing one attempt report, and recording one
        usage report.
    second
        All work of one second at peak load, with one plan per second.
    snapshot_mb, memory_mb
        Encoded state, and memory that the fleet allocates.
    """

    idle_plan: float
    busy_plan: float
    blocked_plan: float
    start: float
    report: float
    record: float
    second: float
    snapshot_mb: float
    memory_mb: float


SIZES = (
    FleetSize(28, 160, 690, 31, 22),
    FleetSize(113, 650, 2_750, 125, 88),
    FleetSize(225, 1_300, 5_500, 250, 175),
    FleetSize(450, 2_600, 11_000, 500, 350),
)


def time_call(call: Callable[[], ResultT]) -> tuple[float, ResultT]:
    """Return the processor time of a call in milliseconds, and its result."""
    before = time.process_time()
    result = call()
    return (time.process_time() - before) * 1000, result


class SteadyFleet:
    """A simulated fleet of one size in steady state."""

    def __init__(self, size: FleetSize) -> None:
        self._size = size
        self._random = Random(1)
        self._now = START
        self._settings = PlacementSettings()
        self._observations = Observations()
        self._jobs = 0
        self.state = WorkState()
        for number in range(size.workers):
            self._add_worker(number)
        self._fill()

    def _apply(self, command: AddWorker | AcceptJob | ReportAttempts) -> Reply:
        return work_commands.apply(self.state, command)

    def _add_worker(self, number: int) -> None:
        self._apply(
            AddWorker(
                at=self._now,
                worker=WorkerId(f"worker-{number:03}"),
                capacity=CAPACITY,
                rack=RackName(f"rack-{number // WORKERS_PER_RACK}"),
                domain=FailureDomain("one"),
                incarnation=Incarnation("1"),
            )
        )

    def submit(self, tasks: int, cores: float = 1.5, service: int = -1) -> None:
        """Accept a job: a runner of `service` if that is not negative, else batch."""
        self._jobs += 1
        tenant = self._random.randrange(self._size.tenants)
        kind = (tenant + self._random.randrange(KINDS_PER_TENANT)) % KINDS
        spec = JobSpec(
            job=JobId(f"job-{self._jobs}"),
            tenant=Tenant(f"tenant-{tenant}"),
            kind=WorkKind.BATCH if service < 0 else WorkKind.SERVICE,
            tasks=tasks,
            cores=cores,
            memory_mb=2_000,
            service=None if service < 0 else ServiceName(f"service-{service}"),
            latency_goal=LATENCY_GOAL,
            batch_kind=BatchKind(f"kind-{kind}"),
        )
        self._apply(AcceptJob(at=self._now, spec=spec))

    def _fill(self) -> None:
        """Place the initial work, with usage reports before each round."""
        for service in range(SERVICES):
            self.submit(self._size.service_tasks // SERVICES, service=service)
        for _ in range(self._size.batch_tasks // 5):
            self.submit(5)
        for _ in range(FILLING_ROUNDS):
            self.observe(range(self._size.workers))
            self.run_round()
            if not self.state.waiting:
                return
        left = sum(len(self.state.jobs[job].pending) for job in self.state.waiting)
        print(f"{left} tasks did not fit while filling")

    def observe(self, numbers: range) -> float:
        """Record usage reports of some workers; return milliseconds per report."""
        names = list(self.state.workers)
        reports = [self._make_report(names[number]) for number in numbers]

        def record() -> None:
            for report in reports:
                self._observations.record(self.state, report)

        spent, _ = time_call(record)
        return spent / max(1, len(reports))

    def _make_report(self, name: WorkerId) -> UsageReport:
        worker = self.state.workers[name]
        usages, latencies = [], []
        for attempt, task in worker.live.items():
            usages.append(AttemptUsage(attempt, 1400, 1900))
            spec = self.state.jobs[self.state.tasks[task].job].spec
            if spec.service is not None:
                p99 = LATENCY_GOAL * self._random.uniform(0.3, 0.8)
                latencies.append(ServiceLatency(attempt, self._random.random(), p99))
        return UsageReport(
            name, worker.epoch, self._now, tuple(usages), tuple(latencies)
        )

    def run_round(self) -> tuple[float, float, int]:
        """Plan and commit a round.

        Returns
        -------
        tuple
            Milliseconds of planning and of committing, and the number of starts.
        """
        self._now += SECOND
        planning, decisions = time_call(
            lambda: plan(
                self.state, self._observations, self._settings, self._now, self._random
            )
        )
        committing, started = time_call(
            lambda: [work_commands.apply(self.state, one) for one in decisions.commands]
        )
        self._observations.start_round()
        orders = [
            order
            for reply in started
            if isinstance(reply, AttemptsStarted)
            for order in reply.started
        ]
        self._report_attempts(orders, AttemptState.RUNNING)
        return planning, committing, len(orders)

    def _report_attempts(
        self, orders: list[StartedAttempt], state: AttemptState
    ) -> float:
        reports = tuple(
            AttemptReport(order.attempt, order.worker, order.epoch, state)
            for order in orders
        )
        command = ReportAttempts(at=self._now, reports=reports)
        return time_call(lambda: self._apply(command))[0]

    def finish_tasks(self, count: int) -> float:
        """Finish `count` batch tasks; return milliseconds per attempt report."""
        live = [
            task
            for task in self.state.tasks.values()
            if task.live and self.state.jobs[task.job].spec.kind is WorkKind.BATCH
        ]
        orders = [
            StartedAttempt(
                AttemptId(task.live.attempt),
                task.task,
                task.live.worker,
                task.live.epoch,
                task.live.size,
            )
            for task in self._random.sample(live, count)
            if task.live
        ]
        return self._report_attempts(orders, AttemptState.SUCCEEDED) / max(
            1, len(orders)
        )


def measure(size: FleetSize) -> Cost:
    """Measure a fleet of one size."""
    gc.collect()
    tracemalloc.start()
    fleet = SteadyFleet(size)
    memory_mb = tracemalloc.get_traced_memory()[0] / MEGABYTE
    tracemalloc.stop()
    idle = [fleet.run_round()[0] for _ in range(ROUNDS)]
    starts = max(1, round(size.workers * STARTS_PER_WORKER_SECOND))
    share = max(1, size.workers // REPORT_INTERVAL_ROUNDS)
    busy, start, report, record = [], [], [], []
    for number in range(ROUNDS):
        report.append(fleet.finish_tasks(starts))
        first = number * share % size.workers
        record.append(fleet.observe(range(first, min(size.workers, first + share))))
        for _ in range(starts):
            fleet.submit(1)
        planning, committing, started = fleet.run_round()
        busy.append(planning)
        start.append(committing / max(1, started))
    for _ in range(size.queued):
        fleet.submit(1, cores=60)
    blocked = [fleet.run_round()[0] for _ in range(ROUNDS)]
    median = statistics.median
    second = median(busy) + starts * (median(start) + 2 * median(report))
    return Cost(
        idle_plan=median(idle),
        busy_plan=median(busy),
        blocked_plan=median(blocked),
        start=median(start),
        report=median(report),
        record=median(record),
        second=second + share * median(record),
        snapshot_mb=len(msgspec.msgpack.encode(fleet.state)) / MEGABYTE,
        memory_mb=memory_mb,
    )


def print_scaling() -> None:
    """Print a table with one row for each fleet size."""
    names = Cost.__struct_fields__
    print("milliseconds of processor time; starts and words include invariant checks")
    print("| workers | tasks | queued | starts/s | " + " | ".join(names) + " |")
    print("|---|---|---|---|" + "---|" * len(names))
    for size in SIZES:
        cost = measure(size)
        tasks = size.service_tasks + size.batch_tasks
        starts = round(size.workers * STARTS_PER_WORKER_SECOND)
        cells = " | ".join(f"{getattr(cost, name):.3g}" for name in names)
        print(f"| {size.workers} | {tasks} | {size.queued} | {starts} | {cells} |")
