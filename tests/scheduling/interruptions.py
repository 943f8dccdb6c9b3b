"""Standing tasks that lose their workers while finite tasks wait for every core."""

from __future__ import annotations

import msgspec
import trio

from rhubarbfield.clock import MS_PER_SECOND
from rhubarbfield.scheduling.model import Demand, Step, TaskName, name_task
from rhubarbfield.scheduling.state import TaskPhase
from rhubarbfield.types import JobId
from tests.scheduling.oversubscription import (
    MEAN_DURATION,
    SETTLING_SECONDS,
    TASK_MEMORY_MB,
    Site,
    Sizes,
)

SIZES = Sizes(worker_cores=(8,))
LARGE = Demand(6000, TASK_MEMORY_MB)
JOB = JobId("standing")
FINITE_CORES = (1.0, 1.5, 2.0)
DURATION_SPREAD = 0.3
TASKS_PER_JOB = 10
BACKLOG = 1.5  # finite work at the begin, as a multiple of what can be done
FILLING_SECONDS = 4.0
MEASURED_SECONDS = 22.0
POLL_SECONDS = 0.05


class Interruption(msgspec.Struct):
    """What became of interrupted standing tasks, and of finite ones beside them.

    Attributes
    ----------
    waits
        For how long each interrupted task waited for a worker, in s.
    finite_work, standing_work
        Work of finite tasks that ended, and of standing ones, in core-seconds.
    """

    waits: list[float]
    finite_work: float
    standing_work: float


class InterruptedSite(Site):
    """A site on which a few standing tasks need most of a worker each.

    Parameters
    ----------
    seed
        Seed of all tasks.
    workers
        Number of workers.
    """

    def __init__(self, seed: int, workers: int) -> None:
        super().__init__(seed, workers, SIZES)
        self.waits: dict[TaskName, float] = {}
        self.standing_work = 0.0

    async def submit_backlog(self, seconds: float) -> None:
        """Submit finite jobs of which some wait to the end."""
        left = BACKLOG * seconds * self.millicores / MS_PER_SECOND
        number = 0
        while left > 0:
            spread = self.random.uniform(1 - DURATION_SPREAD, 1 + DURATION_SPREAD)
            duration = MEAN_DURATION * spread
            cores = self.random.choice(FINITE_CORES)
            step = Step(
                tasks=TASKS_PER_JOB,
                demand=Demand(int(cores * MS_PER_SECOND), TASK_MEMORY_MB),
                estimate_ms=self._estimate_ms(duration),
            )
            for index in range(step.tasks):
                name = name_task(JobId(f"f{number}"), 0, 0, index)
                self.durations[name], self.demands[name] = duration, step.demand
            await self.deployment.submit(f"f{number}", step)
            left -= step.tasks * cores * duration.total_seconds()
            number += 1

    def lose_standing(self, count: int) -> None:
        """Lose some workers with standing tasks for good."""
        standing = [
            worker
            for worker in self.workers
            if any(run.ends_at is None for run in worker.runs.values())
        ]
        for worker in standing[:count]:
            worker.is_unreachable = True
            self.workers.remove(worker)

    def measure_finite(self) -> float:
        """Return the work of the finite tasks that are done, in core-seconds."""
        done = 0.0
        for job, record in self.deployment.state.jobs.items():
            if job != JOB:
                tasks = record.occurrences[0][0].tasks
                for index, task in enumerate(tasks):
                    name = name_task(job, 0, 0, index)
                    if task.phase is TaskPhase.DONE:
                        seconds = self.durations[name].total_seconds()
                        done += seconds * self.demands[name].millicores
        return done / MS_PER_SECOND

    async def watch_standing(self) -> None:
        """Measure for how long interrupted tasks wait, and the others work."""
        began: dict[TaskName, float] = {}
        while True:
            now = trio.current_time()
            (progress,) = self.deployment.state.jobs[JOB].occurrences[0]
            for index, task in enumerate(progress.tasks):
                name = name_task(JOB, 0, 0, index)
                if task.phase is TaskPhase.WAITING:
                    self.waits[name] = now - began.setdefault(name, now)
                elif task.last_run > 1:
                    self.standing_work += (
                        POLL_SECONDS * LARGE.millicores / MS_PER_SECOND
                    )
            await trio.sleep(POLL_SECONDS)


async def play_interruption(
    seed: int, workers: int, lost: int, seconds: float = MEASURED_SECONDS
) -> Interruption:
    """Lose workers with standing tasks while finite tasks wait for every core."""
    site = InterruptedSite(seed, workers)
    await site.configure()
    async with site.deployment.lead(), trio.open_nursery() as nursery:
        await trio.sleep(SETTLING_SECONDS)
        step = Step(tasks=lost, demand=LARGE, standing=True, max_per_worker=1)
        await site.deployment.submit(JOB, step)
        await trio.sleep(SETTLING_SECONDS)
        await site.submit_backlog(FILLING_SECONDS + seconds)
        await trio.sleep(FILLING_SECONDS)
        site.lose_standing(lost)
        nursery.start_soon(site.watch_standing)
        before = site.measure_finite()
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    waits = sorted(site.waits.values())
    return Interruption(waits, site.measure_finite() - before, site.standing_work)
