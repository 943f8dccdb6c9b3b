"""Tests that an error costs one unit of work, at a leader with stand-in workers."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import Any
from unittest import mock

import trio

from rhubarbfield.leadercalls import Unavailable
from rhubarbfield.scheduling.heartbeats import HeartbeatDigest, Sighting
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import JobSubmission, Step
from rhubarbfield.scheduling.registry import SessionRegistry
from rhubarbfield.scheduling.requests import Accepted, JobReply, JobRequest, JobVerb
from rhubarbfield.scheduling.service import SchedulingService
from rhubarbfield.types import WorkerId
from tests.scheduling.controllers import Controllers, report, with_controllers
from tests.scheduling.deployments import ONE_CORE, QUEUE, Deployment, with_deployment

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


class RequestTest(unittest.TestCase):
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


class HeartbeatTest(unittest.TestCase):
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


if __name__ == "__main__":
    unittest.main()
