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
SILENCES = (2.6, 2.8, 3.0, 3.2, 3.4)  # shorter than a lease
LONGEST_WAIT_SECONDS = 1.55  # a view that waits for an end, and its reply


def list_starts(*workers: StandInWorker) -> list[str]:
    return [task for worker in workers for task, _, _ in worker.started]


async def hand_over_beside_silence(controllers: Controllers, silence: float) -> float:
    """Return how long a hand-over takes as one of two workers does not reply.

    Parameters
    ----------
    controllers
        The controllers.
    silence
        For how many seconds it has not replied.
    """
    silent, other = controllers.add_worker("w1"), controllers.add_worker("w2")
    silent.duration = other.duration = None
    async with trio.open_nursery() as nursery:
        for worker, job in ((silent, "j"), (other, "k")):
            nursery.start_soon(controllers.report_all, [worker])
            await trio.sleep(2 * REPORT_SECONDS)
            await controllers.submit(job)
            while not worker.runs:
                await trio.sleep(0.01)
            worker.is_draining = True  # so that it is given no other task
        silent.is_unreachable = True
        await trio.sleep(silence)
        began = trio.current_time()
        await controllers.leader.hand_over(HANDOVER_TIMEOUT)
        took = trio.current_time() - began
        nursery.cancel_scope.cancel()
    return took


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

    def test_silent_worker_does_not_hold_up_a_stop(self) -> None:
        """Meanwhile nobody would ask the other workers for ends."""
        for silence in SILENCES:
            with self.subTest(silence=silence):
                took: list[float] = []

                @with_controllers()
                async def play(
                    _case: PlannedStopTest,
                    controllers: Controllers,
                    silence: float = silence,
                    took: list[float] = took,
                ) -> None:
                    took.append(await hand_over_beside_silence(controllers, silence))

                play(self)
                self.assertLess(took[0], LONGEST_WAIT_SECONDS)


if __name__ == "__main__":
    unittest.main()
