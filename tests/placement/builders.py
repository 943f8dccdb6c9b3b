"""Helpers that set up placement states for tests."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

from rhubarbfield.machine import Command, Reply
from rhubarbfield.placement import (
    AcceptJob,
    AddWorker,
    AttemptReport,
    AttemptsStarted,
    AttemptStart,
    AttemptUsage,
    Eviction,
    JobSpec,
    Observations,
    PlacementSettings,
    Plan,
    ReportAttempts,
    Resources,
    ServiceLatency,
    StartAttempts,
    StartedAttempt,
    Task,
    UsageReport,
    WorkState,
    check_state,
    plan,
    work_commands,
)
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    FailureDomain,
    Incarnation,
    JobId,
    RackName,
    TaskId,
    Tenant,
    WorkerId,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
MINUTE = timedelta(minutes=1)


class Bench:
    """A work state, a clock and a policy, driven deterministically by a test."""

    def __init__(self, workers: int = 2, cores: float = 8, racks: int = 2) -> None:
        self.state = WorkState()
        self.observations = Observations()
        self.settings = PlacementSettings()
        self.now = START
        for number in range(workers):
            self.add_worker(f"w{number}", cores, rack=f"r{number % racks}")

    def apply(self, command: Command) -> Reply:
        reply = work_commands.apply(self.state, command)
        check_state(self.state)
        return reply

    def add_worker(
        self, name: str, cores: float = 8, rack: str = "r0", incarnation: str = "1"
    ) -> Reply:
        return self.apply(
            AddWorker(
                at=self.now,
                worker=WorkerId(name),
                capacity=Resources.of(cores, 32_000, 0),
                rack=RackName(rack),
                domain=FailureDomain("d"),
                incarnation=Incarnation(incarnation),
            )
        )

    def accept(self, job: str = "j", tenant: str = "t", **fields: Any) -> Reply:
        spec = JobSpec(job=JobId(job), tenant=Tenant(tenant), **fields)
        return self.apply(AcceptJob(at=self.now, spec=spec))

    def start(self, task: str, worker: str, cores: float = 1.0) -> Reply:
        size = Resources.of(cores, 1024)
        start = AttemptStart(TaskId(task), WorkerId(worker), size)
        return self.apply(StartAttempts(at=self.now, starts=(start,)))

    def begin(self, task: str, worker: str, cores: float = 1.0) -> StartedAttempt:
        """Start a task and report it as running."""
        reply = self.start(task, worker, cores)
        assert isinstance(reply, AttemptsStarted) and reply.started, reply
        order = reply.started[0]
        self.report_state(order, AttemptState.RUNNING)
        return order

    def report_state(
        self,
        order: StartedAttempt | Eviction,
        state: AttemptState,
        checkpoint: str | None = None,
    ) -> Reply:
        """Commit a worker's report on an attempt."""
        saved = CheckpointId(checkpoint) if checkpoint else None
        if isinstance(order, StartedAttempt):
            epoch = order.epoch
        else:
            epoch = self.state.workers[order.worker].epoch
        report = AttemptReport(order.attempt, order.worker, epoch, state, saved)
        return self.apply(ReportAttempts(at=self.now, reports=(report,)))

    def find_order(self, task: Task) -> StartedAttempt:
        """Return the start order of a task's live attempt."""
        live = task.live
        assert live is not None
        return StartedAttempt(
            live.attempt, task.task, live.worker, live.epoch, live.size
        )

    def observe(
        self,
        worker: str,
        memory: dict[str, int] | None = None,
        p99: timedelta | None = None,
        throttle: float = 1.0,
        cores: float = 1.0,
    ) -> None:
        """Record a usage report on all live attempts of a worker."""
        known = self.state.workers[WorkerId(worker)]
        usages, latencies = [], []
        for attempt, task in known.live.items():
            used = (memory or {}).get(task, 500)
            usages.append(AttemptUsage(attempt, round(cores * 1000), used, throttle))
            spec = self.state.jobs[self.state.tasks[task].job].spec
            if spec.service is not None and p99 is not None:
                latencies.append(ServiceLatency(AttemptId(attempt), 0.5, p99))
        report = UsageReport(
            known.worker, known.epoch, self.now, tuple(usages), tuple(latencies)
        )
        self.observations.record(self.state, report)

    def plan(self) -> Plan:
        return plan(self.state, self.observations, self.settings, self.now, Random(1))

    def run_round(self) -> Plan:
        """Plan a round, commit it, and report the started attempts as running."""
        wanted = self.plan()
        for command in wanted.commands:
            reply = self.apply(command)
            if isinstance(reply, AttemptsStarted):
                assert not reply.refused, reply.refused
                for order in reply.started:
                    self.report_state(order, AttemptState.RUNNING)
        self.observations.start_round()
        return wanted

    def find_worker(self, task: str) -> str | None:
        live = self.state.tasks[TaskId(task)].live
        return live.worker if live else None
