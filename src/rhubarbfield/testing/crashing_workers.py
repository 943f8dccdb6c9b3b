"""Stand-in workers that crash, and come back as other incarnations."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import msgspec
from returns.result import Result

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.model import StepName, TaskName, name_step
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    StartOrder,
    WorkerAddress,
)
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_fleet import CALL_DURATION, StandInFleet
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import WorkerId

CRASH_DELAY = timedelta(milliseconds=10)
RESTART_DELAY = timedelta(seconds=3.3)


class Crash(msgspec.Struct, frozen=True):
    """The end of an incarnation.

    Attributes
    ----------
    at
        Monotonic time of the crash.
    worker
        Id of the incarnation.
    tasks
        Tasks that ran there, with the times of their starts.
    """

    at: timedelta
    worker: WorkerId
    tasks: dict[TaskName, timedelta]

    def list_started_within(self, limit: timedelta) -> list[TaskName]:
        """Return the tasks that had started less than ``limit`` before."""
        return [task for task, start in self.tasks.items() if self.at - start < limit]


class CrashingFleet(StandInFleet):
    """Worker port whose workers may crash.

    Parameters
    ----------
    clock
        Clock for the durations of calls.

    Attributes
    ----------
    deadly
        Tasks that crash each worker that starts them.
    endless
        Tasks whose runs do not end by themselves.
    gang_steps
        Steps (``JOB.OCCURRENCE.STEP``) whose other members end with a lost one.
    crash_delay
        Time from the start of a deadly task to the crash.
    restart_delay
        Time from a crash until the next incarnation answers.
    crashes
        Crashes so far.
    starts
        Number of runs that were started, by task.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._time = clock
        self._successors: dict[WorkerId, StandInWorker] = {}
        self._crashing: list[StandInWorker] = []
        self.deadly: set[TaskName] = set()
        self.endless: set[TaskName] = set()
        self.gang_steps: set[StepName] = set()
        self.crash_delay = CRASH_DELAY
        self.restart_delay = RESTART_DELAY
        self.crashes: list[Crash] = []
        self.starts: Counter[TaskName] = Counter()

    def crash(self, worker: StandInWorker, delay: timedelta = timedelta()) -> None:
        """Crash an incarnation after a delay, unless it crashes anyway."""
        if worker.crash_at is None:
            worker.crash_at = self._time.monotonic() + delay
            self._crashing.append(worker)
        self._restart_due()

    def find_latest(self, worker: StandInWorker) -> StandInWorker:
        """Return the latest incarnation of a worker's machine."""
        self._restart_due()
        while worker.worker in self._successors:
            worker = self._successors[worker.worker]
        return worker

    def count_crashes(self, task: TaskName) -> int:
        """Return the number of crashes of workers that ran a task."""
        self._restart_due()
        return sum(task in crash.tasks for crash in self.crashes)

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        """Start a run."""
        before = self.workers.get(to.address)
        known = 0 if before is None else len(before.started)
        result = await super().start(to, order)
        worker = self.workers.get(to.address)
        if worker is None or worker is not before or len(worker.started) == known:
            return result
        for task, _, _ in worker.started[known:]:
            self.starts[task] += 1
            if task in self.endless and task in worker.runs:
                worker.runs[task].ends_at = None
            if task in self.deadly:
                self.crash(worker, self.crash_delay)
        return result

    async def find_worker(self, to: WorkerAddress) -> StandInWorker | CallFailure:
        """Return the worker that a call reaches, or how the call fails."""
        self._restart_due()
        worker = self.workers.get(to.address)
        if worker is not None and worker.is_down:
            await self._time.sleep(CALL_DURATION)
            return NoReply("connection refused", was_sent=False)
        found = await super().find_worker(to)
        if isinstance(found, StandInWorker) and found.is_down:  # meanwhile
            return NoReply("the connection was closed")
        return found

    def _restart_due(self) -> None:
        for worker in list(self._crashing):
            if worker.is_down and worker.runs:
                self._record_crash(worker)
            crash_at = worker.crash_at
            assert crash_at is not None
            if self._time.monotonic() >= crash_at + self.restart_delay:
                self._crashing.remove(worker)
                self._restart(worker)

    def _record_crash(self, worker: StandInWorker) -> None:
        assert worker.crash_at is not None
        tasks = {task: at for task, _, at in worker.started if task in worker.runs}
        self.crashes.append(Crash(worker.crash_at, worker.worker, tasks))
        worker.runs.clear()
        self._break_gangs({name_step(task) for task in tasks} & self.gang_steps)

    def _break_gangs(self, steps: set[StepName]) -> None:
        for worker in self.workers.values():
            for task in [each for each in worker.runs if name_step(each) in steps]:
                worker.end_run(task, RunEnd.BROKEN)

    def _restart(self, worker: StandInWorker) -> None:
        successor = self._make_successor(worker)
        successor.demands = worker.demands
        self._successors[worker.worker] = successor
        self.add(successor)

    def _make_successor(self, worker: StandInWorker) -> StandInWorker:
        return StandInWorker(
            WorkerId(f"{worker.worker}'"),
            self._time,
            capacity=worker.capacity,
            duration=worker.duration,
            machine=worker.machine,
        )
