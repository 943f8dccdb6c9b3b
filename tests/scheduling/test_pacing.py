"""Tests of the pace of placement rounds, under the load of hundreds of workers."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.clock import TrioClock
from rhubarbfield.scheduling.commands import (
    CancelJob,
    EndedRun,
    EndRuns,
    StartRuns,
    WorkerEnds,
)
from rhubarbfield.scheduling.model import NO_CHECKPOINT, RunNumber, Step, name_task
from rhubarbfield.scheduling.pacing import RoundPacer, Urgency, find_urgency
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import JobId, WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

VIEW_SECONDS = 0.0025  # 400 views a second
ENDS_SECONDS = 0.015  # commits of ends, as many as fit behind each other
LOAD_SECONDS = 5.0
ROUND_SECONDS = 0.006


class RoundPacerTest(unittest.TestCase):
    def play(
        self, *, views: bool = True, ends: bool = False, jobs: float = 0.0
    ) -> tuple[int, list[float]]:
        """Play a load; return the number of rounds and the waits of accepted jobs.

        Parameters
        ----------
        views, ends
            Whether views arrive and ends are recorded.
        jobs
            Seconds between two accepted jobs, or 0 for none.
        """
        pacer = RoundPacer(TrioClock())
        rounds = 0
        accepted: list[float] = []
        waits: list[float] = []

        async def request(urgency: Urgency, interval: float) -> None:
            while True:
                await trio.sleep(interval)
                if urgency is Urgency.URGENT:
                    accepted.append(trio.current_time())
                pacer.request(urgency)

        async def run_rounds() -> None:
            nonlocal rounds
            while True:
                await pacer.wait()
                rounds += 1
                waits.extend(trio.current_time() - each for each in accepted)
                accepted.clear()
                await trio.sleep(ROUND_SECONDS)
                pacer.record_round(timedelta(seconds=ROUND_SECONDS))

        async def body() -> None:
            with trio.move_on_after(LOAD_SECONDS):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(run_rounds)
                    if views:
                        nursery.start_soon(request, Urgency.ROUTINE, VIEW_SECONDS)
                    if ends:
                        nursery.start_soon(request, Urgency.NORMAL, ENDS_SECONDS)
                    if jobs:
                        nursery.start_soon(request, Urgency.URGENT, jobs)

        run_deterministic(body, seed=1)
        return rounds, waits

    def test_views_alone_cause_few_rounds(self) -> None:
        """Each view caused a round: 78 a second, half of the leader's time."""
        rounds, _ = self.play()
        self.assertLessEqual(rounds / LOAD_SECONDS, 10)
        self.assertGreaterEqual(rounds / LOAD_SECONDS, 8)

    def test_free_capacity_is_used_soon(self) -> None:
        rounds, _ = self.play(ends=True)
        self.assertLessEqual(rounds / LOAD_SECONDS, 35)
        self.assertGreaterEqual(rounds / LOAD_SECONDS, 20)

    def test_an_accepted_job_does_not_wait_for_the_pace(self) -> None:
        _, waits = self.play(ends=True, jobs=0.1)
        self.assertGreater(len(waits), 45)
        self.assertLessEqual(max(waits), 0.01 + ROUND_SECONDS + 0.001)

    def test_a_round_waits_for_a_request(self) -> None:
        rounds, _ = self.play(views=False)
        self.assertEqual(rounds, 0)


class UrgencyTest(unittest.TestCase):
    @with_deployment()
    async def test_what_lets_tasks_start_is_urgent(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            first = Step(tasks=2, demand=ONE_CORE)
            second = Step(demand=ONE_CORE, after=(0,))
            await deployment.submit("j1", first, second)
            await trio.sleep(1)
            self.assertEqual(len(worker.runs), 2)
            state = deployment.log.state.scheduling
            task = name_task(JobId("j1"), 0, 0, 0)
            ended = EndedRun(task, RunNumber(1), RunEnd.DONE, NO_CHECKPOINT)
            ends = EndRuns(workers=(WorkerEnds(WorkerId("w1"), (ended,), 1),))
            self.assertEqual(find_urgency(state, ends), Urgency.NORMAL)
            progress = state.jobs[JobId("j1")].occurrences[0][0]
            progress.done = len(progress.tasks)
            self.assertEqual(find_urgency(state, ends), Urgency.URGENT)

    @with_deployment()
    async def test_own_starts_are_routine_and_cancels_are_not(
        self, deployment: Deployment
    ) -> None:
        state = deployment.log.state.scheduling
        self.assertEqual(find_urgency(state, StartRuns(starts=())), Urgency.ROUTINE)
        cancel = CancelJob(job=JobId("j1"))
        self.assertEqual(find_urgency(state, cancel), Urgency.NORMAL)


if __name__ == "__main__":
    unittest.main()
