"""Tests of the probes of a failing worker whose contact is lost for moments."""

from __future__ import annotations

import unittest

import trio
from returns.result import Failure, Result

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    ViewRequest,
    WorkerAddress,
    WorkerView,
)
from rhubarbfield.testing.crashing_workers import CrashingFleet
from tests.scheduling.deployments import Deployment, with_deployment
from tests.scheduling.test_standstills import SETTINGS, TWO_CORES, fail_runs

RESET_SECONDS = 0.01
LONG_SECONDS = 20.0


class ResettingFleet(CrashingFleet):
    """Worker port on which the connection of every other view is reset at once."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.views = 0

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return a worker's view of its runs, or none."""
        self.views += 1
        if self.views % 2:
            return await super().view(to, request)
        await trio.sleep(RESET_SECONDS)
        return Failure(NoReply("the connection was reset"))


class ProbesAfterSilencesTest(unittest.TestCase):
    @with_deployment()
    async def test_resets_do_not_let_probes_of_a_failing_worker_follow_at_once(
        self, deployment: Deployment
    ) -> None:
        """Each failure counted as late, and let the next probe start."""
        deployment.settings = SETTINGS
        deployment.fleet = ResettingFleet(deployment.clock)
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            step = Step(tasks=4, demand=TWO_CORES, standing=True)
            await deployment.submit("j", step)
            await trio.sleep(1)
            fail_runs(worker)
            before = len(worker.started)
            await trio.sleep(LONG_SECONDS)
        delay = SETTINGS.standing_probe_delay.total_seconds()
        self.assertLessEqual(len(worker.started) - before, LONG_SECONDS / delay + 1)


if __name__ == "__main__":
    unittest.main()
