"""Tests of workers whose capacity shrinks and grows while they run."""

from __future__ import annotations

import itertools
import random
import unittest
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.scheduling.commands import UpdateWorkers
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    Demand,
    JobPhase,
    RunNumber,
    Step,
    TaskName,
    WorkerService,
)
from rhubarbfield.scheduling.ports import StartOrder
from rhubarbfield.testing.scheduling_workers import CAPACITY, StandInWorker
from rhubarbfield.types import ServiceName, Term
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

HALF = Demand(4000, 16000)
SMALL = Demand(1000, 4000)
# The platform counts a smaller capacity this long after it came into force: 3 s, and
# one interval of heartbeats.
TOLERATED_DELAY = timedelta(seconds=3 + 1)
UNGUARDED = WorkerService(name=ServiceName("s"), workers_guard_capacity=False)


async def submit_load(deployment: Deployment, pause: float = 0.1) -> None:
    """Submit a job of two tasks again and again, without end."""
    for number in itertools.count():
        step = Step(tasks=2, demand=ONE_CORE, estimate_ms=1000)
        await deployment.submit(f"l{number}", step)
        for index in range(2):
            task = TaskName(f"l{number}.0.0.{index}")
            for worker in deployment.fleet.workers.values():
                worker.demands[task] = ONE_CORE
        await trio.sleep(pause)


def add_unguarded(deployment: Deployment, count: int) -> list[StandInWorker]:
    workers = [deployment.add_worker(f"w{number}") for number in range(count)]
    for worker in workers:
        worker.guards_capacity = False
        worker.tolerated_delay = TOLERATED_DELAY
    return workers


class UnguardedWorkersTest(unittest.TestCase):
    def check_limits(self, deployment: Deployment) -> None:
        exceeded = [
            (worker.worker, task)
            for worker in deployment.fleet.workers.values()
            for task in worker.exceeding_starts
        ]
        self.assertEqual(exceeded, [])

    @with_deployment(services=(UNGUARDED,))
    async def test_starts_exceed_a_capacity_that_shrinks_and_grows(
        self, deployment: Deployment
    ) -> None:
        workers = add_unguarded(deployment, 3)
        draw = random.Random(5)
        async with deployment.lead():
            with trio.move_on_after(60):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(submit_load, deployment)
                    while True:
                        await trio.sleep(draw.uniform(0.2, 4))
                        worker = draw.choice(workers)
                        worker.set_capacity(draw.choice((SMALL, HALF, CAPACITY)))
        self.check_limits(deployment)
        self.assertGreater(sum(len(worker.started) for worker in workers), 300)

    @with_deployment(services=(UNGUARDED,))
    async def test_starts_follow_a_report_that_is_long_out_of_date(
        self, deployment: Deployment
    ) -> None:
        """The worker answers calls, but its heartbeats reach no controller."""
        (worker,) = add_unguarded(deployment, 1)
        async with deployment.lead():
            with trio.move_on_after(30):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(submit_load, deployment)
                    await trio.sleep(3)
                    deployment.reporting.remove(worker)
                    worker.set_capacity(SMALL)
        self.check_limits(deployment)

    @with_deployment(services=(UNGUARDED,))
    async def test_next_leader_starts_by_a_capacity_from_before_it_led(
        self, deployment: Deployment
    ) -> None:
        (worker,) = add_unguarded(deployment, 1)
        worker.duration = None
        async with deployment.lead():
            await deployment.submit("s", Step(standing=True))
            await trio.sleep(2)
        worker.duration = timedelta(seconds=1)
        worker.set_capacity(SMALL)
        await trio.sleep(10)  # no leader
        deployment.elect(2)
        deployment.reporting.remove(worker)
        async with deployment.lead() as leader:
            with trio.move_on_after(5):
                await submit_load(deployment)
            self.check_limits(deployment)
            deployment.reporting.append(worker)
            await leader.handle_heartbeat(worker.make_heartbeat())
            with trio.move_on_after(5):
                await submit_load(deployment)
        self.check_limits(deployment)
        self.assertGreater(len(worker.started), 3)

    @with_deployment(services=(UNGUARDED,))
    async def test_late_report_of_a_larger_capacity_takes_effect_after_a_new_one(
        self, deployment: Deployment
    ) -> None:
        """A leader that was just elected does not know the reports of before."""
        (worker,) = add_unguarded(deployment, 1)
        late = worker.make_heartbeat()
        worker.set_capacity(SMALL)
        async with deployment.lead():
            await trio.sleep(6)
        deployment.reporting.remove(worker)
        deployment.elect(2)
        async with deployment.lead() as leader:
            await leader.handle_heartbeat(late)
            with trio.move_on_after(0.5):
                await submit_load(deployment)
        self.check_limits(deployment)
        self.assertEqual(deployment.state.workers[worker.worker].capacity, SMALL)

    @with_deployment(services=(UNGUARDED,))
    async def test_order_is_repeated_after_the_capacity_it_needs_is_gone(
        self, deployment: Deployment
    ) -> None:
        (worker,) = add_unguarded(deployment, 1)
        async with deployment.lead() as leader:
            await trio.sleep(0.3)
            worker.unanswered_starts = 2
            step = Step(tasks=4, demand=ONE_CORE)
            for index in range(4):
                worker.demands[TaskName(f"j.0.0.{index}")] = ONE_CORE
            await deployment.submit("j", step)
            await trio.sleep(0.1)
            worker.set_capacity(Demand())
            worker.tolerated_delay = timedelta()
            await leader.handle_heartbeat(worker.make_heartbeat())
            await trio.sleep(5)
        self.check_limits(deployment)

    @with_deployment(services=(UNGUARDED,))
    async def test_runs_that_are_not_recorded_take_no_capacity(
        self, deployment: Deployment
    ) -> None:
        """An order of an earlier leader was carried out late, and is stopped."""
        (worker,) = add_unguarded(deployment, 1)
        step = Step(tasks=8, demand=ONE_CORE)
        await deployment.submit("old", step)
        for job in ("old", "new"):
            for index in range(8):
                worker.demands[TaskName(f"{job}.0.0.{index}")] = ONE_CORE
        async with deployment.lead():
            await trio.sleep(0.5)
            await deployment.cancel("old")
            await trio.sleep(1)
            worker.lost_stops = 20
            worker.duration = None
            for index in range(8):
                order = StartOrder(
                    task=TaskName(f"old.0.0.{index}"),
                    run=RunNumber(9),
                    payload="p",
                    checkpoint=NO_CHECKPOINT,
                    lease_end=worker.read_clock() + timedelta(seconds=20),
                    term=Term(1),
                )
                worker.start(order)
            worker.exceeding_starts.clear()
            await deployment.submit("first", Step())  # lets the leader look
            await trio.sleep(1.5)
            await deployment.submit("new", step)
            await trio.sleep(4)
        self.check_limits(deployment)


class GuardedWorkersTest(unittest.TestCase):
    @with_deployment()
    async def test_work_goes_on_while_all_capacities_shrink_and_grow(
        self, deployment: Deployment
    ) -> None:
        workers = [deployment.add_worker(f"w{number}") for number in range(3)]
        draw = random.Random(7)
        async with deployment.lead():
            with trio.move_on_after(40):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(submit_load, deployment, 0.3)
                    while True:
                        await trio.sleep(draw.uniform(0.2, 3))
                        worker = draw.choice(workers)
                        sizes = (Demand(), SMALL, HALF, CAPACITY)
                        worker.set_capacity(draw.choice(sizes))
            for worker in workers:
                worker.set_capacity(CAPACITY)
            await trio.sleep(15)
        phases = {job.phase for job in deployment.state.jobs.values()}
        self.assertEqual(phases, {JobPhase.COMPLETED})

    @with_deployment()
    async def test_serving_tasks_on_a_worker_without_capacity_end_the_leader(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        serving = Step(demand=ONE_CORE, standing=True, tail_goal_ms=50)
        batch = Step(tasks=4, demand=ONE_CORE, uses_spare_cores=True)
        async with deployment.lead():
            await deployment.submit("s", serving)
            await deployment.submit("b", batch)
            await trio.sleep(2)
            for run in worker.runs.values():
                run.measure = 40.0
            worker.set_capacity(Demand())
            await trio.sleep(5)
            worker.set_capacity(CAPACITY)
            await trio.sleep(3)
            self.assertEqual(deployment.get_job("s").phase, JobPhase.RUNNING)


class LateReportsTest(unittest.TestCase):
    @with_deployment()
    async def test_report_overtakes_a_later_one_of_the_same_worker(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1")
        reports = []
        for sequence, capacity in ((1, CAPACITY), (3, SMALL), (2, HALF)):
            report = worker.make_report()
            reports.append(
                msgspec.structs.replace(report, capacity=capacity, sequence=sequence)
            )
        for report in reports:
            await deployment.propose(UpdateWorkers(reports=(report,)))
        self.assertEqual(deployment.state.workers[worker.worker].capacity, SMALL)


if __name__ == "__main__":
    unittest.main()
