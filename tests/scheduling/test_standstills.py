"""Tests of how long a standing task stands still, until it works elsewhere."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import trio
from returns.result import Failure, Result

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import Demand, Step, TaskName
from rhubarbfield.scheduling.ports import (
    CallFailure,
    NoReply,
    StartOrder,
    ViewRequest,
    WorkerAddress,
    WorkerView,
)
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.silence_marks import MarkTimes
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.crashing_workers import CrashingFleet
from rhubarbfield.testing.scheduling_fleet import NO_REPLY_DELAY
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from tests.scheduling.deployments import (
    ONE_CORE,
    Deployment,
    count_runs_at_once,
    with_deployment,
)

# As on the users' platform, which tolerates a standstill of 6 s and then 3 s.
SETTINGS = SchedulingSettings(lease=timedelta(seconds=9))
TOLERATED_SECONDS = 9.0
# After a restart of all controllers: 10 s, less an election.
TOLERATED_SECONDS_OF_LEADER = 10.0 - 2.0
# Beside a worker that was disturbed and works again: 4 s and then 3 s.
TOLERATED_SECONDS_OF_RECOVERY = 4.0 + 3.0
REPORT_SECONDS = 1.0
RESTART_SECONDS = 0.3  # from a lapse: a commit, a round and a call
LIMIT_SECONDS = 20.0
TIME_STEP = 0.02
SMALL = Demand(2000, 2000)
LARGE = Demand(6000, 1000)  # of the 8 cores that a worker has
TWO_CORES = Demand(2000, 100)
SHORT = timedelta(seconds=1.05)
FAILING_DURATION = timedelta(milliseconds=30)
TASK = TaskName("j.0.0.0")


@asynccontextmanager
async def report(
    leader: SchedulingLeader, worker: StandInWorker
) -> AsyncIterator[None]:
    """Let a worker report during the block, whether or not calls reach it."""

    async def run() -> None:
        while True:
            await leader.handle_heartbeat(worker.make_heartbeat())
            await trio.sleep(REPORT_SECONDS)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        yield
        nursery.cancel_scope.cancel()


def fail_runs(worker: StandInWorker, but: str = "") -> None:
    """Let a worker fail its runs but one, and each new one within moments."""
    worker.end = RunEnd.FAILED
    worker.duration = FAILING_DURATION
    for task in list(worker.runs):
        if task != but:
            worker.end_run(task, RunEnd.FAILED)


async def sleep_until_failed(worker: StandInWorker) -> None:
    """Sleep until a worker has failed one more run."""
    before = len(worker.started)
    while len(worker.started) == before:
        await trio.sleep(TIME_STEP)
    await trio.sleep(2 * FAILING_DURATION.total_seconds())


async def measure_standstill(deployment: Deployment) -> float:
    """Return the time until a worker runs a task, at most ``LIMIT_SECONDS``."""
    began = trio.current_time()
    while trio.current_time() - began < LIMIT_SECONDS:
        if count_runs_at_once(deployment):
            break
        await trio.sleep(TIME_STEP)
    return trio.current_time() - began


async def measure_return(worker: StandInWorker, tasks: int, limit: float) -> float:
    """Return the time until a worker runs so many tasks, at most ``limit`` s."""
    began = trio.current_time()
    while len(worker.runs) < tasks and trio.current_time() - began < limit:
        await trio.sleep(TIME_STEP)
    return trio.current_time() - began


class LossyFleet(CrashingFleet):
    """Worker port on which every other view gets no reply and is not carried out."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.views = 0

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return a worker's view of its runs, or none."""
        self.views += 1
        if self.views % 2:
            return await super().view(to, request)
        await self.await_no_reply(request)
        return Failure(NoReply("no reply in time"))

    async def await_no_reply(self, request: ViewRequest) -> None:
        """Sleep until a view counts as lost."""
        await trio.sleep((request.wait_timeout + NO_REPLY_DELAY).total_seconds())


class StandstillTest(unittest.TestCase):
    @with_deployment()
    async def test_new_leader_starts_nothing_on_a_worker_that_only_reports(
        self, deployment: Deployment
    ) -> None:
        deployment.settings = SETTINGS
        deployment.add_worker("w1", duration=None)
        # Standing tasks go first where the least capacity is left.
        deaf = deployment.add_worker("w9", duration=None, capacity=SMALL)
        async with deployment.lead():
            await trio.sleep(1)
        deaf.is_unreachable = True
        deployment.elect(2)
        async with deployment.lead() as leader, report(leader, deaf):
            await trio.sleep(1)
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            took = await measure_standstill(deployment)
        self.assertLess(took, TOLERATED_SECONDS)
        starts = deployment.list_sent(StartOrder, "j")
        self.assertNotIn(deaf.worker, [each.worker for each in starts])

    @with_deployment()
    async def test_start_without_an_answer_on_an_idle_worker_is_not_held_for_long(
        self, deployment: Deployment
    ) -> None:
        deployment.settings = SETTINGS
        deployment.add_worker("w1", duration=None)
        deaf = deployment.add_worker("w9", duration=None, capacity=SMALL)
        async with deployment.lead() as leader:
            await trio.sleep(LIMIT_SECONDS)
            deaf.is_unreachable = True
            async with report(leader, deaf):
                await trio.sleep(3)
                await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
                took = await measure_standstill(deployment)
        self.assertLess(took, TOLERATED_SECONDS)

    @with_deployment()
    async def test_lapses_are_noticed_while_calls_wait_for_replies(
        self, _: Deployment
    ) -> None:
        for lease_seconds in (8.4, 8.7, 9.0, 9.3):
            lease = timedelta(seconds=lease_seconds)
            deployment = Deployment(SchedulingSettings(lease=lease))
            await deployment.configure()
            first = deployment.add_worker("w1", duration=None)
            async with deployment.lead() as leader:
                await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
                await trio.sleep(LIMIT_SECONDS)
                session = leader.get_session(first.worker)
                assert session is not None
                first.is_unreachable = True
                while deployment.state.workers[first.worker].runs:
                    await trio.sleep(TIME_STEP)
                late = deployment.clock.monotonic() - session._contact.lease.lapses_at
            self.assertGreaterEqual(late, timedelta())
            self.assertLess(late.total_seconds(), RESTART_SECONDS)

    @with_deployment()
    async def test_restarted_controllers_do_not_wait_anew_for_a_lease_that_has_lapsed(
        self, deployment: Deployment
    ) -> None:
        """Tasks of a worker lost beside a restart of all controllers stood still."""
        deployment.settings = SETTINGS
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(12)
            for name in ("w2", "w3", "w4"):
                deployment.add_worker(name, duration=None)
            await trio.sleep(3)
            first.is_unreachable = True
        await trio.sleep(2 * deployment.settings.lease.total_seconds())
        deployment.marks = MarkTimes(deployment.log, deployment.clock)
        deployment.elect(2)
        async with deployment.lead():
            took = await measure_standstill(deployment)
        self.assertLess(took, TOLERATED_SECONDS_OF_LEADER)

    @with_deployment()
    async def test_lease_goes_on_while_every_other_call_is_answered(
        self, deployment: Deployment
    ) -> None:
        deployment.settings = SETTINGS
        deployment.fleet = LossyFleet(deployment.clock)
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(2 * LIMIT_SECONDS)
            worker.end_due_runs()
        self.assertEqual([run for _, run, _ in worker.started], [1])
        self.assertIn(TASK, worker.runs)

    @with_deployment(slowdown_goal=100.0)
    async def test_smaller_tasks_do_not_take_all_room_that_becomes_free(
        self, deployment: Deployment
    ) -> None:
        """Short tasks on time took each piece, and none was large enough."""
        deployment.settings = SETTINGS
        first = deployment.add_worker("w9", duration=None, capacity=LARGE)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=LARGE, standing=True))
            await trio.sleep(1)
            workers = [
                deployment.add_worker(f"w{number}", duration=SHORT)
                for number in range(3)
            ]
            await trio.sleep(0.5)
            for name in ("k1", "k2", "k3", "k4"):
                await deployment.submit(name, Step(tasks=3, demand=TWO_CORES))
                await trio.sleep(SHORT.total_seconds() / 4)
            for number in range(40):
                step = Step(tasks=20, demand=TWO_CORES, estimate_ms=1000)
                await deployment.submit(f"l{number}", step)
            first.capacity = ONE_CORE  # of its next life
            deployment.fleet.restart_delay = timedelta(seconds=0.1)
            deployment.fleet.crash(first)
            began = trio.current_time()
            while not any(TASK in worker.runs for worker in workers):
                await trio.sleep(TIME_STEP)
                took = trio.current_time() - began
                self.assertLess(took, TOLERATED_SECONDS)

    @with_deployment()
    async def test_tasks_do_not_stand_still_beside_a_worker_that_failed_before(
        self, _: Deployment
    ) -> None:
        """Its probe failed just before, and one more worked for 2 s by itself."""
        for seconds in (1.0, 5.9, 6.5, 12.0, 12.5):
            with self.subTest(seconds=seconds):
                deployment = Deployment(SETTINGS)
                await deployment.configure()
                worker = deployment.add_worker("w1", duration=None)
                async with deployment.lead():
                    step = Step(tasks=4, demand=TWO_CORES, standing=True)
                    await deployment.submit("j", step)
                    await trio.sleep(1)
                    deployment.add_worker("w2", duration=None)
                    await trio.sleep(1)
                    await deployment.submit("k", Step(demand=CAPACITY, standing=True))
                    await trio.sleep(1)
                    fail_runs(worker)
                    await trio.sleep(seconds)
                    worker.end, worker.duration = RunEnd.DONE, None
                    await trio.sleep(TOLERATED_SECONDS_OF_RECOVERY)
                    worker.end_due_runs()
                self.assertEqual(len(worker.runs), step.tasks)

    @with_deployment()
    async def test_tasks_return_in_time_to_a_worker_that_has_just_failed_a_probe(
        self, _: Deployment
    ) -> None:
        """The worst moment for it to work again, whatever the delay of a probe is."""
        # The probe and those that follow it each need a commit, a round and a call.
        limit = TOLERATED_SECONDS_OF_RECOVERY - 2 * RESTART_SECONDS
        for probes in (0, 1, 2, 3):
            with self.subTest(probes=probes):
                deployment = Deployment(SETTINGS)
                await deployment.configure()
                worker = deployment.add_worker("w1", duration=None)
                async with deployment.lead():
                    step = Step(tasks=8, demand=ONE_CORE, standing=True)
                    await deployment.submit("j", step)
                    await trio.sleep(1)
                    fail_runs(worker)
                    await trio.sleep(RESTART_SECONDS)
                    for _ in range(probes):
                        await sleep_until_failed(worker)
                    worker.end, worker.duration = RunEnd.DONE, None
                    took = await measure_return(worker, step.tasks, limit)
                    self.assertLess(took, limit)

    @with_deployment()
    async def test_run_that_fails_by_itself_does_not_keep_tasks_from_its_worker(
        self, deployment: Deployment
    ) -> None:
        """It began before the quarantine, and its end started the quarantine anew."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            step = Step(tasks=4, demand=ONE_CORE, standing=True)
            await deployment.submit("j", step)
            await trio.sleep(1)
            await deployment.submit("k", Step(demand=ONE_CORE, estimate_ms=9000))
            await trio.sleep(1)
            fail_runs(worker, but="k.0.0.0")
            await trio.sleep(RESTART_SECONDS)
            worker.end, worker.duration = RunEnd.DONE, None
            await trio.sleep(4)
            worker.end_run(TaskName("k.0.0.0"), RunEnd.FAILED)
            left = TOLERATED_SECONDS_OF_RECOVERY - 4
            took = await measure_return(worker, step.tasks, left)
            self.assertLess(took, left)

    @with_deployment()
    async def test_probe_without_an_answer_does_not_end_the_probation(
        self, deployment: Deployment
    ) -> None:
        """All tasks were recorded on a worker that had started none of them."""
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            step = Step(tasks=8, demand=ONE_CORE, standing=True)
            await deployment.submit("j", step)
            await trio.sleep(1)
            fail_runs(worker)
            await trio.sleep(RESTART_SECONDS)
            worker.unanswered_starts = 99
            recorded = deployment.state.workers[worker.worker].runs
            while not recorded:
                await trio.sleep(TIME_STEP)
                recorded = deployment.state.workers[worker.worker].runs
            await trio.sleep(SETTINGS.probe_duration.total_seconds() + 1)
            recorded = deployment.state.workers[worker.worker].runs
            self.assertLessEqual(len(recorded), 1)

    @with_deployment()
    async def test_only_interrupted_standing_tasks_probe_before_the_quarantine_ends(
        self, deployment: Deployment
    ) -> None:
        deployment.settings = SETTINGS
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=TWO_CORES, standing=True))
            await trio.sleep(1)
            fail_runs(worker)
            await trio.sleep(RESTART_SECONDS)
            before = len(worker.started)
            await deployment.submit("k", Step(demand=TWO_CORES, estimate_ms=100))
            await deployment.submit("l", Step(demand=TWO_CORES, standing=True))
            await trio.sleep(LIMIT_SECONDS)
        self.assertEqual({task for task, _, _ in worker.started[before:]}, {TASK})


if __name__ == "__main__":
    unittest.main()
