"""Tests of which jobs count as waiting, and which as running."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.scheduling.begun_jobs import SAVE_INTERVAL
from rhubarbfield.scheduling.commands import EndRuns
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import Demand, JobPhase, RunNumber, Step, TaskName
from rhubarbfield.scheduling.requests import (
    JobRequest,
    JobStatus,
    JobVerb,
    WaitingJobs,
)
from rhubarbfield.scheduling.service import SchedulingService
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_workers import (
    CAPACITY,
    StandInRun,
    StandInWorker,
)
from rhubarbfield.types import JobId
from tests.scheduling.deployments import ONE_CORE, QUEUE, Deployment, with_deployment

MANY = 10_000  # more than all starts of a test
LONG_WORK = timedelta(minutes=5)
START_SECONDS = 0.5
WAIT_SECONDS = 6.0
SAVE_SECONDS = 1.5 * SAVE_INTERVAL.total_seconds()


class Caller:
    """Asks a controller that leads for a queue and its jobs."""

    def __init__(self, deployment: Deployment, leader: SchedulingLeader) -> None:
        self._service = SchedulingService(
            deployment.log,
            lambda: None,  # type: ignore[arg-type]
            deployment.clock,
            has_begun=leader.has_begun,
        )

    async def count_waiting(self) -> int:
        request = JobRequest(verb=JobVerb.READ, host=QUEUE.host, path=QUEUE.prefix)
        reply = await self._service.answer(request)
        assert isinstance(reply, WaitingJobs)
        return reply.count

    async def read(self, job: str) -> JobPhase:
        path = f"{QUEUE.prefix}{job}"
        request = JobRequest(verb=JobVerb.READ, host=QUEUE.host, path=path)
        reply = await self._service.answer(request)
        assert isinstance(reply, JobStatus)
        return reply.phase


class BegunJobsTest(unittest.TestCase):
    async def check_waiting(self, deployment: Deployment) -> None:
        async with deployment.lead() as leader:
            caller = Caller(deployment, leader)
            for number in range(3):
                await deployment.submit(f"j{number}", Step(demand=ONE_CORE))
            await trio.sleep(WAIT_SECONDS)
            self.assertTrue(deployment.get_job("j0").started)
            self.assertEqual(await caller.count_waiting(), 3)
            self.assertIs(await caller.read("j0"), JobPhase.QUEUED)

    @with_deployment()
    async def test_jobs_whose_starts_are_refused_count_as_waiting(
        self, deployment: Deployment
    ) -> None:
        """MIXED (review 12): they counted as begun once their start was recorded."""
        deployment.add_worker("w1").rejected_starts = MANY
        await self.check_waiting(deployment)

    @with_deployment()
    async def test_jobs_whose_starts_are_not_answered_count_as_waiting(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1").unanswered_starts = MANY
        await self.check_waiting(deployment)

    @with_deployment()
    async def test_job_counts_as_begun_once_its_worker_has_answered(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1", duration=LONG_WORK)
        async with deployment.lead() as leader:
            caller = Caller(deployment, leader)
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(START_SECONDS)
            self.assertEqual(await caller.count_waiting(), 0)
            self.assertIs(await caller.read("j"), JobPhase.RUNNING)

    @with_deployment()
    async def test_end_of_a_run_that_was_never_recorded_begins_no_job(
        self, deployment: Deployment
    ) -> None:
        """A job that was forgotten may be handed in again while its worker is away."""
        worker = deployment.add_worker("w1", duration=LONG_WORK)
        earlier = TaskName("j.0.0.0")
        worker.runs[earlier] = StandInRun(RunNumber(7), None)
        worker.end_run(earlier, RunEnd.LAPSED)
        too_large = Demand(2 * CAPACITY.millicores, 1000)
        await deployment.submit("j", Step(demand=too_large))
        async with deployment.lead() as leader:
            caller = Caller(deployment, leader)
            await trio.sleep(WAIT_SECONDS)
            self.assertEqual(worker.ends, [])
            self.assertEqual(await caller.count_waiting(), 1)

    async def begin(self, deployment: Deployment, seconds: float) -> StandInWorker:
        """Let a job begin under a leader whose term then ends."""
        worker = deployment.add_worker("w1", duration=LONG_WORK)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(seconds)
        machine = deployment.log.machine
        machine.restore(machine.take_snapshot())
        deployment.elect(2)
        return worker

    @with_deployment()
    async def test_next_leader_knows_that_a_job_of_a_silent_worker_has_begun(
        self, deployment: Deployment
    ) -> None:
        worker = await self.begin(deployment, SAVE_SECONDS)
        worker.is_unreachable = True
        async with deployment.lead() as leader:
            caller = Caller(deployment, leader)
            self.assertEqual(await caller.count_waiting(), 0)
            await trio.sleep(2 * deployment.settings.lease.total_seconds())
            self.assertEqual(worker.runs.keys(), {"j.0.0.0"})
            self.assertEqual(await caller.count_waiting(), 0)

    @with_deployment()
    async def test_next_leader_learns_from_views_what_was_not_recorded(
        self, deployment: Deployment
    ) -> None:
        await self.begin(deployment, START_SECONDS)
        self.assertFalse(deployment.get_job("j").begun)
        async with deployment.lead() as leader:
            await trio.sleep(START_SECONDS)
            self.assertEqual(await Caller(deployment, leader).count_waiting(), 0)

    @with_deployment()
    async def test_job_with_done_tasks_in_a_snapshot_of_an_earlier_version_has_begun(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1")
        async with deployment.lead():
            first = Step(demand=ONE_CORE)
            await deployment.submit("j", first, Step(after=(0,), required_label="x"))
            await trio.sleep(WAIT_SECONDS)
        machine = deployment.log.machine
        snapshot = msgspec.msgpack.decode(machine.take_snapshot(), strict=False)
        del snapshot["scheduling"]["jobs"]["j"]["begun"]
        machine.restore(msgspec.msgpack.encode(snapshot))
        self.assertTrue(deployment.get_job("j").has_begun)

    @with_deployment()
    async def test_earlier_version_applies_the_begin_of_jobs_as_nothing(
        self, deployment: Deployment
    ) -> None:
        """It has no such field, and counts by the run that it has recorded."""
        await deployment.submit("j", Step(demand=ONE_CORE))
        before = msgspec.to_builtins(deployment.get_job("j"))
        await deployment.propose(EndRuns(workers=(), begun=(JobId("j"),)))
        after = msgspec.to_builtins(deployment.get_job("j"))
        self.assertEqual(after, before | {"begun": True})


if __name__ == "__main__":
    unittest.main()
