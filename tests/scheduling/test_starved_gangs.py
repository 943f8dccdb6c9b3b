"""Tests of gangs on spare cores that no worker would take without harm."""

from __future__ import annotations

import itertools
import unittest
from unittest import mock

import trio

from rhubarbfield.scheduling.model import JobPhase, name_step
from rhubarbfield.types import JobId
from tests.scheduling import disturbed_serving
from tests.scheduling.deployments import Deployment, with_deployment
from tests.scheduling.disturbed_serving import (
    BATCH_DURATION,
    WORKERS,
    DisturbedServing,
)
from tests.scheduling.test_starvation import (
    HARM_LIMIT_SECONDS,
    HARMFUL_GROWTH,
    REFUSED_GROWTH,
    TOLERATED_SECONDS,
    TURNAROUND_SECONDS,
)

JOB = JobId("b")
MEMBERS = 4
TOGETHER_SECONDS = 0.2
# Beside it an image is refused while its harm is unknown.
HIGH_TAIL_MS = 30.0
LARGE_MEMORY_MB = 20_000  # one such member fits on a worker


class StarvedGangsTest(unittest.TestCase):
    def assert_together(self, site: DisturbedServing, members: int) -> None:
        """Check that each run of each gang started with all of its members."""
        gangs: dict[tuple[str, int], list[float]] = {}
        for task, run, at in site.list_starts(JOB):
            gangs.setdefault((name_step(task), run), []).append(at)
        self.assertTrue(gangs)
        for times in gangs.values():
            self.assertEqual(len(times), members)
            self.assertLess(max(times) - min(times), TOGETHER_SECONDS)

    @with_deployment()
    async def test_gang_that_disturbs_all_serving_tasks_never_starts(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        async with site.lead():
            await site.submit_gangs(JOB, MEMBERS)
            await trio.sleep(8)
        self.assertEqual(deployment.get_job(JOB).phase, JobPhase.COMPLETED)
        self.assertLess(max(site.standstills[JOB]), TOLERATED_SECONDS)
        self.assert_together(site, MEMBERS)

    @with_deployment()
    async def test_gang_of_unknown_harm_teaches_nothing(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, 0.0, is_known=False)
        for worker in site.workers:
            worker.own_tail_ms = HIGH_TAIL_MS
        async with site.lead():
            await site.submit_gangs(JOB, MEMBERS)
            await trio.sleep(8)
            await site.submit_gangs("c", MEMBERS)
            await trio.sleep(4)
        self.assertEqual(deployment.get_job(JOB).phase, JobPhase.COMPLETED)
        self.assertEqual(deployment.get_job("c").phase, JobPhase.COMPLETED)
        first = max(site.standstills[JOB])
        self.assertLess(first, TOLERATED_SECONDS)
        # Otherwise nothing was forced, and nothing shows that it taught anything.
        self.assertGreater(first, TURNAROUND_SECONDS)
        waits = site.standstills[JobId("c")]
        self.assertLess(max(waits, default=0.0), TURNAROUND_SECONDS)

    @with_deployment()
    async def test_starved_gangs_of_a_job_start_at_once(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        async with site.lead():
            await site.submit_gangs(JOB, MEMBERS, MEMBERS, MEMBERS)
            await trio.sleep(12)
        first, *others = site.standstills[JOB]
        self.assertEqual(deployment.get_job(JOB).phase, JobPhase.COMPLETED)
        self.assertLess(first, TOLERATED_SECONDS)
        self.assertLess(max(others), TURNAROUND_SECONDS)
        self.assert_together(site, MEMBERS)
        self.assert_one_by_one(site)

    @with_deployment()
    async def test_starved_gang_and_tasks_of_its_job_start_at_once(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        async with site.lead():
            await site.submit_gangs(JOB, MEMBERS, others=3)
            await trio.sleep(15)
        first, *others = site.standstills[JOB]
        self.assertEqual(deployment.get_job(JOB).phase, JobPhase.COMPLETED)
        self.assertLess(first, TOLERATED_SECONDS)
        self.assertLess(max(others), TURNAROUND_SECONDS)
        self.assertEqual(len(site.list_starts(JOB)), MEMBERS + 3)
        self.assert_one_by_one(site)

    def assert_one_by_one(self, site: DisturbedServing) -> None:
        """Check that each gang and each single task began after the one before."""
        times = sorted(at for _, _, at in site.list_starts(JOB))
        firsts = [times[0]]
        for at in times:
            if at - firsts[-1] > TOGETHER_SECONDS:
                firsts.append(at)
        for earlier, later in itertools.pairwise(firsts):
            self.assertGreaterEqual(later - earlier, BATCH_DURATION.total_seconds())
        gangs = {name_step(task) for task, _, _ in site.list_starts(JOB)}
        self.assertGreaterEqual(len(firsts), len(gangs))

    @with_deployment()
    async def test_starved_gang_starts_in_part(self, deployment: Deployment) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        full, *_ = site.workers
        async with site.lead():
            full.is_draining = True
            await trio.sleep(2)
            await site.submit_gangs(JOB, WORKERS, memory_mb=LARGE_MEMORY_MB)
            await trio.sleep(6)
            self.assertEqual(site.list_starts(JOB), [])
            with self.assertLogs("rhubarbfield.scheduling.leader") as logs:
                await trio.sleep(TOLERATED_SECONDS)
        self.assertTrue(any("step-waiting" in each for each in logs.output))

    @with_deployment()
    async def test_starved_gangs_go_on_without_a_pause_beside_little_room(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        with mock.patch.object(disturbed_serving, "SERVING_MILLICORES", 4400):
            async with site.lead():
                await site.submit_gangs(JOB, MEMBERS, MEMBERS)
                await trio.sleep(12)
        starvation = deployment.settings.starvation_timeout.total_seconds()
        self.assertEqual(deployment.get_job(JOB).phase, JobPhase.COMPLETED)
        self.assertGreater(min(site.standstills[JOB]), starvation)

    @with_deployment()
    async def test_gang_is_forced_beside_no_room(self, deployment: Deployment) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        with mock.patch.object(disturbed_serving, "SERVING_MILLICORES", 5200):
            async with site.lead():
                await site.submit_gangs(JOB, MEMBERS)
                await trio.sleep(8)
        self.assertEqual(site.list_starts(JOB), [])

    @with_deployment()
    async def test_forced_gangs_keep_serving_tasks_over_their_goal(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, HARMFUL_GROWTH)
        async with site.lead():
            for number in range(4):
                await site.submit_gangs(f"b{number}", MEMBERS, MEMBERS)
            await trio.sleep(40)
        for number in range(4):
            self.assertNotEqual(site.list_starts(JobId(f"b{number}")), [])
        harm = max(each.longest_harm for each in site.workers)
        self.assertLess(harm, HARM_LIMIT_SECONDS)


if __name__ == "__main__":
    unittest.main()
