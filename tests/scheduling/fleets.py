"""Leaders of large fleets in a random state, to compare and to time decisions."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import Any, cast
from unittest import mock

import msgspec

from rhubarbfield.clock import Clock, ManualClock
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.replication import Leadership
from rhubarbfield.scheduling.appliers import (
    SchedulingLogState,
    make_scheduling_machine,
)
from rhubarbfield.scheduling.commands import (
    AcceptJob,
    CancelJob,
    EndedRun,
    EndRuns,
    PutConfiguration,
    RunsRecorded,
    RunStart,
    StartRuns,
    UpdateWorkers,
    WorkerEnds,
    WorkerReport,
)
from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.scheduling.interference import LatencyMargin, ServingTask
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.mitigation import SERVING_PERCENT
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    Demand,
    ImageName,
    JobSubmission,
    Label,
    MachineName,
    QueueName,
    Step,
    WorkerService,
)
from rhubarbfield.scheduling.ports import ActiveRun, WorkerAddress, WorkerCalls
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.silence_marks import MarkTimes
from rhubarbfield.scheduling.state import RunEnd, SchedulingState, Worker
from rhubarbfield.types import JobId, LogIndex, RackName, ServiceName, Term, WorkerId
from tests.controller.single_member import make_single_member_log
from tests.scheduling.deployments import CONFIGURATION, FOREVER, QUEUE
from tests.scheduling.reference_placing import ReferencePlacer, measure_all

LATE_QUEUE = msgspec.structs.replace(
    QUEUE, name=QueueName("low"), priority=1, latency_goal_ms=200
)
SERVICES = (QUEUE.service, ServiceName("other"))
WORKER_SERVICES = tuple(
    WorkerService(name=name, workers_guard_capacity=True) for name in SERVICES
)
OTHER_QUEUE = msgspec.structs.replace(
    QUEUE, name=QueueName("other"), service=SERVICES[1]
)
QUEUES = (QUEUE, LATE_QUEUE, OTHER_QUEUE)
SERVING_IMAGES = [ImageName(f"serving-{number}") for number in range(3)]
BATCH_IMAGES = [ImageName(f"batch-{number}") for number in range(8)]
RACKS = [Label(f"rack-{number}") for number in range(6)]
GOAL_MS = 50


class Fleet:
    """A leader and sessions whose workers answer nothing; tests supply the views.

    Parameters
    ----------
    seed
        Seed of everything random.
    workers
        Number of workers.
    settings
        Settings of the leader.
    clock
        Clock of the leader and its sessions; one that tests advance by default.
    """

    def __init__(
        self,
        seed: int,
        workers: int,
        settings: SchedulingSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = cast(ManualClock, clock or ManualClock(timedelta(seconds=100)))
        self.settings = settings or SchedulingSettings()
        log, self.replica = make_single_member_log(make_scheduling_machine())
        self.log = cast(ReplicatedLog[SchedulingLogState], log)
        leadership = self.replica.leadership = Leadership(Term(1), FOREVER)
        self.jobs = 0
        self.apply(
            PutConfiguration(
                configuration=msgspec.structs.replace(
                    CONFIGURATION, queues=QUEUES, services=WORKER_SERVICES
                )
            )
        )
        self.add_workers(workers)
        self.leader = SchedulingLeader(
            self.log,
            calls=cast(WorkerCalls, None),
            clock=self.clock,
            settings=self.settings,
            marks=MarkTimes(self.log, self.clock),
            leadership=leadership,
        )
        self.sessions = cast(
            dict[WorkerId, WorkerSession], self.leader._registry.sessions
        )
        for worker in self.state.workers.values():
            session = self.sessions[worker.worker] = WorkerSession(
                WorkerAddress(worker.worker, worker.address),
                host=self.leader,
                calls=cast(WorkerCalls, None),
                clock=self.clock,
                settings=self.settings,
            )
            session._contact.handle_reply(timedelta(seconds=5))

    @property
    def state(self) -> SchedulingState:
        return self.log.state.scheduling

    def apply(self, command: Any) -> Any:
        machine = self.log.machine
        reply = machine.apply(LogIndex(0), machine.encode_command(command))
        return machine.decode_reply(reply)

    def add_workers(self, count: int) -> None:
        reports = tuple(
            WorkerReport(
                worker=WorkerId(f"w{number}"),
                machine=MachineName(f"m{number}"),
                service=SERVICES[number % 10 == 9],
                address=f"h{number}:1",
                zone="z",
                capacity=Demand(self.random.choice((8000, 16000)), 64000, 2),
                labels=(Label("x86"), self.random.choice(RACKS)),
                draining=False,
            )
            for number in range(count)
        )
        self.apply(UpdateWorkers(reports=reports))

    def submit(self, *steps: Step, queue: QueueName = QUEUE.name) -> JobId:
        self.jobs += 1
        job = JobId(f"j{self.jobs}")
        submission = JobSubmission(payload="p", steps=steps)
        self.apply(AcceptJob(job=job, queue=queue, submission=submission))
        return job

    def submit_serving(self, tasks: int) -> None:
        for image in SERVING_IMAGES:
            self.submit(
                Step(
                    tasks=tasks,
                    demand=Demand(2000, 4000),
                    standing=True,
                    image=image,
                    tail_goal_ms=GOAL_MS,
                )
            )

    def submit_batch(self) -> JobId:
        """Submit a job of two steps with 8 to 40 tasks, most on spare cores."""
        choose = self.random.choice
        first, second = (
            Step(
                tasks=self.random.randint(8, 40),
                demand=Demand(choose((1000, 1500, 2000)), choose((500, 1000))),
                estimate_ms=choose((500, 1500, 3000)),
                after=after,
                checkpoints=choose((False, True)),
                image=choose(BATCH_IMAGES),
                uses_spare_cores=choose((True, True, True, False)),
                max_per_worker=choose((0, 0, 0, 2)),
                preferred_rack=RackName(choose(("", "", "", RACKS[0]))),
                required_label=choose((Label(""), Label(""), Label(""), RACKS[1])),
            )
            for after in ((), (0,))
        )
        return self.submit(first, second, queue=choose(QUEUES).name)

    def submit_gang(self) -> JobId:
        demand = Demand(self.random.choice((1000, 4000)), 1000, 1)
        step = Step(
            tasks=self.random.randint(2, 12),
            demand=demand,
            estimate_ms=1000,
            gang=True,
            same_rack=self.random.choice((False, True)),
            max_per_worker=self.random.choice((0, 0, 1, 2)),
        )
        return self.submit(step)

    def start(self, starts: tuple[RunStart, ...]) -> None:
        self.apply(StartRuns(starts=starts))

    def end_runs(self, count: int) -> None:
        """End random runs, most of them successfully."""
        ends = (RunEnd.DONE, RunEnd.DONE, RunEnd.DONE, RunEnd.STOPPED, RunEnd.FAILED)
        workers = [each for each in self.state.workers.values() if each.runs]
        for worker in self.random.sample(workers, min(count, len(workers))):
            task, run = self.random.choice(list(worker.runs.items()))
            ended = EndedRun(task, run, self.random.choice(ends))
            self.apply(EndRuns(workers=(WorkerEnds(worker.worker, (ended,)),)))

    def cancel(self, job: JobId) -> None:
        self.apply(CancelJob(job=job))

    def view(self, worker: WorkerId) -> None:
        """Let the leader handle a view of a worker with random measurements."""
        session = self.sessions[worker]
        session._contact.lease.update_clock(self.clock.monotonic())
        session.active = {}
        for task, run in self.state.workers[worker].runs.items():
            step = self.state.find_step(task)
            assert step is not None
            measure = (
                GOAL_MS * self.random.uniform(0.2, 1.05)
                if step.tail_goal_ms
                else step.demand.millicores * self.random.uniform(0.5, 1.0)
            )
            session.active[task] = ActiveRun(
                task, run, NO_CHECKPOINT, SERVING_PERCENT, measure
            )
        session._viewed_at = self.clock.monotonic()
        session._progress.update(session.active.values(), self.clock.monotonic())
        self.leader.handle_view(worker)

    async def keep_house(self) -> None:
        """Do all housekeeping of the leader once."""
        housekeeping = self.leader._housekeeping
        housekeeping.stop_runs()
        housekeeping.evacuate()
        await housekeeping.update_records()

    async def run_round(self) -> tuple[RunStart, ...]:
        """Run a placement round of the leader; return the starts it proposed."""
        proposed: list[RunStart] = []
        log = self.leader._log
        propose = log.propose

        async def record(command: Any) -> Any:
            if isinstance(command, StartRuns):
                proposed.extend(command.starts)
            return await propose(command)

        with mock.patch.object(log, "propose", record):
            await self.leader._run_round()
        return tuple(proposed)

    async def run_reference_round(self) -> tuple[RunStart, ...]:
        """Start what the reference chooses; return the starts."""
        leader = self.leader
        placer = ReferencePlacer(
            self.state,
            self.measure_reference(),
            avoided=leader._avoided,
            interference=leader._interference,
            rank=leader._rank,
            is_starved=leader._backlog.is_starved,
        )
        starts = placer.choose()
        if starts:
            reply = (await self.log.propose(StartRuns(starts=starts))).unwrap()
            recorded = [starts[each] for each in cast(RunsRecorded, reply).recorded]
            leader._starter.order(recorded, self.clock.monotonic())
        return starts

    def measure_reference(self) -> dict[WorkerId, WorkerHeadroom]:
        """Return the headroom of each worker, recomputed in full."""
        leader = self.leader
        headrooms = measure_all(self.state, leader._availability.is_usable)
        for worker, headroom in headrooms.items():
            headroom.known_margins = self.list_reference_margins(headroom.worker)
            headroom.failures = leader._quarantine.count_failures(worker)
            if leader._quarantine.is_on_probation(worker):
                headroom.awaits_probe = leader._quarantine.may_probe(worker)
                headroom.task_limit = headroom.task_count + headroom.awaits_probe
        return headrooms

    def list_reference_margins(self, worker: Worker) -> list[LatencyMargin]:
        """Return the smallest margin of each serving image on a worker."""
        active = self.sessions[worker.worker].active
        found: dict[ImageName, LatencyMargin] = {}
        for name, run in worker.runs.items():
            step = self.state.find_step(name)
            if step is None or not step.tail_goal_ms:
                continue
            viewed = active.get(name)
            tail = viewed.measure if viewed is not None and viewed.run == run else None
            task = ServingTask(name, step.image, step.tail_goal_ms, tail)
            margin = self.leader._interference.predict_margin(task)
            known = found.get(step.image)
            if known is None or margin.margin < known.margin:
                found[step.image] = margin
        return list(found.values())

    def disturb(self) -> None:
        """Change something at random: jobs, runs, workers or time."""
        draw = self.random
        self.clock.advance(timedelta(seconds=draw.uniform(0.01, 0.8)))
        self.end_runs(draw.randint(0, 12))
        for worker in draw.sample(list(self.state.workers), 5):
            self.view(worker)
        for session in self.sessions.values():
            if draw.random() < 0.97:
                session.handle_report(timedelta(seconds=5))
        for _ in range(draw.randint(0, 4)):
            self.submit_batch()
        self._disturb_worker(draw.choice(list(self.state.workers)))

    def _disturb_worker(self, worker: WorkerId) -> None:
        draw = self.random
        match draw.randint(0, 5):
            case 0:
                self.leader._quarantine.record_failure(worker, self.clock.monotonic())
            case 1:
                self.leader._quarantine.record_stall(worker, self.clock.monotonic())
            case 2:
                for task in self.state.workers[worker].runs:
                    self.leader.avoid(task, worker)
            case 3:
                self.cancel(draw.choice(list(self.state.jobs)))
            case 4:
                self.submit_gang()
            case _:
                self.state.workers[worker].draining = draw.random() < 0.1
