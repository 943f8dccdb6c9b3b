"""Stand-in workers that are cut off in part, and carry out orders seconds late."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from enum import Enum
from typing import Any, TypeVar

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.model import StepName, TaskName, name_step
from rhubarbfield.scheduling.ports import (
    CallFailure,
    ListedEnd,
    NoReply,
    PaceOrder,
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerAddress,
    WorkerView,
)
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.crashing_workers import CrashingFleet
from rhubarbfield.testing.scheduling_fleet import NO_REPLY_DELAY
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import WorkerId
from tests.scheduling import inputs
from tests.scheduling.done_runs import DoneRun
from tests.scheduling.inputs import Call, Inputs
from tests.scheduling.late_gangs import Gangs, StepPlan

LATE_SECONDS = (2.0, 12.0)
LOSS = 0.4  # share of the requests, and of the replies, on a lossy link
RUN_SECONDS = (0.1, 4.0)
SLOW_RATE = 0.98

ValueT = TypeVar("ValueT")


class Trouble(Enum):
    """What becomes of the calls to a worker.

    Attributes
    ----------
    LATE
        They get no reply, and are carried out seconds later.
    DEAF
        They do not arrive.
    MUTE
        They are carried out, and the replies are lost.
    LOSSY
        Some do not arrive, and some replies are lost.
    """

    NONE = "none"
    LATE = "late"
    DEAF = "deaf"
    MUTE = "mute"
    LOSSY = "lossy"


class LateWorker(StandInWorker):
    """A worker whose clock may be slow, and which knows what became of its ends.

    Attributes
    ----------
    rate
        Rate of its clock.
    jumped
        By how much its clock has jumped ahead.
    trouble
        What becomes of the calls to the worker.
    troubled_calls
        The calls that the trouble is for.
    done
        Runs that ended as done.
    plans
        What the runs of steps do; others have a random duration.
    gangs
        The gangs whose members run here.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.rate = 1.0
        self.jumped = timedelta()
        self.trouble = Trouble.NONE
        self.troubled_calls = frozenset(Call)
        self.done: list[DoneRun] = []
        self.plans: Mapping[StepName, StepPlan] = {}
        self.gangs: Gangs
        self.random = random.Random(str(self.worker))

    def read_clock(self) -> timedelta:
        true_time = self._clock.monotonic() * self.rate
        return true_time + timedelta(seconds=100) + self.jumped

    def jump(self, by: timedelta) -> None:
        """Let the clock jump ahead; the lease lapses by it, and runs take as long."""
        self._note_lapse()
        self.jumped += by
        for run in self.runs.values():
            if run.ends_at is not None:
                run.ends_at += by

    def start(self, order: StartOrder) -> Result[timedelta, CallFailure]:
        self._note_lapse()
        plan = self.plans.get(name_step(order.task))
        if plan is None:
            self.duration = timedelta(seconds=self.random.uniform(*RUN_SECONDS))
            return super().start(order)
        self.duration = None if plan.is_gang else plan.duration
        self.end = plan.end
        known = len(self.started)
        result = super().start(order)
        if plan.is_gang and len(self.started) > known:
            self.gangs.join(self, order.task, order.run, order.checkpoint)
        return result

    async def view(self, request: ViewRequest) -> Result[WorkerView, CallFailure]:
        self._note_lapse()
        if request.term >= self.term:
            for each in self.done:
                if each.acknowledged_at is None:
                    self._acknowledge(each, request.recorded_ends)
        result = await super().view(request)
        if isinstance(result, Success):
            self._note_listing(result.unwrap())
        return result

    def _note_listing(self, view: WorkerView) -> None:
        """Note the ends that a view is the first to list."""
        self._note_lapse()
        numbers = {end.number for end in view.ends}
        for each in self.done:
            if each.number in numbers and each.listed_at is None:
                each.listed_at = self._clock.monotonic()
                each.is_listed_late = each.counts is False

    def note_arrival(self, view: WorkerView) -> None:
        """Note the ends in a view that has reached its caller."""
        numbers = {end.number for end in view.ends}
        for each in self.done:
            if each.number in numbers and each.arrived_at is None:
                each.arrived_at = self._clock.monotonic()

    def _acknowledge(self, done: DoneRun, recorded_ends: int) -> None:
        if done.number <= recorded_ends:
            done.acknowledged_at = self._clock.monotonic()
            done.counts = done.counts is None

    def end_run(self, task: TaskName, end: RunEnd) -> None:
        run = self.runs[task]
        super().end_run(task, end)
        if end is RunEnd.DONE:
            listed: ListedEnd = self.ends[-1]
            at = self._clock.monotonic()
            if run.ends_at is not None:
                late = (self.read_clock() - run.ends_at) / self.rate
                at -= max(late, timedelta())
            done = DoneRun(task, run.run, self.worker, listed.number, at)
            self.done.append(done)

    def _note_lapse(self) -> None:
        """Let ends that were not acknowledged before the lease lapsed not count."""
        self.end_due_runs()
        if self.read_clock() >= self.lease_end:
            for each in self.done:
                if each.counts is None:
                    each.counts = False


class LateFleet(CrashingFleet):
    """Worker port whose calls are lost, or carried out late.

    Parameters
    ----------
    clock
        Clock for the durations of calls.
    rng
        Source of luck.
    nursery
        Runs the calls that are carried out late.

    Attributes
    ----------
    lives
        All incarnations of all workers.
    has_single_lease
        As of the workers.
    drawn
        Draws of a wide day; None on a narrow one.
    plans
        What the runs of steps do.
    reply_seconds
        Shortest and longest time for which the reply to a view is under way, None for
        none. A caller that gives up meanwhile does not get it.
    """

    def __init__(self, clock: Clock, rng: random.Random, nursery: trio.Nursery) -> None:
        super().__init__(clock)
        self._random = rng
        self._nursery = nursery
        self.lives: list[LateWorker] = []
        self.has_single_lease = False
        self.drawn: Inputs | None = None
        self.plans: dict[StepName, StepPlan] = {}
        self.reply_seconds: tuple[float, float] | None = None
        self._gangs = Gangs(clock, self.plans)
        self._ordered_at: dict[TaskName | StepName, timedelta] = {}  # the last time

    def add(self, worker: StandInWorker, address: str | None = None) -> None:
        assert isinstance(worker, LateWorker)
        worker.has_single_lease = self.has_single_lease
        worker.plans = self.plans
        worker.gangs = self._gangs
        if self.drawn is None:
            worker.rate = self._random.choice((1.0, SLOW_RATE))
        else:
            reading = self.drawn.choose(inputs.LEASE_READING)
            worker.has_single_lease |= reading == "of the worker"
            worker.rate = self.drawn.draw(inputs.CLOCK_RATE)
        self.lives.append(worker)
        super().add(worker, address)

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        self._ordered_at[self.name_whole(order.task)] = self._time.monotonic()
        return await self._call(
            Call.START, to, lambda: super(LateFleet, self).start(to, order)
        )

    async def stop(
        self, to: WorkerAddress, order: StopOrder
    ) -> Result[timedelta, CallFailure]:
        return await self._call(
            Call.STOP, to, lambda: super(LateFleet, self).stop(to, order)
        )

    async def pace(
        self, to: WorkerAddress, order: PaceOrder
    ) -> Result[timedelta, CallFailure]:
        return await self._call(
            Call.PACE, to, lambda: super(LateFleet, self).pace(to, order)
        )

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        worker = self.workers.get(to.address)
        result = await self.get_view(to, request)
        if isinstance(result, Success) and isinstance(worker, LateWorker):
            worker.note_arrival(result.unwrap())
        return result

    async def get_view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return a view after the time for which its reply is under way."""
        result = await self._call(
            Call.VIEW, to, lambda: super(LateFleet, self).view(to, request)
        )
        if self.reply_seconds is not None:
            await trio.sleep(self._random.uniform(*self.reply_seconds))
        return result

    def count_runs_at_once(self) -> int:
        """Return the highest number of workers that run the same task now."""
        self._gangs.advance()
        counts: Counter[TaskName] = Counter()
        for worker in self.lives:
            if not worker.is_down:
                worker.end_due_runs()
                counts.update(worker.runs.keys())
        return max(counts.values(), default=0)

    def count_runs(self) -> Counter[str]:
        """Return the number of starts, and of ends as done that count or do not."""
        counts: Counter[str] = Counter()
        for worker in self.lives:
            counts["starts"] += len(worker.started)
            counts["done"] += sum(each.counts is True for each in worker.done)
            counts["gang members done"] += sum(
                name_step(each.task) in self.gang_steps for each in worker.done
            )
            counts["lapsed"] += sum(each.counts is False for each in worker.done)
        return counts

    def list_repeated_starts(self) -> list[str]:
        """Return the starts of tasks of which a run had ended as done, and counts.

        The end of one member of a gang stands for all.
        """
        starts: dict[TaskName | StepName, list[timedelta]] = {}
        for worker in self.lives:
            for task, _, at in worker.started:
                starts.setdefault(self.name_whole(task), []).append(at)
        return [
            f"{done.task} starts after run {done.run} on {done.worker} was done"
            f" at {done.ended_at}"
            for worker in self.lives
            for done in worker.done
            if done.counts and done.task not in self.endless
            if any(at > done.ended_at for at in starts[self.name_whole(done.task)])
        ]

    def list_starts_of_known(self) -> list[str]:
        """Return the starts that were ordered after the task was known to be done.

        Whether the worker's lease had lapsed in between does not matter.
        """
        return [
            f"{done.task} is ordered to start at {ordered_at} after run {done.run} on"
            f" {done.worker} was acknowledged as done at {done.acknowledged_at}"
            for worker in self.lives
            for done in worker.done
            if done.acknowledged_at is not None and done.task not in self.endless
            for ordered_at in (self._ordered_at[self.name_whole(done.task)],)
            if ordered_at > done.acknowledged_at
        ]

    def name_whole(self, task: TaskName) -> TaskName | StepName:
        """Return the name of what ends together: a task, or a whole gang."""
        step = name_step(task)
        return step if step in self.gang_steps else task

    async def _call(
        self,
        kind: Call,
        to: WorkerAddress,
        call: Callable[[], Awaitable[Result[ValueT, CallFailure]]],
    ) -> Result[ValueT, CallFailure]:
        worker = self.workers.get(to.address)
        trouble = Trouble.NONE
        if isinstance(worker, LateWorker) and not worker.is_down:
            is_troubled = kind in worker.troubled_calls
            trouble = worker.trouble if is_troubled else Trouble.NONE
        if trouble is Trouble.LOSSY:
            kinds = (Trouble.DEAF, Trouble.MUTE)
            is_lost = self._random.random() < LOSS
            trouble = self._random.choice(kinds) if is_lost else Trouble.NONE
        match trouble:
            case Trouble.NONE:
                return await call()
            case Trouble.LATE:
                self._nursery.start_soon(self._call_late, call)
            case Trouble.MUTE:
                self._nursery.start_soon(call)
        await trio.sleep(NO_REPLY_DELAY.total_seconds())
        return Failure(NoReply("no reply in time"))

    async def _call_late(self, call: Callable[[], Awaitable[object]]) -> None:
        if self.drawn is None:
            await trio.sleep(self._random.uniform(*LATE_SECONDS))
        else:
            await trio.sleep(self.drawn.draw(inputs.LATE_SECONDS))
        await call()

    def _make_successor(self, worker: StandInWorker) -> StandInWorker:
        successor = LateWorker(
            WorkerId(f"{worker.worker}'"),
            self._time,
            capacity=worker.capacity,
            duration=worker.duration,
            machine=worker.machine,
        )
        assert isinstance(worker, LateWorker)
        successor.service = worker.service
        successor.trouble = worker.trouble  # behind the same cut
        successor.troubled_calls = worker.troubled_calls
        return successor
