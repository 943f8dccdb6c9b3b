"""Processor time of plans and commands by size of the fleet."""

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
GOAL = timedelta(milliseconds=100)
CAPACITY = Resources.of(64, 250_000, 4)
SERVICES, KINDS, KINDS_A_TENANT = 20, 30, 3
REPORT_EVERY = 10
STARTS_A_WORKER_A_SECOND = 0.2
ROUNDS = 12
FILLING_ROUNDS = 120
WORKERS_A_RACK = 10
MEGABYTE = 1_000_000
ResultT = TypeVar("ResultT")


class FleetSize(msgspec.Struct, frozen=True):
    """One size to measure."""

    workers: int
    service_tasks: int
    batch_tasks: int
    queued: int
    tenants: int


class Cost(msgspec.Struct, frozen=True):
    """Processor time in milliseconds, and state in megabytes.

    Attributes
    ----------
    idle_plan
        A plan with nothing new.
    busy_plan
        A plan of one second's reports and starts at the peak.
    blocked_plan
        The same with a queue that finds no room.
    start, report, record
        Committing one start; one word of a worker; one usage report.
    second
        All of a second at the peak, with one plan a second.
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
    """Return processor time in milliseconds and the result."""
    before = time.process_time()
    result = call()
    return (time.process_time() - before) * 1000, result


class Stand:
    """A fleet of one size in steady state."""

    def __init__(self, size: FleetSize) -> None:
        self._size = size
        self._random = Random(1)
        self._now = START
        self._settings = PlacementSettings()
        self._view = Observations()
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
                rack=RackName(f"rack-{number // WORKERS_A_RACK}"),
                domain=FailureDomain("one"),
                incarnation=Incarnation("1"),
            )
        )

    def submit(self, tasks: int, cores: float = 1.5, service: int = -1) -> None:
        """Accept one job; of a service if one is given."""
        self._jobs += 1
        tenant = self._random.randrange(self._size.tenants)
        kind = (tenant + self._random.randrange(KINDS_A_TENANT)) % KINDS
        spec = JobSpec(
            job=JobId(f"job-{self._jobs}"),
            tenant=Tenant(f"tenant-{tenant}"),
            kind=WorkKind.BATCH if service < 0 else WorkKind.SERVICE,
            tasks=tasks,
            cores=cores,
            memory_mb=2_000,
            service=None if service < 0 else ServiceName(f"service-{service}"),
            latency_goal=GOAL,
            batch_kind=BatchKind(f"kind-{kind}"),
        )
        self._apply(AcceptJob(at=self._now, spec=spec))

    def _fill(self) -> None:
        """Start everything that runs, in rounds with reports between."""
        for service in range(SERVICES):
            self.submit(self._size.service_tasks // SERVICES, service=service)
        for _ in range(self._size.batch_tasks // 5):
            self.submit(5)
        for _ in range(FILLING_ROUNDS):
            self.observe(range(self._size.workers))
            self.round()
            if not self.state.waiting:
                return
        left = sum(len(self.state.jobs[job].pending) for job in self.state.waiting)
        print(f"{left} tasks did not fit while filling")

    def observe(self, numbers: range) -> float:
        """Record a report of some workers; return milliseconds for each."""
        names = list(self.state.workers)
        reports = [self._make_report(names[number]) for number in numbers]

        def record() -> None:
            for report in reports:
                self._view.record(self.state, report)

        spent, _ = time_call(record)
        return spent / max(1, len(reports))

    def _make_report(self, name: WorkerId) -> UsageReport:
        worker = self.state.workers[name]
        usages, latencies = [], []
        for attempt, task in worker.live.items():
            usages.append(AttemptUsage(attempt, 1400, 1900))
            spec = self.state.jobs[self.state.tasks[task].job].spec
            if spec.service is not None:
                p99 = GOAL * self._random.uniform(0.3, 0.8)
                latencies.append(ServiceLatency(attempt, self._random.random(), p99))
        return UsageReport(
            name, worker.epoch, self._now, tuple(usages), tuple(latencies)
        )

    def round(self) -> tuple[float, float, int]:
        """Plan and commit; return milliseconds of both, and starts."""
        self._now += SECOND
        planning, wanted = time_call(
            lambda: plan(
                self.state, self._view, self._settings, self._now, self._random
            )
        )
        committing, started = time_call(
            lambda: [work_commands.apply(self.state, one) for one in wanted.commands]
        )
        self._view.start_round()
        orders = [
            order
            for reply in started
            if isinstance(reply, AttemptsStarted)
            for order in reply.started
        ]
        self._say(orders, AttemptState.RUNNING)
        return planning, committing, len(orders)

    def _say(self, orders: list[StartedAttempt], state: AttemptState) -> float:
        reports = tuple(
            AttemptReport(order.attempt, order.worker, order.epoch, state)
            for order in orders
        )
        command = ReportAttempts(at=self._now, reports=reports)
        return time_call(lambda: self._apply(command))[0]

    def finish_some(self, count: int) -> float:
        """Let batch tasks succeed; return milliseconds for each word."""
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
        return self._say(orders, AttemptState.SUCCEEDED) / max(1, len(orders))


def measure(size: FleetSize) -> Cost:
    """Measure one size."""
    gc.collect()
    tracemalloc.start()
    stand = Stand(size)
    memory_mb = tracemalloc.get_traced_memory()[0] / MEGABYTE
    tracemalloc.stop()
    idle = [stand.round()[0] for _ in range(ROUNDS)]
    starts = max(1, round(size.workers * STARTS_A_WORKER_A_SECOND))
    share = max(1, size.workers // REPORT_EVERY)
    busy, start, report, record = [], [], [], []
    for turn in range(ROUNDS):
        report.append(stand.finish_some(starts))
        first = turn * share % size.workers
        record.append(stand.observe(range(first, min(size.workers, first + share))))
        for _ in range(starts):
            stand.submit(1)
        planning, committing, started = stand.round()
        busy.append(planning)
        start.append(committing / max(1, started))
    for _ in range(size.queued):
        stand.submit(1, cores=60)
    blocked = [stand.round()[0] for _ in range(ROUNDS)]
    middle = statistics.median
    second = middle(busy) + starts * (middle(start) + 2 * middle(report))
    return Cost(
        idle_plan=middle(idle),
        busy_plan=middle(busy),
        blocked_plan=middle(blocked),
        start=middle(start),
        report=middle(report),
        record=middle(record),
        second=second + share * middle(record),
        snapshot_mb=len(msgspec.msgpack.encode(stand.state)) / MEGABYTE,
        memory_mb=memory_mb,
    )


def print_scaling() -> None:
    """Print a table with one row for each size."""
    names = Cost.__struct_fields__
    print("milliseconds of processor time; starts and words include invariant checks")
    print("| workers | tasks | queued | starts/s | " + " | ".join(names) + " |")
    print("|---|---|---|---|" + "---|" * len(names))
    for size in SIZES:
        cost = measure(size)
        tasks = size.service_tasks + size.batch_tasks
        starts = round(size.workers * STARTS_A_WORKER_A_SECOND)
        cells = " | ".join(f"{getattr(cost, name):.3g}" for name in names)
        print(f"| {size.workers} | {tasks} | {size.queued} | {starts} | {cells} |")
