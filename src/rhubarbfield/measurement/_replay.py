"""One run of a placement strategy against the model of workers."""

from __future__ import annotations

import statistics
from datetime import datetime, timedelta
from random import Random

import msgspec

from rhubarbfield.machine import Command
from rhubarbfield.measurement._figures import Figures
from rhubarbfield.measurement._model import (
    LEAST_LAG_STEPS,
    MOST_LAG_STEPS,
    REPORT_STEPS,
    START,
    STEP,
    STEP_SECONDS,
    Deployment,
    Ending,
    Host,
    Truth,
)
from rhubarbfield.measurement._nature import Nature
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

KINDS = tuple(BatchKind(f"kind-{number}") for number in range(6))
TENANTS = tuple(Tenant(f"tenant-{number}") for number in range(4))
SERVICE_CORES_SHARE, SERVICE_MEMORY_SHARE = 0.2, 0.1
OFFERED_SHARE = 0.45
MEAN_TASK_SECONDS = 770.0
MEAN_CORES_FACTOR = 2.15
TASK_MEMORY_MB = 3000
WAVE_STEPS, WAVE_CORES_SHARE = 300, 0.25
URGENT_SHARE = 0.05
CRASHES_AN_HOUR, BREAKS_AN_HOUR = 1.5, 0.5
LOST_AFTER_STEPS, BACK_AFTER_STEPS, BROKEN_STEPS = 12, 60, 360
HOUR_SECONDS = 3600.0
P99 = 0.99


class Tally(msgspec.Struct):
    """Sums kept during one run; work in core-seconds."""

    latencies: dict[ServiceName, list[float]] = msgspec.field(default_factory=dict)
    finished: int = 0
    evicted: int = 0
    finished_work: float = 0.0
    redone_work: float = 0.0
    offered_work: float = 0.0


class Replay:
    """One strategy in one deployment with one seed.

    Arrivals and faults are drawn from sources of their own, so that they are
    the same whatever the strategy does.
    """

    def __init__(
        self, deployment: Deployment, settings: PlacementSettings, seed: int
    ) -> None:
        self._deployment = deployment
        self._settings = settings
        services = tuple(deployment.services)
        self._nature = Nature(services, KINDS, Random(f"nature/{seed}"))
        self._truth = Truth(seed)
        self._arrivals = Random(f"arrivals/{seed}")
        self._faults = Random(f"faults/{seed}")
        self._noise = Random(f"noise/{seed}")
        self._random = Random(f"policy/{seed}")
        self._state = WorkState()
        self._view = Observations()
        self._tally = Tally()
        self._hosts: dict[WorkerId, Host] = {}
        self._jobs = 0
        self._step = 0
        cores = deployment.workers * deployment.cores
        offered = cores * OFFERED_SHARE / MEAN_CORES_FACTOR
        self._task_rate = offered / MEAN_TASK_SECONDS * STEP_SECONDS
        self._wave_tasks = round(cores * WAVE_CORES_SHARE / MEAN_CORES_FACTOR)

    def run(self, hours: float) -> Figures:
        """Run for some virtual hours and return what was measured."""
        for number in range(self._deployment.workers):
            self._join(WorkerId(f"w{number:02}"))
        self._start_services()
        for step in range(round(timedelta(hours=hours) / STEP)):
            self._step = step
            self._arrive()
            self._fail()
            self._work()
            self._observe()
            self._plan()
        check_state(self._state)
        return self._summarise(hours)

    @property
    def _seconds(self) -> float:
        return self._step * STEP_SECONDS

    @property
    def _now(self) -> datetime:
        return START + STEP * self._step

    def _join(self, name: WorkerId) -> None:
        one = self._deployment
        number = int(name[1:])
        capacity = Resources.of(one.cores, one.memory_mb)
        reply = work_commands.apply(
            self._state,
            AddWorker(
                at=self._now,
                worker=name,
                capacity=capacity,
                rack=RackName(f"r{number // one.per_rack}"),
                domain=FailureDomain(f"d{number % 3}"),
                incarnation=Incarnation(str(self._step)),
            ),
        )
        assert isinstance(reply, WorkerAdded)
        self._hosts[name] = Host(name, capacity, reply.epoch)

    def _start_services(self) -> None:
        one = self._deployment
        for service, runners in one.services.items():
            spec = JobSpec(
                job=JobId(service),
                tenant=TENANTS[0],
                kind=WorkKind.SERVICE,
                priority=Priority.URGENT,
                tasks=runners,
                cores=one.cores * SERVICE_CORES_SHARE,
                memory_mb=round(one.memory_mb * SERVICE_MEMORY_SHARE),
                service=service,
                latency_goal=self._nature.find_goal(service),
            )
            self._accept(spec)

    def _accept(self, spec: JobSpec) -> None:
        work_commands.apply(self._state, AcceptJob(at=self._now, spec=spec))

    def _arrive(self) -> None:
        """Let jobs arrive, steadily and in waves."""
        left = self._task_rate + self._arrivals.random()
        while left >= 1.0:
            tasks = min(int(left), self._arrivals.choice((1, 1, 2)))
            self._submit(self._arrivals.choice(KINDS), tasks)
            left -= tasks
        if self._step % WAVE_STEPS == WAVE_STEPS // 2:
            kind = self._arrivals.choice(KINDS)
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
        self._tally.offered_work += sum(
            self._truth.find_work(spec, index) for index in range(tasks)
        )
        self._accept(spec)

    def _fail(self) -> None:
        """Let workers crash, come back, and break without crashing."""
        crash, broken = (
            self._faults.random() < rate * STEP_SECONDS / HOUR_SECONDS
            for rate in (CRASHES_AN_HOUR, BREAKS_AN_HOUR)
        )
        host = self._hosts[self._faults.choice(sorted(self._hosts))]
        if crash and not host.down_for:
            self._note(host.crash())
            host.down_for = BACK_AFTER_STEPS
        if broken and not host.broken_for:
            host.broken_for = BROKEN_STEPS
        for one in list(self._hosts.values()):
            one.broken_for = max(0, one.broken_for - 1)
            if one.down_for:
                self._stay_down(one)

    def _stay_down(self, host: Host) -> None:
        host.down_for -= 1
        if host.down_for == BACK_AFTER_STEPS - LOST_AFTER_STEPS:
            self._apply(
                LoseWorker(
                    at=self._now, worker=host.name, epoch=host.epoch, reason="crashed"
                )
            )
            self._view.drop_worker(host.name)
        if host.down_for == 0:
            self._join(host.name)

    def _work(self) -> None:
        """Let a step pass on every worker and commit what they say."""
        reports: list[AttemptReport] = []
        for host in self._hosts.values():
            if host.down_for:
                continue
            endings = host.step(self._nature, self._seconds)
            self._note(endings)
            reports += host.saved
            host.saved.clear()
            for ending in endings:
                reports.append(
                    AttemptReport(
                        ending.body.order.attempt, host.name, host.epoch, ending.state
                    )
                )
        if reports:
            self._apply(ReportAttempts(at=self._now, reports=tuple(reports)))

    def _note(self, endings: list[Ending]) -> None:
        for ending in endings:
            if ending.body.is_service:
                continue
            self._tally.redone_work += ending.redone_seconds * ending.body.cores
            if ending.state is AttemptState.EVICTED:
                self._tally.evicted += 1
            elif ending.state is AttemptState.SUCCEEDED:
                self._tally.finished += 1
                self._tally.finished_work += self._truth.find_whole(ending.body)

    def _observe(self) -> None:
        """Take reports now and hand them over late."""
        for host in self._hosts.values():
            if host.down_for:
                continue
            if self._step % REPORT_STEPS == 0:
                report = host.make_report(self._nature, self._seconds, self._noise)
                lag = self._noise.randint(LEAST_LAG_STEPS, MOST_LAG_STEPS)
                host.late.append((self._step + lag, report))
                self._keep_latencies(host)
            due = [report for step, report in host.late if step <= self._step]
            host.late = [one for one in host.late if one[0] > self._step]
            for report in due:
                self._view.record(self._state, report)

    def _keep_latencies(self, host: Host) -> None:
        for latency in host.late[-1][1].latencies:
            service = host.bodies[latency.attempt].spec.service
            assert service is not None
            of_goal = latency.p99 / self._nature.find_goal(service)
            self._tally.latencies.setdefault(service, []).append(of_goal)

    def _plan(self) -> None:
        wanted = plan(self._state, self._view, self._settings, self._now, self._random)
        for command in wanted.commands:
            self._apply(command)
        for order in wanted.throttles:
            body = self._hosts[order.worker].bodies.get(order.attempt)
            if body is not None:
                body.throttle = order.fraction
        self._view.start_round()

    def _apply(self, command: Command) -> None:
        """Commit a command and tell the workers that are up."""
        reply = work_commands.apply(self._state, command)
        if isinstance(reply, AttemptsStarted):
            for order in reply.started:
                host = self._hosts[order.worker]
                spec = self._state.jobs[self._state.tasks[order.task].job].spec
                if not host.down_for:
                    host.start(self._truth.make_body(order, spec))
        elif isinstance(reply, AttemptsEvicting):
            for eviction in reply.evicting:
                self._hosts[eviction.worker].stop(eviction.attempt)
        else:
            assert not isinstance(reply, AttemptsReported) or not reply.ignored

    def _summarise(self, hours: float) -> Figures:
        tally, one = self._tally, self._deployment
        p99 = {
            service: statistics.quantiles(values, n=100)[-1]
            for service, values in tally.latencies.items()
        }
        every = [value for values in tally.latencies.values() for value in values]
        done = tally.finished_work / tally.offered_work
        redone = tally.redone_work / max(1.0, tally.finished_work)
        evicted = tally.evicted / max(1, tally.finished)
        tail = statistics.fmean(p99.values())
        score = one.tail * tail + one.throughput * (1 - done)
        return Figures(
            p99_of_goal=p99,
            over_goal=sum(value > 1 for value in every) / len(every),
            finished_an_hour=tally.finished / hours,
            evictions_an_hour=tally.evicted / hours,
            done=done,
            redone=redone,
            overflows=sum(host.overflows for host in self._hosts.values()),
            urgent_wait=self._measure_urgent_wait(),
            score=score + one.eviction * (evicted + redone),
        )

    def _measure_urgent_wait(self) -> float:
        waits = [0.0]
        for task in self._state.tasks.values():
            job = self._state.jobs[task.job]
            first = next(iter(task.past), task.live)
            urgent = job.spec.priority is Priority.URGENT
            if urgent and job.spec.kind is WorkKind.BATCH and first is not None:
                waits.append((first.started_at - job.accepted_at).total_seconds())
        return sorted(waits)[int(P99 * (len(waits) - 1))]
