"""Tests of the progress of runs."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta

from rhubarbfield.scheduling.model import NO_CHECKPOINT, RunNumber, TaskName
from rhubarbfield.scheduling.ports import ActiveRun
from rhubarbfield.scheduling.progress import Progress, RunKey

LIMIT = timedelta(seconds=2)
FIRST_RUN = RunNumber(1)


def make_active(percents: dict[TaskName, float]) -> list[ActiveRun]:
    return [
        ActiveRun(task, FIRST_RUN, NO_CHECKPOINT, percent)
        for task, percent in percents.items()
    ]


class ProgressTest(unittest.TestCase):
    def test_stalled_runs_are_those_without_progress_for_the_limit(self) -> None:
        draw = random.Random(1)
        progress, now, stalls = Progress(), timedelta(seconds=10), 0
        percents = {TaskName(f"j.0.0.{index}"): 0.0 for index in range(4)}
        since = dict.fromkeys(percents, now)
        progress.update(make_active(percents), now)
        for _ in range(400):
            now += timedelta(seconds=draw.uniform(0, 1))
            for task in percents:
                if draw.random() < 0.2:
                    percents[task] += 1
                    since[task] = now
            progress.update(make_active(percents), now)
            if draw.random() < 0.1:
                reset = draw.choice(list(percents))
                progress.reset(RunKey(reset, FIRST_RUN), timedelta())
                since[reset] = now
            expected = [
                RunKey(task, FIRST_RUN) for task in since if now - since[task] > LIMIT
            ]
            stalls += len(expected)
            self.assertEqual(progress.list_stalled(LIMIT), expected)
        self.assertGreater(stalls, 50)

    def test_a_view_that_arrives_late_is_no_lack_of_progress(self) -> None:
        """A worker that was slow to report had its running work started elsewhere.

        Its reply was made 100 ms after the one before, and arrived 3 s later.
        """
        progress = Progress()
        runs = make_active({TaskName("j.0.0.0"): 10.0})
        progress.update(runs, timedelta(seconds=10))
        progress.update(runs, timedelta(seconds=10.1))
        self.assertEqual(progress.list_stalled(LIMIT), [])

    def test_a_worker_that_was_silent_can_still_show_progress(self) -> None:
        """Runs of a worker that was frozen for 5 s are not stopped on its return."""
        progress = Progress()
        task = TaskName("j.0.0.0")
        progress.update(make_active({task: 10.0}), timedelta(seconds=10))
        progress.update(make_active({task: 10.0}), timedelta(seconds=15))
        self.assertEqual(progress.list_stalled(LIMIT), [])
        progress.update(make_active({task: 11.0}), timedelta(seconds=15.2))
        progress.update(make_active({task: 11.0}), timedelta(seconds=16.2))
        self.assertEqual(progress.list_stalled(LIMIT), [])

    def test_a_run_that_stands_still_on_a_returned_worker_is_stalled(self) -> None:
        progress = Progress()
        runs = make_active({TaskName("j.0.0.0"): 10.0})
        for seconds in (10.0, 15.0, 15.5, 16.0):
            progress.update(runs, timedelta(seconds=seconds))
        self.assertEqual(
            progress.list_stalled(LIMIT), [RunKey(TaskName("j.0.0.0"), FIRST_RUN)]
        )


if __name__ == "__main__":
    unittest.main()
