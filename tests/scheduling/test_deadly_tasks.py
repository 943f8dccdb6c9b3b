"""Tests of tasks that crash each worker that starts them."""

from __future__ import annotations

import itertools
import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.model import (
    JobPhase,
    RunNumber,
    Step,
    TaskName,
    name_step,
)
from rhubarbfield.scheduling.presence import PROOF_TIME
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.types import JobId
from tests.scheduling.controllers import Controllers, with_controllers
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

# The users' limit: no third start after three workers have crashed.
MAX_STARTS = 3 + 2
DEADLY = TaskName("deadly.0.0.0")
WORKERS = 6


async def submit_bystanders(deployment: Deployment) -> None:
    """Submit a job of two tasks each fifth of a second, without end."""
    for number in itertools.count():
        await deployment.submit(f"b{number}", Step(tasks=2, demand=ONE_CORE))
        await trio.sleep(0.2)


def add_workers(deployment: Deployment) -> None:
    for number in range(WORKERS):
        deployment.add_worker(f"w{number}")


def count_starts(deployment: Deployment, task: TaskName) -> int:
    """Return the number of runs of a task that workers have started."""
    return deployment.fleet.starts[task]


def list_phases(deployment: Deployment, prefix: str) -> set[JobPhase]:
    """Return the phases of the jobs whose names begin alike."""
    jobs = deployment.state.jobs.values()
    return {job.phase for job in jobs if job.job.startswith(prefix)}


class DeadlyTaskTest(unittest.TestCase):
    async def check_given_up(self, deployment: Deployment, *steps: Step) -> None:
        """Check that a deadly task is given up, and that nothing else is."""
        add_workers(deployment)
        deployment.fleet.deadly.add(DEADLY)
        async with deployment.lead():
            with trio.move_on_after(6):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(submit_bystanders, deployment)
                    await trio.sleep(1)
                    await deployment.submit("deadly", *steps)
            await trio.sleep(40)
        self.assertEqual(deployment.get_job("deadly").phase, JobPhase.FAILED)
        self.assertLessEqual(count_starts(deployment, DEADLY), MAX_STARTS)
        self.assertEqual(list_phases(deployment, "b"), {JobPhase.COMPLETED})

    @with_deployment()
    async def test_task_that_crashes_each_worker_is_started_too_often(
        self, deployment: Deployment
    ) -> None:
        await self.check_given_up(deployment, Step(tasks=3, demand=ONE_CORE))

    @with_deployment()
    async def test_standing_task_that_crashes_each_worker_is_started_too_often(
        self, deployment: Deployment
    ) -> None:
        step = Step(tasks=2, demand=ONE_CORE, standing=True)
        await self.check_given_up(deployment, step)

    @with_deployment()
    async def test_gang_that_crashes_workers_is_started_too_often(
        self, deployment: Deployment
    ) -> None:
        deployment.fleet.gang_steps.add(name_step(DEADLY))
        step = Step(tasks=3, demand=ONE_CORE, gang=True)
        await self.check_given_up(deployment, step)

    @with_deployment()
    async def test_task_that_crashes_workers_late_is_started_too_often(
        self, deployment: Deployment
    ) -> None:
        deployment.fleet.crash_delay = timedelta(milliseconds=800)
        await self.check_given_up(deployment, Step(tasks=3, demand=ONE_CORE))

    @with_deployment()
    async def test_task_whose_workers_return_after_their_lease_is_started_too_often(
        self, deployment: Deployment
    ) -> None:
        deployment.fleet.restart_delay = timedelta(seconds=9)
        await self.check_given_up(deployment, Step(tasks=3, demand=ONE_CORE))

    @with_deployment()
    async def test_several_deadly_tasks_hide_each_other(
        self, deployment: Deployment
    ) -> None:
        others = [TaskName(f"other{number}.0.0.0") for number in range(3)]
        deployment.fleet.deadly.update(others)
        for number in range(3):
            await deployment.submit(f"other{number}", Step(demand=ONE_CORE))
        await self.check_given_up(deployment, Step(demand=ONE_CORE))
        for task in others:
            self.assertLessEqual(count_starts(deployment, task), MAX_STARTS)

    @with_deployment()
    async def test_count_of_crashes_is_lost_with_the_leader(
        self, deployment: Deployment
    ) -> None:
        """Each crash is followed by another leader, which has seen nothing."""
        add_workers(deployment)
        deployment.fleet.deadly.add(DEADLY)
        await deployment.submit("deadly", Step(demand=ONE_CORE))
        for term in range(2, 20):
            async with deployment.lead():
                with trio.move_on_after(4):
                    await submit_bystanders(deployment)
            deployment.elect(term)
        self.assertEqual(deployment.get_job("deadly").phase, JobPhase.FAILED)
        self.assertLessEqual(count_starts(deployment, DEADLY), MAX_STARTS)

    @with_deployment()
    async def test_count_of_crashes_is_lost_with_a_restart_from_a_snapshot(
        self, deployment: Deployment
    ) -> None:
        add_workers(deployment)
        deployment.fleet.deadly.add(DEADLY)
        await deployment.submit("deadly", Step(demand=ONE_CORE))
        for term in range(2, 12):
            async with deployment.lead():
                await trio.sleep(4)
            machine = deployment.log.machine
            machine.restore(machine.take_snapshot())
            deployment.elect(term)
        self.assertEqual(deployment.get_job("deadly").phase, JobPhase.FAILED)
        self.assertLessEqual(count_starts(deployment, DEADLY), MAX_STARTS)


class ControllersTest(unittest.TestCase):
    @with_controllers()
    async def test_task_is_started_too_often_by_leaders_that_are_cut_off_in_turn(
        self, controllers: Controllers
    ) -> None:
        """Each leader is cut off after a crash, and comes back as a follower."""
        workers = [controllers.add_worker(f"w{number}") for number in range(WORKERS)]
        controllers.fleet.deadly.add(DEADLY)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(controllers.report_all, workers)
            await trio.sleep(2)
            await controllers.submit("deadly")
            for _ in range(6):
                await trio.sleep(4)
                controllers.cut_off(controllers.leader)
                await trio.sleep(5)
                controllers.network.heal_all()
                await trio.sleep(3)
            nursery.cancel_scope.cancel()
        job = controllers.leader.log.state.scheduling.jobs[JobId("deadly")]
        self.assertEqual(job.phase, JobPhase.FAILED)
        self.assertLessEqual(controllers.fleet.starts[DEADLY], MAX_STARTS)
        self.assertGreaterEqual(controllers.fleet.starts[DEADLY], 2)


class BystanderTest(unittest.TestCase):
    @with_deployment()
    async def test_jobs_survive_workers_that_crash_together_again_and_again(
        self, deployment: Deployment
    ) -> None:
        add_workers(deployment)
        async with deployment.lead():
            for number in range(8):
                await deployment.submit(f"j{number}", Step(tasks=4, demand=ONE_CORE))
                await trio.sleep(0.3)
                for worker in list(deployment.fleet.workers.values())[:3]:
                    deployment.fleet.crash(worker)
                await trio.sleep(4)
            await trio.sleep(20)
        self.assertEqual(list_phases(deployment, "j"), {JobPhase.COMPLETED})

    @with_deployment()
    async def test_task_survives_a_worker_that_crashes_once_right_after_its_start(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w0")
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(0.05)
            deployment.fleet.crash(worker)
            await trio.sleep(10)
        self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment()
    async def test_standing_tasks_survive_rare_crashes_of_their_workers(
        self, deployment: Deployment
    ) -> None:
        add_workers(deployment)
        for first in deployment.reporting:
            first.duration = None
        step = Step(tasks=4, demand=ONE_CORE, standing=True)
        async with deployment.lead():
            await deployment.submit("j", step)
            for _ in range(10):
                await trio.sleep(40)
                for worker in list(deployment.fleet.workers.values()):
                    if worker.runs:
                        deployment.fleet.crash(worker)
                        break
        self.assertEqual(deployment.get_job("j").phase, JobPhase.RUNNING)

    @with_deployment()
    async def test_tasks_survive_workers_that_are_cut_off_again_and_again(
        self, deployment: Deployment
    ) -> None:
        """A worker that is silent for longer than its lease has not crashed."""
        add_workers(deployment)
        async with deployment.lead():
            for number in range(8):
                await deployment.submit(f"j{number}", Step(tasks=4, demand=ONE_CORE))
                await trio.sleep(0.05)
                cut_off = [each for each in deployment.reporting if each.runs]
                for worker in cut_off:
                    worker.is_unreachable = True
                await trio.sleep(12)
                for worker in cut_off:
                    worker.is_unreachable = False
                await trio.sleep(2)
            await trio.sleep(20)
        self.assertEqual(list_phases(deployment, "j"), {JobPhase.COMPLETED})
        tasks = [
            task
            for job in deployment.state.jobs.values()
            for task in job.occurrences[0][0].tasks
        ]
        self.assertEqual({task.crashes for task in tasks}, {0})
        workers = deployment.state.workers.values()
        self.assertEqual([each.lapsed for each in workers], [[]] * WORKERS)

    @with_deployment()
    async def test_tasks_survive_workers_that_leave_as_announced(
        self, deployment: Deployment
    ) -> None:
        """What ends with a worker that left did not end it."""
        deployment.add_worker("w0", duration=None)
        deployment.fleet.restart_delay = timedelta(seconds=1)
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE))
            for _ in range(8):
                await trio.sleep(0.5)
                worker = deployment.fleet.find_latest(deployment.reporting[0])
                await leader.handle_heartbeat(worker.make_heartbeat(draining=True))
                deployment.fleet.crash(worker)
                await trio.sleep(4)
        self.assertNotEqual(deployment.get_job("j").phase, JobPhase.FAILED)

    @with_deployment()
    async def test_suspect_is_tried_beside_nothing_that_has_just_started(
        self, deployment: Deployment
    ) -> None:
        add_workers(deployment)
        deployment.fleet.deadly.add(DEADLY)
        async with deployment.lead():
            with trio.move_on_after(12):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(submit_bystanders, deployment)
                    await trio.sleep(1)
                    await deployment.submit("deadly", Step(demand=ONE_CORE))
        second = deployment.fleet.crashes[-1]
        self.assertEqual(second.list_started_within(PROOF_TIME), [DEADLY])
        self.assertEqual(deployment.fleet.count_crashes(DEADLY), 2)
        self.assertEqual(deployment.get_job("deadly").phase, JobPhase.FAILED)


class TrialTest(unittest.TestCase):
    @with_deployment()
    async def test_run_is_taken_for_proven_since_an_order_that_was_lost(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w0", duration=None)
        worker.unanswered_starts = 2
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE))
            while not worker.started:
                await trio.sleep(0.001)
            session = leader.get_session(worker.worker)
            assert session is not None
            (run,) = session.presence.list_runs()
            assert run.worked is not None
            self.assertLess(run.worked, PROOF_TIME)

    @with_deployment()
    async def test_run_is_taken_for_proven_before_its_order_is_sent(
        self, deployment: Deployment
    ) -> None:
        """A start without an answer holds up the orders behind it."""
        worker = deployment.add_worker("w0", duration=None)
        worker.unanswered_starts = 1
        async with deployment.lead() as leader:
            await deployment.submit("slow", Step(demand=ONE_CORE))
            await deployment.submit("queued", Step(demand=ONE_CORE))
            await trio.sleep(0.3)
            session = leader.get_session(worker.worker)
            assert session is not None
            self.assertEqual(len(worker.started), 0)
            key = RunKey(TaskName("queued.0.0.0"), RunNumber(1))
            self.assertFalse(session.presence.is_proven(key))
            self.assertEqual(session.presence.count_unproven(), 2)
            await trio.sleep(5)
            self.assertTrue(session.presence.is_proven(key))
            self.assertEqual(session.presence.count_unproven(), 0)


if __name__ == "__main__":
    unittest.main()
