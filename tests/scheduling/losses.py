"""A worker that is lost, and restarts of all controllers, on a virtual clock."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.silence_marks import MarkTimes
from rhubarbfield.scheduling.witnesses import Witness
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import ONE_CORE, Deployment, count_runs_at_once

SETTINGS = SchedulingSettings(lease=timedelta(seconds=9))
LEASE_SECONDS = SETTINGS.lease.total_seconds()
DRIFT = SETTINGS.clock_drift
# After the silence the lease may be extended until a view in progress has ended.
IN_PROGRESS_SECONDS = 1.6
# A slow clock, an old reading of it, an order in flight, the drift of the witnesses,
# and from the lapse a commit, a round and a call.
LAPSE_SECONDS = LEASE_SECONDS / (1 - DRIFT) + 0.21 + 0.2 + DRIFT * LEASE_SECONDS + 0.3
LIMIT_SECONDS = IN_PROGRESS_SECONDS + LAPSE_SECONDS
MARKED_SECONDS = 5.0  # from the silence; a mark is committed after 3 s at most
DOWN_SECONDS = 1.6
OTHERS = 4


class SkewedWorker(StandInWorker):
    """A worker whose clock has a rate of its own, and may jump.

    Attributes
    ----------
    rate
        Rate of the clock.
    jumped
        By how much the clock has jumped.
    """

    rate = 1.0
    jumped = timedelta()

    def read_clock(self) -> timedelta:
        return self._clock.monotonic() * self.rate + self.jumped


def add_workers(
    deployment: Deployment, names: tuple[str, ...], rate: float = 1.0
) -> list[SkewedWorker]:
    workers = []
    for name in names:
        worker = SkewedWorker(WorkerId(name), deployment.clock, duration=None)
        worker.rate = rate
        deployment.fleet.add(worker)
        deployment.reporting.append(worker)
        workers.append(worker)
    return workers


class Loss:
    """A worker that falls silent with a standing task, beside others that are free.

    Parameters
    ----------
    deployment
        The deployment.
    others
        Number of the other workers.
    rate
        Rate of the clock of the lost worker.
    """

    def __init__(
        self, deployment: Deployment, others: int = OTHERS, rate: float = 1.0
    ) -> None:
        deployment.settings = SETTINGS
        self.deployment = deployment
        self.term = 1
        self.silent_at = 0.0
        (self.lost,) = add_workers(deployment, ("w1",), rate)
        self._names = tuple(f"w{number + 2}" for number in range(others))
        self.others: list[SkewedWorker] = []

    async def begin(self) -> None:
        """Let the worker run a task and fall silent; all within one term."""
        await self.deployment.submit("j", Step(demand=ONE_CORE, standing=True))
        await trio.sleep(12)
        self.others = add_workers(self.deployment, self._names)
        await trio.sleep(3)
        self.silence()

    def silence(self) -> None:
        self.lost.is_unreachable = True
        self.silent_at = trio.current_time()

    @property
    def is_marked(self) -> bool:
        return self.deployment.state.workers[self.lost.worker].silent

    def read_witnesses(self) -> tuple[Witness, ...]:
        return self.deployment.state.workers[self.lost.worker].witnesses

    @asynccontextmanager
    async def restart(
        self, down: float = DOWN_SECONDS
    ) -> AsyncIterator[SchedulingLeader]:
        """Lead during the block, by a controller that has no memory, after a pause."""
        await trio.sleep(down)
        machine = self.deployment.log.machine
        machine.restore(machine.take_snapshot())
        self.deployment.marks = MarkTimes(self.deployment.log, self.deployment.clock)
        self.term += 1
        self.deployment.elect(self.term)
        async with self.deployment.lead() as leader:
            yield leader

    async def measure(self, limit: float = 2 * LIMIT_SECONDS) -> float:
        """Return when the task runs elsewhere, in seconds since the silence.

        Raises
        ------
        AssertionError
            If it runs twice at once.
        """
        while trio.current_time() - self.silent_at < limit:
            assert count_runs_at_once(self.deployment) <= 1
            if any(worker.runs for worker in self.others):
                break
            await trio.sleep(0.02)
        return trio.current_time() - self.silent_at
