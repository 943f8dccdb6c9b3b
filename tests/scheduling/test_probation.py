"""Tests of how long standing tasks wait beside a worker that has become sound."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.clock import MILLISECOND
from rhubarbfield.scheduling.model import RunNumber, Step, TaskName
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.quarantine import WorkerQuarantine
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import (
    FOREVER,
    ONE_CORE,
    Deployment,
    with_deployment,
)
from tests.scheduling.test_standstills import (
    LIMIT_SECONDS,
    RESTART_SECONDS,
    SETTINGS,
    TIME_STEP,
    TOLERATED_SECONDS_OF_RECOVERY,
    TWO_CORES,
    fail_runs,
    measure_return,
)

LONG = timedelta(seconds=4)
LOST = 99  # orders


async def measure_wait(worker: StandInWorker, names: list[str]) -> float:
    """Return the time until a worker runs all tasks, at most ``LIMIT_SECONDS``."""
    began = trio.current_time()
    while trio.current_time() - began < LIMIT_SECONDS:
        worker.end_due_runs()
        if all(TaskName(name) in worker.runs for name in names):
            break
        await trio.sleep(TIME_STEP)
    return trio.current_time() - began


async def add_full_worker(deployment: Deployment) -> StandInWorker:
    """Add a worker, and a standing task that takes all its capacity."""
    worker = deployment.add_worker("w2", duration=None)
    await trio.sleep(1)
    await deployment.submit("k", Step(demand=CAPACITY, standing=True))
    await trio.sleep(1)
    return worker


class ProbationTest(unittest.TestCase):
    @with_deployment()
    async def test_tasks_that_never_ran_do_not_wait_for_a_whole_probation(
        self, deployment: Deployment
    ) -> None:
        """The probe, another task of their step, had failed just before."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("s", Step(tasks=4, demand=TWO_CORES))
            await trio.sleep(1)
            await add_full_worker(deployment)
            fail_runs(worker)
            await trio.sleep(0.3)
            step = Step(tasks=3, demand=TWO_CORES, standing=True)
            await deployment.submit("l", step)
            await trio.sleep(5.9)
            self.assertEqual(worker.started[-1][0], "l.0.0.0")
            worker.end, worker.duration = RunEnd.DONE, None
            took = await measure_wait(worker, ["l.0.0.1", "l.0.0.2"])
        self.assertLess(took, TOLERATED_SECONDS_OF_RECOVERY)

    @with_deployment(max_attempts=20, slowdown_goal=100.0)
    async def test_standing_tasks_do_not_wait_for_the_probation_of_a_finite_probe(
        self, deployment: Deployment
    ) -> None:
        """Jobs on time go first, so that one of them was the probe."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead(), trio.open_nursery() as nursery:
            await deployment.submit("s", Step(tasks=2, demand=ONE_CORE))
            await trio.sleep(1)
            await add_full_worker(deployment)
            fail_runs(worker)
            await trio.sleep(0.3)

            async def submit() -> None:
                for number in range(40):
                    step = Step(demand=ONE_CORE, estimate_ms=4000)
                    await deployment.submit(f"m{number}", step)
                    await trio.sleep(2)

            nursery.start_soon(submit)
            step = Step(tasks=2, demand=TWO_CORES, standing=True)
            await deployment.submit("l", step)
            await trio.sleep(5.9)
            self.assertEqual(worker.started[-1][0][0], "m")
            worker.end, worker.duration = RunEnd.DONE, LONG
            took = await measure_wait(worker, ["l.0.0.0", "l.0.0.1"])
            nursery.cancel_scope.cancel()
        self.assertLess(took, TOLERATED_SECONDS_OF_RECOVERY)

    @with_deployment()
    async def test_interrupted_tasks_do_not_wait_for_the_probation_after_a_stall(
        self, deployment: Deployment
    ) -> None:
        """Only failed runs let them return before the quarantine had ended."""
        deployment.settings = SETTINGS
        first = deployment.add_worker("w1", duration=None)
        deployment.fleet.restart_delay = FOREVER
        async with deployment.lead():
            step = Step(tasks=4, demand=TWO_CORES, standing=True)
            await deployment.submit("l", step)
            await trio.sleep(1)
            worker = deployment.add_worker("w2", duration=None)
            worker.is_stuck = True
            await trio.sleep(1)
            await deployment.submit("s", Step(tasks=4, demand=TWO_CORES))
            await trio.sleep(0.2)
            self.assertEqual(len(worker.runs), step.tasks)
            deployment.fleet.crash(first)
            while worker.runs:
                await trio.sleep(TIME_STEP)
            worker.is_stuck = False
            took = await measure_wait(worker, ["l.0.0.1", "l.0.0.2"])
        self.assertLess(took, TOLERATED_SECONDS_OF_RECOVERY)

    @with_deployment()
    async def test_tasks_return_in_time_after_a_probe_without_an_answer(
        self, _: Deployment
    ) -> None:
        """The worst moments: it works again just after an order was lost."""
        limit = TOLERATED_SECONDS_OF_RECOVERY - 2 * RESTART_SECONDS
        for lost in (1, 2, 3, 4):
            with self.subTest(lost=lost):
                deployment = Deployment(SETTINGS)
                await deployment.configure()
                worker = deployment.add_worker("w1", duration=None)
                async with deployment.lead():
                    step = Step(tasks=8, demand=ONE_CORE, standing=True)
                    await deployment.submit("j", step)
                    await trio.sleep(1)
                    fail_runs(worker)
                    await trio.sleep(RESTART_SECONDS)
                    worker.end, worker.duration = RunEnd.DONE, None
                    worker.unanswered_starts = lost
                    with trio.fail_after(LIMIT_SECONDS):
                        while worker.unanswered_starts:
                            await trio.sleep(TIME_STEP)
                    took = await measure_return(worker, step.tasks, limit)
                    self.assertLess(took, limit)

    @with_deployment()
    async def test_tasks_return_in_time_after_the_job_of_the_probe_is_cancelled(
        self, deployment: Deployment
    ) -> None:
        """Nothing may follow a probe whose end is never noticed."""
        deployment.settings = SETTINGS
        limit = TOLERATED_SECONDS_OF_RECOVERY - 2 * RESTART_SECONDS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(0.5)
            step = Step(tasks=6, demand=ONE_CORE, standing=True)
            await deployment.submit("l", step)
            await trio.sleep(1)
            fail_runs(worker)
            await trio.sleep(RESTART_SECONDS)
            worker.end, worker.duration = RunEnd.DONE, None
            while not worker.runs:
                await trio.sleep(TIME_STEP)
            self.assertEqual(list(worker.runs), ["j.0.0.0"])
            await deployment.cancel("j")
            took = await measure_return(worker, step.tasks, limit)
        self.assertLess(took, 2.0)

    @with_deployment()
    async def test_probe_whose_answers_are_lost_counts_once_a_view_shows_it(
        self, deployment: Deployment
    ) -> None:
        """Only an answer to the order would tell that it runs."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            step = Step(tasks=4, demand=ONE_CORE, standing=True)
            await deployment.submit("l", step)
            await trio.sleep(1)
            fail_runs(worker)
            await trio.sleep(RESTART_SECONDS)
            worker.end, worker.duration = RunEnd.DONE, None
            worker.unanswered_starts = LOST
            while worker.unanswered_starts == LOST:
                await trio.sleep(TIME_STEP)
            quarantine = leader._quarantine
            probes = quarantine.list_probes(worker.worker)
            self.assertEqual(list(probes.values()), [None])
            deployment.fleet.deliver_delayed_starts()
            await trio.sleep(SETTINGS.view_timeout.total_seconds() + RESTART_SECONDS)
            self.assertEqual(worker.unanswered_starts, LOST - 2)
            shown = quarantine.list_probes(worker.worker)
            self.assertEqual(list(shown), list(probes))
            self.assertNotIn(None, shown.values())

    def test_tasks_that_follow_a_probe_do_not_prolong_the_probation(self) -> None:
        quarantine, worker = (
            WorkerQuarantine(SETTINGS, lambda _step: set()),
            WorkerId("w1"),
        )
        for _ in range(SETTINGS.quarantine_failures):
            quarantine.record_failure(worker, timedelta())
        probed_at = SETTINGS.standing_probe_delay
        probe = RunKey(TaskName("j.0.0.0"), RunNumber(2))
        quarantine.record_probe(worker, [probe], probed_at, is_standing=True)
        quarantine.record_presence(worker, probe, probed_at)
        followed_at = probed_at + SETTINGS.standing_probe_duration
        quarantine.record_presence(worker, probe, followed_at)
        self.assertTrue(quarantine.has_proven_probe(worker))
        follower = RunKey(TaskName("j.0.0.1"), RunNumber(2))
        quarantine.record_probe(worker, [follower], followed_at, is_standing=True)
        quarantine.record_presence(worker, follower, followed_at)
        self.assertTrue(quarantine.has_proven_probe(worker))
        ended_at = probed_at + SETTINGS.probe_duration + MILLISECOND
        quarantine.record_presence(worker, probe, ended_at)
        self.assertFalse(quarantine.is_on_probation(worker))


if __name__ == "__main__":
    unittest.main()
