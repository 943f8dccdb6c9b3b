"""Tests of starting, reporting, evicting and resizing attempts."""

from __future__ import annotations

import unittest
from datetime import timedelta

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.machine import Refused
from rhubarbfield.placement import (
    AttemptsEvicting,
    AttemptsReported,
    AttemptsStarted,
    AttemptStart,
    EvictAttempts,
    Eviction,
    LoseWorker,
    Quota,
    Resize,
    ResizeAttempts,
    Resources,
    SetQuota,
    StartAttempts,
    StartedAttempt,
    StartRefusal,
    TaskState,
    check_state,
    list_orders,
)
from rhubarbfield.types import (
    AttemptState,
    Epoch,
    JobId,
    JobState,
    TaskId,
    Tenant,
    WorkerId,
    WorkKind,
)
from tests.placement.builders import MINUTE, Bench

W0 = WorkerId("w0")


def evict(bench: Bench, order: StartedAttempt) -> AttemptsEvicting:
    eviction = Eviction(order.attempt, order.worker, "test")
    reply = bench.apply(EvictAttempts(at=bench.now, evictions=(eviction,)))
    assert isinstance(reply, AttemptsEvicting)
    return reply


def lose(bench: Bench, worker: str = "w0", epoch: int = 1) -> object:
    name = WorkerId(worker)
    return bench.apply(
        LoseWorker(at=bench.now, worker=name, epoch=Epoch(epoch), reason="lapsed")
    )


class StartAttemptsTest(unittest.TestCase):
    def refuse(self, bench: Bench, task: str, worker: str, cores: float = 1.0) -> str:
        reply = bench.start(task, worker, cores)
        assert isinstance(reply, AttemptsStarted) and reply.refused, reply
        return reply.refused[0].refusal

    def test_commitments_never_exceed_capacity(self) -> None:
        bench = Bench()
        bench.accept(tasks=3)
        bench.begin("j/0", "w0", cores=5)
        refusal = self.refuse(bench, "j/1", "w0", cores=4)
        self.assertEqual(refusal, StartRefusal.NO_ROOM)
        bench.begin("j/1", "w0", cores=3)

    def test_a_task_never_has_two_attempts(self) -> None:
        bench = Bench()
        bench.accept()
        order = bench.begin("j/0", "w0")
        self.assertEqual(self.refuse(bench, "j/0", "w1"), StartRefusal.NOT_PENDING)
        evict(bench, order)
        self.assertEqual(self.refuse(bench, "j/0", "w1"), StartRefusal.NOT_PENDING)

    def test_a_quota_limits_the_commitments_of_a_tenant(self) -> None:
        bench = Bench()
        bench.accept(tasks=3)
        quota = Quota(limit=Resources.of(2, 4096))
        bench.apply(SetQuota(at=bench.now, tenant=Tenant("t"), quota=quota))
        bench.begin("j/0", "w0")
        bench.begin("j/1", "w1")
        self.assertEqual(self.refuse(bench, "j/2", "w1"), StartRefusal.OVER_QUOTA)

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        bench = Bench()
        bench.accept(tasks=3, cores=4.0, gang=True)
        size = Resources.of(4, 1024)

        def start(*places: str) -> AttemptsStarted:
            starts = tuple(
                AttemptStart(TaskId(f"j/{index}"), WorkerId(place), size)
                for index, place in enumerate(places)
            )
            reply = bench.apply(StartAttempts(at=bench.now, starts=starts))
            assert isinstance(reply, AttemptsStarted)
            return reply

        self.assertFalse(start("w0", "w0").started)
        self.assertFalse(start("w0", "w0", "w0").started)
        self.assertFalse(bench.state.workers[W0].live)
        whole = start("w0", "w0", "w1").started
        self.assertEqual(len(whole), 3)
        evicting = evict(bench, whole[0]).evicting
        self.assertEqual(len(evicting), 3)

    def test_a_lost_gang_task_evicts_the_others(self) -> None:
        bench = Bench()
        bench.accept(tasks=2, gang=True, cores=6.0, memory_mb=1024)
        bench.run_round()
        self.assertEqual(len(bench.state.jobs[JobId("j")].live), 2)
        lose(bench)
        stop = list_orders(bench.state, WorkerId("w1")).stop
        self.assertEqual(len(stop), 1)


class ReportAttemptsTest(unittest.TestCase):
    def test_evicted_work_resumes_once_from_its_last_checkpoint(self) -> None:
        bench = Bench()
        bench.accept()
        order = bench.begin("j/0", "w0")
        bench.report_state(order, AttemptState.RUNNING, "c1")
        evict(bench, order)
        bench.report_state(order, AttemptState.EVICTED, "c2")
        again = bench.begin("j/0", "w1")
        self.assertEqual(again.checkpoint, "c2")
        late = bench.report_state(order, AttemptState.EVICTED, "c3")
        assert isinstance(late, AttemptsReported)
        self.assertEqual(late.ignored, (order.attempt,))
        self.assertEqual(bench.state.tasks[order.task].checkpoint, "c2")

    def test_a_held_attempt_resumes_in_place(self) -> None:
        bench = Bench()
        bench.accept()
        order = bench.begin("j/0", "w0")
        bench.report_state(order, AttemptState.HELD, "c1")
        self.assertFalse(bench.run_round().commands)
        bench.report_state(order, AttemptState.RUNNING)
        live = bench.state.tasks[order.task].live
        assert live is not None
        self.assertIs(live.state, AttemptState.RUNNING)
        self.assertEqual(live.attempt, order.attempt)

    def test_a_worker_may_be_lost_at_every_state_of_an_attempt(self) -> None:
        for state in ("starting", "running", "held", "evicting"):
            with self.subTest(state=state):
                bench = Bench()
                bench.accept()
                order = bench.start("j/0", "w0").started[0]  # type: ignore[attr-defined]
                if state != "starting":
                    bench.report_state(order, AttemptState.RUNNING, "c1")
                if state == "held":
                    bench.report_state(order, AttemptState.HELD)
                if state == "evicting":
                    evict(bench, order)
                lose(bench)
                self.assertIsInstance(lose(bench), Refused)
                bench.add_worker("w0", incarnation="2")
                again = bench.begin("j/0", "w0")
                expected = None if state == "starting" else "c1"
                self.assertEqual(again.checkpoint, expected)
                self.assertGreater(again.epoch, order.epoch)
                bench.report_state(order, AttemptState.SUCCEEDED)
                task = bench.state.tasks[order.task]
                self.assertIs(task.state, TaskState.LIVE)

    def test_a_task_fails_its_job_after_failures_on_distinct_workers(self) -> None:
        bench = Bench(workers=4)
        bench.accept(tasks=2, max_failures=3)
        for worker in ("w0", "w1", "w2"):
            self.assertIs(
                bench.state.jobs[JobId("j")].state.value in ("queued", "running"), True
            )
            bench.report_state(bench.begin("j/0", worker), AttemptState.FAILED)
            bench.now += MINUTE
        job = bench.state.jobs[JobId("j")]
        self.assertIs(job.state, JobState.FAILED)
        self.assertIn("w0, w1, w2", job.reason)
        self.assertFalse(job.pending)

    def test_failures_on_a_single_worker_fail_the_job(self) -> None:
        bench = Bench(workers=1)
        bench.accept(max_failures=1)
        bench.report_state(bench.begin("j/0", "w0"), AttemptState.FAILED)
        self.assertIs(bench.state.jobs[JobId("j")].state, JobState.FAILED)

    def test_standing_work_restarts_indefinitely_with_backoff(self) -> None:
        bench = Bench()
        bench.accept(kind=WorkKind.STANDING)
        waits = []
        for _ in range(12):
            bench.report_state(bench.begin("j/0", "w0"), AttemptState.FAILED)
            task = bench.state.tasks[TaskId("j/0")]
            waits.append(task.not_before - bench.now)
            self.assertFalse(bench.plan().commands)
            bench.now = task.not_before
        self.assertEqual(waits, sorted(waits))
        self.assertEqual(waits[-1], timedelta(minutes=5))
        order = bench.begin("j/0", "w0")
        bench.now += timedelta(hours=1)
        bench.report_state(order, AttemptState.SUCCEEDED)
        task = bench.state.tasks[TaskId("j/0")]
        self.assertEqual(task.not_before - bench.now, timedelta(seconds=1))

    def test_history_is_bounded(self) -> None:
        bench = Bench()
        bench.accept()
        for _ in range(20):
            order = bench.begin("j/0", "w0")
            bench.report_state(order, AttemptState.EVICTED)
        self.assertEqual(len(bench.state.tasks[TaskId("j/0")].past), 8)


class ResizeAttemptsTest(unittest.TestCase):
    def test_only_what_fits_is_resized(self) -> None:
        bench = Bench()
        bench.accept(tasks=2)
        order = bench.begin("j/0", "w0", cores=3)
        bench.begin("j/1", "w0", cores=3)
        for cores, expected in ((6, 3000), (5, 5000), (1, 1000)):
            resize = Resize(order.attempt, W0, Resources.of(cores, 1024))
            bench.apply(ResizeAttempts(at=bench.now, resizes=(resize,)))
            live = bench.state.tasks[order.task].live
            assert live is not None
            self.assertEqual(live.size.millicores, expected)

    def test_a_wrong_commitment_sum_breaks_an_invariant(self) -> None:
        bench = Bench()
        bench.accept()
        bench.begin("j/0", "w0")
        bench.state.workers[W0].committed = Resources()
        with self.assertRaises(BrokenInvariantError):
            check_state(bench.state)
