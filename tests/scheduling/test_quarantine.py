"""Tests of when quarantine and probation of a worker end."""

from __future__ import annotations

import unittest
from datetime import timedelta

from rhubarbfield.scheduling.model import RunNumber, TaskName
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.quarantine import WorkerQuarantine
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.types import WorkerId

SETTINGS = SchedulingSettings()
WORKER = WorkerId("w1")
BEGAN = timedelta(hours=1)
MOMENT = timedelta(milliseconds=10)
PROBE = RunKey(TaskName("j.0.0.0"), RunNumber(2))
MEMBER = RunKey(TaskName("j.0.0.1"), RunNumber(2))


def start_run(quarantine: WorkerQuarantine, run: RunKey, now: timedelta) -> None:
    """Record that a run was ordered, and that the worker answered at once."""
    quarantine.record_probe(WORKER, [run], now, is_standing=True)
    quarantine.record_presence(WORKER, run, now)


def make_quarantine() -> WorkerQuarantine:
    """Return a quarantine with a worker whose last run failed at ``BEGAN``."""
    quarantine = WorkerQuarantine(SETTINGS, lambda _step: set())
    for _ in range(SETTINGS.quarantine_failures):
        quarantine.record_failure(WORKER, BEGAN)
    return quarantine


class ProbationTest(unittest.TestCase):
    def test_starts_that_follow_the_probe_do_not_prolong_the_probation(self) -> None:
        """Standing tasks that followed one by one kept other tasks from a worker."""
        quarantine = make_quarantine()
        now = probed_at = BEGAN + SETTINGS.standing_probe_delay
        run = PROBE.run
        while now <= probed_at + SETTINGS.probe_duration:
            quarantine.record_presence(WORKER, PROBE, now)
            self.assertTrue(quarantine.is_on_probation(WORKER))
            start_run(quarantine, RunKey(PROBE.task, run), now)
            run = RunNumber(run + 1)
            now += SETTINGS.standing_probe_duration
        quarantine.record_presence(WORKER, PROBE, now)
        self.assertFalse(quarantine.is_on_probation(WORKER))

    def test_run_chosen_before_the_quarantine_began_is_no_probe(self) -> None:
        """The quarantine ended 2 s after the order of the run was sent."""
        stalled = WorkerQuarantine(SETTINGS, lambda _step: set())
        stalled.record_stall(WORKER, BEGAN)
        for quarantine in (make_quarantine(), stalled):
            start_run(quarantine, PROBE, BEGAN + MOMENT)
            now = BEGAN + SETTINGS.standing_probe_delay - MOMENT
            self.assertFalse(quarantine.is_eligible(WORKER, now))
            self.assertEqual(quarantine.count_standing_starts(WORKER, now), 0)
            now = BEGAN + SETTINGS.quarantine_duration
            self.assertTrue(quarantine.is_on_probation(WORKER))
            self.assertTrue(quarantine.may_probe(WORKER))

    def test_probe_that_fails_starts_the_quarantine_anew(self) -> None:
        quarantine = make_quarantine()
        probed_at = BEGAN + SETTINGS.standing_probe_delay
        self.assertEqual(quarantine.count_standing_starts(WORKER, probed_at), 1)
        start_run(quarantine, PROBE, probed_at)
        failed_at = probed_at + MOMENT
        self.assertEqual(quarantine.count_standing_starts(WORKER, failed_at), 0)
        quarantine.record_failure(WORKER, failed_at)
        now = failed_at + SETTINGS.standing_probe_delay - MOMENT
        self.assertEqual(quarantine.count_standing_starts(WORKER, now), 0)
        self.assertFalse(quarantine.is_eligible(WORKER, now))

    def test_run_from_before_the_quarantine_does_not_start_it_anew(self) -> None:
        quarantine = make_quarantine()
        now = BEGAN + SETTINGS.standing_probe_delay
        quarantine.record_failure(WORKER, now - MOMENT)
        self.assertEqual(quarantine.count_standing_starts(WORKER, now), 1)
        now = BEGAN + SETTINGS.quarantine_duration
        quarantine.record_failure(WORKER, now)
        self.assertTrue(quarantine.is_eligible(WORKER, now))
        self.assertTrue(quarantine.may_probe(WORKER))

    def test_probe_counts_from_when_all_its_runs_are_on_the_worker(self) -> None:
        """The probation ended 2 s after the order, whether or not it was answered."""
        quarantine = make_quarantine()
        now = BEGAN + SETTINGS.standing_probe_delay
        quarantine.record_probe(WORKER, [PROBE, MEMBER], now, is_standing=True)
        now += 2 * SETTINGS.probe_duration
        quarantine.record_presence(WORKER, PROBE, now)
        now += 2 * SETTINGS.probe_duration
        quarantine.record_presence(WORKER, PROBE, now)
        self.assertIsNone(quarantine.list_probes(WORKER)[MEMBER])
        self.assertEqual(quarantine.count_standing_starts(WORKER, now), 0)
        self.assertTrue(quarantine.is_on_probation(WORKER))
        quarantine.record_presence(WORKER, MEMBER, now)
        followed_at = now + SETTINGS.standing_probe_duration
        quarantine.record_presence(WORKER, MEMBER, followed_at - MOMENT)
        self.assertFalse(quarantine.has_proven_probe(WORKER))
        quarantine.record_presence(WORKER, PROBE, followed_at)
        self.assertTrue(quarantine.has_proven_probe(WORKER))
        ended_at = now + SETTINGS.probe_duration
        quarantine.record_presence(WORKER, PROBE, ended_at)
        self.assertTrue(quarantine.is_on_probation(WORKER))
        quarantine.record_presence(WORKER, PROBE, ended_at + MOMENT)
        self.assertFalse(quarantine.is_on_probation(WORKER))

    def test_probe_counts_until_its_worker_was_last_heard(self) -> None:
        quarantine = make_quarantine()
        now = BEGAN + SETTINGS.standing_probe_delay
        start_run(quarantine, PROBE, now)
        now += 2 * SETTINGS.probe_duration
        self.assertEqual(quarantine.count_standing_starts(WORKER, now), 0)
        self.assertTrue(quarantine.is_on_probation(WORKER))
        quarantine.record_failure(WORKER, now)
        self.assertFalse(quarantine.is_eligible(WORKER, now))

    def test_probe_that_is_stopped_lets_the_next_one_follow(self) -> None:
        """Its order counted as a success, or kept all other tasks away."""
        for has_answered in (False, True):
            quarantine = make_quarantine()
            now = BEGAN + SETTINGS.standing_probe_delay
            quarantine.record_probe(WORKER, [PROBE], now, is_standing=True)
            if has_answered:
                quarantine.record_presence(WORKER, PROBE, now)
            quarantine.record_end(WORKER, MEMBER)
            self.assertFalse(quarantine.may_probe(WORKER))
            now += SETTINGS.quarantine_duration - SETTINGS.standing_probe_delay
            quarantine.record_end(WORKER, PROBE)
            now += SETTINGS.probe_duration
            self.assertTrue(quarantine.is_on_probation(WORKER))
            self.assertTrue(quarantine.is_eligible(WORKER, now))
            self.assertTrue(quarantine.may_probe(WORKER))

    def test_standing_probe_does_not_end_the_probation_after_a_stall(self) -> None:
        """All finite tasks followed it to a worker that stalled still."""
        quarantine = WorkerQuarantine(SETTINGS, lambda _step: set())
        quarantine.record_stall(WORKER, BEGAN)
        now = BEGAN + SETTINGS.standing_probe_delay
        self.assertEqual(quarantine.count_standing_starts(WORKER, now), 1)
        start_run(quarantine, PROBE, now)
        now += SETTINGS.standing_probe_duration
        quarantine.record_presence(WORKER, PROBE, now)
        self.assertTrue(quarantine.has_proven_probe(WORKER))
        now += SETTINGS.probe_duration
        quarantine.record_presence(WORKER, PROBE, now)
        self.assertTrue(quarantine.is_on_probation(WORKER))
        self.assertTrue(quarantine.may_probe(WORKER))
        quarantine.record_probe(WORKER, [MEMBER], now, is_standing=False)
        quarantine.record_presence(WORKER, MEMBER, now, has_advanced=True)
        now += SETTINGS.probe_duration + MOMENT
        quarantine.record_presence(WORKER, MEMBER, now, has_advanced=True)
        self.assertFalse(quarantine.is_on_probation(WORKER))

    def test_finite_probe_without_progress_does_not_end_the_probation(self) -> None:
        """It was a success after 2 s, and a run counts as stalled after 2.5 s."""
        stalled = WorkerQuarantine(SETTINGS, lambda _step: set())
        stalled.record_stall(WORKER, BEGAN)
        for quarantine in (make_quarantine(), stalled):
            now = BEGAN + SETTINGS.quarantine_duration
            quarantine.record_probe(WORKER, [PROBE, MEMBER], now, is_standing=False)
            quarantine.record_presence(WORKER, PROBE, now, has_advanced=True)
            quarantine.record_presence(WORKER, MEMBER, now)
            now += SETTINGS.stall_timeout
            quarantine.record_presence(WORKER, MEMBER, now)
            self.assertTrue(quarantine.is_on_probation(WORKER))
            self.assertFalse(quarantine.may_probe(WORKER))
            quarantine.record_presence(WORKER, MEMBER, now, has_advanced=True)
            self.assertFalse(quarantine.is_on_probation(WORKER))

    def test_failures_that_are_far_apart_do_not_start_a_quarantine(self) -> None:
        """Nothing reset them on a worker with standing tasks only."""
        quarantine = WorkerQuarantine(SETTINGS, lambda _step: set())
        apart = SETTINGS.failure_retention + MOMENT
        for number in range(3 * SETTINGS.quarantine_failures):
            now = BEGAN + number * apart
            quarantine.record_failure(WORKER, now)
            self.assertFalse(quarantine.is_on_probation(WORKER))
            self.assertEqual(quarantine.count_failures(WORKER), 1)
        quarantine.record_failure(WORKER, now + SETTINGS.failure_retention)
        self.assertTrue(quarantine.is_on_probation(WORKER))

    def test_probe_that_fails_late_starts_the_quarantine_anew(self) -> None:
        quarantine = make_quarantine()
        now = BEGAN + 2 * SETTINGS.failure_retention
        start_run(quarantine, PROBE, now)
        quarantine.record_failure(WORKER, now + MOMENT)
        self.assertFalse(quarantine.is_eligible(WORKER, now + 2 * MOMENT))

    def test_probe_that_fails_after_a_stall_does_not_end_the_probation(self) -> None:
        """One failure is no quarantine, and 2 s later the probe was a success."""
        quarantine = WorkerQuarantine(SETTINGS, lambda _step: set())
        quarantine.record_stall(WORKER, BEGAN)
        now = BEGAN + SETTINGS.quarantine_duration
        start_run(quarantine, PROBE, now)
        quarantine.record_failure(WORKER, now)
        quarantine.record_end(WORKER, PROBE)
        now += SETTINGS.probe_duration + MOMENT
        self.assertTrue(quarantine.is_on_probation(WORKER))
        self.assertTrue(quarantine.may_probe(WORKER))


if __name__ == "__main__":
    unittest.main()
