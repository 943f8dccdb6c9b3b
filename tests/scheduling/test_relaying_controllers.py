"""Tests of controllers that relay the leader's calls to workers."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.scheduling.commands import AcceptJob
from rhubarbfield.scheduling.model import JobSubmission, Step, identify_queue
from rhubarbfield.scheduling.ports import StartOrder, ViewRequest
from rhubarbfield.scheduling.relayed_calls import WORKERS_PER_RELAY
from rhubarbfield.types import JobId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import ONE_CORE, QUEUE
from tests.scheduling.relaying_controllers import Controllers

WORKERS = 2 * WORKERS_PER_RELAY + 8  # more than two relays need


async def submit(controllers: Controllers, leader: str, tasks: int) -> None:
    submission = JobSubmission(
        payload="p", steps=(Step(tasks=tasks, demand=ONE_CORE, estimate_ms=1000),)
    )
    queue = identify_queue(QUEUE.host, QUEUE.prefix)
    command = AcceptJob(job=JobId("j"), queue=queue, submission=submission)
    (await controllers.controllers[leader].log.propose(command)).unwrap()


class RelayingControllersTest(unittest.TestCase):
    def test_calls_of_the_leader_are_made_by_the_other_controllers(self) -> None:
        run_deterministic(self._check_who_calls, seed=1)

    async def _check_who_calls(self) -> None:
        controllers = Controllers("c1", "c2", "c3")
        for number in range(WORKERS):
            controllers.add_worker(f"w{number}")
        async with controllers.run() as leader:
            await submit(controllers, leader, tasks=8 * WORKERS)
            await trio.sleep(5)
        started = sum(len(worker.started) for worker in controllers.workers)
        self.assertEqual(started, 8 * WORKERS)
        self.assertEqual(controllers.calls[leader].orders, [])
        relays = [calls for name, calls in controllers.calls.items() if name != leader]
        for calls in relays:
            called = {address for address, _ in calls.orders}
            self.assertEqual(len(called), WORKERS // len(relays))
            self.assertGreater(calls.kinds[StartOrder], 0)
            self.assertGreater(calls.kinds[ViewRequest], 0)

    def test_single_controller_calls_workers_itself(self) -> None:
        run_deterministic(self._check_single_controller, seed=1)

    async def _check_single_controller(self) -> None:
        controllers = Controllers("c1")
        worker = controllers.add_worker("w1")
        async with controllers.run() as leader:
            await submit(controllers, leader, tasks=2)
            await trio.sleep(3)
        self.assertEqual(len(worker.started), 2)
        self.assertEqual(controllers.calls[leader].kinds[StartOrder], 2)


if __name__ == "__main__":
    unittest.main()
