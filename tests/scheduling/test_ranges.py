"""Tests that a leader bears every number that is in range."""

from __future__ import annotations

import unittest
from contextlib import suppress
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.platform.jobwire import MAX_STEPS
from rhubarbfield.scheduling.model import (
    Demand,
    JobPhase,
    JobSubmission,
    Recurrence,
    Step,
)
from rhubarbfield.scheduling.ordering import (
    Outlook,
    find_outlook,
    measure_submission,
)
from rhubarbfield.scheduling.ranges import (
    MAX_INTEGER,
    MAX_LATENCY_GOAL_MS,
    MAX_SLOWDOWN,
)
from rhubarbfield.scheduling.requests import Accepted, JobReply, JobRequest, JobVerb
from rhubarbfield.scheduling.service import SchedulingService
from rhubarbfield.scheduling.state import SchedulingState
from tests.scheduling.deployments import ONE_CORE, QUEUE, Deployment, with_deployment

LARGEST = Demand(MAX_INTEGER, MAX_INTEGER, MAX_INTEGER)
MOST_TASKS = 16
LONGEST = timedelta(milliseconds=86_399_999_999_999_999)
# Each of them may be submitted; none keeps ordinary work from being done.
EXTREME_STEPS = (
    Step(tasks=MOST_TASKS, demand=LARGEST, estimate_ms=MAX_INTEGER),
    Step(demand=ONE_CORE, estimate_ms=MAX_INTEGER, tail_goal_ms=MAX_INTEGER),
    Step(demand=LARGEST, uses_spare_cores=True, estimate_ms=MAX_INTEGER),
    Step(demand=LARGEST, gang=True, same_rack=True, tasks=MOST_TASKS),
    Step(max_per_worker=MAX_INTEGER, disruption_budget=MAX_INTEGER, standing=True),
)
EXTREME_RECURRENCES = (
    Recurrence(MAX_INTEGER, -MAX_INTEGER, MAX_INTEGER),
    Recurrence(MAX_INTEGER, MAX_INTEGER, MAX_INTEGER),
    Recurrence(MAX_INTEGER, -MAX_INTEGER, 0),
    Recurrence(1, 0, MAX_INTEGER),
)


def list_extreme_jobs() -> list[JobSubmission]:
    jobs = [JobSubmission(payload="p", steps=(step,)) for step in EXTREME_STEPS]
    jobs.append(JobSubmission(payload="p", steps=EXTREME_STEPS[:4]))
    return jobs + [
        JobSubmission(payload="p", steps=(EXTREME_STEPS[0],), recurrence=each)
        for each in EXTREME_RECURRENCES
    ]


class LargestNumbersTest(unittest.TestCase):
    async def submit(
        self, service: SchedulingService, name: str, submission: JobSubmission
    ) -> JobReply:
        path = f"{QUEUE.prefix}{name}"
        request = JobRequest(
            verb=JobVerb.SUBMIT, host=QUEUE.host, path=path, submission=submission
        )
        return await service.answer(request)

    @with_deployment()
    async def test_work_goes_on_beside_jobs_with_the_largest_numbers(
        self, deployment: Deployment
    ) -> None:
        for name in ("w1", "w2"):
            deployment.add_worker(name)
        service = SchedulingService(deployment.log, lambda: None, deployment.clock)
        ordinary = JobSubmission(
            payload="p", steps=(Step(demand=ONE_CORE, estimate_ms=100),)
        )
        async with deployment.lead():
            for number, extreme in enumerate(list_extreme_jobs()):
                await self.submit(service, f"x{number}", extreme)
                await trio.sleep(1)
            await trio.sleep(5)
            reply = await self.submit(service, "ordinary", ordinary)
            self.assertEqual(reply, Accepted())
            await trio.sleep(5)
            self.assertIs(deployment.get_job("ordinary").phase, JobPhase.COMPLETED)
        snapshot = msgspec.msgpack.encode(deployment.state)
        restored = msgspec.msgpack.decode(snapshot, type=SchedulingState)
        self.assertEqual(restored, deployment.state)

    @with_deployment()
    async def test_clocks_near_the_longest_duration_do_not_end_the_leader(
        self, deployment: Deployment
    ) -> None:
        """The leader ended as it added a lease to the clock."""
        deployment.add_worker("w1")
        odd = deployment.add_worker("w2")
        deployment.reporting.remove(odd)
        async with deployment.lead() as leader:
            for clock in (LONGEST, timedelta.min, LONGEST):
                heartbeat = odd.make_heartbeat()
                with suppress(OverflowError):  # the server answers it 500
                    await leader.handle_heartbeat(
                        msgspec.structs.replace(heartbeat, clock=clock)
                    )
                await trio.sleep(1)
            await deployment.submit("j", Step(tasks=MOST_TASKS, demand=ONE_CORE))
            await trio.sleep(10)
            self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment(slowdown_goal=1e18, latency_goal_ms=2**62)
    async def test_jobs_are_served_under_goals_that_an_earlier_version_took(
        self, deployment: Deployment
    ) -> None:
        """Each submission to the queue got 504, and a round ended the leader."""
        deployment.add_worker("w1")
        service = SchedulingService(deployment.log, lambda: None, deployment.clock)
        step = Step(demand=ONE_CORE, estimate_ms=100)
        ordinary = JobSubmission(payload="p", steps=(step,))
        async with deployment.lead():
            reply = await self.submit(service, "j", ordinary)
            self.assertEqual(reply, Accepted())
            await trio.sleep(5)
            self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)

    def test_goal_of_the_longest_job_is_a_valid_duration(self) -> None:
        steps = tuple(
            Step(after=(number - 1,) if number else (), estimate_ms=MAX_INTEGER)
            for number in range(MAX_STEPS)
        )
        work = measure_submission(JobSubmission(payload="p", steps=steps))
        queue = msgspec.structs.replace(
            QUEUE, slowdown_goal=MAX_SLOWDOWN, latency_goal_ms=MAX_LATENCY_GOAL_MS
        )
        self.assertIs(find_outlook(work, queue, timedelta()), Outlook.ON_TIME)
        strict = msgspec.structs.replace(QUEUE, slowdown_goal=0, latency_goal_ms=0)
        self.assertIs(find_outlook(work, strict, timedelta()), Outlook.TOO_LATE)


if __name__ == "__main__":
    unittest.main()
