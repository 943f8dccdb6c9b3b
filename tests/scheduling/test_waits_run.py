"""A short run of random days; ``waits_run`` plays more by hand."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.scheduling.model import Step, TaskName
from rhubarbfield.testing.scheduling_workers import StandInWorker
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment
from tests.scheduling.waiting_watch import (
    CALM_SECONDS,
    STANDSTILL_SECONDS,
    WaitingWatch,
)
from tests.scheduling.waits_run import play_day

# 2: gangs on spare cores never started beside serving tasks.
SEEDS = (2,)


class WaitsRunTest(unittest.TestCase):
    def test_random_days_have_no_standstill(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                watch = play_day(seed).watch
                self.assertEqual([str(fault) for fault in watch.faults], [])
                self.assertNotEqual(watch.judged, set())

    @with_deployment()
    async def test_job_that_finds_no_worker_is_a_fault_after_a_calm(
        self, deployment: Deployment
    ) -> None:
        step = Step(demand=ONE_CORE)
        workers: list[StandInWorker] = [
            deployment.add_worker(f"w{number}") for number in range(2)
        ]
        watch = WaitingWatch(deployment, workers, {TaskName("j.0.0.0"): step})
        async with deployment.lead() as leader, trio.open_nursery() as nursery:
            watch.leader = leader
            nursery.start_soon(watch.run)
            leader._run_round = trio.sleep_forever  # type: ignore[method-assign]
            await trio.sleep(1)
            await deployment.submit("j", step)
            await trio.sleep(CALM_SECONDS + STANDSTILL_SECONDS - 1.5)
            self.assertEqual(watch.faults, [])
            await trio.sleep(1)
            self.assertEqual(len(watch.faults), 1)
            self.assertEqual(watch.judged, {"j"})
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
