"""Random days in full services, on which standing tasks wait for room.

Workers are shrunk through whole calm spells, so that interrupted tasks have no
room, and cancelled jobs and finite tasks that end free it: neither is a disturbance,
so that tasks that wait there are judged.

``python -m tests.scheduling.full_days --seeds 50`` plays that many days, as
``standstill_run`` does.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

import trio
from absl import app

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.scheduling.model import Label, Step, name_step
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from tests.scheduling.standstill_run import (
    CORE,
    CORES,
    LABEL,
    MAX_WAITING_JOBS,
    StandstillDay,
    define_flags,
    run_days,
)

LONG_CALM_SECONDS = (13.0, 18.0)
FULL_LOADS = (1.0, 2.0, 4.0)
FULL_STANDING_CORES = (1, 1, 2, 2, 4, 6, 8)
FULL_SHORT_CORES = (1, 1, 1, 2, 4)
# Of the duration that a finite task has; many callers' estimates are too low.
ESTIMATE_SHARES = (0.2, 0.5, 1.0, 1.0, 2.0)
RESTART_SECONDS = (3.3, 3.3, 5.0)
CANCEL_SECONDS = (4.0, 14.0)
STANDING_SHARE = (0.5, 1.0)  # of all cores
FULL_KINDS = (
    *("fail", "fail", "half", "crash", "crash", "cut", "shrink", "shrink"),
    *("depose", "depose-failing", "depose-failing", "lose-views", "drain"),
)


class FullDay(StandstillDay):
    """One day in a full service, with disturbances and calm spells in turn."""

    kinds = FULL_KINDS
    loads = FULL_LOADS
    calm_seconds = LONG_CALM_SECONDS

    async def _submit_short(self) -> None:
        draw = self.random
        while True:
            cores, tasks = draw.choice(FULL_SHORT_CORES), draw.randint(1, 8)
            work = cores * tasks * self._short.total_seconds()
            await trio.sleep(work / (CORES * self._load) * draw.uniform(0.5, 1.5))
            waiting = sum(job.is_open for job in self.deployment.state.jobs.values())
            if waiting < 2 * MAX_WAITING_JOBS:
                estimate = self._short * draw.choice(ESTIMATE_SHARES)
                await self._submit(
                    Step(
                        tasks=tasks,
                        demand=CORE.times(cores),
                        estimate_ms=estimate // MILLISECOND,
                    )
                )

    async def _submit_standing(self) -> None:
        """Keep the standing work at a share of the capacity; cancel some of it."""
        draw = self.random
        limit = CORES * draw.uniform(*STANDING_SHARE)
        open_jobs: list[tuple[str, int]] = []
        cancel_at = trio.current_time() + draw.uniform(*CANCEL_SECONDS)
        while True:
            step = self._draw_standing()
            cores = step.tasks * step.demand.millicores // CORE.millicores
            if sum(each for _, each in open_jobs) + cores <= limit:
                tasks = await self._submit(step)
                if step.gang:  # its members start together or not at all
                    self.fleet.gang_steps.add(name_step(tasks[0]))
                else:
                    self.watch.add(tasks, step)
                open_jobs.append((tasks[0].split(".")[0], cores))
            await trio.sleep(draw.choice((0.1, 0.5, 2)))
            if open_jobs and trio.current_time() >= cancel_at:
                name, _ = open_jobs.pop(draw.randrange(len(open_jobs)))
                self._note(f"cancel {name}")
                await self.deployment.cancel(name)
                cancel_at = trio.current_time() + draw.uniform(*CANCEL_SECONDS)

    def _draw_standing(self) -> Step:
        draw = self.random
        cores = draw.choice(FULL_STANDING_CORES)
        tasks = draw.randint(1, 8 if cores == 1 else 4 if cores < 6 else 2)
        is_gang = tasks > 1 and draw.random() < 0.1
        return Step(
            tasks=tasks,
            demand=CORE.times(cores),
            standing=True,
            gang=is_gang,
            max_per_worker=0 if is_gang else draw.choice((0, 0, 0, 1, 2)),
            required_label=draw.choice((Label(""), Label(""), Label(""), LABEL)),
        )

    async def _disturb(self) -> None:
        self.fleet.restart_delay = timedelta(
            seconds=self.random.choice(RESTART_SECONDS)
        )
        await super()._disturb()

    def _disturb_worker(self, worker: StandInWorker, kind: str) -> None:
        match kind:
            case "depose-failing":  # the ends are listed while no controller leads
                self._deposed.set()
                self.fleet.fail_runs(worker, self.random.choice((0.5, 1.0)))
            case "lose-views":
                self.fleet.lost_views[worker.machine] = self.random.choice((0.5, 1.0))
                self.fleet.fail_runs(worker, self.random.choice((0.0, 0.5)))
            case _:
                super()._disturb_worker(worker, kind)

    def _restore(self, worker: StandInWorker) -> None:
        self.fleet.lost_views.pop(worker.machine, None)
        if worker.capacity != CAPACITY and self.random.random() < 0.5:
            return  # it stays shrunk through the calm spell
        super()._restore(worker)


def main(_: Sequence[str]) -> None:
    """Play days in full services."""
    run_days(FullDay)


if __name__ == "__main__":
    define_flags()
    app.run(main)
