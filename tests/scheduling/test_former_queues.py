"""Tests of jobs whose queue is no longer configured under its name."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.scheduling.commands import AcceptJob, PutConfiguration
from rhubarbfield.scheduling.controller import MAX_LOG_BYTES
from rhubarbfield.scheduling.former_queues import KEPT_CONFIGURATIONS
from rhubarbfield.scheduling.model import (
    JobPhase,
    JobSubmission,
    Queue,
    QueueConfiguration,
    QueueName,
    Step,
    identify_queues,
)
from rhubarbfield.scheduling.requests import JobRequest, JobVerb, WaitingJobs
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import JobId, ServiceName
from tests.scheduling.controllers import Controllers, with_controllers
from tests.scheduling.deployments import (
    CONFIGURATION,
    ONE_CORE,
    QUEUE,
    Deployment,
    with_deployment,
)
from tests.scheduling.test_appliers import Log

RENAMED = msgspec.structs.replace(QUEUE, name=QueueName("renamed"))
OTHER = msgspec.structs.replace(QUEUE, name=QueueName("other"), prefix="/other/")
TWO_STEPS = (Step(demand=ONE_CORE), Step(demand=ONE_CORE, after=(0,)))
MANY_CONFIGURATIONS = 100
LARGE_QUEUES = 5000  # as many as a command may hold
ROUTE_BYTES = 240  # of a document


def make_configuration(version: int, *queues: Queue) -> QueueConfiguration:
    return msgspec.structs.replace(CONFIGURATION, version=version, queues=queues)


async def configure(deployment: Deployment, version: int, *queues: Queue) -> None:
    configuration = make_configuration(version, *queues)
    await deployment.propose(PutConfiguration(configuration=configuration))


class RunningJobsTest(unittest.TestCase):
    @with_deployment()
    async def test_job_goes_on_once_its_queue_has_another_name(
        self, deployment: Deployment
    ) -> None:
        """The next steps of accepted jobs never started."""
        deployment.add_worker("w1")
        async with deployment.lead():
            await deployment.submit("j", *TWO_STEPS)
            await trio.sleep(0.5)
            await configure(deployment, 2, RENAMED)
            await trio.sleep(3)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_job_goes_on_once_its_queue_is_removed(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1")
        async with deployment.lead():
            await deployment.submit("j", *TWO_STEPS)
            await trio.sleep(0.5)
            await configure(deployment, 2, OTHER)
            await trio.sleep(3)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment(max_attempts=1)
    async def test_failure_counts_while_the_queue_is_removed(
        self, deployment: Deployment
    ) -> None:
        """A queue that came back gave the task another start."""
        worker = deployment.add_worker("w1", duration=timedelta(seconds=2))
        worker.end = RunEnd.FAILED
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(0.5)
            await configure(deployment, 2, OTHER)
            await trio.sleep(3)
            single = msgspec.structs.replace(QUEUE, max_attempts=1)
            await configure(deployment, 3, single)
            await trio.sleep(3)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.FAILED)
        self.assertEqual(len(worker.started), 1)


class FormerQueuesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = Log()
        self.version = 0
        self.configure(QUEUE)

    def configure(self, *queues: Queue) -> None:
        self.version += 1
        configuration = make_configuration(self.version, *queues)
        self.log.apply(PutConfiguration(configuration=configuration))

    def accept(self, name: str = "j", queue: QueueName = QUEUE.name) -> None:
        submission = JobSubmission(payload="p", steps=(Step(),))
        command = AcceptJob(job=JobId(name), queue=queue, submission=submission)
        self.log.apply(command)

    def find(self, name: QueueName = QUEUE.name) -> Queue | None:
        return self.log.state.find_serving_queue(name)

    def test_latest_queue_with_the_host_and_prefix_serves_the_jobs(self) -> None:
        self.accept()
        self.configure(RENAMED)
        self.assertEqual(self.find(), RENAMED)
        third = msgspec.structs.replace(
            QUEUE, name=QueueName("third"), service=ServiceName("t")
        )
        self.configure(third)
        self.assertEqual(self.find(), third)
        self.configure(OTHER)
        self.assertEqual(self.find(), third)
        self.configure(OTHER, RENAMED)
        self.assertEqual(self.find(), RENAMED)
        self.configure(QUEUE)
        self.assertEqual(self.find(), QUEUE)
        self.assertNotIn(QUEUE.name, self.log.state.former_queues)

    def test_job_accepted_just_after_its_queue_was_removed_is_served(self) -> None:
        """Its proposal was under way when the configuration was."""
        self.configure(OTHER)
        self.configure(OTHER, RENAMED)
        self.accept()
        self.assertEqual(self.find(), RENAMED)

    def test_queues_of_open_jobs_are_kept_and_others_forgotten(self) -> None:
        self.accept("j", QUEUE.name)
        for number in range(MANY_CONFIGURATIONS):
            name = QueueName(f"q{number}")
            self.configure(msgspec.structs.replace(OTHER, name=name))
        former = self.log.state.former_queues
        self.assertIn(QUEUE.name, former)
        self.assertLessEqual(len(former), KEPT_CONFIGURATIONS + 1)

    def replace_all_queues(self, number: int) -> None:
        """Configure as many queues as there may be, all with other hosts."""
        host = f"host{number}.example"
        self.version += 1
        queues = tuple(
            msgspec.structs.replace(QUEUE, host=host, prefix=f"/path{index}/")
            for index in range(LARGE_QUEUES)
        )
        configuration = identify_queues(make_configuration(self.version, *queues))
        document = bytes(LARGE_QUEUES * ROUTE_BYTES)
        self.log.apply(
            PutConfiguration(
                configuration=msgspec.structs.replace(configuration, document=document)
            )
        )

    def test_replaced_queues_do_not_outgrow_the_log_of_an_instance(self) -> None:
        """LOST: the queues of 16 configurations were kept, whatever their number."""
        for number in range(2 * KEPT_CONFIGURATIONS):
            self.replace_all_queues(number)
        snapshot = self.log.machine.take_snapshot()
        self.assertLessEqual(len(snapshot), MAX_LOG_BYTES)

    def test_job_is_served_whose_proposal_was_behind_all_that_may_be_pending(
        self,
    ) -> None:
        self.configure(RENAMED, OTHER)
        before = self.log.encoded_bytes
        number = 0
        while True:
            self.replace_all_queues(number)
            number += 1
            size = (self.log.encoded_bytes - before) // number
            if self.log.encoded_bytes - before + size > MAX_LOG_BYTES:
                break
        self.accept(queue=RENAMED.name)
        self.assertEqual(self.find(RENAMED.name), RENAMED)

    def test_older_configuration_changes_nothing(self) -> None:
        self.configure(RENAMED)
        before = self.log.machine.take_snapshot()
        configuration = make_configuration(1, QUEUE)
        self.log.apply(PutConfiguration(configuration=configuration))
        self.assertEqual(self.log.machine.take_snapshot(), before)

    def test_former_queues_outlast_a_restart(self) -> None:
        self.accept()
        self.configure(RENAMED)
        self.log.restart()
        self.assertEqual(self.find(), RENAMED)


class WaitingCountTest(unittest.TestCase):
    @with_controllers()
    async def test_jobs_accepted_under_the_former_name_are_counted(
        self, controllers: Controllers
    ) -> None:
        await controllers.submit("j")
        service = controllers.leader.service
        await service.put_configuration(make_configuration(2, RENAMED))
        request = JobRequest(verb=JobVerb.READ, host=QUEUE.host, path=QUEUE.prefix)
        self.assertEqual(await service.answer(request), WaitingJobs(1))


if __name__ == "__main__":
    unittest.main()
