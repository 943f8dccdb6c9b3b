"""Tests of what may fill the room that is reserved for an interrupted task."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.scheduling.commands import AcceptJob, PutConfiguration
from rhubarbfield.scheduling.model import (
    Demand,
    JobSubmission,
    QueueName,
    Step,
    TaskName,
)
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_workers import CAPACITY
from rhubarbfield.types import JobId
from tests.scheduling.deployments import (
    CONFIGURATION,
    FOREVER,
    ONE_CORE,
    QUEUE,
    Deployment,
    with_deployment,
)
from tests.scheduling.test_standstills import (
    LIMIT_SECONDS,
    SETTINGS,
    TIME_STEP,
    TOLERATED_SECONDS,
)

HALF = Demand(4000, 1000)
TASK_SECONDS = timedelta(seconds=60)
LOW = QueueName("low")


async def measure_holder(deployment: Deployment, queue: QueueName) -> float:
    """Return how long an interrupted task waits once finite runs make it room.

    A wide standing step of a queue has waited for long as well.
    """
    deployment.settings = SETTINGS
    low = msgspec.structs.replace(QUEUE, name=LOW, prefix="/low/", priority=5)
    configuration = msgspec.structs.replace(
        CONFIGURATION, version=2, queues=(QUEUE, low), document=b"{2}"
    )
    await deployment.propose(PutConfiguration(configuration=configuration))
    lost = deployment.add_worker("w1", duration=None)
    deployment.fleet.restart_delay = FOREVER
    async with deployment.lead():
        await deployment.submit("l", Step(demand=CAPACITY, standing=True))
        await trio.sleep(1)
        last = deployment.add_worker("w2", duration=TASK_SECONDS)
        await trio.sleep(0.5)
        for name in ("k1", "k2"):
            await deployment.submit(name, Step(demand=HALF, estimate_ms=1000))
        await trio.sleep(1)
        deployment.fleet.crash(lost)
        step = Step(tasks=50, demand=ONE_CORE, standing=True)
        submission = JobSubmission(payload="p", steps=(step,))
        await deployment.propose(
            AcceptJob(job=JobId("s"), queue=queue, submission=submission)
        )
        await trio.sleep(2 * TOLERATED_SECONDS)
        last.end_run(TaskName("k1.0.0.0"), RunEnd.DONE)
        await trio.sleep(1)
        last.end_run(TaskName("k2.0.0.0"), RunEnd.DONE)
        began = trio.current_time()
        while "l.0.0.0" not in last.runs:
            if trio.current_time() - began >= LIMIT_SECONDS:
                break
            await trio.sleep(TIME_STEP)
        return trio.current_time() - began


class ReservationHolderTest(unittest.TestCase):
    @with_deployment()
    async def test_wide_step_of_a_lower_queue_does_not_fill_reserved_room(
        self, deployment: Deployment
    ) -> None:
        """Its tasks never ran, and took each piece of room as it came."""
        took = await measure_holder(deployment, LOW)
        self.assertLess(took, TOLERATED_SECONDS)

    @with_deployment()
    async def test_wide_step_that_never_ran_does_not_fill_reserved_room(
        self, deployment: Deployment
    ) -> None:
        took = await measure_holder(deployment, QUEUE.name)
        self.assertLess(took, TOLERATED_SECONDS)


if __name__ == "__main__":
    unittest.main()
