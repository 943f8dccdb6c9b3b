"""Tests of jobs that arrive faster than the workers can do them."""

from __future__ import annotations

import functools
import random
import unittest
from datetime import timedelta

from rhubarbfield.scheduling.ordering import LATE_GOAL_MULTIPLE
from tests.replication.determinism import run_deterministic
from tests.scheduling.overloads import (
    OVERLOAD_SECONDS,
    Outcome,
    TimedJob,
    make_calm_load,
    make_load,
    play,
)

SEED = 1
OVERLOAD = 1.75  # submitted work, as a multiple of what the workers can do
AT_ONCE_SECONDS = 0.1

MIN_ENDED_SHARE = 0.9
MIN_WORK_SHARE = 0.7
MIN_ON_TIME_SHARE = 0.95


@functools.cache
def play_overload() -> Outcome:
    """Return the outcome of more work than the workers can do, then less."""
    rng = random.Random(SEED)
    pressed = make_load("pressed", rng, load=OVERLOAD, seconds=OVERLOAD_SECONDS)
    calm = make_calm_load(rng)
    return run_deterministic(lambda: play(pressed, calm), seed=SEED)


class OverloadTest(unittest.TestCase):
    """Failures of a scheduler that accepts whatever arrives."""

    def check_on_time(self, jobs: list[TimedJob]) -> None:
        late = [each.job for each in jobs if not each.has_ended_within(1)]
        refused = [each.job for each in jobs if not each.is_accepted]
        on_time = 1 - len(late) / len(jobs)
        self.assertGreaterEqual(on_time, MIN_ON_TIME_SHARE, f"{late=} {refused=}")

    def test_accepted_jobs_end_while_their_callers_have_a_use_for_them(self) -> None:
        accepted = play_overload().accepted
        useful = [
            each for each in accepted if each.has_ended_within(LATE_GOAL_MULTIPLE)
        ]
        self.assertGreaterEqual(
            len(useful),
            MIN_ENDED_SHARE * len(accepted),
            f"{len(useful)} of {len(accepted)} accepted jobs",
        )

    def test_surplus_is_refused_at_once_with_a_time_to_come_back(self) -> None:
        refused = play_overload().refused
        self.assertTrue(refused, "no job was refused")
        for job in refused:
            self.assertLess(job.answered_at - job.sent_at, AT_ONCE_SECONDS, job.job)
            retry_after = getattr(job.reply, "retry_after", None)
            self.assertIsInstance(retry_after, timedelta, job.reply)
            self.assertGreater(retry_after, timedelta(), job.reply)

    def test_refused_jobs_never_start(self) -> None:
        outcome = play_overload()
        refused = {each.job for each in outcome.refused}
        self.assertTrue(refused, "no job was refused")
        self.assertFalse(refused & outcome.started)

    def test_workers_neither_idle_nor_do_work_that_comes_too_late(self) -> None:
        share = play_overload().measure_useful_work()
        self.assertGreaterEqual(share, MIN_WORK_SHARE)

    def test_jobs_are_on_time_soon_after_an_overload(self) -> None:
        self.check_on_time(play_overload().calm)

    def test_jobs_that_workers_can_do_are_accepted_and_on_time(self) -> None:
        calm = make_calm_load(random.Random(SEED))
        outcome = run_deterministic(lambda: play([], calm), seed=SEED)
        self.check_on_time(outcome.calm)


if __name__ == "__main__":
    unittest.main()
