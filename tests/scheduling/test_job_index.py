"""Tests of the index of open jobs, and of forgetting ended ones."""

from __future__ import annotations

import unittest
from datetime import timedelta

from rhubarbfield.scheduling.commands import ForgetJobs
from rhubarbfield.scheduling.job_index import JobIndex
from tests.replication.determinism import run_deterministic
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


if __name__ == "__main__":
    unittest.main()
