"""Tests of the removal of workers that have ended."""

from __future__ import annotations

import logging
import unittest
from datetime import timedelta
from typing import Any
from unittest import mock

import msgspec
import trio

from rhubarbfield.logs import JsonFormatter, find_event
from rhubarbfield.scheduling.model import JobPhase, Label, Step, TaskName
from rhubarbfield.scheduling.presence import RunPresence
from tests.scheduling.deployments import (
    ONE_CORE,
    Deployment,
    count_runs_at_once,
    with_deployment,
)

LEADER_LOG = "rhubarbfield.scheduling.leader"


def find_events(records: list[logging.LogRecord], name: str) -> list[dict[str, Any]]:
    """Return the events with a name, as they are logged."""
    formatter = JsonFormatter()
    lines = (formatter.format(each) for each in records if find_event(each) == name)
    return [msgspec.json.decode(line) for line in lines]


class LostRunsTest(unittest.TestCase):
    @with_deployment()
    async def test_log_tells_a_run_that_had_just_started_from_one_that_had_worked(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("old", Step(demand=ONE_CORE))
            await trio.sleep(3)
            await deployment.submit("new", Step(demand=ONE_CORE))
            await trio.sleep(0.2)
            with self.assertLogs(LEADER_LOG, "INFO") as logs:
                deployment.fleet.crash(worker)
                await trio.sleep(5)
        lost = {e["task"]: e["worked"] for e in find_events(logs.records, "run-lost")}
        self.assertGreater(lost["old.0.0.0"], 2)
        self.assertLess(lost["new.0.0.0"], 0.5)
        (gone,) = find_events(logs.records, "worker-gone")
        self.assertEqual((gone["cause"], gone["simultaneous"]), ("crashed", 0))

    @with_deployment()
    async def test_log_counts_the_workers_that_fell_silent_at_the_same_moment(
        self, deployment: Deployment
    ) -> None:
        workers = [deployment.add_worker(name, duration=None) for name in "abc"]
        async with deployment.lead():
            await deployment.submit("j", Step(tasks=3, demand=ONE_CORE))
            await trio.sleep(1)
            with self.assertLogs(LEADER_LOG, "INFO") as logs:
                for worker in workers:
                    deployment.fleet.crash(worker)
                await trio.sleep(5)
        gone = find_events(logs.records, "worker-gone")
        self.assertEqual([each["simultaneous"] for each in gone], [2, 2, 2])


class RemovalOrderTest(unittest.TestCase):
    @with_deployment()
    async def test_task_does_not_start_again_after_its_end_was_listed(
        self, deployment: Deployment
    ) -> None:
        """A removal must not be recorded before ends that the leader knows of."""
        fleet, task = deployment.fleet, TaskName("a.0.0.0")
        fleet.restart_delay = timedelta(seconds=0.1)
        fleet.endless.add(TaskName("s.0.0.0"))
        first = deployment.add_worker("w1", duration=timedelta(seconds=0.5))
        first.labels = (*first.labels, Label("c"))
        second = deployment.add_worker("w2", duration=timedelta(seconds=0.8))
        second.labels = (*second.labels, Label("d"))
        on_first, on_second = (
            Step(demand=ONE_CORE, required_label=Label(label)) for label in "cd"
        )
        async with deployment.lead():
            await deployment.submit("b", on_first)
            await deployment.submit("a", on_second)
            await deployment.submit("s", on_second)
            await trio.sleep(0.2)
            deployment.replica.slow.add("EndRuns")
            await trio.sleep(0.8)
            self.assertTrue(second.has_ended(task))
            fleet.crash(second)
            third = deployment.add_worker("w3")
            third.labels = second.labels
            await trio.sleep(0.2)
            await deployment.cancel("s")
            await trio.sleep(8)
        self.assertEqual(fleet.starts[task], 1)
        self.assertEqual(deployment.get_job("a").phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_repeated_removal_ends_no_run_of_a_worker_that_came_back(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await trio.sleep(0.5)
            await leader.handle_departure(first.worker)
            first.is_unreachable = True
            deployment.replica.unanswered.append("RemoveWorker")
            while deployment.replica.unanswered:
                await trio.sleep(0.02)
            first.is_unreachable = False
            await deployment.submit("a", Step(demand=ONE_CORE))
            await leader.handle_heartbeat(first.make_heartbeat())
            await trio.sleep(1)
            self.assertEqual(len(first.runs), 1)
            deployment.add_worker("w2", duration=None)
            for _ in range(500):
                await trio.sleep(0.01)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertEqual(len(first.runs), 1)

    @with_deployment()
    async def test_gang_does_not_wait_for_a_member_whose_worker_was_removed_in_doubt(
        self, deployment: Deployment
    ) -> None:
        deployment.fleet.restart_delay = timedelta(seconds=0.2)
        first = deployment.add_worker("w1", duration=None)
        second = deployment.add_worker("w2", duration=None)
        gang = Step(tasks=2, demand=ONE_CORE, gang=True, max_per_worker=1)
        async with deployment.lead():
            await trio.sleep(1)
            await deployment.submit("g", gang)
            await trio.sleep(1.5)
            self.assertEqual([len(first.runs), len(second.runs)], [1, 1])
            deployment.replica.unanswered.append("RemoveWorker")
            deployment.fleet.crash(first)
            await trio.sleep(5)
            runs = [run.run for run in second.runs.values()]
        self.assertEqual(runs, [2])


class CostTest(unittest.TestCase):
    @with_deployment()
    async def test_loss_of_all_workers_examines_the_runs_of_each_for_each_other(
        self, deployment: Deployment
    ) -> None:
        workers = [
            deployment.add_worker(f"w{number}", duration=None) for number in range(40)
        ]
        async with deployment.lead():
            await deployment.submit("j", Step(tasks=40, demand=ONE_CORE))
            await trio.sleep(2)
            with mock.patch.object(
                RunPresence,
                "list_runs",
                autospec=True,
                side_effect=RunPresence.list_runs,
            ) as list_runs:
                for worker in workers:
                    deployment.fleet.crash(worker)
                await trio.sleep(6)
        # A few times for each worker, whatever the number of others.
        self.assertLess(list_runs.call_count, 6 * len(workers))


if __name__ == "__main__":
    unittest.main()
