"""Tests of the order in which waiting jobs are served."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec

from rhubarbfield.clock import MS_PER_SECOND
from rhubarbfield.scheduling.commands import AcceptJob, EndedRun, EndRuns, WorkerEnds
from rhubarbfield.scheduling.model import (
    Demand,
    JobSubmission,
    RunNumber,
    Step,
    name_task,
)
from rhubarbfield.scheduling.ordering import (
    Outlook,
    find_goal,
    find_outlook,
    is_interrupted,
    measure_work,
    rank_job,
)
from rhubarbfield.scheduling.state import Job, RunEnd, TaskPhase
from rhubarbfield.types import JobId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import QUEUE
from tests.scheduling.fleets import Fleet


def make_job(*steps: Step) -> Job:
    submission = JobSubmission(payload="", steps=steps)
    job = Job(job=JobId("j"), queue=QUEUE.name, order=1, submission=submission)
    job.open_occurrence(0)
    return job


def make_step(tasks: int = 1, ms: int = 1000, after: tuple[int, ...] = ()) -> Step:
    return Step(tasks=tasks, demand=Demand(1000), estimate_ms=ms, after=after)


class WorkTest(unittest.TestCase):
    def test_critical_path_follows_dependencies(self) -> None:
        job = make_job(make_step(), make_step(ms=500), make_step(ms=2000, after=(0,)))
        work = measure_work(job)
        self.assertEqual(work.total_critical_path, timedelta(seconds=3))
        self.assertEqual(find_goal(work, QUEUE), timedelta(seconds=7))

    def test_done_tasks_do_not_count_as_remaining(self) -> None:
        job = make_job(make_step(tasks=4), make_step(after=(0,)))
        before = measure_work(job)
        job.occurrences[0][0].done = 4
        after = measure_work(job)
        self.assertEqual(after.critical_path, timedelta(seconds=1))
        self.assertEqual(before.millicore_ms - after.millicore_ms, 4 * 1000 * 1000)

    def test_largest_estimate_does_not_end_the_leader(self) -> None:
        largest = 2**63 - 1
        work = measure_work(make_job(make_step(ms=largest), make_step(ms=largest)))
        self.assertEqual(find_outlook(work, QUEUE, timedelta()), Outlook.ON_TIME)


class RankTest(unittest.TestCase):
    def test_outlook_worsens_with_age(self) -> None:
        work = measure_work(make_job(make_step(ms=2000)))
        outlooks = [
            find_outlook(work, QUEUE, timedelta(seconds=age)) for age in (0, 6, 60)
        ]
        self.assertEqual(outlooks, [Outlook.ON_TIME, Outlook.LATE, Outlook.TOO_LATE])

    def test_small_jobs_and_begun_jobs_go_first(self) -> None:
        small = measure_work(make_job(make_step(tasks=2)))
        large = measure_work(make_job(make_step(tasks=20)))
        begun_job = make_job(make_step(tasks=20))
        begun_job.occurrences[0][0].done = 19
        begun = measure_work(begun_job)
        ranks = [
            rank_job(work, QUEUE, timedelta(), mean_millicore_ms=1e7)
            for work in (begun, small, large)
        ]
        self.assertEqual(ranks, sorted(ranks))

    def test_urgent_queue_goes_before_all(self) -> None:
        urgent = msgspec.structs.replace(QUEUE, priority=0)
        bulk = msgspec.structs.replace(QUEUE, priority=2)
        work = measure_work(make_job(make_step(tasks=1)))
        late = rank_job(work, urgent, timedelta(seconds=100), 1e6)
        self.assertLess(late, rank_job(work, bulk, timedelta(), 1e6))


class InterruptedTest(unittest.TestCase):
    def test_standing_task_is_restarted_before_jobs_that_can_be_on_time(self) -> None:
        """Short jobs that went first left it no room for 13 s."""

        async def check() -> None:
            fleet = Fleet(1, 1)
            (worker,) = fleet.state.workers.values()
            cores = worker.capacity.millicores // 2
            standing = fleet.submit(Step(standing=True, demand=Demand(cores)))
            await fleet.run_round()
            task = name_task(standing, 0, 0, 0)
            self.assertEqual(list(worker.runs), [task])
            short = Step(tasks=4, demand=Demand(cores), estimate_ms=1000)
            now_ms = int(fleet.clock.now().timestamp() * MS_PER_SECOND)
            for number in range(3):
                fleet.apply(
                    AcceptJob(
                        job=JobId(f"short-{number}"),
                        queue=QUEUE.name,
                        submission=JobSubmission(payload="p", steps=(short,)),
                        accepted_ms=now_ms,
                    )
                )
            failed = EndedRun(task, RunNumber(1), RunEnd.FAILED)
            fleet.apply(EndRuns(workers=(WorkerEnds(worker.worker, (failed,)),)))
            starts = await fleet.run_round()
            self.assertEqual(starts[0].task, task)
            self.assertEqual(len(starts), 2)

        run_deterministic(check, seed=1)

    def test_first_start_of_a_standing_task_waits_for_jobs_on_time(self) -> None:
        job = make_job(Step(standing=True, tasks=2))
        self.assertFalse(is_interrupted(job))
        first, second = job.occurrences[0][0].tasks
        first.last_run, first.phase = RunNumber(1), TaskPhase.LIVE
        self.assertFalse(is_interrupted(job))
        second.last_run = RunNumber(1)
        self.assertTrue(is_interrupted(job))
        work = measure_work(job)
        rank = rank_job(work, QUEUE, timedelta(), 0.0, interrupted=True)
        on_time = measure_work(make_job(make_step()))
        self.assertLess(rank, rank_job(on_time, QUEUE, timedelta(), 0.0))
        self.assertLess(
            rank_job(on_time, QUEUE, timedelta(), 0.0),
            rank_job(work, QUEUE, timedelta(), 0.0),
        )

    def test_finite_tasks_are_never_interrupted(self) -> None:
        job = make_job(make_step())
        job.occurrences[0][0].tasks[0].last_run = RunNumber(1)
        self.assertFalse(is_interrupted(job))


if __name__ == "__main__":
    unittest.main()
