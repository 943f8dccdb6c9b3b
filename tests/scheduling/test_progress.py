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
                progress.reset(RunKey(reset, FIRST_RUN), now)
                since[reset] = now
            expected = [
                RunKey(task, FIRST_RUN) for task in since if now - since[task] > LIMIT
            ]
            stalls += len(expected)
            self.assertEqual(progress.list_stalled(LIMIT), expected)
        self.assertGreater(stalls, 50)


if __name__ == "__main__":
    unittest.main()
