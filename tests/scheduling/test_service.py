"""Tests of the answers of a leading controller to callers."""

from __future__ import annotations

import unittest

import msgspec
import trio

from rhubarbfield.logs import find_event
from rhubarbfield.scheduling.model import JobPhase, JobSubmission, Step
from rhubarbfield.scheduling.ports import StartOrder
from rhubarbfield.scheduling.requests import (
    Accepted,
    BadJob,
    JobRequest,
    JobVerb,
    NoSuchJob,
)
from rhubarbfield.scheduling.service import SchedulingService
from rhubarbfield.types import JobId
from tests.scheduling.deployments import ONE_CORE, QUEUE, Deployment, with_deployment

PATH = f"{QUEUE.prefix}j"
SUBMISSION = JobSubmission(payload="p", steps=(Step(demand=ONE_CORE),))
AT_ONCE_SECONDS = 0.05


class KnownJobsTest(unittest.TestCase):
    """Requests repeated by callers, whose first attempt got no answer in time."""

    async def request(
        self,
        deployment: Deployment,
        verb: JobVerb,
        content: JobSubmission = SUBMISSION,
    ) -> object:
        service = SchedulingService(deployment.log, lambda: None, deployment.clock)
        submission = content if verb is JobVerb.SUBMIT else None
        return await service.answer(
            JobRequest(verb=verb, host="h", path=PATH, submission=submission)
        )

    async def check_answered_at_once(
        self, deployment: Deployment, verb: JobVerb
    ) -> None:
        commands = deployment.replica.commands
        deployment.replica.slow = {"AcceptJob", "CancelJob"}
        with trio.fail_after(AT_ONCE_SECONDS):
            reply = await self.request(deployment, verb)
        self.assertEqual(reply, Accepted())
        self.assertEqual(deployment.replica.commands, commands)

    @with_deployment()
    async def test_repeated_cancel_does_not_wait_for_another_commit(
        self, deployment: Deployment
    ) -> None:
        await deployment.submit("j", Step(demand=ONE_CORE))
        await deployment.cancel("j")
        await self.check_answered_at_once(deployment, JobVerb.CANCEL)

    @with_deployment()
    async def test_repeated_submission_does_not_wait_for_another_commit(
        self, deployment: Deployment
    ) -> None:
        await deployment.submit("j", Step(demand=ONE_CORE))
        await self.check_answered_at_once(deployment, JobVerb.SUBMIT)

    @with_deployment()
    async def test_cancel_of_a_completed_job_is_answered_and_changes_nothing(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1")
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(3)
        with self.assertNoLogs("rhubarbfield.scheduling.service", "INFO"):
            await self.check_answered_at_once(deployment, JobVerb.CANCEL)
        self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_open_job_is_cancelled_before_the_answer(
        self, deployment: Deployment
    ) -> None:
        await deployment.submit("j", Step(demand=ONE_CORE))
        with self.assertLogs("rhubarbfield.scheduling.service", "INFO") as logs:
            reply = await self.request(deployment, JobVerb.CANCEL)
        self.assertEqual(reply, Accepted())
        self.assertEqual(deployment.get_job("j").phase, JobPhase.CANCELLED)
        events = [find_event(record) for record in logs.records]
        self.assertEqual(events, ["job-cancelled"])

    @with_deployment()
    async def test_submission_with_other_content_is_not_confirmed(
        self, deployment: Deployment
    ) -> None:
        """Two callers had chosen the same id, and the second job never ran."""
        other = msgspec.structs.replace(SUBMISSION, payload="q")
        for unanswered in ([], ["AcceptJob"]):
            deployment.replica.unanswered = unanswered
            await self.request(deployment, JobVerb.SUBMIT)
            reply = await self.request(deployment, JobVerb.SUBMIT, other)
            self.assertIsInstance(reply, BadJob)
            reply = await self.request(deployment, JobVerb.SUBMIT)
            self.assertEqual(reply, Accepted())
            self.assertEqual(deployment.get_job("j").submission, SUBMISSION)
            del deployment.state.jobs[JobId("j")]

    @with_deployment()
    async def test_job_that_is_cancelled_before_its_submission_arrives_does_not_run(
        self, deployment: Deployment
    ) -> None:
        """Its entry was frozen; the caller cancelled it through another one."""
        deployment.add_worker("w1")
        async with deployment.lead():
            cancelled = await self.request(deployment, JobVerb.CANCEL)
            submitted = await self.request(deployment, JobVerb.SUBMIT)
            await trio.sleep(3)
        self.assertEqual((cancelled, submitted), (NoSuchJob(), Accepted()))
        self.assertEqual(deployment.get_job("j").phase, JobPhase.CANCELLED)
        self.assertEqual(deployment.list_sent(StartOrder, "j"), [])

    @with_deployment()
    async def test_job_that_is_cancelled_while_it_is_committed_does_not_run(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1")
        async with deployment.lead():
            deployment.replica.unanswered = ["AcceptJob"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.request, deployment, JobVerb.SUBMIT)
                await trio.sleep(AT_ONCE_SECONDS)
                reply = await self.request(deployment, JobVerb.CANCEL)
            await trio.sleep(3)
        self.assertEqual(reply, Accepted())
        self.assertEqual(deployment.get_job("j").phase, JobPhase.CANCELLED)
        self.assertEqual(deployment.list_sent(StartOrder, "j"), [])

    @with_deployment()
    async def test_repeated_cancel_of_an_unknown_job_needs_one_commit(
        self, deployment: Deployment
    ) -> None:
        before = deployment.replica.commands
        for _ in range(3):
            reply = await self.request(deployment, JobVerb.CANCEL)
            self.assertEqual(reply, NoSuchJob())
        self.assertEqual(deployment.replica.commands, before + 1)

    @with_deployment()
    async def test_unknown_job_is_not_cancelled(self, deployment: Deployment) -> None:
        reply = await self.request(deployment, JobVerb.CANCEL)
        self.assertEqual(reply, NoSuchJob())


if __name__ == "__main__":
    unittest.main()
