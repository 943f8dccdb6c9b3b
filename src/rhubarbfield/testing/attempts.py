"""Simulated tasks: their true sizes, how long they run, and their checkpoints."""

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
    """What a task really needs, whatever was declared.

    Attributes
    ----------
    run_time
        How long it runs on all the cores that it wants.
    cores, memory_mb
        What it uses.
    fails
        Whether it fails at its end.
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
    """Return a model in which a task's truth follows from the seed and its id.

    Parameters
    ----------
    seed
        Equal seeds give equal truths.
    shortest, longest
        Bounds of the run times.
    failing
        The fraction of tasks that fail whenever they are tried.
    """

    def find_truth(order: StartAttempt) -> TaskBehaviour:
        rng = random.Random(f"{seed}/{order.task}")
        return TaskBehaviour(
            run_time=shortest + (longest - shortest) * rng.random(),
            cores=order.resources.cores * rng.uniform(0.2, 1.5),
            memory_mb=int(order.resources.memory_mb * rng.uniform(0.2, 1.2)),
            fails=rng.random() < failing,
        )

    return find_truth


def make_checkpoint(progress: float, order: StartAttempt) -> CheckpointId:
    """Return the id of a checkpoint; it carries the progress that it keeps."""
    return CheckpointId(f"{progress:.6f}@{order.attempt}")


def read_progress(checkpoint: CheckpointId | None) -> float:
    """Return the progress that a checkpoint keeps; none without a checkpoint."""
    return 0.0 if checkpoint is None else float(checkpoint.split("@")[0])


class SimulatedAttempt:
    """One attempt on a stand-in worker.

    Parameters
    ----------
    order
        What started it.
    work
        Its truth.
    runner
        Where it runs.
    lease
        The worker's lease; nothing is done while it doesn't hold.
    clock
        The worker's clock.
    observer
        Told of every stretch that ran.
    thaw
        Waits while the worker process is frozen.

    Attributes
    ----------
    revision
        Grows with each change that is worth a report.
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
        """Whether it will never run again."""
        return self.state in ENDED_STATES

    async def run(self, changed: Callable[[], None]) -> None:
        """Run until it has ended.

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
        """End it now, with a checkpoint if it is evicted."""
        if self.ended:
            return
        if evict:
            self.take_checkpoint()
        self.revision += 1
        self.detail = reason
        self._end(AttemptState.EVICTED if evict else AttemptState.CANCELLED)

    def fail(self, reason: str) -> None:
        """End it as failed."""
        self.detail = reason
        self._end(AttemptState.FAILED)

    def take_checkpoint(self) -> None:
        """Keep the progress made so far."""
        self.revision += 1
        self.checkpoint = make_checkpoint(self.progress, self.order)

    def describe(self) -> HeldAttempt:
        """Return what a worker's hello says of it."""
        return HeldAttempt(
            attempt=self.order.attempt,
            task=self.order.task,
            epoch=self.order.epoch,
            state=self.state,
            checkpoint=self.checkpoint,
        )

    def make_report(self) -> AttemptReport:
        """Return a report of its present state."""
        return AttemptReport(
            attempt=self.order.attempt,
            epoch=self.order.epoch,
            state=self.state,
            checkpoint=self.checkpoint,
            detail=self.detail,
        )

    def measure(self) -> AttemptUsage:
        """Return what it uses now."""
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
            self._note_run(began, planned)
        if self.ended:
            return
        self.progress += self.fraction * (planned / self.behaviour.run_time)
        await self._wait_while_frozen()
        if self.progress >= 1.0 and self._lease.holds() and not self.ended:
            self._finish()

    def _note_run(self, began: timedelta, planned: timedelta) -> None:
        ended = self._stopped_at or self._true_clock.monotonic()
        if ended - began > planned + WAKE_TOLERANCE:
            ended = began + planned
        self._observer.note_run(self._runner, self.order, began, ended)

    def _finish(self) -> None:
        if self.behaviour.fails:
            self.fail("the task failed by itself")
            return
        self._observer.note_finish(self.order.task, self.order.attempt)
        self._end(AttemptState.SUCCEEDED)

    def _hold(self) -> None:
        if self.state is not AttemptState.HELD:
            self.take_checkpoint()
            self.state = AttemptState.HELD

    def _end(self, state: AttemptState) -> None:
        self._stopped_at = self._true_clock.monotonic()
        self.state = state
        self._observer.note_end(self._runner, self.order.attempt)
