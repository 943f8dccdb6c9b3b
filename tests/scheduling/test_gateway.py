"""Tests of the answers of an entry while controllers are busy or change leaders."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from datetime import timedelta
from typing import cast

import trio
from returns.result import Success

from rhubarbfield.clock import TrioClock
from rhubarbfield.groups import NotLeading, Unavailable
from rhubarbfield.leadercalls import NotAdmitted
from rhubarbfield.peering import Transport
from rhubarbfield.scheduling.deployment import DeploymentSettings, WorkerTimes
from rhubarbfield.scheduling.gateway import Gateway, Undecided
from rhubarbfield.scheduling.model import JobPhase, JobSubmission, Step
from rhubarbfield.scheduling.requests import (
    Accepted,
    BadJob,
    JobReply,
    JobRequest,
    JobStatus,
    JobVerb,
    NoSuchJob,
    NoSuchQueue,
    NotConfigured,
    Ready,
    WaitingJobs,
)
from rhubarbfield.types import InstanceName
from tests.leadercalls.members import Members
from tests.protocol.test_leaders import TIMED_OUT, Reply, ScriptedTransport
from tests.replication.determinism import (
    expect_contained_errors,
    run_deterministic,
)

SETTINGS = DeploymentSettings(
    instance="e1",
    failure_domain="z",
    host="e1",
    peer_port=2,
    seeds=("c1:1", "c2:1", "c3:1"),
    workers=WorkerTimes(report_ms=500, longest_lease_ms=6000),
)
CALLER_TIMEOUT = timedelta(seconds=3)
GAP_SECONDS = 2.0  # without a leader
REQUESTS = 100
SILENCE_SECONDS = 1.0  # a silent connection is given up, and another opened
REFUSALS: tuple[JobReply, ...] = (
    NoSuchQueue(),
    BadJob("submitted with other content"),
    NotAdmitted("no capacity", timedelta(seconds=1)),
    NotConfigured(),
    NoSuchJob(),
    WaitingJobs(1),
)
MAX_CALLS_EACH = 8  # a search of 0.6 s, and a share of the probes


def answer_during_gap(reply: JobReply) -> Callable[[str, int], Reply]:
    """Return answers of controllers that have no leader at first."""

    def answer(_host: str, _number: int) -> Reply:
        has_leader = trio.current_time() >= GAP_SECONDS
        return Success(reply if has_leader else NotLeading())

    return answer


class GatewayTest(unittest.TestCase):
    def forward(
        self,
        verb: JobVerb,
        answer: Callable[[str, int], Reply],
        timeout: timedelta = CALLER_TIMEOUT,
    ) -> tuple[JobReply | Undecided, float]:
        submission = JobSubmission(payload="", steps=(Step(),))
        request = JobRequest(
            verb=verb,
            host="h",
            path="/q/j",
            submission=submission if verb is JobVerb.SUBMIT else None,
        )

        async def body() -> tuple[JobReply | Undecided, float]:
            transport = cast(Transport, ScriptedTransport(answer))
            gateway = Gateway(SETTINGS, transport, TrioClock())
            async with trio.open_nursery() as nursery:
                await nursery.start(gateway.run)
                began = trio.current_time()
                reply = await gateway.forward(request, timeout)
                took = trio.current_time() - began
                nursery.cancel_scope.cancel()
            return reply, took

        return run_deterministic(body, seed=1)

    def test_cancel_waits_for_the_next_leader(self) -> None:
        reply, _ = self.forward(JobVerb.CANCEL, answer_during_gap(Accepted()))
        self.assertEqual(reply, Accepted())

    def test_read_waits_for_the_next_leader(self) -> None:
        status = JobStatus(JobPhase.RUNNING)
        reply, _ = self.forward(JobVerb.READ, answer_during_gap(status))
        self.assertEqual(reply, status)

    def test_an_entry_whose_requests_are_answered_does_not_probe(self) -> None:
        """Each entry probed each second, which cost the leader as much as requests."""
        requests = 50

        async def body() -> int:
            transport = ScriptedTransport(lambda _host, _number: Success(Accepted()))
            gateway = Gateway(SETTINGS, cast(Transport, transport), TrioClock())
            request = JobRequest(verb=JobVerb.READ, host="h", path="/q/j")
            async with trio.open_nursery() as nursery:
                await nursery.start(gateway.run)
                for _ in range(requests):
                    await gateway.forward(request, CALLER_TIMEOUT)
                    await trio.sleep(0.2)
                    self.assertTrue(gateway.is_ready)
                probes = len(transport.called_hosts) - requests
                await trio.sleep(10)
                self.assertTrue(gateway.is_ready)
                self.assertGreaterEqual(len(transport.called_hosts) - requests, 9)
                nursery.cancel_scope.cancel()
            return probes

        self.assertLessEqual(run_deterministic(body, seed=1), 1)

    def test_probe_that_raises_does_not_end_the_entry(self) -> None:
        def answer(_host: str, number: int) -> Reply:
            if number == 1:
                raise RuntimeError("probe")
            return Success(Ready())

        async def body() -> bool:
            transport = cast(Transport, ScriptedTransport(answer))
            gateway = Gateway(SETTINGS, transport, TrioClock())
            async with trio.open_nursery() as nursery:
                await nursery.start(gateway.run)
                await trio.sleep(3)
                nursery.cancel_scope.cancel()
            return gateway.is_ready

        with expect_contained_errors():
            self.assertTrue(run_deterministic(body, seed=1))

    def test_requests_that_wait_for_a_leader_do_not_flood_the_controllers(self) -> None:
        """The controllers need their time to elect a leader."""
        calls = 0

        def answer(_host: str, _number: int) -> Reply:
            nonlocal calls
            calls += 1
            return Success(NotLeading())

        async def body() -> None:
            transport = cast(Transport, ScriptedTransport(answer))
            gateway = Gateway(SETTINGS, transport, TrioClock())
            request = JobRequest(verb=JobVerb.READ, host="h", path="/q/j")
            async with trio.open_nursery() as nursery:
                await nursery.start(gateway.run)
                async with trio.open_nursery() as requests:
                    for _ in range(REQUESTS):
                        requests.start_soon(gateway.forward, request, CALLER_TIMEOUT)
                nursery.cancel_scope.cancel()

        run_deterministic(body, seed=1)
        self.assertLess(calls, REQUESTS * MAX_CALLS_EACH)

    def test_submission_that_nobody_takes_is_refused_early(self) -> None:
        reply, took = self.forward(JobVerb.SUBMIT, answer_during_gap(Accepted()))
        assert isinstance(reply, Undecided)
        self.assertFalse(reply.in_doubt)
        self.assertLess(took, 0.8)

    def test_cancel_without_any_leader_is_answered_before_the_caller_gives_up(
        self,
    ) -> None:
        reply, took = self.forward(JobVerb.CANCEL, lambda *_: Success(NotLeading()))
        assert isinstance(reply, Undecided)
        self.assertGreater(took, 2.5)
        self.assertLess(took, 2.9)

    def test_cancel_with_a_short_deadline_is_tried(self) -> None:
        reply, took = self.forward(
            JobVerb.CANCEL,
            lambda *_: Success(Accepted()),
            timeout=timedelta(milliseconds=200),
        )
        self.assertEqual(reply, Accepted())
        self.assertLess(took, 0.1)

    def test_cancel_in_doubt_is_repeated_until_it_is_decided(self) -> None:
        def answer(_host: str, number: int) -> Reply:
            if number == 1:
                return TIMED_OUT
            late = Success(Unavailable("late", in_doubt=True))
            return late if trio.current_time() < GAP_SECONDS else Success(Accepted())

        reply, _ = self.forward(JobVerb.CANCEL, answer)
        self.assertEqual(reply, Accepted())

    def test_rejected_submission_is_answered_at_once(self) -> None:
        rejected = NotAdmitted("no capacity", timedelta(seconds=10))
        reply, took = self.forward(JobVerb.SUBMIT, lambda *_: Success(rejected))
        self.assertEqual(reply, rejected)
        self.assertLess(took, 0.1)

    def test_submission_in_doubt_is_not_reported_as_rejected(self) -> None:
        """The attempt that got no answer may still be committed."""

        def answer(_host: str, number: int) -> Reply:
            if number <= 2:  # the first is a probe
                return TIMED_OUT
            return Success(NotAdmitted("no capacity", timedelta(seconds=10)))

        reply, _ = self.forward(JobVerb.SUBMIT, answer)
        assert isinstance(reply, Undecided)
        self.assertTrue(reply.in_doubt)

    def test_entry_finds_the_next_leader_while_the_former_is_dark(self) -> None:
        """Each probe ended while a connection to the leader was being opened."""
        members = Members("c3", Ready())
        members.connect_times["c2"] = timedelta(milliseconds=300)
        unready = 0

        async def body() -> None:
            nonlocal unready
            gateway = Gateway(SETTINGS, cast(Transport, members), TrioClock())
            async with trio.open_nursery() as nursery:
                await nursery.start(gateway.run)
                await trio.sleep(5)
                self.assertTrue(gateway.is_ready)
                members.dark.add("c3")
                members.leader = InstanceName("c2")
                for _ in range(30):
                    await trio.sleep(1)
                    unready += not gateway.is_ready
                nursery.cancel_scope.cancel()

        run_deterministic(body, seed=1)
        self.assertLessEqual(unready, 2)

    def test_slow_leader_is_waited_for_as_long_as_the_caller_waits(self) -> None:
        """Each attempt was abandoned, with its connection, before the reply came."""
        status = JobStatus(JobPhase.RUNNING)
        members = Members("c2", status)
        members.connect_times["c2"] = timedelta(milliseconds=500)
        members.reply_times["c2"] = timedelta(milliseconds=500)
        request = JobRequest(verb=JobVerb.READ, host="h", path="/q/j")
        replies: list[JobReply | Undecided] = []
        connections: list[int] = []

        async def body() -> None:
            gateway = Gateway(SETTINGS, cast(Transport, members), TrioClock())
            async with trio.open_nursery() as nursery:
                await nursery.start(gateway.run)
                for _ in range(6):
                    replies.append(await gateway.forward(request, CALLER_TIMEOUT))
                    await trio.sleep(3)
                    connections.append(members.connections["c2"])
                nursery.cancel_scope.cancel()

        run_deterministic(body, seed=1)
        self.assertEqual(replies, [status] * 6)
        self.assertEqual(connections[0], connections[-1])


class AttemptsInDoubtTest(unittest.TestCase):
    """The answer of a call with an attempt whose connection fell silent."""

    def forward(
        self, verb: JobVerb, reply: JobReply, *, is_silent: bool = True
    ) -> tuple[JobReply | Undecided, float]:
        request = JobRequest(verb=verb, host="h", path="/q/j", knows_rejection=True)

        async def body() -> tuple[JobReply | Undecided, float]:
            members = Members("c1", Accepted())
            gateway = Gateway(SETTINGS, cast(Transport, members), TrioClock())
            await gateway.forward(request, CALLER_TIMEOUT)
            if is_silent:
                members.silence("c1")
            members.reply = reply
            began = trio.current_time()
            answer = await gateway.forward(request, CALLER_TIMEOUT)
            return answer, trio.current_time() - began

        return run_deterministic(body, seed=1)

    def test_submission_that_may_be_stored_is_not_answered_as_refused(self) -> None:
        """REFUSED (review 9): 404 for a job that an earlier attempt had stored."""
        for reply in REFUSALS:
            with self.subTest(reply=reply):
                answer, _ = self.forward(JobVerb.SUBMIT, reply)
                assert isinstance(answer, Undecided)
                self.assertTrue(answer.in_doubt)

    def test_cancel_that_may_take_effect_is_not_answered_as_refused(self) -> None:
        for reply in (NoSuchQueue(), BadJob("no job id"), NotConfigured()):
            with self.subTest(reply=reply):
                answer, _ = self.forward(JobVerb.CANCEL, reply)
                assert isinstance(answer, Undecided)
                self.assertTrue(answer.in_doubt)

    def test_confirmations_and_reads_are_answered_at_once(self) -> None:
        for verb, reply in (
            (JobVerb.SUBMIT, Accepted()),
            (JobVerb.CANCEL, Accepted()),
            (JobVerb.CANCEL, NoSuchJob()),
            (JobVerb.READ, NoSuchQueue()),
            (JobVerb.READ, NoSuchJob()),
            (JobVerb.READ, JobStatus(JobPhase.RUNNING)),
        ):
            with self.subTest(verb=verb, reply=reply):
                answer, took = self.forward(verb, reply)
                self.assertEqual(answer, reply)
                self.assertLess(took, SILENCE_SECONDS)

    def test_refusal_of_the_only_attempt_is_answered_at_once(self) -> None:
        for reply in REFUSALS:
            with self.subTest(reply=reply):
                answer, took = self.forward(JobVerb.SUBMIT, reply, is_silent=False)
                self.assertEqual(answer, reply)
                self.assertLess(took, 0.1)


if __name__ == "__main__":
    unittest.main()
