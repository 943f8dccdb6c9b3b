"""Tests that jobs know their queue by its host and prefix, whatever it is called."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbfield.scheduling.commands import AcceptJob, PutConfiguration
from rhubarbfield.scheduling.model import (
    JobSubmission,
    Queue,
    QueueConfiguration,
    QueueName,
    Step,
    identify_queue,
    identify_queues,
)
from rhubarbfield.scheduling.requests import JobRequest, JobVerb, WaitingJobs
from rhubarbfield.types import JobId, ServiceName
from tests.scheduling.controllers import Controllers, with_controllers
from tests.scheduling.deployments import CONFIGURATION, QUEUE
from tests.scheduling.test_appliers import Log

SAME_NAME = msgspec.structs.replace(
    QUEUE,
    host="other",
    prefix="/other/",
    service=ServiceName("t"),
    priority=5,
    max_attempts=9,
)
MOVED = msgspec.structs.replace(
    QUEUE, name=QueueName("moved"), service=ServiceName("u")
)
# Fields of a queue before its identity was its name.
EARLIER_QUEUE_FIELDS = {
    "name",
    "host",
    "prefix",
    "service",
    "priority",
    "max_attempts",
    "slowdown_goal",
    "latency_goal_ms",
    "timeout_ms",
    "advised",
}


def make_configuration(version: int, *queues: Queue) -> QueueConfiguration:
    return msgspec.structs.replace(CONFIGURATION, version=version, queues=queues)


async def find_serving(controllers: Controllers, job: str) -> Queue:
    """Return the queue that serves a job, at the leader."""
    state = controllers.leader.log.state.scheduling
    queue = state.find_serving_queue(state.jobs[JobId(job)].queue)
    assert queue is not None
    return queue


async def count_waiting(controllers: Controllers, queue: Queue) -> int:
    request = JobRequest(verb=JobVerb.READ, host=queue.host, path=queue.prefix)
    reply = await controllers.leader.service.answer(request)
    assert isinstance(reply, WaitingJobs)
    return reply.count


class GivenNamesTest(unittest.TestCase):
    @with_controllers()
    async def test_job_does_not_move_to_a_queue_that_gets_the_name_of_its_own(
        self, controllers: Controllers
    ) -> None:
        """ROUTE (review 10): its next step ran on workers of that queue's service."""
        await controllers.submit("j")
        service = controllers.leader.service
        await service.put_configuration(make_configuration(2, SAME_NAME))
        serving = await find_serving(controllers, "j")
        self.assertEqual((serving.host, serving.prefix), (QUEUE.host, QUEUE.prefix))
        self.assertEqual(serving.service, QUEUE.service)
        self.assertEqual(serving.priority, QUEUE.priority)
        self.assertEqual(serving.max_attempts, QUEUE.max_attempts)
        self.assertEqual(await count_waiting(controllers, SAME_NAME), 0)

    @with_controllers()
    async def test_job_follows_its_queue_beside_another_one_with_its_name(
        self, controllers: Controllers
    ) -> None:
        await controllers.submit("j")
        service = controllers.leader.service
        await service.put_configuration(make_configuration(2, SAME_NAME, MOVED))
        serving = await find_serving(controllers, "j")
        self.assertEqual(serving.service, MOVED.service)
        self.assertEqual(await count_waiting(controllers, MOVED), 1)
        self.assertEqual(await count_waiting(controllers, SAME_NAME), 0)

    @with_controllers()
    async def test_queues_that_share_a_name_do_not_share_a_service(
        self, controllers: Controllers
    ) -> None:
        service = controllers.leader.service
        await service.put_configuration(make_configuration(2, SAME_NAME, QUEUE))
        await controllers.submit("j")
        serving = await find_serving(controllers, "j")
        self.assertEqual(serving.service, QUEUE.service)
        self.assertEqual(await count_waiting(controllers, SAME_NAME), 0)


class IdentityTest(unittest.TestCase):
    def test_different_hosts_and_prefixes_have_different_identities(self) -> None:
        pairs = (("a b", "c"), ("a", "b c"), ("a", " b c"), ("a%20b", "c"), ("", "a"))
        identities = {identify_queue(host, prefix) for host, prefix in pairs}
        self.assertEqual(len(identities), len(pairs))


class EarlierVersionsTest(unittest.TestCase):
    """A log that an earlier version wrote, whose queues have the operators' names."""

    def setUp(self) -> None:
        self.log = Log()
        self.log.apply(PutConfiguration(configuration=make_configuration(1, QUEUE)))
        submission = JobSubmission(payload="p", steps=(Step(),))
        self.log.apply(
            AcceptJob(job=JobId("j"), queue=QUEUE.name, submission=submission)
        )

    def find_service(self) -> ServiceName | None:
        state = self.log.state
        queue = state.find_serving_queue(state.jobs[JobId("j")].queue)
        return None if queue is None else queue.service

    def configure(self, version: int, *queues: Queue) -> None:
        configuration = identify_queues(make_configuration(version, *queues))
        self.log.apply(PutConfiguration(configuration=configuration))

    def test_job_of_an_earlier_version_is_not_served_under_a_name_given_again(
        self,
    ) -> None:
        self.configure(2, SAME_NAME)
        self.assertEqual(self.find_service(), QUEUE.service)
        self.log.restart()
        self.configure(3, SAME_NAME, MOVED)
        self.assertEqual(self.find_service(), MOVED.service)

    def test_earlier_version_reads_the_queues_of_this_one(self) -> None:
        """It applies the same functions to the names, and so comes to the same."""
        self.configure(2, SAME_NAME)
        state = msgspec.to_builtins(self.log.state)
        for queue in state["configuration"]["queues"]:
            self.assertLessEqual(queue.keys(), EARLIER_QUEUE_FIELDS)
        self.assertEqual(list(state["former_queues"]), [QUEUE.name])


if __name__ == "__main__":
    unittest.main()
