"""A short run of random days; ``standstill_run`` plays more by hand."""

from __future__ import annotations

import random
import unittest

import trio

from rhubarbfield.scheduling.model import Step, TaskName
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment
from tests.scheduling.failing_fleets import FailingFleet
from tests.scheduling.full_days import FullDay
from tests.scheduling.standstill_run import play_day
from tests.scheduling.standstills import (
    CALM_SECONDS,
    CAPACITY_SECONDS,
    TOLERATED_SECONDS,
    StandstillWatch,
)

# 5: tasks that had never run waited beside a worker with a proven probe.
SEEDS = (5,)
# 101: ends from a cut, as new, kept tasks away from a worker that was sound again.
FULL_SEEDS = (101,)
SPELLS = 4
TASK = TaskName("j.0.0.0")
MANY = 1_000_000


class StandstillRunTest(unittest.TestCase):
    def test_random_days_have_no_standstill(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                faults = play_day(seed, SPELLS).watch.faults
                self.assertEqual([str(fault) for fault in faults], [])

    def test_random_days_in_full_services_have_no_standstill(self) -> None:
        for seed in FULL_SEEDS:
            with self.subTest(seed=seed):
                watch = play_day(seed, SPELLS, FullDay).watch
                self.assertEqual([str(fault) for fault in watch.faults], [])
                self.assertNotEqual(watch.judged_standstills, set())

    @with_deployment()
    async def test_standstills_are_faults_only_after_a_calm(
        self, deployment: Deployment
    ) -> None:
        deployment.fleet = FailingFleet(deployment.clock, random.Random(1))
        watch = StandstillWatch(deployment, deployment.fleet, {TASK: ONE_CORE})
        worker = deployment.add_worker("w1", duration=None)
        worker.rejected_starts = MANY
        step = Step(demand=ONE_CORE, standing=True)
        async with deployment.lead() as leader, trio.open_nursery() as nursery:
            watch.leader = leader
            nursery.start_soon(watch.run)
            await deployment.submit("j", step)
            watch.add([TASK], step)
            await trio.sleep(TOLERATED_SECONDS)
            deployment.fleet.fail_runs(worker, 1.0)
            await trio.sleep(TOLERATED_SECONDS)
            del deployment.fleet.failing_shares[worker.machine]
            await trio.sleep(CALM_SECONDS + CAPACITY_SECONDS - 0.1)
            self.assertEqual(watch.faults, [])
            await trio.sleep(0.2)
            self.assertEqual([fault.task for fault in watch.faults], [TASK])
            worker.rejected_starts = 0
            await trio.sleep(1)
            self.assertIsNotNone(watch.faults[0].ended_at)
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
