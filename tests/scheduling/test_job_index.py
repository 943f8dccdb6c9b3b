"""Tests of the index of open jobs, and of forgetting ended ones."""

from __future__ import annotations

import unittest
from datetime import timedelta
from unittest import mock

from rhubarbfield.scheduling.commands import ForgetJobs, RunStart
from rhubarbfield.scheduling.job_index import JobIndex
from rhubarbfield.scheduling.model import RunNumber, Step
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.state import Job, Task, TaskPhase
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import ONE_CORE
from tests.scheduling.fleets import Fleet


class JobIndexTest(unittest.TestCase):
    def test_index_agrees_with_a_scan(self) -> None:
        fleet, index = Fleet(1, 4), JobIndex()
        ended: set[str] = set()
        for _ in range(300):
            match fleet.random.randint(0, 3):
                case 0 | 1:
                    fleet.submit_batch()
                case 2 if fleet.state.jobs:
                    fleet.cancel(fleet.random.choice(list(fleet.state.jobs)))
                case _:
                    fleet.apply(ForgetJobs(jobs=tuple(list(ended)[:2])))
            index.synchronize(fleet.state)
            taken = [job.job for job in index.take_ended()]
            self.assertTrue(ended.isdisjoint(taken))
            ended.update(taken)
            jobs = fleet.state.jobs.values()
            self.assertEqual(
                list(index.open.values()), [job for job in jobs if job.is_open]
            )
            self.assertLessEqual({job.job for job in jobs if not job.is_open}, ended)

    def test_waiting_steps_agree_with_a_scan(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, 12)
            waiting = 0
            for _ in range(60):
                fleet.submit_gang()
                await fleet.run_round()
                fleet.disturb()
                for job in fleet.state.jobs.values():
                    scanned = [
                        (occurrence, number)
                        for occurrence, steps in job.occurrences.items()
                        for number, progress in enumerate(steps)
                        if progress.has_waiting
                        and job.is_step_ready(occurrence, number)
                    ]
                    self.assertEqual(list(job.waiting_steps), scanned)
                    waiting += len(scanned)
            self.assertGreater(waiting, 1000)

        run_deterministic(check, seed=1)

    def test_ended_jobs_are_forgotten_after_their_retention(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, 4)
            retention = fleet.settings.ended_job_retention
            first, second, third = (fleet.submit_batch() for _ in range(3))
            for job in (first, second):
                fleet.cancel(job)
                await fleet.keep_house()
                fleet.clock.advance(timedelta(seconds=10))
            fleet.clock.advance(retention - timedelta(seconds=15))
            await fleet.keep_house()
            self.assertEqual(list(fleet.state.jobs), [second, third])
            fleet.clock.advance(retention)
            await fleet.keep_house()
            self.assertEqual(list(fleet.state.jobs), [third])

        run_deterministic(check, seed=1)

    def test_runs_of_ended_jobs_and_done_tasks_are_stopped(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, 12)
            terminations = fleet.leader._terminations
            fleet.log.machine.watch(terminations.watch_command)
            ordered: set[RunKey] = set()
            shared = 0
            for _ in range(60):
                fleet.submit_gang()
                fleet.submit(Step(tasks=3, demand=ONE_CORE, copies_allowed=True))
                await fleet.run_round()
                start_copies(fleet)
                fleet.disturb()
                with mock.patch.object(WorkerSession, "stop") as stop:
                    terminations.stop_obsolete()
                stopped = {call.args[0] for call in stop.call_args_list}
                ordered |= stopped
                expected = set()
                for worker in fleet.state.workers.values():
                    for task, run in worker.runs.items():
                        found = fleet.state.find_task(task)
                        assert found is not None
                        is_wanted = (
                            found[0].is_open and found[3].phase is TaskPhase.LIVE
                        )
                        if is_wanted and not lacks_member(found, run):
                            continue
                        expected.add(RunKey(task, run))
                        shared += found[0].is_open
                self.assertLessEqual(stopped, expected)
                # Each run is ordered to stop once, when it becomes obsolete.
                self.assertEqual(expected - ordered, set())
            self.assertGreater(shared, 10)

        run_deterministic(check, seed=1)


def lacks_member(found: tuple[Job, int, int, Task], run: RunNumber) -> bool:
    """Return whether another member of a gang does not run under the same number."""
    job, occurrence, step, _ = found
    if not job.get_step(step).gang:
        return False
    members = job.occurrences[occurrence][step].tasks
    return any(run not in member.live for member in members)


def start_copies(fleet: Fleet) -> None:
    """Start a copy of each task that allows one."""
    workers = list(fleet.state.workers)
    for worker in fleet.state.workers.values():
        other = workers[workers.index(worker.worker) - 1]
        for name in list(worker.runs):
            found = fleet.state.find_task(name)
            assert found is not None
            task = found[3]
            if len(task.live) == 1:
                fleet.start((RunStart(name, RunNumber(task.last_run + 1), other),))


if __name__ == "__main__":
    unittest.main()
