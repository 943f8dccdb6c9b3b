"""Random days with deadly tasks, crashes, cuts and changing capacities.

``python -m tests.scheduling.longrun --seeds 50`` plays that many days on a virtual
clock, each with other luck, and prints what went wrong. The same seed gives the same
day.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Sequence
from datetime import timedelta

import trio
from absl import app, flags

from rhubarbfield.scheduling.model import (
    CheckpointToken,
    Demand,
    JobPhase,
    RunNumber,
    ServiceName,
    Step,
    StepName,
    TaskName,
    WorkerService,
    name_step,
)
from rhubarbfield.scheduling.ports import StartOrder
from rhubarbfield.scheduling.state import Job
from rhubarbfield.testing.crashing_workers import CrashingFleet
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from rhubarbfield.types import WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import ONE_CORE, Deployment, count_runs_at_once
from tests.scheduling.lost_state_signs import collect_signs

# The users' limits: two starts after the third crash, and a smaller capacity counts
# after 3 s and an interval of heartbeats.
MAX_STARTS = 3 + 2
TOLERATED_DELAY = timedelta(seconds=3 + 1)
MIN_CRASHES = 2
WORKERS = 10
TERM_SECONDS = 25
TERMS = 3
RECOVERY_SECONDS = 60
# Time of it in which a worker had a free core for a while although work was left. A
# restarted worker is used after its next report and an answer.
ROOM_DELAY = 2.0
MAX_SECONDS_WITH_ROOM = 20
MAX_LOADED_SECONDS = 300
RECOVERY_STEP = 0.1
SIZES = (Demand(2000, 8000), Demand(4000, 16000), CAPACITY)


class RandomDay:
    """One day and what was seen to go wrong on it.

    Parameters
    ----------
    seed
        Seed of the day.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.deployment = Deployment()
        self.guards = self.random.random() < 0.5
        self.faults: list[str] = []
        self.jobs = 0
        self.seconds_with_room = 0.0
        self._room_since: dict[WorkerId, float] = {}

    async def play(self) -> None:
        """Play the day; jobs have time to end after the disturbances."""
        deployment = self.deployment
        service = WorkerService(
            name=ServiceName("s"), workers_guard_capacity=self.guards
        )
        await deployment.configure(services=(service,), max_attempts=3)
        for number in range(WORKERS):
            worker = deployment.add_worker(f"w{number}")
            worker.guards_capacity = self.guards
            worker.tolerated_delay = TOLERATED_DELAY
        led_until = None
        for term in range(1, TERMS + 1):
            deployment.elect(term, led_until)
            async with deployment.lead():
                with trio.move_on_after(TERM_SECONDS * self.random.uniform(0.3, 1)):
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._submit)
                        nursery.start_soon(self._disturb)
                        nursery.start_soon(self._watch)
            led_until = deployment.clock.monotonic()
            if self.random.random() < 0.5:
                machine = deployment.log.machine
                machine.restore(machine.take_snapshot())
            await trio.sleep(self.random.uniform(0, 4))  # no leader
        deployment.elect(TERMS + 1, led_until)
        async with deployment.lead():
            for worker in self._list_workers():
                worker.is_unreachable = False
                worker.set_capacity(CAPACITY)
            await self._recover()
        self._check_end()

    async def _recover(self) -> None:
        """Wait for all work to end, for a limited time in which there was room for it.

        On a day with more work than the workers can do, no core is free for most of
        it: that says nothing about the scheduler.
        """
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            while True:
                passed = trio.current_time() - began
                may_wait = self.seconds_with_room < MAX_SECONDS_WITH_ROOM
                is_late = not may_wait or passed >= MAX_LOADED_SECONDS
                if passed >= RECOVERY_SECONDS and (is_late or not self._list_open()):
                    break
                await trio.sleep(RECOVERY_STEP)
                if self._list_open() and may_wait:
                    self.seconds_with_room += RECOVERY_STEP * self._has_lasting_room()
            nursery.cancel_scope.cancel()

    def _has_lasting_room(self) -> bool:
        """Return whether a worker could have run one more task for a while."""
        now = trio.current_time()
        since: dict[WorkerId, float] = {}
        for worker in self._list_workers():
            worker.end_due_runs()
            wanted = (len(worker.runs) + 1) * ONE_CORE.millicores
            if not worker.is_down and wanted <= worker.capacity.millicores:
                since[worker.worker] = self._room_since.get(worker.worker, now)
        self._room_since = since
        return any(now - began >= ROOM_DELAY for began in since.values())

    def _list_workers(self) -> list[StandInWorker]:
        fleet = self.deployment.fleet
        return [fleet.find_latest(first) for first in self.deployment.reporting]

    async def _submit(self) -> None:
        draw = self.random
        while True:
            self.jobs += 1
            name = f"j{self.jobs}"
            is_gang = draw.random() < 0.1
            step = Step(
                tasks=draw.randint(1, 4),
                demand=ONE_CORE,
                estimate_ms=1000,
                gang=is_gang,
                standing=not is_gang and draw.random() < 0.05,
            )
            tasks = [TaskName(f"{name}.0.0.{index}") for index in range(step.tasks)]
            for worker in self.deployment.fleet.workers.values():
                worker.demands.update(dict.fromkeys(tasks, ONE_CORE))
            if step.standing:
                self.deployment.fleet.endless.update(tasks)
            if is_gang:
                self.deployment.fleet.gang_steps.add(name_step(tasks[0]))
            if draw.random() < 0.06:
                self.deployment.fleet.deadly.add(draw.choice(tasks))
            await self.deployment.submit(name, step)
            await trio.sleep(draw.uniform(0, 0.4))

    async def _disturb(self) -> None:
        draw = self.random
        while True:
            await trio.sleep(draw.uniform(0.5, 5))
            workers = self._list_workers()
            chosen = draw.sample(workers, draw.randint(1, 4))
            match draw.randint(0, 3):
                case 0:
                    for worker in chosen:
                        self.deployment.fleet.crash(worker)
                case 1:
                    for worker in chosen:
                        worker.is_unreachable = not worker.is_unreachable
                case 2:
                    for worker in chosen:
                        worker.set_capacity(draw.choice(SIZES))
                case _:
                    chosen[0].unanswered_starts = draw.randint(1, 3)

    async def _watch(self) -> None:
        while True:
            await trio.sleep(0.05)
            if count_runs_at_once(self.deployment) > 1:
                self.faults.append("a task ran twice at once")

    def _check_end(self) -> None:
        fleet = self.deployment.fleet
        for task in fleet.deadly:
            if fleet.starts[task] > MAX_STARTS:
                self.faults.append(f"{task} was started {fleet.starts[task]} times")
        for worker in fleet.workers.values():
            if not self.guards and worker.exceeding_starts:
                self.faults.append(f"{worker.worker} exceeded its capacity")
        for job in self.deployment.state.jobs.values():
            self._check_job(job)
        self.faults.extend(find_torn_gangs(fleet))
        self.faults.extend(fleet.list_early_acknowledgements())
        if self.seconds_with_room >= MAX_SECONDS_WITH_ROOM:
            self.faults.append("work had room for too long without an end")
        for job in self._list_open():
            self.faults.append(f"{job.job} is {job.phase} at the end")

    def _list_open(self) -> list[Job]:
        """Return the open jobs that have to end."""
        return [
            job
            for job in self.deployment.state.jobs.values()
            if job.is_open
            and not job.get_step(0).standing
            and not self._has_deadly_run(job)
        ]

    def _has_deadly_run(self, job: Job) -> bool:
        fleet = self.deployment.fleet
        names = list_tasks(job)
        return any(fleet.starts[name] and name in fleet.deadly for name in names)

    def _check_job(self, job: Job) -> None:
        fleet = self.deployment.fleet
        crashes = max(fleet.count_crashes(name) for name in list_tasks(job))
        if job.phase is JobPhase.FAILED and crashes < MIN_CRASHES:
            self.faults.append(f"{job.job} was failed after {crashes} crashes")


def list_tasks(job: Job) -> list[TaskName]:
    """Return the names of the tasks of a job's only step."""
    count = len(job.occurrences[0][0].tasks)
    return [TaskName(f"{job.job}.0.0.{index}") for index in range(count)]


def find_torn_gangs(fleet: CrashingFleet) -> list[str]:
    """Return the runs of gangs whose members were given different checkpoints."""
    given: dict[tuple[StepName, RunNumber], set[CheckpointToken]] = {}
    for sent in fleet.sent:
        if isinstance(sent.order, StartOrder):
            step = name_step(sent.order.task)
            if step in fleet.gang_steps:
                checkpoints = given.setdefault((step, sent.order.run), set())
                checkpoints.add(sent.order.checkpoint)
    return [
        f"run {run} of {step} has members with different checkpoints"
        for (step, run), checkpoints in given.items()
        if len(checkpoints) > 1
    ]


def play_day(seed: int) -> RandomDay:
    """Play the day of a seed and return it."""
    days: list[RandomDay] = []

    async def play() -> None:
        day = RandomDay(seed)
        days.append(day)
        await day.play()

    with collect_signs() as signs:
        run_deterministic(play, seed=seed)
    days[0].faults.extend(signs)
    return days[0]


def main(_: Sequence[str]) -> None:
    """Play days and print those on which something went wrong."""
    failed = 0
    crashes = given_up = bystanders = 0
    for seed in range(FLAGS.first, FLAGS.first + FLAGS.seeds):
        day = play_day(seed)
        fleet = day.deployment.fleet
        ended = [
            job.job
            for job in day.deployment.state.jobs.values()
            if job.phase is JobPhase.FAILED
        ]
        deadly = {task.partition(".")[0] for task in fleet.deadly}
        crashes += len(fleet.crashes)
        given_up += len(ended)
        bystanders += sum(job not in deadly for job in ended)
        failed += bool(day.faults)
        if day.faults:
            print(f"seed {seed}: {'; '.join(dict.fromkeys(day.faults))}")
    print(
        f"{FLAGS.seeds} days, {failed} with faults; {crashes} crashes, "
        f"{given_up} jobs given up, {bystanders} of them without a deadly task"
    )
    sys.exit(1 if failed else 0)


FLAGS = flags.FLAGS
if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 50, "Number of days to play.")
    flags.DEFINE_integer("first", 1, "Seed of the first day.")
    app.run(main)
