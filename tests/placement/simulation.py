"""Simulation of a work state with failing workers and an observer.

Simulated workers run exactly what they are ordered to run. The observer tracks
running attempts independently of the state.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random

import msgspec

from rhubarbfield.machine import Command, Reply, SectionedMachine
from rhubarbfield.placement import (
    AddWorker,
    AttemptReport,
    AttemptsReported,
    AttemptsResized,
    AttemptsStarted,
    AttemptUsage,
    JobSpec,
    LoseWorker,
    Observations,
    PlacementSettings,
    RefusedStart,
    ReportAttempts,
    ResizeAttempts,
    ServiceLatency,
    StartedAttempt,
    UsageReport,
    WorkerAdded,
    WorkState,
    check_state,
    list_orders,
    plan,
    work_commands,
    work_replies,
)
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    Epoch,
    FailureDomain,
    Incarnation,
    LogIndex,
    RackName,
    TaskId,
    WorkerId,
)
from tests.placement.observer import CAPACITY, Observer

START = datetime(2026, 1, 1, tzinfo=UTC)
SECOND = timedelta(seconds=1)


NO_EPOCH = Epoch(0)


class Sections(msgspec.Struct):
    work: WorkState = msgspec.field(default_factory=WorkState)


def make_machine() -> SectionedMachine[Sections]:
    return SectionedMachine(Sections, {"work": work_commands}, work_replies)


@dataclass
class Running:
    """One attempt on a worker."""

    order: StartedAttempt
    memory_mb: int
    checkpoints: int = 0


@dataclass
class FakeWorker:
    """A worker process with its running attempts and undelivered reports."""

    name: WorkerId
    epoch: Epoch = NO_EPOCH
    incarnation: int = 0
    connected: bool = True
    lapsed: bool = False
    broken: bool = False
    running: dict[AttemptId, Running] = field(default_factory=dict)
    ended: dict[AttemptId, AttemptReport] = field(default_factory=dict)
    outbox: list[AttemptReport] = field(default_factory=list)


class Simulation:
    """Two replicas of the state, a policy, and workers.

    Parameters
    ----------
    seed
        Seed of all randomness.
    workers
        Number of workers.
    """

    def __init__(self, seed: int, workers: int = 4) -> None:
        self.random = Random(seed)
        self.now = START
        self.machine = make_machine()
        self.replica = make_machine()
        self.observations = Observations()
        self.settings = PlacementSettings()
        self.observer = Observer()
        self.index = 0
        self.refused: tuple[RefusedStart, ...] = ()
        self.workers: dict[WorkerId, FakeWorker] = {}
        for number in range(workers):
            worker = FakeWorker(WorkerId(f"w{number}"))
            self.workers[worker.name] = worker
            self.join(worker)

    @property
    def state(self) -> WorkState:
        return self.machine.state.work

    def apply(self, command: Command) -> Reply:
        """Commit a command on both replicas; their replies must be equal."""
        self.index += 1
        data = self.machine.encode_command(command)
        reply = self.machine.apply(LogIndex(self.index), data)
        assert reply == self.replica.apply(LogIndex(self.index), data)
        return self.machine.decode_reply(reply)

    def pass_time(self, duration: timedelta) -> None:
        self.now += duration

    def join(self, worker: FakeWorker) -> None:
        """Add a worker that has just started, under a new epoch."""
        known = self.state.workers.get(worker.name)
        if known is not None and known.present:
            self.lose(worker, "it started afresh")
        worker.incarnation += 1
        worker.connected, worker.lapsed = True, False
        for running in worker.running.values():
            self.observer.end(running.order)
        worker.running.clear()
        worker.ended.clear()
        worker.outbox.clear()
        number = int(worker.name[1:])
        reply = self.apply(
            AddWorker(
                at=self.now,
                worker=worker.name,
                capacity=CAPACITY,
                rack=RackName(f"r{number % 2}"),
                domain=FailureDomain("d"),
                incarnation=Incarnation(str(worker.incarnation)),
            )
        )
        assert isinstance(reply, WorkerAdded), reply
        assert reply.epoch > worker.epoch
        worker.epoch = reply.epoch

    def lose(self, worker: FakeWorker, reason: str) -> None:
        """Commit the loss of a worker whose lease has lapsed."""
        for running in worker.running.values():
            self.observer.end(running.order)
        self.observer.ended_attempts.update(self.state.workers[worker.name].live)
        self.apply(
            LoseWorker(
                at=self.now, worker=worker.name, epoch=worker.epoch, reason=reason
            )
        )
        self.observations.drop_worker(worker.name)

    def disconnect(self, worker: FakeWorker) -> None:
        """Disconnect a worker; its lease lapses, and its attempts are held."""
        worker.connected, worker.lapsed = False, True

    def reconnect(self, worker: FakeWorker) -> None:
        """Reconnect a worker; its attempts resume only if it was not lost meanwhile."""
        known = self.state.workers[worker.name]
        if not known.present or known.epoch != worker.epoch:
            self.join(worker)
            return
        worker.connected, worker.lapsed = True, False
        for attempt in worker.running:
            self.queue_report(worker, attempt, AttemptState.HELD)
            self.queue_report(worker, attempt, AttemptState.RUNNING)

    def queue_report(
        self,
        worker: FakeWorker,
        attempt: AttemptId,
        state: AttemptState,
        checkpoint: CheckpointId | None = None,
    ) -> None:
        worker.outbox.append(
            AttemptReport(attempt, worker.name, worker.epoch, state, checkpoint)
        )

    def end(self, worker: FakeWorker, attempt: AttemptId, state: AttemptState) -> None:
        """End an attempt, with a checkpoint if it is evicted."""
        running = worker.running.pop(attempt)
        checkpoint = None
        if state is AttemptState.EVICTED:
            running.checkpoints += 1
            checkpoint = CheckpointId(f"{attempt}@{running.checkpoints}")
        self.observer.end(running.order)
        self.queue_report(worker, attempt, state, checkpoint)
        worker.ended[attempt] = worker.outbox[-1]

    def save(self, worker: FakeWorker, attempt: AttemptId) -> None:
        """Take a checkpoint of a running attempt."""
        running = worker.running[attempt]
        running.checkpoints += 1
        checkpoint = CheckpointId(f"{attempt}@{running.checkpoints}")
        self.queue_report(worker, attempt, AttemptState.RUNNING, checkpoint)

    def send_orders(self, worker: FakeWorker) -> None:
        """Send a worker its orders, derived from the state."""
        if not worker.connected:
            return
        orders = list_orders(self.state, worker.name)
        for order in orders.start:
            if order.attempt in worker.ended:
                worker.outbox.append(worker.ended[order.attempt])
            elif order.attempt not in worker.running:
                self.observer.begin(order)
                declared = self.find_spec(order.task).memory_mb
                memory_mb = int(declared * 10 ** self.random.uniform(-1, 1))
                worker.running[order.attempt] = Running(order, memory_mb)
                self.queue_report(worker, order.attempt, AttemptState.RUNNING)
        for stop in orders.stop:
            if stop.attempt in worker.running:
                self.end(worker, stop.attempt, AttemptState.EVICTED)
            else:
                # It has ended already, or never began because the order was lost.
                known = worker.ended.get(stop.attempt)
                if known is None:
                    self.queue_report(worker, stop.attempt, AttemptState.EVICTED)
                    known = worker.ended[stop.attempt] = worker.outbox[-1]
                worker.outbox.append(known)

    def deliver(self, worker: FakeWorker, twice: bool = False) -> None:
        """Commit a worker's queued reports, twice if ``twice`` is set."""
        if not worker.connected or not worker.outbox:
            return
        reports = tuple(worker.outbox)
        worker.outbox.clear()
        self.guard(worker)
        reply = self.apply(ReportAttempts(at=self.now, reports=reports))
        assert isinstance(reply, AttemptsReported)
        for report in reports:
            task = self.state.tasks.get(TaskId(report.attempt.rpartition("#")[0]))
            if task is not None:
                endless = self.state.jobs[task.job].spec.endless
                self.observer.record_report(report, endless)
        if twice:
            self.apply(ReportAttempts(at=self.now, reports=reports))

    def guard(self, worker: FakeWorker) -> None:
        """Evict the largest attempts while memory use exceeds the worker's capacity."""
        while sum(r.memory_mb for r in worker.running.values()) > CAPACITY.memory_mb:
            largest = max(worker.running.values(), key=lambda r: r.memory_mb)
            self.end(worker, largest.order.attempt, AttemptState.EVICTED)

    def report(self, worker: FakeWorker) -> None:
        """Record a usage report of a worker, with a latency for services."""
        if not worker.connected or worker.lapsed:
            return
        usages = []
        latencies = []
        for attempt, running in worker.running.items():
            spec = self.find_spec(running.order.task)
            usages.append(AttemptUsage(attempt, 500, running.memory_mb))
            if spec.service is not None:
                p99 = timedelta(milliseconds=self.random.randrange(5, 200))
                latencies.append(ServiceLatency(attempt, self.random.random(), p99))
        taken_at = self.now - 5 * SECOND
        report = UsageReport(
            worker.name, worker.epoch, taken_at, tuple(usages), tuple(latencies)
        )
        self.observations.record(self.state, report)

    def find_spec(self, task: TaskId) -> JobSpec:
        return self.state.jobs[self.state.tasks[task].job].spec

    def plan(self) -> None:
        """Plan and commit one round; no start may be refused, since nothing changed."""
        wanted = plan(
            self.state, self.observations, self.settings, self.now, self.random
        )
        for command in wanted.commands:
            reply = self.apply(command)
            if isinstance(reply, AttemptsStarted):
                self.refused += reply.refused
            if isinstance(command, ResizeAttempts):
                self.resize(command, reply)
        self.observations.start_round()

    def resize(self, command: ResizeAttempts, reply: Reply) -> None:
        """Apply the new commitments that took effect to the observer."""
        assert isinstance(reply, AttemptsResized)
        for resize in command.resizes:
            sizes = self.observer.sizes.get(resize.worker, {})
            if resize.attempt in reply.resized and resize.attempt in sizes:
                sizes[resize.attempt] = resize.size
        for name in self.workers:
            self.observer.check_worker(name)

    def restart_leader(self) -> None:
        """Restore the state from a snapshot and start with new observations."""
        snapshot = self.machine.take_snapshot()
        assert snapshot == self.replica.take_snapshot()
        self.machine = make_machine()
        self.machine.restore(snapshot)
        self.observations = Observations()
        self.observations.restore(self.state)

    def check(self) -> None:
        check_state(self.state)
        # Each plan was committed on an unchanged state, so nothing may be refused.
        assert not self.refused, self.refused
