"""Stand-in workers that a leader calls, in one process, on any clock.

They keep the contract of the port: fencing tokens, leases on a clock of their
own, ends listed until acknowledged. Told to, they misbehave.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.commands import WorkerReport
from rhubarbfield.scheduling.heartbeats import Heartbeat
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    CheckpointToken,
    Demand,
    Label,
    MachineName,
    RunNumber,
    TaskName,
)
from rhubarbfield.scheduling.ports import (
    ActiveRun,
    CallFailure,
    ListedEnd,
    NoReply,
    OtherLife,
    PaceOrder,
    Refusal,
    Refused,
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerAddress,
    WorkerView,
)
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import ServiceName, Term, WorkerId

CALL_DURATION = timedelta(milliseconds=2)
NO_REPLY_DELAY = timedelta(milliseconds=700)
MAX_LISTED_ENDS = 500
CAPACITY = Demand(8000, 32000)


class StandInRun(msgspec.Struct):
    """A run that is present.

    Attributes
    ----------
    ends_at
        When it ends by itself, on the worker's clock; None for never.
    end
        How.
    measure
        What the worker reports of it.
    pace
        The share of its speed, in percent.
    started_at
        When it started, on the worker's clock.
    """

    run: RunNumber
    ends_at: timedelta | None
    end: RunEnd = RunEnd.DONE
    measure: float | None = None
    pace: int = 100
    started_at: timedelta = timedelta()


class StandInWorker:
    """One worker.

    Parameters
    ----------
    worker
        The id of this life.
    clock
        The time.
    capacity
        What it holds; guarded.
    duration
        How long each run takes; None for ever.
    """

    def __init__(
        self,
        worker: WorkerId,
        clock: Clock,
        *,
        capacity: Demand = CAPACITY,
        duration: timedelta | None = timedelta(seconds=1),
    ) -> None:
        self.worker = worker
        self.capacity = capacity
        self.duration = duration
        self.end = RunEnd.DONE
        self.runs: dict[TaskName, StandInRun] = {}
        self.ends: list[ListedEnd] = []
        self.lease_end = timedelta()
        self.term = Term(0)
        self.is_unreachable = False
        self.is_stuck = False
        self.started: list[tuple[TaskName, RunNumber, timedelta]] = []
        self.demands: dict[TaskName, Demand] = {}
        self.unanswered_starts = 0
        self.rejected_starts = 0
        self._ended_runs: dict[TaskName, RunNumber] = {}
        self._count = 0
        self._sequence = 0
        self._clock = clock
        self._changed = trio.Event()

    @property
    def address(self) -> str:
        """Where it is reached."""
        return f"{self.worker}:1"

    def make_report(self, *, draining: bool = False) -> WorkerReport:
        """Return what it says of itself."""
        return WorkerReport(
            worker=self.worker,
            machine=MachineName(f"m-{self.worker}"),
            service=ServiceName("s"),
            address=self.address,
            zone="z",
            capacity=self.capacity,
            labels=(Label("a"), Label("r1")),
            draining=draining,
        )

    def make_heartbeat(self, *, draining: bool = False) -> Heartbeat:
        """Return its next heartbeat."""
        self._sequence += 1
        report = self.make_report(draining=draining)
        return Heartbeat(report, self._sequence, self.read_clock())

    def read_clock(self) -> timedelta:
        """Return its own clock."""
        return self._clock.monotonic() + timedelta(seconds=100)

    def end_due_runs(self) -> None:
        """End what has ended by now, by itself or with the lease."""
        now = self.read_clock()
        for task, run in list(self.runs.items()):
            if run.ends_at is not None and run.ends_at <= min(now, self.lease_end):
                self._end(task, run.end)
            elif now >= self.lease_end:
                self._end(task, RunEnd.LAPSED)

    def start(self, order: StartOrder) -> Result[timedelta, CallFailure]:
        """Carry out an order to start."""
        self.end_due_runs()
        refusal = self._find_refusal(order)
        if self.rejected_starts:
            self.rejected_starts -= 1
            refusal = Refusal.NO_ROOM
        if order.term >= self.term:
            self.term = order.term
            self.lease_end = max(self.lease_end, order.lease_end)
        if refusal is not None:
            return Failure(Refused(refusal, self.read_clock()))
        if order.task not in self.runs:
            now = self.read_clock()
            endless = self.duration is None or self.is_stuck
            ends_at = None if endless else now + (self.duration or timedelta())
            self.runs[order.task] = StandInRun(
                order.run, ends_at, self.end, started_at=now
            )
            self.started.append((order.task, order.run, self._clock.monotonic()))
        return Success(self.read_clock())

    def stop(self, order: StopOrder) -> Result[timedelta, CallFailure]:
        """Carry out an order to stop."""
        self.end_due_runs()
        if order.term < self.term:
            return Failure(Refused(Refusal.DEPOSED, self.read_clock()))
        task, run = order.task, order.run
        self._ended_runs[task] = max(self._ended_runs.get(task, run), run)
        present = self.runs.get(task)
        if present is not None and present.run <= run:
            self._end(task, RunEnd.STOPPED)
        return Success(self.read_clock())

    def has_ended(self, task: TaskName) -> bool:
        """Say whether a run of a task has ended or was stopped here."""
        return task in self._ended_runs

    async def view(self, request: ViewRequest) -> Result[WorkerView, CallFailure]:
        """Answer a view, at the latest after its wait timeout."""
        self.end_due_runs()
        if request.term < self.term:
            return Failure(Refused(Refusal.DEPOSED, self.read_clock()))
        self.term = request.term
        if request.lease_end is not None:
            self.lease_end = max(self.lease_end, request.lease_end)
        self.ends = [end for end in self.ends if end.number > request.recorded_ends]
        deadline = self._clock.monotonic() + request.wait_timeout
        while not self.ends and self._clock.monotonic() < deadline:
            await self._clock.sleep(timedelta(milliseconds=10))
            self.end_due_runs()
        active = tuple(
            ActiveRun(
                task, run.run, NO_CHECKPOINT, self._find_percent(run), run.measure
            )
            for task, run in self.runs.items()
        )
        listed = tuple(self.ends[:MAX_LISTED_ENDS])
        is_cut = len(self.ends) > MAX_LISTED_ENDS
        return Success(WorkerView(self.read_clock(), active, listed, is_cut))

    def _find_refusal(self, order: StartOrder) -> Refusal | None:
        present = self.runs.get(order.task)
        rules = (
            (order.term < self.term, Refusal.DEPOSED),
            (order.lease_end <= self.read_clock(), Refusal.EXPIRED),
            (order.run <= self._ended_runs.get(order.task, 0), Refusal.SUPERSEDED),
            (present is not None and present.run != order.run, Refusal.SUPERSEDED),
            (present is None and not self._has_room(order.task), Refusal.NO_ROOM),
        )
        return next((refusal for holds, refusal in rules if holds), None)

    def _find_percent(self, run: StandInRun) -> float:
        if self.is_stuck:
            return 0.0
        return (self.read_clock() - run.started_at).total_seconds()

    def _has_room(self, task: TaskName) -> bool:
        free = self.capacity
        for other in self.runs:
            free = free.minus(self.demands.get(other, Demand()))
        return self.demands.get(task, Demand()).fits(free)

    def _end(self, task: TaskName, end: RunEnd) -> None:
        run = self.runs.pop(task)
        self._ended_runs[task] = run.run
        self._count += 1
        self.ends.append(
            ListedEnd(self._count, task, run.run, end, CheckpointToken("saved"))
        )


class StandInFleet:
    """Several workers, reached as the port says.

    Parameters
    ----------
    clock
        The time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.workers: dict[str, StandInWorker] = {}
        self.delayed_starts: list[tuple[StandInWorker, StartOrder]] = []
        self.forgotten: list[str] = []

    def add(self, worker: StandInWorker, address: str | None = None) -> None:
        """Put a worker at an address, in place of what was there."""
        self.workers[address or worker.address] = worker

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        """Start a run."""
        found = await self._reach(to)
        if not isinstance(found, StandInWorker):
            return Failure(found)
        if found.unanswered_starts:
            found.unanswered_starts -= 1
            self.delayed_starts.append((found, order))
            await self._clock.sleep(NO_REPLY_DELAY)
            return Failure(NoReply("no answer in time"))
        return found.start(order)

    async def stop(
        self, to: WorkerAddress, order: StopOrder
    ) -> Result[timedelta, CallFailure]:
        """Stop a run."""
        found = await self._reach(to)
        if not isinstance(found, StandInWorker):
            return Failure(found)
        return found.stop(order)

    async def pace(
        self, to: WorkerAddress, order: PaceOrder
    ) -> Result[timedelta, CallFailure]:
        """Let a run work at a share of its speed."""
        found = await self._reach(to)
        if not isinstance(found, StandInWorker):
            return Failure(found)
        present = found.runs.get(order.task)
        obeys = order.term >= found.term
        if present is not None and present.run == order.run and obeys:
            present.pace = order.percent
        return Success(found.read_clock())

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return what a worker runs."""
        found = await self._reach(to)
        if not isinstance(found, StandInWorker):
            return Failure(found)
        return await found.view(request)

    async def forget(self, address: str) -> None:
        """Note that the connections to an address are no longer needed."""
        self.forgotten.append(address)

    def deliver_delayed_starts(self) -> None:
        """Carry out the orders to start that got no answer."""
        for worker, order in self.delayed_starts:
            worker.start(order)
        self.delayed_starts.clear()

    async def _reach(self, to: WorkerAddress) -> StandInWorker | CallFailure:
        await self._clock.sleep(CALL_DURATION)
        found = self.workers.get(to.address)
        if found is None or found.is_unreachable:
            await self._clock.sleep(NO_REPLY_DELAY)
            return NoReply("no answer in time")
        if found.worker != to.worker:
            return OtherLife()
        return found
