"""Tests of the delegation of jobs to failure domains and of their results."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import cast

import msgspec
import trio
from returns.result import Failure, Result

from rhubarbfield.clock import TrioClock
from rhubarbfield.controller.delegating import Delegator, summarize_domain
from rhubarbfield.controller.reconciling import FleetReporter, Reconciler
from rhubarbfield.controller.statemachines import (
    make_domain_machine,
    make_fleet_machine,
)
from rhubarbfield.fleet import FinishJob, FleetJob, SubmitCommand
from rhubarbfield.language import parse
from rhubarbfield.machine import Command
from rhubarbfield.placement import AddWorker, Resources, UpdateWorker
from rhubarbfield.protocol import LeaderFailure
from rhubarbfield.types import (
    CommandNumber,
    Epoch,
    FailureDomain,
    Incarnation,
    JobState,
    OperatorName,
    RackName,
    WorkerId,
)
from tests.controller.single_member import make_single_member_log
from tests.fleet.fleets import CREATE, START
from tests.replication.determinism import run_deterministic

NORTH, SOUTH = FailureDomain("north"), FailureDomain("south")
ROUNDS_SECONDS = 4.0
WORKER = AddWorker(
    at=START,
    worker=WorkerId("w1"),
    capacity=Resources.of(8, 8000, 0),
    rack=RackName("r1"),
    domain=NORTH,
    incarnation=Incarnation("first"),
)


class WholeFleet:
    """The fleet's log and the logs of two domains that are reconciled with it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.log, self.replica = make_single_member_log(make_fleet_machine())
        self.domains = {
            one: make_single_member_log(make_domain_machine())[0] for one in self
        }
        self.sent: list[Command] = []
        self.reachable = True
        self.delegator = Delegator(self.log, TrioClock())
        self._nursery = nursery
        self._number = 0

    def __iter__(self):  # type: ignore[no-untyped-def]
        return iter((NORTH, SOUTH))

    async def propose(
        self, command: Command, timeout: timedelta
    ) -> Result[object, LeaderFailure]:
        if not self.reachable:
            return Failure(LeaderFailure(detail="cut off", in_doubt=False))
        self.sent.append(command)
        return cast(Result[object, LeaderFailure], await self.log.propose(command))

    async def summarize(self) -> None:
        while True:
            for domain in self:
                work = self.domains[domain].state.work
                self.delegator.record_summary(summarize_domain(domain, work))
            await trio.sleep(1)

    def reconcile(self, domain: FailureDomain) -> None:
        reporter: FleetReporter = self
        log = self.domains[domain]
        one = Reconciler(domain, log, self.log, reporter, TrioClock())
        self._nursery.start_soon(one.run)

    async def submit(self, text: str) -> None:
        self._number += 1
        await self.log.propose(
            SubmitCommand(
                operator=OperatorName("ana"),
                number=CommandNumber(self._number),
                text=text,
                statement=parse(text).unwrap(),  # type: ignore[arg-type]
                at=START,
            )
        )
        await trio.sleep(ROUNDS_SECONDS)

    @property
    def job(self) -> FleetJob:
        (job,) = self.log.state.fleet.jobs.values()
        return job

    def state_in(self, domain: FailureDomain) -> JobState | None:
        job = self.domains[domain].state.work.jobs.get(self.job.id)
        return job.state if job else None


class ReconcilingTest(unittest.TestCase):
    def run_fleet(self, body: Callable[[WholeFleet], Awaitable[None]]) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                fleet = WholeFleet(nursery)
                for domain, name in ((NORTH, "w1"), (SOUTH, "w2")):
                    worker = msgspec.structs.replace(
                        WORKER, worker=WorkerId(name), domain=domain
                    )
                    await fleet.domains[domain].propose(worker)
                nursery.start_soon(fleet.delegator.run)
                nursery.start_soon(fleet.summarize)
                await body(fleet)
                nursery.cancel_scope.cancel()

        run_deterministic(run, seed=1)

    def test_an_unreachable_domain_keeps_its_job(self) -> None:
        async def body(fleet: WholeFleet) -> None:
            await fleet.submit(CREATE)
            first, epoch = fleet.job.domain, fleet.job.epoch
            before = fleet.replica.commands
            await trio.sleep(300)
            self.assertEqual(fleet.replica.commands, before)
            self.assertEqual((fleet.job.domain, fleet.job.epoch), (first, epoch))

        self.run_fleet(body)

    def test_a_job_cancelled_before_it_is_accepted_never_runs(self) -> None:
        async def body(fleet: WholeFleet) -> None:
            await fleet.submit(CREATE)
            await fleet.submit(f"cancel job {fleet.job.id}")
            self.assertTrue(fleet.job.is_open)
            assert fleet.job.domain is not None
            fleet.reconcile(fleet.job.domain)
            await trio.sleep(ROUNDS_SECONDS)
            self.assertEqual(fleet.job.state, JobState.CANCELLED)
            self.assertIsNone(fleet.state_in(NORTH) or fleet.state_in(SOUTH))

        self.run_fleet(body)

    def test_a_job_that_fits_nowhere_is_impossible_after_the_grace(self) -> None:
        async def body(fleet: WholeFleet) -> None:
            for domain in fleet:
                fleet.reconcile(domain)
            await fleet.submit(CREATE.replace("cores 1", "cores 64"))
            self.assertEqual(fleet.job.state, JobState.QUEUED)
            await trio.sleep(ROUNDS_SECONDS)
            self.assertEqual(fleet.job.state, JobState.IMPOSSIBLE)
            self.assertIn("core", fleet.job.reason)
            finished = [one for one in fleet.sent if isinstance(one, FinishJob)]
            await trio.sleep(60)
            self.assertEqual(len(finished), 1)
            self.assertEqual(finished, fleet.sent)

        self.run_fleet(body)

    def test_a_lost_domains_job_moves_and_the_restored_domain_ends_it(self) -> None:
        async def body(fleet: WholeFleet) -> None:
            await fleet.submit(CREATE)
            first = fleet.job.domain
            assert first is not None
            second = SOUTH if first == NORTH else NORTH
            fleet.reconcile(first)
            await trio.sleep(ROUNDS_SECONDS)
            self.assertEqual(fleet.state_in(first), JobState.QUEUED)
            await fleet.submit(f"declare domain {first} lost")
            fleet.reconcile(second)
            await trio.sleep(ROUNDS_SECONDS)
            self.assertEqual(fleet.job.domain, second)
            self.assertEqual(fleet.state_in(first), JobState.CANCELLED)
            self.assertEqual(fleet.state_in(second), JobState.QUEUED)
            # Delegated again to the domain that ended it, the job must not end as
            # cancelled, since no operator cancelled it.
            await fleet.submit(f"declare domain {first} restored")
            await fleet.submit(f"declare domain {second} lost")
            await trio.sleep(60)
            self.assertEqual(fleet.job.state, JobState.QUEUED)
            self.assertIn("ended it", fleet.job.reason)

        self.run_fleet(body)

    def test_a_job_bound_to_a_lost_domain_waits_without_commands(self) -> None:
        async def body(fleet: WholeFleet) -> None:
            await fleet.submit("declare domain north lost")
            await fleet.submit(f"{CREATE} domain north")
            before = fleet.replica.commands
            await trio.sleep(60)
            self.assertEqual(fleet.replica.commands, before)
            self.assertTrue(fleet.job.is_open)

        self.run_fleet(body)

    def test_a_finished_job_is_reported_again_until_committed(self) -> None:
        async def body(fleet: WholeFleet) -> None:
            await fleet.submit(CREATE.replace("cores 1", "cores 64"))
            await trio.sleep(ROUNDS_SECONDS)
            assert fleet.job.domain is not None
            fleet.reachable = False
            fleet.reconcile(fleet.job.domain)
            await trio.sleep(ROUNDS_SECONDS)
            self.assertEqual(fleet.job.state, JobState.QUEUED)
            fleet.reachable = True
            await trio.sleep(ROUNDS_SECONDS)
            self.assertEqual(fleet.job.state, JobState.IMPOSSIBLE)

        self.run_fleet(body)


class SummaryTest(unittest.TestCase):
    def test_only_usable_workers_are_counted_by_shape(self) -> None:
        log = make_domain_machine()
        for number in range(3):
            worker = msgspec.structs.replace(WORKER, worker=WorkerId(f"w{number}"))
            log.apply(1, log.encode_command(worker))  # type: ignore[arg-type]
        work = log.state.work
        work.workers["w2"].draining = True  # type: ignore[index]
        smaller = UpdateWorker(
            at=START,
            worker=WorkerId("w1"),
            epoch=Epoch(1),
            capacity=Resources.of(4, 4000, 0),
        )
        log.apply(2, log.encode_command(smaller))  # type: ignore[arg-type]
        summary = summarize_domain(NORTH, work)
        counts = {one.millicores: one.count for one in summary.shapes}
        self.assertEqual(counts, {8000: 1, 4000: 1})
        self.assertEqual(summary.free_millicores, 12000)
