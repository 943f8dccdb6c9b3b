"""Simulated attempts at tasks: resource use, run times and checkpoints."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.leases import HeldLease
from rhubarbfield.testing.observer import Observer, Runner
from rhubarbfield.types import AttemptState, CheckpointId
from rhubarbfield.workers.messages import (
    AttemptReport,
    AttemptUsage,
    HeldAttempt,
)
from rhubarbfield.workers.orders import (
    StartAttempt,
)

TICK = timedelta(milliseconds=500)
WAKE_TOLERANCE = timedelta(milliseconds=50)
ENDED_STATES = frozenset(
    {
        AttemptState.EVICTED,
        AttemptState.SUCCEEDED,
        AttemptState.FAILED,
        AttemptState.CANCELLED,
    }
)


class TaskBehaviour(msgspec.Struct, frozen=True, kw_only=True):
    """Actual run time and resource use of a task, independent of its request.

    Attributes
    ----------
    run_time
        How long the task runs when it isn't throttled.
    cores, memory_mb
        Resources that the task uses.
    fails
        Whether the task fails at its end.
    """

    run_time: timedelta
    cores: float
    memory_mb: int
    fails: bool = False


TaskModel = Callable[[StartAttempt], TaskBehaviour]


def make_seeded_task_model(
    seed: int,
    *,
    shortest: timedelta = timedelta(seconds=5),
    longest: timedelta = timedelta(minutes=2),
    failing: float = 0.0,
) -> TaskModel:
    """Return a model that derives a task's behaviour from the seed and its id.

    Parameters
    ----------
    seed
        Equal seeds give equal behaviour.
    shortest, longest
        Bounds of the run times.
    failing
        Fraction of tasks that fail in every attempt.
    """

    def make_behaviour(order: StartAttempt) -> TaskBehaviour:
        rng = random.Random(f"{seed}/{order.task}")
        return TaskBehaviour(
            run_time=shortest + (longest - shortest) * rng.random(),
            cores=order.resources.cores * rng.uniform(0.2, 1.5),
            memory_mb=int(order.resources.memory_mb * rng.uniform(0.2, 1.2)),
            fails=rng.random() < failing,
        )

    return make_behaviour


def make_checkpoint(progress: float, order: StartAttempt) -> CheckpointId:
    """Return the id of a checkpoint, which encodes the progress as a fraction."""
    return CheckpointId(f"{progress:.6f}@{order.attempt}")


def read_progress(checkpoint: CheckpointId | None) -> float:
    """Return the progress that a checkpoint id encodes; 0 without a checkpoint."""
    return 0.0 if checkpoint is None else float(checkpoint.split("@")[0])


class SimulatedAttempt:
    """One attempt on a stand-in worker.

    Parameters
    ----------
    order
        The order that started the attempt.
    behaviour
        Actual run time and resource use of the task.
    runner
        Worker process that runs the attempt.
    lease
        The worker's lease; the attempt doesn't run while it isn't held.
    clock
        The worker's clock.
    observer
        Records each interval in which the attempt ran.
    wait_while_frozen
        Waits while the worker process is frozen.

    Attributes
    ----------
    fraction
        Share of its speed to which the attempt is throttled.
    progress
        Fraction of the task that is done.
    revision
        Increases with each change that has to be reported.
    """

    def __init__(
        self,
        order: StartAttempt,
        behaviour: TaskBehaviour,
        *,
        runner: Runner,
        lease: HeldLease,
        clock: Clock,
        observer: Observer,
        wait_while_frozen: Callable[[], Awaitable[None]],
    ) -> None:
        self.order = order
        self.behaviour = behaviour
        self.state = AttemptState.RUNNING
        self.checkpoint = order.checkpoint
        self.fraction = 1.0
        self.detail = ""
        self.revision = 0
        self.progress = read_progress(order.checkpoint)
        self._stopped_at: timedelta | None = None
        self._runner = runner
        self._lease = lease
        self._clock = clock
        self._true_clock = TrioClock()
        self._observer = observer
        self._wait_while_frozen = wait_while_frozen

    @property
    def ended(self) -> bool:
        """Whether the attempt has reached a final state."""
        return self.state in ENDED_STATES

    async def run(self, changed: Callable[[], None]) -> None:
        """Run until the attempt has ended.

        Parameters
        ----------
        changed
            Called after each change of state.
        """
        while not self.ended:
            before = self.state
            if self._lease.holds():
                self.state = AttemptState.RUNNING
                await self._run_for(min(TICK, self._lease.remaining()))
            else:
                self._hold()
                await self._clock.sleep(TICK)
                await self._wait_while_frozen()
            if self.state is not before:
                self.revision += 1
                changed()

    def stop(self, *, evict: bool, reason: str) -> None:
        """End the attempt now, with a checkpoint if it is evicted."""
        if self.ended:
            return
        if evict:
            self.take_checkpoint()
        self.revision += 1
        self.detail = reason
        self._end(AttemptState.EVICTED if evict else AttemptState.CANCELLED)

    def fail(self, reason: str) -> None:
        """End the attempt as failed."""
        self.detail = reason
        self._end(AttemptState.FAILED)

    def take_checkpoint(self) -> None:
        """Save the current progress in a checkpoint."""
        self.revision += 1
        self.checkpoint = make_checkpoint(self.progress, self.order)

    def describe(self) -> HeldAttempt:
        """Return the attempt as a worker's hello lists it."""
        return HeldAttempt(
            attempt=self.order.attempt,
            task=self.order.task,
            epoch=self.order.epoch,
            state=self.state,
            checkpoint=self.checkpoint,
        )

    def make_report(self) -> AttemptReport:
        """Return a report of the current state."""
        return AttemptReport(
            attempt=self.order.attempt,
            epoch=self.order.epoch,
            state=self.state,
            checkpoint=self.checkpoint,
            detail=self.detail,
        )

    def measure(self) -> AttemptUsage:
        """Return the current resource use and progress."""
        running = self.state is AttemptState.RUNNING
        return AttemptUsage(
            attempt=self.order.attempt,
            cores=self.behaviour.cores * self.fraction if running else 0.0,
            memory_mb=self.behaviour.memory_mb,
            progress=min(1.0, self.progress),
        )

    async def _run_for(self, planned: timedelta) -> None:
        began = self._true_clock.monotonic()
        try:
            await self._clock.sleep(planned)
        finally:
            self._record_run(began, planned)
        if self.ended:
            return
        self.progress += self.fraction * (planned / self.behaviour.run_time)
        await self._wait_while_frozen()
        if self.progress >= 1.0 and self._lease.holds() and not self.ended:
            self._finish()

    def _record_run(self, began: timedelta, planned: timedelta) -> None:
        ended = self._stopped_at or self._true_clock.monotonic()
        if ended - began > planned + WAKE_TOLERANCE:
            ended = began + planned
        self._observer.record_run(self._runner, self.order, began, ended)

    def _finish(self) -> None:
        if self.behaviour.fails:
            self.fail("the task failed by itself")
            return
        self._observer.record_finish(self.order.task, self.order.attempt)
        self._end(AttemptState.SUCCEEDED)

    def _hold(self) -> None:
        if self.state is not AttemptState.HELD:
            self.take_checkpoint()
            self.state = AttemptState.HELD

    def _end(self, state: AttemptState) -> None:
        self._stopped_at = self._true_clock.monotonic()
        self.state = state
        self._observer.record_end(self._runner, self.order.attempt)
