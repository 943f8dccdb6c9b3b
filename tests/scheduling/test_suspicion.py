"""Tests of what the crash of a worker says about the runs that it had."""

from __future__ import annotations

import unittest
from datetime import timedelta

from rhubarbfield.scheduling.crashes import CrashedRun, CrashEvidence
from rhubarbfield.scheduling.model import RunNumber, Step, TaskName
from rhubarbfield.scheduling.presence import PROOF_TIME, PresentRun
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.state import Task
from rhubarbfield.scheduling.suspicion import (
    CLEARING_TIME,
    COMMON_CAUSE_WORKERS,
    assess_runs,
    is_common_cause,
    record_crash,
)

FINITE = Step()
STANDING = Step(standing=True)
GANG = Step(tasks=2, gang=True)
JUST_NOW = timedelta(milliseconds=10)
# The users' limit: no third start after three workers have crashed.
MAX_STARTS = 3 + 2
ALONE, RECENT = CrashEvidence.ALONE, CrashEvidence.RECENT
EARLIER, CLEARED = CrashEvidence.EARLIER, CrashEvidence.CLEARED


def assess(
    steps: dict[str, Step],
    worked: dict[str, timedelta | None],
    *,
    common_cause: bool = False,
) -> dict[str, CrashEvidence]:
    """Return the evidence by task; the names of tasks begin with those of steps."""
    runs = [
        PresentRun(RunKey(TaskName(name), RunNumber(1)), time)
        for name, time in worked.items()
    ]
    assessed = assess_runs(
        runs,
        has_common_cause=common_cause,
        find_step=lambda task: steps.get(task.split(".")[0]),
    )
    return {each.task: each.evidence for each in assessed}


class AssessmentTest(unittest.TestCase):
    def test_only_run_that_had_just_started_is_told_from_the_others(self) -> None:
        worked = {"a.0": JUST_NOW, "b.0": PROOF_TIME, "c.0": CLEARING_TIME}
        steps = {"a": FINITE, "b": FINITE, "c": FINITE}
        self.assertEqual(
            assess(steps, worked), {"a.0": ALONE, "b.0": EARLIER, "c.0": EARLIER}
        )

    def test_runs_that_started_together_are_not_told_apart(self) -> None:
        worked: dict[str, timedelta | None] = {"a.0": JUST_NOW, "b.0": timedelta()}
        evidence = assess({"a": FINITE, "b": FINITE}, worked)
        self.assertEqual(evidence, {"a.0": RECENT, "b.0": RECENT})

    def test_members_of_one_gang_are_one_run(self) -> None:
        worked: dict[str, timedelta | None] = {"a.0": JUST_NOW, "a.1": JUST_NOW}
        self.assertEqual(assess({"a": GANG}, worked), {"a.0": ALONE, "a.1": ALONE})

    def test_run_of_unknown_age_may_be_the_cause(self) -> None:
        worked = {"a.0": JUST_NOW, "b.0": None}
        evidence = assess({"a": FINITE, "b": FINITE}, worked)
        self.assertEqual(evidence, {"a.0": RECENT, "b.0": EARLIER})

    def test_common_cause_suspects_nobody(self) -> None:
        worked = {"a.0": JUST_NOW, "b.0": PROOF_TIME, "c.0": None}
        steps = {"a": FINITE, "b": FINITE, "c": FINITE}
        evidence = assess(steps, worked, common_cause=True)
        self.assertEqual(evidence, {"a.0": EARLIER, "c.0": EARLIER})

    def test_standing_task_that_worked_for_long_is_cleared(self) -> None:
        worked: dict[str, timedelta | None] = {"a.0": CLEARING_TIME, "b.0": PROOF_TIME}
        evidence = assess({"a": STANDING, "b": STANDING}, worked)
        self.assertEqual(evidence, {"a.0": CLEARED, "b.0": EARLIER})


class CommonCauseTest(unittest.TestCase):
    def test_two_deadly_tasks_at_once_are_no_common_cause(self) -> None:
        self.assertFalse(is_common_cause(1, lambda: 1))
        self.assertFalse(is_common_cause(2, lambda: 0))

    def test_workers_that_had_started_nothing_show_a_common_cause(self) -> None:
        self.assertTrue(is_common_cause(2, lambda: 1))

    def test_many_workers_show_a_common_cause(self) -> None:
        self.assertTrue(is_common_cause(COMMON_CAUSE_WORKERS, lambda: 0))


class CountTest(unittest.TestCase):
    def count(
        self, *crashes: tuple[CrashEvidence, int], is_certain: bool = True
    ) -> tuple[int | None, Task]:
        """Return after how many crashes a task is given up, and the task.

        Parameters
        ----------
        *crashes
            Evidence of each crash, and how many runs had just started.
        is_certain
            Whether the workers had certainly started the task.
        """
        task = Task()
        for run, (evidence, recent) in enumerate(crashes, start=1):
            name = TaskName("j.0.0.0")
            each = CrashedRun(name, RunNumber(run), evidence, recent, is_certain)
            if record_crash(task, each):
                return run, task
        return None, task

    def test_second_crash_decides_if_few_others_had_just_started(self) -> None:
        self.assertEqual(self.count((ALONE, 1), (ALONE, 1))[0], 2)
        self.assertEqual(self.count((RECENT, 4), (ALONE, 1))[0], 2)
        self.assertIsNone(self.count((ALONE, 1))[0])
        self.assertIsNone(self.count((ALONE, 1), (RECENT, 2), (RECENT, 2))[0])

    def test_one_of_many_that_had_just_started_gets_another_try(self) -> None:
        self.assertIsNone(self.count((RECENT, 10), (ALONE, 1))[0])
        self.assertEqual(self.count((RECENT, 10), (ALONE, 1), (ALONE, 1))[0], 3)

    def test_job_is_failed_for_starts_that_may_never_have_happened(self) -> None:
        crashes = [(ALONE, 1)] * 4
        self.assertIsNone(self.count(*crashes, is_certain=False)[0])

    def test_no_sequence_allows_a_third_start_after_three_crashes(self) -> None:
        for crashes in (
            [(RECENT, 9)] * 6,
            [(EARLIER, 0)] * 6,
            [(RECENT, 2), (EARLIER, 3)] * 3,
        ):
            for is_certain in (False, True):
                given_up, _ = self.count(*crashes, is_certain=is_certain)
                self.assertEqual(given_up, MAX_STARTS)

    def test_members_of_a_gang_count_a_crash_once(self) -> None:
        task = Task()
        crashed = CrashedRun(TaskName("j.0.0.0"), RunNumber(3), RECENT, 2)
        self.assertFalse(record_crash(task, crashed))
        self.assertFalse(record_crash(task, crashed))
        self.assertEqual((task.crashes, task.blame), (1, 50))

    def test_crash_that_is_proved_after_later_ones_is_forgotten(self) -> None:
        task = Task()
        given_up = [
            record_crash(task, CrashedRun(TaskName("j.0.0.0"), RunNumber(run), EARLIER))
            for run in (2, 3, 4, 5, 1)
        ]
        self.assertEqual(given_up, [False, False, False, False, True])

    def test_cleared_task_starts_from_zero(self) -> None:
        crashes = ((RECENT, 2), (RECENT, 2), (CLEARED, 0), (ALONE, 1))
        given_up, task = self.count(*crashes)
        self.assertIsNone(given_up)
        self.assertEqual((task.crashes, task.blame), (1, 100))


if __name__ == "__main__":
    unittest.main()
