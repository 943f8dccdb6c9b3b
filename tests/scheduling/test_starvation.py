"""Tests of batch jobs that would harm serving tasks on every worker."""

from __future__ import annotations

import unittest
from unittest import mock

import trio

from rhubarbfield.scheduling.model import Demand, JobPhase, Step
from rhubarbfield.testing.scheduling_workers import CAPACITY
from rhubarbfield.types import JobId
from tests.scheduling import disturbed_serving
from tests.scheduling.deployments import Deployment, with_deployment
from tests.scheduling.disturbed_serving import (
    BATCH_DEMAND,
    BATCH_IMAGE,
    GOAL_MS,
    DisturbedServing,
)

# The users' rule: a job with nothing running beside room for it twice over.
TOLERATED_SECONDS = 3.0
# An end is viewed, recorded and followed by a round and the next start.
TURNAROUND_SECONDS = 0.5
HARM_LIMIT_SECONDS = 4.0
CHANGES_OF_LEADER = 4
WITHOUT_LEADER_SECONDS = 0.7
LEADING_SECONDS = 1.8  # less than the time after which a job has starved
# Growth of log tail latency that leaves a reserve, less than it, and none.
REFUSED_GROWTH = 0.7
HARMFUL_GROWTH = 1.2


class StarvationTest(unittest.TestCase):
    @with_deployment()
    async def test_job_that_disturbs_all_serving_tasks_pauses_after_each_task(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        async with site.lead():
            await site.submit_batch("b", 3, 1, 2, 1)
            await trio.sleep(15)
        first, *others = site.standstills[JobId("b")]
        self.assertEqual(deployment.get_job("b").phase, JobPhase.COMPLETED)
        self.assertLess(first, TOLERATED_SECONDS)
        self.assertLess(max(others), TURNAROUND_SECONDS)

    @with_deployment()
    async def test_tasks_of_a_wide_step_wait_for_each_other_beside_free_workers(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        async with site.lead():
            await site.submit_batch("b", 14)
            await trio.sleep(20)
        _, *others = site.standstills[JobId("b")]
        self.assertEqual(deployment.get_job("b").phase, JobPhase.COMPLETED)
        self.assertLess(max(others, default=0.0), TURNAROUND_SECONDS)

    @with_deployment()
    async def test_several_jobs_that_disturb_all_serving_tasks_pause(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        jobs = [JobId(f"b{number}") for number in range(4)]
        async with site.lead():
            for job in jobs:
                await site.submit_batch(job, 6, 2)
            await trio.sleep(30)
        for job in jobs:
            first, *others = site.standstills[job]
            self.assertEqual(deployment.get_job(job).phase, JobPhase.COMPLETED)
            self.assertLess(first, TOLERATED_SECONDS)
            self.assertLess(max(others, default=0.0), TURNAROUND_SECONDS)

    @with_deployment()
    async def test_starved_job_goes_on_without_a_pause_beside_little_room(
        self, deployment: Deployment
    ) -> None:
        """Its runs would slow jobs that are still in time."""
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        with mock.patch.object(disturbed_serving, "SERVING_MILLICORES", 4400):
            async with site.lead():
                await site.submit_batch("b", 3)
                await trio.sleep(15)
        starvation = deployment.settings.starvation_timeout.total_seconds()
        self.assertGreater(min(site.standstills[JobId("b")]), starvation)

    @with_deployment()
    async def test_job_waits_on_once_other_serving_jobs_are_cancelled(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        async with site.lead():
            await site.submit_serving("s2")
            await trio.sleep(1)
            await site.submit_batch("b", 2)
            await trio.sleep(5)
            await deployment.cancel("s2")
            await trio.sleep(TOLERATED_SECONDS)
            self.assertGreater(site.count_working(JobId("b")), 0)

    @with_deployment()
    async def test_tasks_wait_for_the_only_run_of_their_job_which_is_paused(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        async with site.lead():
            await site.submit_batch("b", 9)
            await trio.sleep(2.5)
            for worker in site.workers:
                if len(worker.runs) > 1:
                    worker.own_tail_ms = GOAL_MS - 1.0
            await trio.sleep(7)
        self.assertLess(max(site.standstills[JobId("b")]), TOLERATED_SECONDS)

    @with_deployment()
    async def test_forced_runs_keep_serving_tasks_over_their_goal(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, HARMFUL_GROWTH)
        async with site.lead():
            for number in range(4):
                await site.submit_batch(f"b{number}", 8)
            await trio.sleep(40)
        harm = max(each.longest_harm for each in site.workers)
        self.assertLess(harm, HARM_LIMIT_SECONDS)

    @with_deployment()
    async def test_new_leaders_let_a_starved_job_wait_anew(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        job = JobId("b")
        async with site.lead_while_leading():
            await site.submit_batch(job, 40)
            await trio.sleep(5)
            for _ in range(CHANGES_OF_LEADER):
                await site.depose(WITHOUT_LEADER_SECONDS)
                await trio.sleep(LEADING_SECONDS)
        self.assertLess(max(site.standstills[job]), TOLERATED_SECONDS)
        self.assertGreater(len(site.standstills[job]), CHANGES_OF_LEADER)

    @with_deployment()
    async def test_new_leaders_keep_a_job_from_its_first_run(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        job = JobId("b")
        async with site.lead_while_leading():
            await site.submit_batch(job, 1)
            for _ in range(CHANGES_OF_LEADER):
                await trio.sleep(LEADING_SECONDS)
                await site.depose(WITHOUT_LEADER_SECONDS)
            await trio.sleep(LEADING_SECONDS)
        self.assertLess(max(site.standstills[job]), TOLERATED_SECONDS)

    @with_deployment()
    async def test_starved_step_without_room_is_missing_in_the_log(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        demand = Demand(BATCH_DEMAND.millicores, CAPACITY.memory_mb)
        step = Step(demand=demand, image=BATCH_IMAGE, uses_spare_cores=True)
        async with site.lead():
            await deployment.submit("b", step)
            await trio.sleep(TOLERATED_SECONDS)
            with self.assertLogs("rhubarbfield.scheduling.leader") as logs:
                await trio.sleep(TOLERATED_SECONDS)
        waiting = [each for each in logs.output if "step-waiting" in each]
        self.assertGreaterEqual(len(waiting), TOLERATED_SECONDS - 1)
