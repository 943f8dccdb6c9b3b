"""Tests of probes that are paused."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.state import RunEnd
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment
from tests.scheduling.test_standstills import (
    LIMIT_SECONDS,
    RESTART_SECONDS,
    SETTINGS,
    TIME_STEP,
    fail_runs,
)

PAUSED = 0


class PausedProbesTest(unittest.TestCase):
    @with_deployment(max_attempts=30)
    async def test_paused_probe_does_not_keep_other_tasks_from_its_worker(
        self, deployment: Deployment
    ) -> None:
        """It makes no progress, and no stall is noticed either."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await deployment.submit("s", Step(tasks=2, demand=ONE_CORE))
            await trio.sleep(1)
            fail_runs(worker)
            await trio.sleep(RESTART_SECONDS)
            worker.end, worker.duration = RunEnd.DONE, None
            await deployment.submit("m", Step(tasks=6, demand=ONE_CORE))
            before = len(worker.started)
            with trio.fail_after(LIMIT_SECONDS):
                while len(worker.started) == before:
                    await trio.sleep(TIME_STEP)
            task, run, _ = worker.started[-1]
            session = leader.get_session(worker.worker)
            assert session is not None
            worker.is_stuck = True  # as long as it is paused
            session.pace(RunKey(task, run), PAUSED)
            await trio.sleep(LIMIT_SECONDS)
        self.assertGreater(len(worker.started) - before, 1)


if __name__ == "__main__":
    unittest.main()
