"""Simulation of a placement strategy on modelled workers."""

from __future__ import annotations

import statistics
from datetime import datetime, timedelta
from random import Random

import msgspec

from rhubarbfield.machine import Command
from rhubarbfield.measurement._interference import InterferenceModel
from rhubarbfield.measurement._model import (
    MAX_LAG_STEPS,
    MIN_LAG_STEPS,
    REPORT_STEPS,
    START,
    STEP,
    STEP_SECONDS,
    Deployment,
    EndedAttempt,
    SimulatedWorker,
    TaskModel,
)
from rhubarbfield.measurement._results import RunResult
from rhubarbfield.placement import (
    AcceptJob,
    AddWorker,
    AttemptReport,
    AttemptsEvicting,
    AttemptsReported,
    AttemptsStarted,
    BatchKind,
    JobSpec,
    LoseWorker,
    Observations,
    PlacementSettings,
    ReportAttempts,
    Resources,
    WorkerAdded,
    WorkState,
    check_state,
    plan,
    work_commands,
)
from rhubarbfield.types import (
    AttemptState,
    FailureDomain,
    Incarnation,
    JobId,
    Priority,
    RackName,
    ServiceName,
    Tenant,
    WorkerId,
    WorkKind,
)

BATCH_KINDS = tuple(BatchKind(f"kind-{number}") for number in range(6))
TENANTS = tuple(Tenant(f"tenant-{number}") for number in range(4))
SERVICE_CORES_SHARE, SERVICE_MEMORY_SHARE = 0.2, 0.1
OFFERED_LOAD_SHARE = 0.45
MEAN_TASK_SECONDS = 770.0  # mean of LOGNORMAL_RUN_TIME
MEAN_CORES_FACTOR = 2.15  # mean of TaskModel.find_size_factor
TASK_MEMORY_MB = 3000
WAVE_INTERVAL_STEPS, WAVE_CORES_SHARE = 300, 0.25
URGENT_SHARE = 0.05
CRASHES_PER_HOUR, BREAKDOWNS_PER_HOUR = 1.5, 0.5
LOST_AFTER_STEPS, RESTART_AFTER_STEPS, BROKEN_STEPS = 12, 60, 360
HOUR_SECONDS = 3600.0
P99 = 0.99


class RunTotals(msgspec.Struct):
    """Totals of one run, with work in core-seconds."""

    latencies: dict[ServiceName, list[float]] = msgspec.field(default_factory=dict)
    finished: int = 0
    evicted: int = 0
    finished_work: float = 0.0
    redone_work: float = 0.0
    offered_work: float = 0.0


class Simulation:
    """One run of a strategy in a deployment.

    Arrivals and faults come from separate random sources, so that they are the
    same for every strategy.
    """

    def __init__(
        self, deployment: Deployment, settings: PlacementSettings, seed: int
    ) -> None:
        self._deployment = deployment
        self._settings = settings
        services = tuple(deployment.services)
        self._interference = InterferenceModel(
            services, BATCH_KINDS, Random(f"nature/{seed}")
        )
        self._task_model = TaskModel(seed)
        self._arrivals = Random(f"arrivals/{seed}")
        self._faults = Random(f"faults/{seed}")
        self._noise = Random(f"noise/{seed}")
        self._random = Random(f"policy/{seed}")
        self._state = WorkState()
        self._observations = Observations()
        self._totals = RunTotals()
        self._workers: dict[WorkerId, SimulatedWorker] = {}
        self._jobs = 0
        self._step = 0
        cores = deployment.workers * deployment.cores
        offered = cores * OFFERED_LOAD_SHARE / MEAN_CORES_FACTOR
        self._task_rate = offered / MEAN_TASK_SECONDS * STEP_SECONDS
        self._wave_tasks = round(cores * WAVE_CORES_SHARE / MEAN_CORES_FACTOR)

    def run(self, hours: float) -> RunResult:
        """Simulate some hours and return the results."""
        for number in range(self._deployment.workers):
            self._add_worker(WorkerId(f"w{number:02}"))
        self._start_services()
        for step in range(round(timedelta(hours=hours) / STEP)):
            self._step = step
            self._submit_jobs()
            self._inject_faults()
            self._step_workers()
            self._deliver_reports()
            self._plan()
        check_state(self._state)
        return self._summarise(hours)

    @property
    def _seconds(self) -> float:
        return self._step * STEP_SECONDS

    @property
    def _now(self) -> datetime:
        return START + STEP * self._step

    def _add_worker(self, name: WorkerId) -> None:
        deployment = self._deployment
        number = int(name[1:])
        capacity = Resources.of(deployment.cores, deployment.memory_mb)
        reply = work_commands.apply(
            self._state,
            AddWorker(
                at=self._now,
                worker=name,
                capacity=capacity,
                rack=RackName(f"r{number // deployment.per_rack}"),
                domain=FailureDomain(f"d{number % 3}"),
                incarnation=Incarnation(str(self._step)),
            ),
        )
        assert isinstance(reply, WorkerAdded)
        self._workers[name] = SimulatedWorker(name, capacity, reply.epoch)

    def _start_services(self) -> None:
        deployment = self._deployment
        for service, runners in deployment.services.items():
            spec = JobSpec(
                job=JobId(service),
                tenant=TENANTS[0],
                kind=WorkKind.SERVICE,
                priority=Priority.URGENT,
                tasks=runners,
                cores=deployment.cores * SERVICE_CORES_SHARE,
                memory_mb=round(deployment.memory_mb * SERVICE_MEMORY_SHARE),
                service=service,
                latency_goal=self._interference.find_goal(service),
            )
            self._accept(spec)

    def _accept(self, spec: JobSpec) -> None:
        work_commands.apply(self._state, AcceptJob(at=self._now, spec=spec))

    def _submit_jobs(self) -> None:
        """Submit jobs, at a steady rate and in waves."""
        left = self._task_rate + self._arrivals.random()
        while left >= 1.0:
            tasks = min(int(left), self._arrivals.choice((1, 1, 2)))
            self._submit(self._arrivals.choice(BATCH_KINDS), tasks)
            left -= tasks
        if self._step % WAVE_INTERVAL_STEPS == WAVE_INTERVAL_STEPS // 2:
            kind = self._arrivals.choice(BATCH_KINDS)
            while self._wave_tasks > 0 and left < self._wave_tasks:
                self._submit(kind, 4)
                left += 4

    def _submit(self, kind: BatchKind, tasks: int) -> None:
        self._jobs += 1
        urgent = self._arrivals.random() < URGENT_SHARE
        spec = JobSpec(
            job=JobId(f"job-{self._jobs}"),
            tenant=self._arrivals.choice(TENANTS),
            priority=Priority.URGENT if urgent else Priority.NORMAL,
            tasks=tasks,
            cores=1.0,
            memory_mb=TASK_MEMORY_MB,
            batch_kind=kind,
        )
        self._totals.offered_work += sum(
            self._task_model.find_task_work(spec, index) for index in range(tasks)
        )
        self._accept(spec)

    def _inject_faults(self) -> None:
        """Crash, restart and break workers; a broken one fails batch attempts."""
        crash, broken = (
            self._faults.random() < rate * STEP_SECONDS / HOUR_SECONDS
            for rate in (CRASHES_PER_HOUR, BREAKDOWNS_PER_HOUR)
        )
        worker = self._workers[self._faults.choice(sorted(self._workers))]
        if crash and not worker.down_steps:
            self._count_ended(worker.crash())
            worker.down_steps = RESTART_AFTER_STEPS
        if broken and not worker.broken_steps:
            worker.broken_steps = BROKEN_STEPS
        for one in list(self._workers.values()):
            one.broken_steps = max(0, one.broken_steps - 1)
            if one.down_steps:
                self._advance_downtime(one)

    def _advance_downtime(self, worker: SimulatedWorker) -> None:
        worker.down_steps -= 1
        if worker.down_steps == RESTART_AFTER_STEPS - LOST_AFTER_STEPS:
            self._apply(
                LoseWorker(
                    at=self._now,
                    worker=worker.name,
                    epoch=worker.epoch,
                    reason="crashed",
                )
            )
            self._observations.drop_worker(worker.name)
        if worker.down_steps == 0:
            self._add_worker(worker.name)

    def _step_workers(self) -> None:
        """Advance every running worker by a step and commit its reports."""
        reports: list[AttemptReport] = []
        for worker in self._workers.values():
            if worker.down_steps:
                continue
            ended = worker.step(self._interference, self._seconds)
            self._count_ended(ended)
            reports += worker.checkpoint_reports
            worker.checkpoint_reports.clear()
            for ended_attempt in ended:
                reports.append(
                    AttemptReport(
                        ended_attempt.attempt.order.attempt,
                        worker.name,
                        worker.epoch,
                        ended_attempt.state,
                    )
                )
        if reports:
            self._apply(ReportAttempts(at=self._now, reports=tuple(reports)))

    def _count_ended(self, ended: list[EndedAttempt]) -> None:
        for ended_attempt in ended:
            if ended_attempt.attempt.is_service:
                continue
            self._totals.redone_work += (
                ended_attempt.redone_seconds * ended_attempt.attempt.cores
            )
            if ended_attempt.state is AttemptState.EVICTED:
                self._totals.evicted += 1
            elif ended_attempt.state is AttemptState.SUCCEEDED:
                self._totals.finished += 1
                self._totals.finished_work += self._task_model.find_attempt_work(
                    ended_attempt.attempt
                )

    def _deliver_reports(self) -> None:
        """Make new usage reports and deliver earlier ones after their delay."""
        for worker in self._workers.values():
            if worker.down_steps:
                continue
            if self._step % REPORT_STEPS == 0:
                report = worker.make_report(
                    self._interference, self._seconds, self._noise
                )
                lag = self._noise.randint(MIN_LAG_STEPS, MAX_LAG_STEPS)
                worker.delayed_reports.append((self._step + lag, report))
                self._record_latencies(worker)
            due = [
                report for step, report in worker.delayed_reports if step <= self._step
            ]
            worker.delayed_reports = [
                one for one in worker.delayed_reports if one[0] > self._step
            ]
            for report in due:
                self._observations.record(self._state, report)

    def _record_latencies(self, worker: SimulatedWorker) -> None:
        for latency in worker.delayed_reports[-1][1].latencies:
            service = worker.attempts[latency.attempt].spec.service
            assert service is not None
            goal_ratio = latency.p99 / self._interference.find_goal(service)
            self._totals.latencies.setdefault(service, []).append(goal_ratio)

    def _plan(self) -> None:
        decisions = plan(
            self._state, self._observations, self._settings, self._now, self._random
        )
        for command in decisions.commands:
            self._apply(command)
        for order in decisions.throttles:
            attempt = self._workers[order.worker].attempts.get(order.attempt)
            if attempt is not None:
                attempt.throttle = order.fraction
        self._observations.start_round()

    def _apply(self, command: Command) -> None:
        """Commit a command and send its orders to the running workers."""
        reply = work_commands.apply(self._state, command)
        if isinstance(reply, AttemptsStarted):
            for order in reply.started:
                worker = self._workers[order.worker]
                spec = self._state.jobs[self._state.tasks[order.task].job].spec
                if not worker.down_steps:
                    worker.start(self._task_model.make_attempt(order, spec))
        elif isinstance(reply, AttemptsEvicting):
            for eviction in reply.evicting:
                self._workers[eviction.worker].stop(eviction.attempt)
        else:
            assert not isinstance(reply, AttemptsReported) or not reply.ignored

    def _summarise(self, hours: float) -> RunResult:
        totals, deployment = self._totals, self._deployment
        p99 = {
            service: statistics.quantiles(values, n=100)[-1]
            for service, values in totals.latencies.items()
        }
        all_latencies = [
            value for values in totals.latencies.values() for value in values
        ]
        done_fraction = totals.finished_work / totals.offered_work
        redone_fraction = totals.redone_work / max(1.0, totals.finished_work)
        eviction_ratio = totals.evicted / max(1, totals.finished)
        tail = statistics.fmean(p99.values())
        score = deployment.tail_weight * tail + deployment.throughput_weight * (
            1 - done_fraction
        )
        return RunResult(
            p99_goal_ratio=p99,
            over_goal_fraction=sum(value > 1 for value in all_latencies)
            / len(all_latencies),
            finished_per_hour=totals.finished / hours,
            evictions_per_hour=totals.evicted / hours,
            done_fraction=done_fraction,
            redone_fraction=redone_fraction,
            memory_overflows=sum(
                worker.memory_overflows for worker in self._workers.values()
            ),
            urgent_wait_seconds=self._measure_urgent_wait_seconds(),
            score=score
            + deployment.eviction_weight * (eviction_ratio + redone_fraction),
        )

    def _measure_urgent_wait_seconds(self) -> float:
        waits = [0.0]
        for task in self._state.tasks.values():
            job = self._state.jobs[task.job]
            first = next(iter(task.past), task.live)
            urgent = job.spec.priority is Priority.URGENT
            if urgent and job.spec.kind is WorkKind.BATCH and first is not None:
                waits.append((first.started_at - job.accepted_at).total_seconds())
        return sorted(waits)[int(P99 * (len(waits) - 1))]
