"""Tests of the probes of a failing worker whose contact is lost for moments."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.ports import ViewRequest
from tests.scheduling.deployments import Deployment, with_deployment
from tests.scheduling.test_standstills import (
    SETTINGS,
    TWO_CORES,
    LossyFleet,
    fail_runs,
)

RESET_SECONDS = 0.01
LONG_SECONDS = 20.0


class ResettingFleet(LossyFleet):
    """Worker port on which the connection of every other view is reset at once."""

    async def await_no_reply(self, request: ViewRequest) -> None:
        """Sleep until the connection is reset."""
        await trio.sleep(RESET_SECONDS)


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
