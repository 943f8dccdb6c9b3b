"""Tests of what starts on a worker that stalls, and once it works again."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from datetime import timedelta

import trio

from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import Step, TaskName
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_workers import StandInWorker
from tests.scheduling.deployments import (
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
)

# The probe and those that follow it each need a commit, a round and a call.
LIMIT = TOLERATED_SECONDS_OF_RECOVERY - 2 * RESTART_SECONDS


async def stall_worker(
    deployment: Deployment, leader: SchedulingLeader, *, tasks: int, probes: int = 0
) -> StandInWorker:
    """Let the only worker with capacity for interrupted standing tasks stall.

    Parameters
    ----------
    deployment, leader
        The deployment and its leader.
    tasks
        Number of the standing tasks.
    probes
        Number of finite probes that stall on the worker before.

    Returns
    -------
    StandInWorker
        The worker, the moment its stall is noticed.
    """
    first = deployment.add_worker("w1", duration=None)
    await deployment.submit("l", Step(tasks=tasks, demand=TWO_CORES, standing=True))
    await deployment.submit("k", Step(tasks=8 - 2 * tasks, demand=ONE_CORE))
    await trio.sleep(1)
    worker = deployment.add_worker("w2", duration=None)
    worker.is_stuck = True
    await trio.sleep(1)
    await deployment.submit("s", Step(tasks=4, demand=TWO_CORES))
    await trio.sleep(1)
    for _ in range(probes):
        await sleep_until_stalled(deployment, leader, worker)
        await trio.sleep(1)
    await sleep_until_stalled(deployment, leader, worker)
    first.capacity = ONE_CORE  # of its next life
    deployment.fleet.restart_delay = timedelta(seconds=0.1)
    deployment.fleet.crash(first)
    return worker


async def sleep_until_stalled(
    deployment: Deployment, leader: SchedulingLeader, worker: StandInWorker
) -> None:
    """Sleep until a stall of a worker has been noticed just now."""
    with trio.fail_after(LIMIT_SECONDS):
        while True:
            outcomes = leader._quarantine._records.get(worker.worker)
            until = outcomes.quarantined_until if outcomes is not None else None
            left = (until or timedelta()) - deployment.clock.monotonic()
            if left > SETTINGS.quarantine_duration - timedelta(seconds=2 * TIME_STEP):
                return
            await trio.sleep(TIME_STEP)


def count_finite(tasks: Iterable[TaskName]) -> int:
    """Return the number of tasks that are not standing."""
    return sum(not task.startswith("l") for task in tasks)


class StalledWorkerTest(unittest.TestCase):
    @with_deployment()
    async def test_tasks_return_in_time_to_a_worker_whose_stall_was_just_noticed(
        self, _: Deployment
    ) -> None:
        """The worst moment for it to work again, also after a finite probe."""
        for probes in (0, 1, 2):
            with self.subTest(probes=probes):
                deployment = Deployment(SETTINGS)
                await deployment.configure()
                async with deployment.lead() as leader:
                    worker = await stall_worker(
                        deployment, leader, tasks=4, probes=probes
                    )
                    worker.is_stuck = False
                    standing = {TaskName(f"l.0.0.{index}") for index in range(4)}
                    began = trio.current_time()
                    while not standing <= worker.runs.keys():
                        await trio.sleep(TIME_STEP)
                        self.assertLess(trio.current_time() - began, LIMIT)

    @with_deployment()
    async def test_standing_probe_lets_no_finite_tasks_follow_while_a_worker_stalls(
        self, deployment: Deployment
    ) -> None:
        """After 2 s it was a success, and all finite tasks stalled there, too."""
        deployment.settings = SETTINGS
        async with deployment.lead() as leader:
            worker = await stall_worker(deployment, leader, tasks=1)
            before = len(worker.started)
            await trio.sleep(LIMIT_SECONDS)
            tasks = [task for task, _, _ in worker.started[before:]]
        self.assertEqual(len(tasks) - count_finite(tasks), 1)
        self.assertLessEqual(count_finite(tasks), 3)

    @with_deployment()
    async def test_finite_tasks_return_in_time_to_a_worker_that_has_stalled(
        self, deployment: Deployment
    ) -> None:
        """A standing task has taken the place of their probe for 2 s."""
        deployment.settings = SETTINGS
        limit = SETTINGS.quarantine_duration + 2 * SETTINGS.probe_duration
        async with deployment.lead() as leader:
            worker = await stall_worker(deployment, leader, tasks=1)
            worker.is_stuck = False
            began = trio.current_time()
            while count_finite(worker.runs) < 3:
                await trio.sleep(TIME_STEP)
                self.assertLess(trio.current_time() - began, limit.total_seconds())

    @with_deployment(max_attempts=20)
    async def test_finite_probe_of_a_failing_worker_that_stalls_lets_none_follow(
        self, deployment: Deployment
    ) -> None:
        """It was a success after 2 s, before a run counts as stalled."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("s", Step(tasks=2, demand=ONE_CORE))
            await trio.sleep(1)
            fail_runs(worker)
            await trio.sleep(RESTART_SECONDS)
            worker.end, worker.is_stuck = RunEnd.DONE, True
            await deployment.submit("m", Step(tasks=6, demand=ONE_CORE))
            await trio.sleep(SETTINGS.quarantine_duration.total_seconds())
            before = len(worker.started)
            await trio.sleep(SETTINGS.stall_timeout.total_seconds())
            self.assertLessEqual(len(worker.started) - before, 1)


if __name__ == "__main__":
    unittest.main()
