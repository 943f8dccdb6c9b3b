"""Tests of what placement rounds cost while a backlog of steps fits nowhere."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from rhubarbfield.scheduling import candidates
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.commands import EndedRun, EndRuns, WorkerEnds
from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.scheduling.model import Demand, ImageName, Step
from rhubarbfield.scheduling.state import RunEnd, StepProgress
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import ONE_CORE, QUEUE
from tests.scheduling.fleets import Fleet
from tests.scheduling.test_rounds import count_calls, make_spare_core_step

WORKERS = 445
FEW_STEPS = 100
MANY_STEPS = 1000
SPARE_CORE_STEPS = 20
CHANGED_WORKERS = 3
HALF_WORKER = Demand(8000, 1000)


async def make_full_fleet(steps: int) -> Fleet:
    """Return a fleet with at most 8 cores free on a worker, and steps that need more.

    A round has found that none of the steps can start.
    """
    fleet = Fleet(1, WORKERS)
    members = sum(
        worker.service == QUEUE.service for worker in fleet.state.workers.values()
    )
    fleet.submit(
        Step(tasks=members, demand=HALF_WORKER, standing=True, max_per_worker=1)
    )
    fleet.submit(Step(tasks=40, demand=ONE_CORE, estimate_ms=5000))
    for _ in range(members // 100):
        await fleet.run_round()
    draw = random.Random(2)
    for _ in range(steps):
        demand = Demand(draw.randint(9000, 16_000), draw.randint(1000, 60_000))
        fleet.submit(Step(tasks=9, demand=demand, estimate_ms=800))
    if await fleet.run_round():
        raise AssertionError("the fleet has room for the steps")
    return fleet


def end_short_runs(fleet: Fleet, count: int) -> None:
    """End runs of one core, which leave less free than any waiting step needs."""
    short = [
        (worker.worker, EndedRun(task, run, RunEnd.DONE))
        for worker in fleet.state.workers.values()
        for task, run in worker.runs.items()
        if not fleet.leader.is_standing(task)
    ]
    for worker, end in short[:count]:
        fleet.apply(EndRuns(workers=(WorkerEnds(worker, (end,)),)))
    if len(short) < count:
        raise AssertionError(f"only {len(short)} short runs")


class WaitingStepsTest(unittest.TestCase):
    def test_round_without_a_change_costs_the_same_for_a_longer_backlog(self) -> None:
        async def change_nothing(fleet: Fleet) -> None:
            pass

        self._compare(change_nothing)

    def test_round_after_short_runs_costs_the_same_for_a_longer_backlog(self) -> None:
        async def end_some(fleet: Fleet) -> None:
            end_short_runs(fleet, CHANGED_WORKERS)

        self._compare(end_some)

    def test_round_for_one_new_job_costs_the_same_for_a_longer_backlog(self) -> None:
        async def submit_one(fleet: Fleet) -> None:
            fleet.submit(Step(tasks=2, demand=ONE_CORE, estimate_ms=800))

        self._compare(submit_one)

    def _compare(self, change: Callable[[Fleet], Awaitable[None]]) -> None:
        async def count(steps: int) -> tuple[int, int]:
            fleet = await make_full_fleet(steps)
            await change(fleet)
            with (
                count_calls(Backlog, "rank") as ranks,
                count_calls(Demand, "fits") as comparisons,
            ):
                await fleet.run_round()
            return ranks.count, comparisons.count

        async def check() -> None:
            few, many = await count(FEW_STEPS), await count(MANY_STEPS)
            message = f"ranks and comparisons: {few} with {FEW_STEPS} steps, {many}"
            self.assertLessEqual(many[0], 2 * few[0], message)
            # A comparison of each step with each changed worker is cheap.
            cheap = CHANGED_WORKERS * MANY_STEPS
            self.assertLessEqual(many[1], 2 * few[1] + cheap, message)

        run_deterministic(check, seed=1)


class HarmfulStepsTest(unittest.TestCase):
    def test_steps_that_would_harm_are_not_compared_again_without_a_change(
        self,
    ) -> None:
        self.assertEqual(self._count_comparisons(()), 0)

    def test_steps_that_would_harm_are_not_compared_again_for_a_new_job(self) -> None:
        step = Step(tasks=2, demand=ONE_CORE, estimate_ms=800)
        once_for_the_job = WORKERS + 2 * step.tasks
        self.assertLessEqual(self._count_comparisons((step,)), once_for_the_job)

    def _count_comparisons(self, new_steps: tuple[Step, ...]) -> int:
        """Return how often a worker was compared with a task in the second round."""
        counts: list[int] = []

        def compare(step: Step, headroom: WorkerHeadroom, model: Any) -> bool:
            counts[-1] += 1
            return not step.uses_spare_cores

        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            for number in range(SPARE_CORE_STEPS):
                image = ImageName(f"batch-{number}")
                fleet.submit(make_spare_core_step(image=image))
            with mock.patch.object(candidates, "admits", compare):
                counts.append(0)
                self.assertEqual(await fleet.run_round(), ())
                for step in new_steps:
                    fleet.submit(step)
                counts.append(0)
                await fleet.run_round()

        run_deterministic(check, seed=1)
        first, second = counts
        self.assertGreater(first, WORKERS)
        return second


class RunningStepsTest(unittest.TestCase):
    def test_steps_of_which_no_task_waits_are_not_ranked(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            for number in range(100):
                fleet.submit(Step(tasks=24, demand=ONE_CORE, standing=number % 2 == 0))
            while await fleet.run_round():
                pass
            with count_calls(Backlog, "rank") as ranks:
                await fleet.run_round()
            self.assertEqual(ranks.count, 0)

        run_deterministic(check, seed=1)

    def test_only_steps_of_changed_jobs_are_searched_for_waiting_tasks(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            for number in range(100):
                fleet.submit(Step(tasks=24, demand=ONE_CORE, standing=number % 2 == 0))
            while await fleet.run_round():
                pass
            end_short_runs(fleet, CHANGED_WORKERS)
            fleet.submit(Step(tasks=2, demand=ONE_CORE, estimate_ms=800))
            with count_calls(StepProgress, "has_waiting") as searches:
                await fleet.run_round()
            self.assertLessEqual(searches.count, CHANGED_WORKERS + 1)

        run_deterministic(check, seed=1)


if __name__ == "__main__":
    unittest.main()
