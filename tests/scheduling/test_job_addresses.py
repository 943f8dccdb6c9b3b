"""Tests that a job is read and cancelled where it was accepted, without its route."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.clock import TrioClock
from rhubarbfield.scheduling.commands import AcceptJob, PutConfiguration
from rhubarbfield.scheduling.former_queues import KEPT_CONFIGURATIONS
from rhubarbfield.scheduling.gateway import Gateway, Undecided
from rhubarbfield.scheduling.job_addresses import find_job_at
from rhubarbfield.scheduling.model import (
    JobPhase,
    JobSubmission,
    Queue,
    QueueName,
    Step,
    identify_queues,
)
from rhubarbfield.scheduling.requests import (
    Accepted,
    BadJob,
    JobReply,
    JobRequest,
    JobStatus,
    JobVerb,
    NoSuchJob,
    NoSuchQueue,
    WaitingJobs,
)
from rhubarbfield.testing.memory_transport import MemoryTransport
from rhubarbfield.types import JobId, ServiceName
from tests.scheduling.controllers import (
    SETTLING_SECONDS,
    Controllers,
    make_settings,
    with_controllers,
)
from tests.scheduling.deployments import QUEUE
from tests.scheduling.test_appliers import Log
from tests.scheduling.test_queue_identity import make_configuration

CALLER_TIMEOUT = timedelta(seconds=3)
JOB = "5c0e7a21d94b36f8"
SUBMISSION = JobSubmission(payload="p", steps=(Step(),))
UNRELATED = msgspec.structs.replace(
    QUEUE, name=QueueName("unrelated"), host="other", prefix="/other/"
)
OTHER_SERVICE = msgspec.structs.replace(QUEUE, service=ServiceName("t"))
RENAMED = msgspec.structs.replace(QUEUE, name=QueueName("renamed"))
LONGER = msgspec.structs.replace(
    QUEUE, name=QueueName("longer"), prefix=f"{QUEUE.prefix}{JOB[:4]}"
)
SHORTER = msgspec.structs.replace(QUEUE, name=QueueName("shorter"), prefix="/")
NAME_GIVEN_ON = msgspec.structs.replace(QUEUE, host="other", prefix="/other/")
# What becomes of the route of an accepted job.
CHANGES: dict[str, tuple[Queue, ...]] = {
    "removed": (UNRELATED,),
    "all removed": (),
    "given to another service": (OTHER_SERVICE,),
    "under another name": (RENAMED,),
    "shadowed by a longer prefix": (QUEUE, LONGER),
    "replaced by a longer prefix": (LONGER,),
    "a shorter prefix left behind": (SHORTER,),
    "its name given to another route": (NAME_GIVEN_ON,),
}


class Caller:
    """Sends requests through an entry."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def request(
        self, verb: JobVerb, path: str = f"{QUEUE.prefix}{JOB}"
    ) -> JobReply | Undecided:
        submission = SUBMISSION if verb is JobVerb.SUBMIT else None
        request = JobRequest(
            verb=verb,
            host=QUEUE.host,
            path=path,
            submission=submission,
            knows_rejection=True,
        )
        return await self._gateway.forward(request, CALLER_TIMEOUT)


@asynccontextmanager
async def open_entry(controllers: Controllers) -> AsyncIterator[Caller]:
    """Run an entry in the block, and yield a caller of it."""
    transport = MemoryTransport(controllers.network, "e1")
    gateway = Gateway(make_settings("e1"), transport, TrioClock())
    async with trio.open_nursery() as nursery:
        await nursery.start(gateway.run)
        yield Caller(gateway)
        nursery.cancel_scope.cancel()


class GoneRoutesTest(unittest.TestCase):
    """Requests for an accepted job after its route was changed."""

    def test_job_is_read_and_cancelled_whatever_became_of_its_route(self) -> None:
        """LOST: they were answered 404 or 400, while the job ran to its end."""
        for change, queues in CHANGES.items():
            for changes_leader in (False, True):
                with self.subTest(change=change, changes_leader=changes_leader):
                    self.check_change(queues, changes_leader=changes_leader)

    def check_change(self, queues: tuple[Queue, ...], *, changes_leader: bool) -> None:
        @with_controllers()
        async def check(_: object, controllers: Controllers) -> None:
            async with open_entry(controllers) as caller:
                accepted = await caller.request(JobVerb.SUBMIT)
                self.assertEqual(accepted, Accepted())
                service = controllers.leader.service
                await service.put_configuration(make_configuration(2, *queues))
                if changes_leader:
                    controllers.cut_off(controllers.leader)
                    await trio.sleep(SETTLING_SECONDS)
                status = await caller.request(JobVerb.READ)
                self.assertEqual(status, JobStatus(JobPhase.QUEUED))
                cancelled = await caller.request(JobVerb.CANCEL)
                self.assertEqual(cancelled, Accepted())
                status = await caller.request(JobVerb.READ)
                self.assertEqual(status, JobStatus(JobPhase.CANCELLED))

        check(self)

    @with_controllers()
    async def test_configuration_in_force_alone_decides_the_rest(
        self, controllers: Controllers
    ) -> None:
        """CONFIG: a removed route is not run, counted, or asked for other jobs."""
        async with open_entry(controllers) as caller:
            await caller.request(JobVerb.SUBMIT)
            service = controllers.leader.service
            await service.put_configuration(make_configuration(2, UNRELATED))
            for verb, path in (
                (JobVerb.SUBMIT, f"{QUEUE.prefix}{JOB}"),
                (JobVerb.SUBMIT, f"{QUEUE.prefix}new"),
                (JobVerb.READ, QUEUE.prefix),
                (JobVerb.READ, f"{QUEUE.prefix}new"),
                (JobVerb.CANCEL, f"{QUEUE.prefix}new"),
                (JobVerb.READ, f"/another/{JOB}"),
                (JobVerb.READ, f"{QUEUE.prefix}{JOB}/more"),
                (JobVerb.READ, f"{QUEUE.prefix[:-1]}{JOB}"),
            ):
                with self.subTest(verb=verb, path=path):
                    self.assertEqual(await caller.request(verb, path), NoSuchQueue())

    @with_controllers()
    async def test_answers_for_ids_that_are_not_held_are_those_of_the_route(
        self, controllers: Controllers
    ) -> None:
        async with open_entry(controllers) as caller:
            await caller.request(JobVerb.SUBMIT)
            read = await caller.request(JobVerb.READ, f"{QUEUE.prefix}new")
            self.assertEqual(read, NoSuchJob())
            invalid = await caller.request(JobVerb.READ, f"{QUEUE.prefix}no.id")
            self.assertIsInstance(invalid, BadJob)
            counted = await caller.request(JobVerb.READ, QUEUE.prefix)
            self.assertEqual(counted, WaitingJobs(1))


class AddressesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = Log()
        self.version = 0

    def configure(self, *queues: Queue, is_identified: bool = True) -> None:
        self.version += 1
        configuration = make_configuration(self.version, *queues)
        if is_identified:
            configuration = identify_queues(configuration)
        self.log.apply(PutConfiguration(configuration=configuration))

    def accept(self, job: str) -> None:
        """Accept a job by the first queue of the configuration in force."""
        configuration = self.log.state.configuration
        assert configuration is not None
        queue = configuration.queues[0].name
        command = AcceptJob(job=JobId(job), queue=queue, submission=SUBMISSION)
        self.log.apply(command)

    def find(self, path: str, host: str = QUEUE.host) -> str | None:
        job = find_job_at(self.log.state, host, path)
        return None if job is None else job.job

    def test_prefix_without_a_slash_is_a_part_of_the_path(self) -> None:
        self.configure(msgspec.structs.replace(QUEUE, prefix="/q"))
        self.accept("j")
        self.configure(UNRELATED)
        for path in ("/qj", "/q/j", "/q/j/"):
            self.assertEqual(self.find(path), "j")
        self.assertIsNone(self.find("/j"))
        self.assertIsNone(self.find("/q/j", host="elsewhere"))

    def test_longest_prefix_takes_precedence(self) -> None:
        self.configure(msgspec.structs.replace(QUEUE, prefix="/q/"))
        self.accept("x1")
        self.configure(msgspec.structs.replace(QUEUE, prefix="/q/x"))
        self.accept("1")
        self.assertEqual(self.find("/q/x1"), "1")

    def test_host_with_special_characters_is_found(self) -> None:
        queue = msgspec.structs.replace(QUEUE, host="a b%20[::1]", prefix="/q q/")
        self.configure(queue)
        self.accept("j")
        self.forget_queue()
        self.assertEqual(self.find("/q q/j", host=queue.host), "j")

    def test_ended_job_is_found_after_its_queue_was_forgotten(self) -> None:
        self.configure(QUEUE)
        self.accept("j")
        self.log.state.jobs[JobId("j")].phase = JobPhase.COMPLETED
        self.forget_queue()
        self.assertEqual(self.log.state.former_queues.keys() & {"q", "h /q/"}, set())
        self.assertEqual(self.find("/q/j"), "j")

    def test_open_job_that_an_earlier_version_accepted_is_found(self) -> None:
        """It knows the operators' name of its queue."""
        self.configure(QUEUE, is_identified=False)
        self.accept("j")
        self.forget_queue()
        self.log.restart()
        self.assertEqual(self.find("/q/j"), "j")

    def forget_queue(self) -> None:
        for _ in range(KEPT_CONFIGURATIONS + 1):
            self.configure(UNRELATED)


if __name__ == "__main__":
    unittest.main()
