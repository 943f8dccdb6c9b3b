"""Tests of probes on workers that are silent after they have answered the order."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.scheduling.model import Step
from tests.scheduling.deployments import Deployment, with_deployment
from tests.scheduling.test_standstills import (
    LIMIT_SECONDS,
    SETTINGS,
    TIME_STEP,
    TWO_CORES,
    fail_runs,
)

TASKS = 4
CUT_SECONDS = SETTINGS.probe_duration.total_seconds() + 1.0
AFTER_SECONDS = 2.0


class SilentProbesTest(unittest.TestCase):
    @with_deployment()
    async def test_probe_on_a_worker_that_is_silent_is_no_success(
        self, deployment: Deployment
    ) -> None:
        """Its run had failed, and all tasks followed once contact was back."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            step = Step(tasks=TASKS, demand=TWO_CORES, standing=True)
            await deployment.submit("j", step)
            await trio.sleep(1)
            fail_runs(worker)
            before = len(worker.started)
            with trio.fail_after(LIMIT_SECONDS):
                while len(worker.started) == before:
                    await trio.sleep(TIME_STEP / 10)
            worker.is_unreachable = True
            probed = len(worker.started)
            await trio.sleep(CUT_SECONDS)
            worker.is_unreachable = False
            await trio.sleep(AFTER_SECONDS)
        self.assertLessEqual(len(worker.started) - probed, 1)


if __name__ == "__main__":
    unittest.main()
