"""The port through which stand-in workers of the scheduling controller are called."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.ports import (
    CallFailure,
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
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import WorkerId

CALL_DURATION = timedelta(milliseconds=2)
NO_REPLY_DELAY = timedelta(milliseconds=700)


class SentOrder(msgspec.Struct, frozen=True):
    """An order that a leader sent, whether or not it reached the worker.

    Attributes
    ----------
    at
        Monotonic time at which the call began.
    worker
        Id of the worker that was called.
    order
        The order.
    """

    at: timedelta
    worker: WorkerId
    order: StartOrder | StopOrder


class StandInFleet:
    """Worker port that calls stand-in workers by their addresses.

    Parameters
    ----------
    clock
        Clock for the durations of calls.

    Attributes
    ----------
    workers
        Workers by address.
    delayed_starts
        Orders to start that got no reply and aren't carried out yet.
    forgotten
        Addresses whose connections are no longer needed.
    sent
        Orders to start and to stop, in the order in which they were sent.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.workers: dict[str, StandInWorker] = {}
        self._added: dict[WorkerId, StandInWorker] = {}
        self.delayed_starts: list[tuple[StandInWorker, StartOrder]] = []
        self.forgotten: list[str] = []
        self.sent: list[SentOrder] = []

    def add(self, worker: StandInWorker, address: str | None = None) -> None:
        """Put a worker at an address, in place of the previous one."""
        self.workers[address or worker.address] = worker
        self._added[worker.worker] = worker

    def list_early_acknowledgements(self) -> list[str]:
        """Return the ends that workers were to forget before they had listed them."""
        return [
            f"end {number} of {worker.worker} is acknowledged and was not listed"
            for worker in self._added.values()
            for number in worker.early_acknowledgements
        ]

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        """Start a run."""
        self.sent.append(SentOrder(self._clock.monotonic(), to.worker, order))
        found = await self.find_worker(to)
        if not isinstance(found, StandInWorker):
            return Failure(found)
        if found.unanswered_starts:
            found.unanswered_starts -= 1
            self.delayed_starts.append((found, order))
            await self._clock.sleep(NO_REPLY_DELAY)
            return Failure(NoReply("no reply in time"))
        return found.start(order)

    async def stop(
        self, to: WorkerAddress, order: StopOrder
    ) -> Result[timedelta, CallFailure]:
        """Stop a run."""
        self.sent.append(SentOrder(self._clock.monotonic(), to.worker, order))
        found = await self.find_worker(to)
        if not isinstance(found, StandInWorker):
            return Failure(found)
        if found.lost_stops:
            found.lost_stops -= 1
            await self._clock.sleep(NO_REPLY_DELAY)
            return Failure(NoReply("no reply in time"))
        if found.unhealthy_stops:
            found.unhealthy_stops -= 1
            return Failure(Refused(Refusal.UNHEALTHY))
        return found.stop(order)

    async def pace(
        self, to: WorkerAddress, order: PaceOrder
    ) -> Result[timedelta, CallFailure]:
        """Set the share of its speed at which a run works."""
        found = await self.find_worker(to)
        if not isinstance(found, StandInWorker):
            return Failure(found)
        present = found.runs.get(order.task)
        is_current_term = order.term >= found.term
        if present is not None and present.run == order.run and is_current_term:
            present.pace = order.percent
        return Success(found.read_clock())

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return a worker's view of its runs."""
        found = await self.find_worker(to)
        if not isinstance(found, StandInWorker):
            return Failure(found)
        return await found.view(request)

    async def forget(self, address: str) -> None:
        """Record that the connections to an address are no longer needed."""
        self.forgotten.append(address)

    def deliver_delayed_starts(self) -> None:
        """Carry out the orders to start that got no reply."""
        for worker, order in self.delayed_starts:
            worker.start(order)
        self.delayed_starts.clear()

    async def find_worker(self, to: WorkerAddress) -> StandInWorker | CallFailure:
        """Return the worker that a call reaches, or how the call fails."""
        await self._clock.sleep(CALL_DURATION)
        found = self.workers.get(to.address)
        if found is None or found.is_unreachable:
            await self._clock.sleep(NO_REPLY_DELAY)
            return NoReply("no reply in time")
        if found.worker != to.worker:
            return OtherLife()
        return found
