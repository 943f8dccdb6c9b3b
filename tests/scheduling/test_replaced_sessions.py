"""Tests of sessions that another one with the same worker has replaced."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.scheduling.model import NO_CHECKPOINT, RunNumber, Step, TaskName
from rhubarbfield.scheduling.orders import Start
from rhubarbfield.scheduling.ports import StartOrder, WorkerAddress
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import WorkerSession
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

KEY = RunKey(TaskName("j.0.0.0"), RunNumber(1))


class ReplacedSessionTest(unittest.TestCase):
    @with_deployment()
    async def test_start_that_a_new_session_withdraws_is_not_sent_by_the_former_one(
        self, deployment: Deployment
    ) -> None:
        """A task that is about to send it goes on until it waits for something."""
        worker = deployment.add_worker("w1")
        async with deployment.lead() as leader:
            await trio.sleep(1)
            former = leader.get_session(worker.worker)
            assert former is not None
            deployment.replica.slow.add("StartRuns")
            await deployment.submit("j", Step(demand=ONE_CORE))
            while not deployment.state.workers[worker.worker].runs:
                await trio.sleep(0.001)
            now = deployment.clock.monotonic()
            former.start(Start(KEY, "p", NO_CHECKPOINT, now, now))
            successor = WorkerSession(
                WorkerAddress(worker.worker, "w1:2"),
                host=leader,
                calls=deployment.fleet,
                clock=deployment.clock,
                settings=deployment.settings,
            )
            successor.take_over(former)
            await trio.sleep(1)
            self.assertEqual(deployment.list_sent(StartOrder, "j"), [])


if __name__ == "__main__":
    unittest.main()
