"""Tests of accepting, rejecting and cancelling jobs."""

from __future__ import annotations

import math
import unittest
from datetime import timedelta

from rhubarbfield.machine import Refused
from rhubarbfield.placement import (
    CancelJobs,
    EvictAttempts,
    Eviction,
    ForgetFinished,
    ImpossibleReason,
    JobAccepted,
    JobImpossible,
    JobsCancelled,
    Quota,
    Resources,
    SetQuota,
    TaskState,
)
from rhubarbfield.types import AttemptState, JobId, JobState, TaskId, Tenant
from tests.placement.builders import Bench

J = JobId("j")


class AcceptJobTest(unittest.TestCase):
    def test_is_idempotent_and_refuses_another_job_of_the_same_name(self) -> None:
        bench = Bench()
        self.assertEqual(bench.accept(tasks=2), JobAccepted(job=J, tasks=2))
        self.assertEqual(bench.accept(tasks=2), JobAccepted(job=J, tasks=2))
        self.assertIsInstance(bench.accept(tasks=3), Refused)
        self.assertEqual(len(bench.state.tasks), 2)

    def test_impossible_jobs_are_reported_at_once(self) -> None:
        cases = (
            ({"tasks": 0}, ImpossibleReason.NO_TASKS),
            ({"tasks": 10_001}, ImpossibleReason.TOO_MANY_TASKS),
            ({"cores": 0.0}, ImpossibleReason.BAD_SIZE),
            ({"cores": math.nan}, ImpossibleReason.BAD_SIZE),
            ({"cores": math.inf}, ImpossibleReason.BAD_SIZE),
            ({"memory_mb": -1}, ImpossibleReason.BAD_SIZE),
            ({"cores": 9.0}, ImpossibleReason.TOO_MANY_CORES),
            ({"memory_mb": 31_000}, ImpossibleReason.TOO_MUCH_MEMORY),
            ({"accelerators": 1}, ImpossibleReason.NO_ACCELERATOR),
            ({"cores": 5.0, "tasks": 3, "gang": True}, ImpossibleReason.GANG_TOO_LARGE),
        )
        for fields, reason in cases:
            with self.subTest(reason=reason):
                bench = Bench()
                reply = bench.accept(**fields)
                assert isinstance(reply, JobImpossible), reply
                self.assertIs(reply.impossible.reason, reason)
                self.assertIs(bench.state.jobs[J].state, JobState.IMPOSSIBLE)
                self.assertFalse(bench.state.waiting)

    def test_names_the_nearest_fit(self) -> None:
        bench = Bench(workers=1)
        bench.add_worker("large", cores=12)
        reply = bench.accept(cores=14.0)
        assert isinstance(reply, JobImpossible)
        self.assertEqual(reply.impossible.nearest_worker, "large")

    def test_a_job_is_impossible_only_if_it_exceeds_the_quota_by_itself(self) -> None:
        bench = Bench()
        quota = Quota(limit=Resources.of(2, 4096))
        bench.apply(SetQuota(at=bench.now, tenant=Tenant("t"), quota=quota))
        reply = bench.accept(cores=3.0)
        assert isinstance(reply, JobImpossible)
        self.assertIs(reply.impossible.reason, ImpossibleReason.EXCEEDS_QUOTA)
        self.assertIsInstance(bench.accept(job="k", cores=1.0, tasks=9), JobAccepted)

    def test_a_weight_has_to_be_a_number_above_0(self) -> None:
        bench = Bench()
        for weight in (0.0, -1.0, math.nan, math.inf):
            quota = Quota(weight=weight)
            reply = bench.apply(SetQuota(at=bench.now, tenant=Tenant("t"), quota=quota))
            self.assertIsInstance(reply, Refused)

    def test_nothing_is_too_large_while_no_worker_is_known(self) -> None:
        bench = Bench(workers=0)
        self.assertIsInstance(bench.accept(cores=500.0), JobAccepted)

    def test_an_impossible_job_is_checked_again_when_resubmitted(self) -> None:
        bench = Bench()
        self.assertIsInstance(bench.accept(cores=12.0), JobImpossible)
        bench.add_worker("large", cores=16)
        self.assertIsInstance(bench.accept(cores=12.0), JobAccepted)


class CancelJobsTest(unittest.TestCase):
    def cancel(self, bench: Bench, *jobs: str) -> JobsCancelled:
        names = tuple(JobId(job) for job in jobs)
        reply = bench.apply(CancelJobs(at=bench.now, jobs=names))
        assert isinstance(reply, JobsCancelled)
        return reply

    def test_cancelling_is_idempotent(self) -> None:
        bench = Bench()
        bench.accept("a", tasks=3)
        bench.accept("b")
        bench.begin("a/0", "w0")
        first = self.cancel(bench, "a", "b", "a", "unknown")
        self.assertEqual(first.cancelled, ("a", "b", "a"))
        self.assertEqual(first.unknown, ("unknown",))
        self.assertEqual([stop.attempt for stop in first.stopping], ["a/0#1"])
        again = self.cancel(bench, "a", "b")
        self.assertEqual(again.cancelled, ("a", "b"))
        self.assertEqual(again.stopping, ())
        self.assertFalse(bench.state.waiting)

    def test_cancelling_races_with_start_completion_and_eviction(self) -> None:
        endings = (
            (AttemptState.EVICTED, TaskState.CANCELLED),
            (AttemptState.SUCCEEDED, TaskState.SUCCEEDED),
            (AttemptState.FAILED, TaskState.CANCELLED),
        )
        for before in ("starting", "running", "evicting"):
            for ending, expected in endings:
                with self.subTest(before=before, ending=ending):
                    bench = Bench()
                    bench.accept()
                    order = bench.start("j/0", "w0").started[0]  # type: ignore[attr-defined]
                    if before != "starting":
                        bench.report_state(order, AttemptState.RUNNING)
                    if before == "evicting":
                        eviction = Eviction(order.attempt, order.worker, "test")
                        bench.apply(EvictAttempts(at=bench.now, evictions=(eviction,)))
                    self.cancel(bench, "j")
                    self.assertEqual(
                        bench.state.workers[order.worker].live,
                        {order.attempt: order.task},
                    )
                    bench.report_state(order, ending)
                    bench.report_state(order, ending)
                    self.assertIs(bench.state.tasks[order.task].state, expected)
                    self.assertIs(bench.state.jobs[J].state, JobState.CANCELLED)
                    self.assertIsNotNone(bench.state.jobs[J].finished_at)
                    self.assertFalse(bench.run_round().commands)

    def test_cancelling_does_not_change_finished_jobs(self) -> None:
        bench = Bench()
        bench.accept()
        bench.report_state(bench.begin("j/0", "w0"), AttemptState.SUCCEEDED)
        self.assertEqual(self.cancel(bench, "j").finished, ("j",))
        self.assertIs(bench.state.jobs[J].state, JobState.SUCCEEDED)

    def test_only_old_finished_jobs_are_forgotten(self) -> None:
        bench = Bench()
        bench.accept("old")
        bench.accept("open")
        self.cancel(bench, "old")
        soon = bench.now + timedelta(seconds=1)
        bench.apply(ForgetFinished(at=soon, before=bench.now))
        self.assertIn(JobId("old"), bench.state.jobs)
        bench.apply(ForgetFinished(at=soon, before=soon))
        self.assertEqual(list(bench.state.jobs), ["open"])
        self.assertEqual(list(bench.state.tasks), [TaskId("open/0")])
