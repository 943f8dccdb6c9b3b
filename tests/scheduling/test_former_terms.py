"""Tests of a leader's work that outlasts its term for a moment."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.scheduling.model import Step
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

LAPSE_SECONDS = 10.0  # longer than a lease


class FormerTermTest(unittest.TestCase):
    @with_deployment()
    async def test_lapse_seen_in_a_former_term_does_not_start_a_task_again(
        self, deployment: Deployment
    ) -> None:
        """The leader of a term in between may have extended the lease."""
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(2)
            worker.is_unreachable = True
            await trio.sleep(4)
            deployment.elect(3)
            await trio.sleep(LAPSE_SECONDS)
            runs = deployment.state.workers[worker.worker].runs
            self.assertEqual(list(runs.values()), [1])


if __name__ == "__main__":
    unittest.main()
