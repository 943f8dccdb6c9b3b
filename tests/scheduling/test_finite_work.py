"""Tests of how finite jobs are served while standing work asks for every core."""

from __future__ import annotations

import unittest
from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import partial
from itertools import pairwise

import trio

from rhubarbfield.scheduling.model import Demand, Step
from tests.replication.determinism import run_deterministic
from tests.scheduling.oversubscription import (
    FINITE,
    LARGE_TASKS,
    SETTLING_SECONDS,
    TASK_MEMORY_MB,
    Request,
    Site,
    play_oversubscription,
)

SEEDS = (4, 28)
AT_ONCE = timedelta(milliseconds=100)
SERVED_GOAL_MULTIPLE = 3  # a job that takes longer is of no use to its caller
MIN_ON_TIME_SHARE = 0.5
MIN_SERVED_RATIO = 0.5  # share served of the largest jobs, per share of all
MIN_STANDING_SHARE = 0.75
LOST_SHARE = 0.1


def find_share(requests: Sequence[Request], holds: Callable[[Request], bool]) -> float:
    """Return the share of the requests for which a condition holds."""
    return sum(map(holds, requests)) / len(requests)


def is_on_time(request: Request) -> bool:
    return request.is_completed_within(1)


def is_served(request: Request) -> bool:
    return request.is_completed_within(SERVED_GOAL_MULTIPLE)


class OversubscribedSiteTest(unittest.TestCase):
    """Finite jobs arrive at a site that standing jobs could fill by themselves."""

    sites: dict[int, Site]

    @classmethod
    def setUpClass(cls) -> None:
        cls.sites = {
            seed: run_deterministic(partial(play_oversubscription, seed), seed)
            for seed in SEEDS
        }

    def test_finite_jobs_are_not_late_because_of_standing_work(self) -> None:
        for seed, site in self.sites.items():
            with self.subTest(seed=seed):
                share = find_share(site.select(FINITE), is_on_time)
                self.assertGreaterEqual(share, MIN_ON_TIME_SHARE)

    def test_large_finite_jobs_are_not_left_behind_small_ones(self) -> None:
        for seed, site in self.sites.items():
            with self.subTest(seed=seed):
                requests = sorted(site.select(FINITE), key=lambda each: -each.work)
                of_all = find_share(requests, is_served)
                tenth = len(requests) // 10
                for first, last in pairwise((0, tenth, 3 * tenth)):
                    with self.subTest(largest=(first, last)):
                        share = find_share(requests[first:last], is_served)
                        self.assertGreaterEqual(share, MIN_SERVED_RATIO * of_all)

    def test_standing_tasks_do_not_lose_their_cores_to_finite_jobs(self) -> None:
        for seed, site in self.sites.items():
            with self.subTest(seed=seed):
                self.assertGreaterEqual(min(site.standing_shares), MIN_STANDING_SHARE)

    def test_rejected_jobs_are_answered_at_once_and_never_start(self) -> None:
        for seed, site in self.sites.items():
            with self.subTest(seed=seed):
                started = site.list_started()
                for request in site.requests:
                    if not request.is_accepted:
                        waited = request.answered_at - request.submitted_at
                        self.assertLessEqual(waited, AT_ONCE, request.job)
                        self.assertNotIn(request.job, started)


class LostWorkersTest(unittest.TestCase):
    """A tenth of the workers of a site that standing jobs could fill is lost."""

    sites: dict[int, Site]

    @classmethod
    def setUpClass(cls) -> None:
        play = partial(play_oversubscription, sizes=LARGE_TASKS, lost_share=LOST_SHARE)
        cls.sites = {
            seed: run_deterministic(partial(play, seed), seed) for seed in SEEDS
        }

    def test_standing_tasks_of_lost_workers_leave_room_for_finite_jobs(self) -> None:
        for seed, site in self.sites.items():
            with self.subTest(seed=seed):
                share = find_share(site.select(FINITE), is_on_time)
                self.assertGreaterEqual(share, MIN_ON_TIME_SHARE)

    def test_standing_tasks_of_lost_workers_are_started_again(self) -> None:
        for seed, site in self.sites.items():
            with self.subTest(seed=seed):
                waiting = sum(
                    job.is_open and job.get_step(0).standing and progress.has_waiting
                    for job in site.deployment.state.jobs.values()
                    for progress in job.occurrences[0]
                )
                self.assertEqual(waiting, 0)


class SingleTaskTest(unittest.TestCase):
    def test_finite_task_of_a_third_of_a_worker_does_not_wait_for_standing_work(
        self,
    ) -> None:
        site = run_deterministic(self._play, seed=1)
        self.assertIn(site.requests[-1].job, site.list_started())

    async def _play(self) -> Site:
        site = Site(seed=1, workers=6)
        await site.configure()
        async with site.deployment.lead():
            await trio.sleep(SETTLING_SECONDS)
            await site.submit_standing()
            await trio.sleep(SETTLING_SECONDS)
            step = Step(demand=Demand(21_000, TASK_MEMORY_MB), estimate_ms=500)
            await site.submit(FINITE, step, durations=(timedelta(seconds=0.5),))
            await trio.sleep(AT_ONCE.total_seconds())
        return site


if __name__ == "__main__":
    unittest.main()
