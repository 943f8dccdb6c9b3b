"""Tests of the order in which waiting jobs are served."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.model import Demand, JobSubmission, Step
from rhubarbfield.scheduling.ordering import (
    Outlook,
    find_goal,
    find_outlook,
    measure_work,
    rank_job,
)
from rhubarbfield.scheduling.state import Job
from rhubarbfield.types import JobId
from tests.scheduling.deployments import QUEUE


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


if __name__ == "__main__":
    unittest.main()
