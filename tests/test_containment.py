"""Tests that an error costs one unit of work, at a leader with stand-in workers."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import Any
from unittest import mock

import trio

from rhubarbfield.leadercalls import Unavailable
from rhubarbfield.scheduling import appliers
from rhubarbfield.scheduling.availability import WorkerAvailability
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.digests import DigestSender
from rhubarbfield.scheduling.heartbeats import HeartbeatDigest, Sighting
from rhubarbfield.scheduling.housekeeping import Housekeeping
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import JobPhase, JobSubmission, Step
from rhubarbfield.scheduling.placing import Placer
from rhubarbfield.scheduling.registry import SessionRegistry
from rhubarbfield.scheduling.requests import Accepted, JobReply, JobRequest, JobVerb
from rhubarbfield.scheduling.service import SchedulingService
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.terminations import Terminations
from rhubarbfield.types import WorkerId
from tests.replication.determinism import expect_contained_errors
from tests.scheduling.controllers import Controllers, report, with_controllers
from tests.scheduling.deployments import (
    ONE_CORE,
    QUEUE,
    Deployment,
    count_runs_at_once,
    with_deployment,
)

LOGGER = "rhubarbfield.containment"


def list_failures(logs: Any) -> list[dict[str, Any]]:
    """Return the fields of the lines about contained errors."""
    return [vars(record)["rhubarbfield_ids"] for record in logs.records]


async def submit(service: SchedulingService, job: str) -> JobReply:
    submission = JobSubmission(payload="p", steps=(Step(demand=ONE_CORE),))
    path = f"{QUEUE.prefix}{job}"
    return await service.answer(
        JobRequest(
            verb=JobVerb.SUBMIT, host=QUEUE.host, path=path, submission=submission
        )
    )


class ContainmentCase(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(expect_contained_errors())


class RequestTest(ContainmentCase):
    @with_deployment()
    async def test_request_that_raises_gets_its_true_answer(
        self, deployment: Deployment
    ) -> None:
        """It got no reply, and its caller 504 although nothing was done."""
        service = SchedulingService(deployment.log, lambda: None, deployment.clock)
        for name, in_doubt in (("_admission", False), ("_propose", True)):
            with (
                mock.patch.object(service, name, None),
                self.assertLogs(LOGGER, "ERROR") as logs,
            ):
                reply = await submit(service, "j")
            assert isinstance(reply, Unavailable)
            self.assertEqual(reply.in_doubt, in_doubt)
            (failure,) = list_failures(logs)
            self.assertEqual(failure["unit"], "request")
            self.assertIn("scheduling/service.py", failure["place"])
            self.assertIn("j", (failure.get("job"), failure.get("path", "")[-1:]))
        self.assertEqual(await submit(service, "j"), Accepted())


class HeartbeatTest(ContainmentCase):
    @with_controllers()
    async def test_heartbeat_that_raises_is_not_acknowledged(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        failing = mock.patch.object(
            SchedulingLeader, "handle_heartbeat", side_effect=RuntimeError
        )
        # At a follower the leader is asked.
        for controller in (controllers.leader, controllers.followers[0]):
            with failing, self.assertLogs(LOGGER, "ERROR") as logs:
                self.assertIs(await report(controller, worker), False)
            (failure,) = list_failures(logs)
            self.assertEqual((failure["unit"], failure["worker"]), ("heartbeat", "w1"))
        self.assertIs(await report(controllers.leader, worker), True)

    @with_controllers()
    async def test_digest_that_raises_does_not_end_the_controller(
        self, controllers: Controllers
    ) -> None:
        worker = controllers.add_worker("w1")
        failing = mock.patch.object(DigestSender, "send", side_effect=RuntimeError)
        with failing, self.assertLogs(LOGGER, "ERROR") as logs:
            await trio.sleep(2)
        failures = {(each["unit"], each["activity"]) for each in list_failures(logs)}
        self.assertEqual(failures, {("activity", "digests")})
        await trio.sleep(2)
        self.assertIs(await report(controllers.followers[0], worker), True)

    @with_deployment()
    async def test_sighting_that_raises_costs_no_other(
        self, deployment: Deployment
    ) -> None:
        for name in ("w1", "w2"):
            deployment.add_worker(name)
        seen: list[WorkerId] = []

        def record(_: SessionRegistry, sighting: Sighting) -> None:
            if sighting.worker == "w1":
                raise RuntimeError("told to fail")
            seen.append(sighting.worker)

        async with deployment.lead() as leader:
            await trio.sleep(2)
            digest = HeartbeatDigest(
                tuple(
                    Sighting(WorkerId(name), 9, None, timedelta())
                    for name in ("w1", "w2")
                )
            )
            with (
                mock.patch.object(SessionRegistry, "record_sighting", record),
                self.assertLogs(LOGGER, "ERROR"),
            ):
                self.assertEqual(leader.handle_digest(digest), ())
        self.assertEqual(seen, ["w2"])


class LeaderTest(ContainmentCase):
    async def check_work_goes_on(self, deployment: Deployment) -> None:
        name = f"ordinary-{len(deployment.state.jobs)}"
        await deployment.submit(name, Step(demand=ONE_CORE))
        await trio.sleep(5)
        self.assertIs(deployment.get_job(name).phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_job_that_raises_in_rounds_keeps_no_other_from_a_worker(
        self, deployment: Deployment
    ) -> None:
        """Any such error ended the leader, and the next one in its first round."""
        deployment.add_worker("w1")
        for owner, name in (
            (Backlog, "rank"),
            (Backlog, "find_outlook"),
            (Placer, "_place_step"),
        ):
            work = getattr(owner, name)

            def fail_for_odd(
                self: Any, first: Any, *rest: Any, _work: Any = work
            ) -> Any:
                if getattr(first.job, "job", first.job).startswith("odd"):
                    raise RuntimeError("told to fail")
                return _work(self, first, *rest)

            with (
                mock.patch.object(owner, name, fail_for_odd),
                self.assertLogs(LOGGER, "ERROR") as logs,
            ):
                async with deployment.lead():
                    await deployment.submit(f"odd-{name}", Step(demand=ONE_CORE))
                    await self.check_work_goes_on(deployment)
            failure = list_failures(logs)[0]
            expected = ("job", f"odd-{name}")
            if name == "find_outlook":
                expected = ("activity", None)
            self.assertEqual((failure["unit"], failure.get("job")), expected)
            await deployment.cancel(f"odd-{name}")

    @with_deployment()
    async def test_activity_of_the_leader_goes_on_after_an_error(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1")
        for owner, name in (
            (WorkerAvailability, "measure_all"),
            (Housekeeping, "update_records"),
            (Terminations, "stop_obsolete"),
        ):
            failing = mock.patch.object(owner, name, side_effect=RuntimeError)
            async with deployment.lead():
                with failing, self.assertLogs(LOGGER, "ERROR") as logs:
                    await deployment.submit(f"{name}-before", Step(demand=ONE_CORE))
                    await trio.sleep(2)
                await self.check_work_goes_on(deployment)
            self.assertEqual(list_failures(logs)[0]["unit"], "activity", name)

    @with_deployment()
    async def test_session_that_raises_is_opened_again(
        self, deployment: Deployment
    ) -> None:
        """One worker's data ended the calls to all others, and the leader."""
        deployment.add_worker("w1")
        deployment.add_worker("w2")
        failing = mock.patch.object(WorkerSession, "_apply_view", side_effect=TypeError)
        async with deployment.lead():
            with failing, self.assertLogs(LOGGER, "ERROR") as logs:
                await deployment.submit("j", Step(tasks=20, demand=ONE_CORE))
                await trio.sleep(3)
            failed = {each["worker"] for each in list_failures(logs)}
            self.assertEqual(failed, {"w1", "w2"})
            await trio.sleep(20)
            self.assertIs(deployment.get_job("j").phase, JobPhase.COMPLETED)
            self.assertLessEqual(count_runs_at_once(deployment), 1)

    @with_deployment()
    async def test_session_that_cannot_be_opened_costs_no_other(
        self, deployment: Deployment
    ) -> None:
        work = SessionRegistry._open

        def fail_for_odd(self: Any, worker: Any, nursery: Any) -> None:
            if worker.worker == "odd":
                raise RuntimeError("told to fail")
            work(self, worker, nursery)

        async with deployment.lead():
            with (
                mock.patch.object(SessionRegistry, "_open", fail_for_odd),
                self.assertLogs(LOGGER, "ERROR"),
            ):
                deployment.add_worker("odd")
                await trio.sleep(3)
            # The worker itself is called once its session can be opened.
            await self.check_work_goes_on(deployment)

    @with_deployment()
    async def test_crash_that_cannot_be_recorded_costs_no_other(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        deployment.fleet.restart_delay = timedelta(seconds=0.1)
        work = appliers._record_crash

        def fail_for_odd(state: Any, crashed: Any) -> None:
            if crashed.task.startswith("odd"):
                raise RuntimeError("told to fail")
            work(state, crashed)

        async with deployment.lead():
            with (
                mock.patch.object(appliers, "_record_crash", fail_for_odd),
                self.assertLogs(LOGGER, "ERROR"),
            ):
                for name in ("odd", "ordinary"):
                    await deployment.submit(name, Step(demand=ONE_CORE, standing=True))
                await trio.sleep(0.2)
                deployment.fleet.crash(worker)
                await trio.sleep(3)
            restarted = deployment.fleet.find_latest(worker)
            self.assertIn("ordinary.0.0.0", restarted.runs)


if __name__ == "__main__":
    unittest.main()
