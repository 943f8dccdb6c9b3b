"""Tests of the log of waiting steps."""

from __future__ import annotations

import logging
import math
import unittest
from collections.abc import Iterable, Mapping
from typing import Any

import trio

from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.waiting_log import MAX_OLDEST_LOGGED, MAX_URGENT_LOGGED
from rhubarbfield.testing.scheduling_workers import CAPACITY
from tests.scheduling.deployments import Deployment, with_deployment
from tests.scheduling.disturbed_serving import (
    BATCH_DEMAND,
    BATCH_IMAGE,
    GOAL_MS,
    OWN_TAIL_MS,
    DisturbedServing,
)

LOG = "rhubarbfield.scheduling.leader"
TOO_LATE_SECONDS = 20.0
REFUSED_GROWTH = 0.7


class WaitingLogTest(unittest.TestCase):
    @with_deployment()
    async def test_step_that_waits_longest_is_not_among_the_most_urgent(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w")
        step = Step(demand=CAPACITY.times(2), estimate_ms=1000)
        async with deployment.lead():
            await deployment.submit("oldest", step)
            await trio.sleep(TOO_LATE_SECONDS)
            for number in range(2 * MAX_URGENT_LOGGED):
                await deployment.submit(f"j{number}", step)
            await trio.sleep(1.1)
            with self.assertLogs(LOG, "INFO") as logs:
                await trio.sleep(1)
        jobs = [each["job"] for each in list_waiting(logs.records)]
        self.assertEqual(len(jobs), MAX_URGENT_LOGGED + MAX_OLDEST_LOGGED)
        self.assertEqual(jobs.count("oldest"), 1)

    @with_deployment()
    async def test_log_does_not_tell_how_far_a_task_is_from_a_worker(
        self, deployment: Deployment
    ) -> None:
        site = DisturbedServing(deployment, REFUSED_GROWTH)
        step = Step(demand=BATCH_DEMAND, image=BATCH_IMAGE, uses_spare_cores=True)
        async with site.lead():
            with self.assertLogs(LOG, "INFO") as logs:
                await deployment.submit("b", step)
                await trio.sleep(1)
        (fields,) = list_waiting(logs.records)
        workers = len(site.workers)
        self.assertEqual((fields["fitting"], fields["with_cores"]), (workers, workers))
        expected = math.log(GOAL_MS / OWN_TAIL_MS) - REFUSED_GROWTH
        self.assertAlmostEqual(fields["expected"], expected, delta=0.1)
        self.assertLess(fields["least"], 0)


def list_waiting(records: Iterable[logging.LogRecord]) -> list[Mapping[str, Any]]:
    """Return the fields of each line about a waiting step."""
    return [
        vars(record)["rhubarbfield_ids"]
        for record in records
        if record.getMessage() == "step-waiting"
    ]


if __name__ == "__main__":
    unittest.main()
