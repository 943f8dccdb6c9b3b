"""Tests of what a leader knows when its controller is stopped by plan."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.handover import HANDOVER_TIMEOUT
from rhubarbfield.scheduling.state import JobPhase
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import JobId
from tests.scheduling.controllers import REPORT_SECONDS, Controllers, with_controllers

WORK = timedelta(seconds=3)
BEFORE_END_SECONDS = 0.02
LISTED_SECONDS = 0.03  # after the end of the work
LAPSE_SECONDS = 15.0  # longer than a lease


def list_starts(*workers: StandInWorker) -> list[str]:
    return [task for worker in workers for task, _, _ in worker.started]


class PlannedStopTest(unittest.TestCase):
    @with_controllers()
    async def test_end_that_is_listed_as_the_leader_stops_is_recorded(
        self, controllers: Controllers
    ) -> None:
        """Its worker leaves before the next leader can ask."""
        worker = controllers.add_worker("w1")
        worker.duration = WORK
        async with trio.open_nursery() as nursery:
            nursery.start_soon(controllers.report_all, [worker])
            await trio.sleep(2 * REPORT_SECONDS)
            await controllers.submit("j")
            while not worker.runs:
                await trio.sleep(0.01)
            await trio.sleep(WORK.total_seconds() - BEFORE_END_SECONDS)
            nursery.start_soon(controllers.leader.hand_over, HANDOVER_TIMEOUT)
            await trio.sleep(BEFORE_END_SECONDS + LISTED_SECONDS)
            worker.is_unreachable = True
            other = controllers.add_worker("w2")
            nursery.start_soon(controllers.report_all, [other])
            await trio.sleep(LAPSE_SECONDS)
            nursery.cancel_scope.cancel()
        self.assertEqual(list_starts(worker, other), ["j.0.0.0"])
        job = controllers.leader.log.state.scheduling.jobs[JobId("j")]
        self.assertIs(job.phase, JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
