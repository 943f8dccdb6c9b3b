"""Tests of leaders whose lease lapses while they start."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import trio

from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.ports import StartOrder
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment


class LapsedStartTest(unittest.TestCase):
    @with_deployment()
    async def test_leader_sends_orders_once_a_lease_that_lapsed_is_regained(
        self, deployment: Deployment
    ) -> None:
        make_leader = deployment.make_leader

        def make_leader_late(*arguments: Any) -> SchedulingLeader:
            deployment.replica.leadership = None
            return make_leader(*arguments)

        deployment.add_worker("w1")
        with mock.patch.object(deployment, "make_leader", make_leader_late):
            async with deployment.lead_while_leading():
                await trio.sleep(0.5)
                deployment.elect(1)
                await deployment.submit("j", Step(demand=ONE_CORE))
                await trio.sleep(5)
        self.assertEqual(len(deployment.list_sent(StartOrder, "j")), 1)


if __name__ == "__main__":
    unittest.main()
