"""Tests of the terms of a lease, each at its limit.

A lease that counts as lapsed while it lasts lets a task run twice.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from datetime import timedelta
from typing import cast
from unittest.mock import patch

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from rhubarbfield.clock import ManualClock, VirtualClock
from rhubarbfield.peering import CallFailure, CallFailureKind
from rhubarbfield.scheduling.contact import RECENT_REPLY, WorkerContact
from rhubarbfield.scheduling.deployment import DEFAULT_LEASE
from rhubarbfield.scheduling.digests import DigestSender
from rhubarbfield.scheduling.heartbeats import (
    DigestHandled,
    Heartbeat,
    HeartbeatDigest,
    HeartbeatReply,
    HeartbeatRequest,
)
from rhubarbfield.scheduling.leases import LATENCY_SLACK, WorkerLease
from rhubarbfield.scheduling.ledger import OrderLedger
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.ports import StartOrder, ViewRequest, WorkerAddress
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.types import InstanceName, Term, WorkerId
from tests.scheduling import deployments
from tests.scheduling.deployments import (
    ONE_CORE,
    Deployment,
    count_runs_at_once,
    with_deployment,
)
from tests.scheduling.losses import DRIFT, SETTINGS, SkewedWorker, add_workers
from tests.scheduling.test_appliers import WORKERS, make_report
from tests.scheduling.test_leases import START, WorkerClock

SLOWEST = 1 - DRIFT
# Longest leases of the users' sites, by name.
LONGEST = {
    "muestrario-plata": timedelta(seconds=10),
    "ferramentoteca": timedelta(seconds=6),
}
MARGIN = LATENCY_SLACK / 2
SUSPENDED = timedelta(seconds=5)
LATE_SECONDS = 4.0  # an order without a reply is carried out after that
WATCH_SECONDS = 0.01
LIMIT_SECONDS = 25.0
TASK = "j.0.0.0"


class StoppedClock(ManualClock):
    """The clock of a process that is stopped after some of its readings."""

    def __init__(self, start: timedelta, stops: Iterable[float]) -> None:
        super().__init__(start)
        self._stops = iter(stops)

    def monotonic(self) -> timedelta:
        reading = super().monotonic()
        self.advance(timedelta(seconds=next(self._stops, 0.0)))
        return reading

    def read(self) -> timedelta:
        """Return the time, without a stop."""
        return super().monotonic()


class SuspendableClock(VirtualClock):
    """The clock of a machine that may be suspended, while the loop stands still.

    Attributes
    ----------
    suspended
        For how long it was suspended.
    """

    suspended = timedelta()

    def monotonic(self) -> timedelta:
        return super().monotonic() + self.suspended


class AgeTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(st.floats(0, 1.5), max_size=60),
        st.lists(
            st.tuples(st.floats(0, 0.5), st.booleans(), st.floats(0, 1.5)),
            min_size=1,
            max_size=12,
        ),
    )
    def test_age_of_a_heartbeat_is_never_told_too_large(
        self, stops: list[float], steps: list[tuple[float, bool, float]]
    ) -> None:
        """A lease that rests on it would count as lapsed too early."""
        trio.run(self._check_ages, stops, steps)

    async def _check_ages(
        self, stops: list[float], steps: list[tuple[float, bool, float]]
    ) -> None:
        clock = StoppedClock(START, stops)
        received: dict[int, timedelta] = {}
        call_seconds = 0.0

        async def call(
            leader: InstanceName, request: HeartbeatRequest, timeout: timedelta
        ) -> Result[HeartbeatReply, CallFailure]:
            assert isinstance(request, HeartbeatDigest)
            for each in request.sightings:
                # The leader receives it now, or later.
                read_at = clock.read() - each.age
                self.assertGreaterEqual(read_at, received[each.sequence])
            clock.advance(timedelta(seconds=call_seconds))
            if call_seconds > timeout.total_seconds():
                return Failure(CallFailure(CallFailureKind.TIMEOUT, "late"))
            return Success(DigestHandled(()))

        sender = DigestSender(call, clock, InstanceName("a"))
        for sequence, (seconds, is_received, duration) in enumerate(steps):
            call_seconds = duration
            clock.advance(timedelta(seconds=seconds))
            if is_received:
                received[sequence] = clock.read()
                sender.add(Heartbeat(make_report(WORKERS[0]), sequence))
            await sender.send(InstanceName("leader"))

    def test_heartbeat_in_a_repeated_digest_has_its_whole_age(self) -> None:
        trio.run(self._check_repeated)

    async def _check_repeated(self) -> None:
        clock = ManualClock(START)
        ages: list[timedelta] = []

        async def fail(
            leader: InstanceName, request: HeartbeatRequest, timeout: timedelta
        ) -> Result[HeartbeatReply, CallFailure]:
            assert isinstance(request, HeartbeatDigest)
            ages.extend(each.age for each in request.sightings)
            clock.advance(timeout)
            return Failure(CallFailure(CallFailureKind.TIMEOUT, "late"))

        sender = DigestSender(fail, clock, InstanceName("a"))
        sender.add(Heartbeat(make_report(WORKERS[0]), 1))
        clock.advance(timedelta(seconds=0.25))
        for _ in range(3):
            await sender.send(InstanceName("leader"))
        # The third digest would be over a second late.
        self.assertEqual(ages, [timedelta(seconds=0.25), timedelta(seconds=0.95)])


def make_contact(clock: ManualClock, site: str) -> WorkerContact:
    longest = LONGEST[site]
    name = WorkerId("w1")
    return WorkerContact(
        WorkerAddress(name, "w1:1"),
        OrderLedger(name, cast(SessionHost, None)),
        clock=clock,
        settings=SchedulingSettings(
            lease=min(DEFAULT_LEASE, longest), longest_lease=longest
        ),
    )


class ContactTest(unittest.TestCase):
    """Leases on a worker that may carry an order out at any time until its end."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(
        st.sampled_from(list(LONGEST)),
        st.floats(SLOWEST, 1.0),
        st.lists(
            st.tuples(
                st.sampled_from(("reply", "report", "none")),
                st.floats(0, 20),
                st.floats(0, 2),
                st.floats(0, 1),
                st.floats(0, 5),
            ),
            min_size=1,
        ),
    )
    def test_no_leader_counts_an_offered_lease_as_lapsed_before_the_worker_does(
        self,
        site: str,
        rate: float,
        steps: list[tuple[str, float, float, float, float]],
    ) -> None:
        clock = ManualClock(START)
        worker = WorkerClock(clock, rate)
        contact = make_contact(clock, site)
        contact.handle_reply(worker.read())
        ends_at = timedelta()
        for kind, seconds, held_seconds, known_share, stop_seconds in steps:
            clock.advance(timedelta(seconds=seconds))
            reading, held = worker.read(), timedelta(seconds=held_seconds)
            clock.advance(held)
            match kind:
                case "reply":
                    contact.handle_reply(reading)
                case "report":
                    contact.handle_report(reading, held * known_share)
            checked_at = clock.monotonic()
            # The leader is stopped between the check of its term and the order.
            clock.advance(timedelta(seconds=stop_seconds))
            lease_end = contact.offer_lease(checked_at)
            assert lease_end is not None
            ends_at = max(ends_at, worker.find_time(lease_end))
            self.assertGreaterEqual(contact.lease.lapses_at, ends_at)
            later = WorkerLease(clock, contact._settings, checked_at)
            self.assertGreaterEqual(later.lapses_at, ends_at)

    def test_half_of_the_slack_is_left_with_all_terms_at_their_limits(self) -> None:
        for site in LONGEST:
            with self.subTest(site=site):
                clock = ManualClock(START)
                worker = WorkerClock(clock, SLOWEST)
                contact = make_contact(clock, site)
                contact.handle_reply(worker.read())
                clock.advance(RECENT_REPLY)
                offered_at = clock.monotonic()
                lease_end = contact.offer_lease(offered_at)
                assert lease_end is not None
                ends_at = worker.find_time(lease_end)
                own = contact.lease.lapses_at - ends_at
                later = WorkerLease(clock, contact._settings, offered_at)
                self.assertGreaterEqual(own, MARGIN)
                self.assertGreaterEqual(later.lapses_at - ends_at, MARGIN)


class RefusedStartTest(unittest.TestCase):
    """The last order to a worker is a start that does not run, or runs late."""

    @with_deployment()
    async def test_lease_that_a_start_without_room_extended_is_waited_for(
        self, deployment: Deployment
    ) -> None:
        worker = await self._begin(deployment)
        await self._lose(deployment, worker, "room")

    @with_deployment()
    async def test_lease_that_an_old_start_extended_is_waited_for(
        self, deployment: Deployment
    ) -> None:
        worker = await self._begin(deployment)
        await self._lose(deployment, worker, "old")

    @with_deployment()
    async def test_lease_that_a_start_carried_out_late_extends_is_waited_for(
        self, deployment: Deployment
    ) -> None:
        worker = await self._begin(deployment)
        await self._lose(deployment, worker, "late")

    async def _begin(self, deployment: Deployment) -> SkewedWorker:
        deployment.settings = SETTINGS
        (worker,) = add_workers(deployment, ("w1",), SLOWEST)
        return worker

    async def _lose(
        self, deployment: Deployment, worker: SkewedWorker, kind: str
    ) -> None:
        send = deployment.fleet.start
        offered: list[timedelta] = []

        async def start(to: WorkerAddress, order: StartOrder) -> object:
            if not order.task.startswith("k.") or offered:
                return await send(to, order)
            offered.append(order.lease_end)
            match kind:
                case "room":
                    worker.rejected_starts = 1
                case "old":
                    worker._ended_runs[order.task] = order.run
                case "late":
                    deployment.fleet.delayed_starts.append((worker, order))
                    worker.is_unreachable = True
            result = await send(to, order)
            worker.is_unreachable = True
            return result

        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(5)
            self.assertIn(TASK, worker.runs)
            with patch.object(deployment.fleet, "start", start):
                await deployment.submit("k", Step(demand=ONE_CORE))
                while not worker.is_unreachable:
                    await trio.sleep(WATCH_SECONDS)
                if kind == "late":
                    await trio.sleep(LATE_SECONDS)
                    deployment.fleet.deliver_delayed_starts()
                    self.assertEqual(len(worker.runs), 2)
                self.assertEqual(worker.lease_end, offered[0])
                await watch_lapse(self, deployment, worker)


async def watch_lapse(
    case: unittest.TestCase, deployment: Deployment, worker: SkewedWorker
) -> None:
    """Check that the task runs elsewhere, and only once the worker's lease is over."""
    (other,) = add_workers(deployment, ("w2",))
    record = deployment.state.workers[worker.worker]
    with trio.fail_after(LIMIT_SECONDS):
        while record.runs:
            case.assertLessEqual(count_runs_at_once(deployment), 1)
            await trio.sleep(WATCH_SECONDS)
        case.assertGreater(worker.read_clock(), worker.lease_end)
        while TASK not in other.runs:
            case.assertLessEqual(count_runs_at_once(deployment), 1)
            await trio.sleep(WATCH_SECONDS)


class SuspendedLeaderTest(unittest.TestCase):
    """The leader's machine is suspended: its loop stands still, and workers go on."""

    @with_deployment()
    async def test_lease_of_a_lost_worker_is_over_when_it_counts_as_lapsed(
        self, _: Deployment
    ) -> None:
        for seconds in (0.5, 2, 8.5):
            with self.subTest(seconds=seconds):
                deployment, clock = await self._make_deployment()
                (worker,) = add_workers(deployment, ("w1",), SLOWEST)
                async with deployment.lead():
                    await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
                    await trio.sleep(5)
                    worker.is_unreachable = True
                    await trio.sleep(seconds)
                    clock.suspended += SUSPENDED
                    await watch_lapse(self, deployment, worker)

    @with_deployment()
    async def test_lease_counts_from_before_a_suspension_of_the_leader(
        self, _: Deployment
    ) -> None:
        """The next leader may have been elected meanwhile, and counts from then."""
        deployment, clock = await self._make_deployment()
        (worker,) = add_workers(deployment, ("w1",))
        view = deployment.fleet.view
        offered: list[timedelta] = []
        short = timedelta(seconds=0.1)
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(2)
            get_term = leader.get_term

            def suspend_after_check() -> Term | None:
                term = get_term()
                clock.suspended += short
                return term

            async def record_view(to: WorkerAddress, request: ViewRequest) -> object:
                if request.lease_end is not None:
                    offered.append(request.lease_end - worker.read_clock())
                return await view(to, request)

            with (
                patch.object(leader, "get_term", suspend_after_check),
                patch.object(deployment.fleet, "view", record_view),
            ):
                await trio.sleep(3)
        self.assertTrue(offered)
        self.assertLessEqual(max(offered), SETTINGS.lease - short)

    async def _make_deployment(self) -> tuple[Deployment, SuspendableClock]:
        with patch.object(deployments, "VirtualClock", SuspendableClock):
            deployment = Deployment(SETTINGS)
        await deployment.configure()
        return deployment, cast(SuspendableClock, deployment.clock)


if __name__ == "__main__":
    unittest.main()
