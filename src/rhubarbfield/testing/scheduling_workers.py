"""Stand-in workers for the scheduling controller, in one process, on any clock.

They implement the contract of the worker port: fencing tokens, leases on their
own clock, and ends that are listed until acknowledged. Attributes inject faults.
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
    Refusal,
    Refused,
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerView,
)
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import ServiceName, Term, WorkerId

MAX_LISTED_ENDS = 500
CAPACITY = Demand(8000, 32000)


class StandInRun(msgspec.Struct):
    """A run in progress on a worker.

    Attributes
    ----------
    run
        Number of the run.
    ends_at
        Reading of the worker's clock at which the run ends by itself; None for
        never.
    end
        How the run ends by itself.
    measure
        Measurement that the worker reports for the run.
    pace
        Share of its speed at which the run works, in percent.
    started_at
        Reading of the worker's clock at the start of the run.
    checkpoint
        Progress that the run has saved; if none, it saves some as it ends.
    """

    run: RunNumber
    ends_at: timedelta | None
    end: RunEnd = RunEnd.DONE
    measure: float | None = None
    pace: int = 100
    started_at: timedelta = timedelta()
    checkpoint: CheckpointToken = NO_CHECKPOINT


class StandInWorker:
    """One incarnation of a worker.

    Parameters
    ----------
    worker
        Id of this incarnation.
    clock
        Clock of the loop; the worker's own clock has an offset to it.
    capacity
        Capacity of the worker; starts beyond it are refused.
    duration
        How long each run takes; None for forever.
    machine
        Name of the machine that this is a life of; by default ``worker``.

    Attributes
    ----------
    crash_at
        Monotonic time at which this incarnation ends without notice, or None.
    end
        How runs end by themselves.
    demands
        Demand of each task, for the check of the capacity.
    guards_capacity
        Whether starts that exceed the capacity are refused.
    tolerated_delay
        For how long a larger capacity of before still counts for
        ``exceeding_starts``.
    exceeding_starts
        Tasks that were started beyond the capacity, on a worker that doesn't guard
        it.
    is_unreachable
        Whether calls get no reply.
    is_stuck
        Whether new runs never end and no run makes progress.
    is_draining
        Whether the worker reports that it drains.
    service, labels
        Service and labels that the worker reports.
    started
        Task, run and time of each start.
    unanswered_starts
        Number of upcoming starts that get no reply and are carried out later.
    has_single_lease
        Whether a start is late by the worker's lease, which the order extends, instead
        of by the lease end in the order.
    rejected_starts
        Number of upcoming starts that are refused.
    lost_stops
        Number of upcoming stops that get no reply and are not carried out.
    unhealthy_stops
        Number of upcoming stops that are refused by an unhealthy worker.
    early_acknowledgements
        Numbers that were acknowledged before a view had listed the end.
    """

    def __init__(
        self,
        worker: WorkerId,
        clock: Clock,
        *,
        capacity: Demand = CAPACITY,
        duration: timedelta | None = timedelta(seconds=1),
        machine: str = "",
    ) -> None:
        self.worker = worker
        self.machine = machine or worker
        self.crash_at: timedelta | None = None
        self.capacity = capacity
        self.duration = duration
        self.end = RunEnd.DONE
        self.runs: dict[TaskName, StandInRun] = {}
        self.ends: list[ListedEnd] = []
        self.lease_end = timedelta()
        self.term = Term(0)
        self.is_unreachable = False
        self.is_stuck = False
        self.is_draining = False
        self.service = ServiceName("s")
        self.labels: tuple[Label, ...] = (Label("a"), Label("r1"))
        self.started: list[tuple[TaskName, RunNumber, timedelta]] = []
        self.demands: dict[TaskName, Demand] = {}
        self.guards_capacity = True
        self.has_single_lease = False
        self.tolerated_delay = timedelta()
        self.exceeding_starts: list[TaskName] = []
        self._former_capacities: list[tuple[timedelta, Demand]] = []
        self.unanswered_starts = 0
        self.rejected_starts = 0
        self.lost_stops = 0
        self.unhealthy_stops = 0
        self._ended_runs: dict[TaskName, RunNumber] = {}
        self._last_end_number = 0
        self._last_listed_number = 0
        self.early_acknowledgements: list[int] = []
        self._sequence = 0
        self._clock = clock
        self._changed = trio.Event()

    @property
    def address(self) -> str:
        """Address of the worker."""
        return f"{self.machine}:1"

    @property
    def is_down(self) -> bool:
        """Whether this incarnation has ended."""
        return self.crash_at is not None and self._clock.monotonic() >= self.crash_at

    def make_report(self, *, draining: bool = False) -> WorkerReport:
        """Return the worker's description of itself."""
        return WorkerReport(
            worker=self.worker,
            machine=MachineName(f"m-{self.machine}"),
            service=self.service,
            address=self.address,
            zone="z",
            capacity=self.capacity,
            labels=self.labels,
            draining=draining or self.is_draining,
        )

    def make_heartbeat(self, *, draining: bool = False) -> Heartbeat:
        """Return the next heartbeat."""
        self._sequence += 1
        report = self.make_report(draining=draining)
        return Heartbeat(report, self._sequence, self.read_clock())

    def read_clock(self) -> timedelta:
        """Return the reading of the worker's own clock."""
        return self._clock.monotonic() + timedelta(seconds=100)

    def set_capacity(self, capacity: Demand) -> None:
        """Change the capacity; what runs goes on."""
        self._former_capacities.append((self._clock.monotonic(), self.capacity))
        self.capacity = capacity

    def end_due_runs(self) -> None:
        """End the runs whose time or lease has ended by now."""
        now = self.read_clock()
        for task, run in list(self.runs.items()):
            if run.ends_at is not None and run.ends_at <= min(now, self.lease_end):
                self.end_run(task, run.end)
            elif now >= self.lease_end:
                self.end_run(task, RunEnd.LAPSED)

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
            if not self._fits(order.task, self._list_counted_capacities()):
                self.exceeding_starts.append(order.task)
            now = self.read_clock()
            is_endless = self.duration is None or self.is_stuck
            ends_at = None if is_endless else now + (self.duration or timedelta())
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
            self.end_run(task, RunEnd.STOPPED)
        return Success(self.read_clock())

    def has_ended(self, task: TaskName) -> bool:
        """Return whether a run of a task has ended or was stopped on this worker."""
        return task in self._ended_runs

    async def view(self, request: ViewRequest) -> Result[WorkerView, CallFailure]:
        """Return the current view, at the latest after the request's wait timeout."""
        self.end_due_runs()
        if request.term < self.term:
            return Failure(Refused(Refusal.DEPOSED, self.read_clock()))
        self.term = request.term
        if request.lease_end is not None:
            self.lease_end = max(self.lease_end, request.lease_end)
        if request.recorded_ends > self._last_listed_number:
            self.early_acknowledgements.append(request.recorded_ends)
        self.ends = [end for end in self.ends if end.number > request.recorded_ends]
        deadline = self._clock.monotonic() + request.wait_timeout
        while not self.ends and self._clock.monotonic() < deadline:
            await self._clock.sleep(timedelta(milliseconds=10))
            if self.is_down:
                return Failure(NoReply("the connection was closed"))
            self.end_due_runs()
        active = tuple(
            ActiveRun(
                task, run.run, run.checkpoint, self._find_percent(run), run.measure
            )
            for task, run in self.runs.items()
        )
        listed = tuple(self.ends[:MAX_LISTED_ENDS])
        is_cut = len(self.ends) > MAX_LISTED_ENDS
        numbers = (end.number for end in listed)
        self._last_listed_number = max(numbers, default=self._last_listed_number)
        return Success(WorkerView(self.read_clock(), active, listed, is_cut))

    def _find_refusal(self, order: StartOrder) -> Refusal | None:
        present = self.runs.get(order.task)
        lease_end = order.lease_end
        if self.has_single_lease:
            lease_end = max(lease_end, self.lease_end)
        rules = (
            (order.term < self.term, Refusal.DEPOSED),
            (lease_end <= self.read_clock(), Refusal.EXPIRED),
            (order.run <= self._ended_runs.get(order.task, 0), Refusal.SUPERSEDED),
            (present is not None and present.run != order.run, Refusal.SUPERSEDED),
            (
                present is None
                and self.guards_capacity
                and not self._fits(order.task, [self.capacity]),
                Refusal.NO_ROOM,
            ),
        )
        return next((refusal for holds, refusal in rules if holds), None)

    def _find_percent(self, run: StandInRun) -> float:
        """Return the progress of a run, which grows by one percent per second."""
        if self.is_stuck:
            return 0.0
        return (self.read_clock() - run.started_at).total_seconds()

    def _fits(self, task: TaskName, capacities: list[Demand]) -> bool:
        """Return whether one of some capacities holds a task beside the others."""
        wanted = self.demands.get(task, Demand())
        for other in self.runs:
            wanted = wanted.plus(self.demands.get(other, Demand()))
        return any(wanted.fits(capacity) for capacity in capacities)

    def _list_counted_capacities(self) -> list[Demand]:
        since = self._clock.monotonic() - self.tolerated_delay
        former = [each for until, each in self._former_capacities if until >= since]
        return [self.capacity, *former]

    def end_run(self, task: TaskName, end: RunEnd) -> None:
        """End a run, and list its end."""
        run = self.runs.pop(task)
        self._ended_runs[task] = run.run
        self._last_end_number += 1
        saved = run.checkpoint or CheckpointToken(f"{task}/{run.run}")
        self.ends.append(ListedEnd(self._last_end_number, task, run.run, end, saved))
