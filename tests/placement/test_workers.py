"""Tests of workers that join, shrink, drain and are quarantined."""

from __future__ import annotations

import unittest
from datetime import timedelta

from rhubarbfield.machine import Done, Refused
from rhubarbfield.placement import (
    LoseWorker,
    QuarantineState,
    RemoveWorker,
    Resources,
    SetDraining,
    SetQuarantine,
    UpdateWorker,
    WorkerAdded,
    list_orders,
)
from rhubarbfield.types import AttemptState, Epoch, TaskId, WorkerId, WorkKind
from tests.placement.builders import MINUTE, Bench

W0 = WorkerId("w0")


def quarantine(bench: Bench, worker: str) -> object:
    return bench.apply(
        SetQuarantine(
            at=bench.now,
            worker=WorkerId(worker),
            state=QuarantineState.QUARANTINED,
        )
    )


class JoiningTest(unittest.TestCase):
    def test_epochs_only_grow(self) -> None:
        bench = Bench(workers=1)
        same = bench.add_worker("w0")
        self.assertEqual(same, WorkerAdded(worker=W0, epoch=Epoch(1)))
        self.assertIsInstance(bench.add_worker("w0", incarnation="2"), Refused)
        bench.apply(LoseWorker(at=bench.now, worker=W0, epoch=Epoch(1), reason="x"))
        reply = bench.add_worker("w0", incarnation="2")
        self.assertEqual(reply, WorkerAdded(worker=W0, epoch=Epoch(2)))

    def test_only_absent_workers_are_removed(self) -> None:
        bench = Bench()
        remove = RemoveWorker(at=bench.now, worker=W0)
        self.assertIsInstance(bench.apply(remove), Refused)
        bench.apply(LoseWorker(at=bench.now, worker=W0, epoch=Epoch(1), reason="x"))
        self.assertEqual(bench.apply(remove), Done())
        self.assertEqual(bench.apply(remove), Done())

    def lose_attempts(self, bench: Bench, runs: int, *, delays: bool) -> list[float]:
        """Lose each worker that starts a task; return the delays between attempts."""
        bench.accept()
        delays_s = []
        for number in range(runs):
            lost_at = bench.now
            while bench.state.tasks[TaskId("j/0")].not_before > bench.now:
                bench.now += timedelta(seconds=1)
            delays_s.append((bench.now - lost_at).total_seconds())
            bench.begin("j/0", f"w{number}")
            bench.apply(
                LoseWorker(
                    at=bench.now,
                    worker=WorkerId(f"w{number}"),
                    epoch=Epoch(1),
                    reason="x",
                    delays_restarts=delays,
                )
            )
        return delays_s

    def test_task_that_ends_its_workers_is_started_again_at_once_each_time(
        self,
    ) -> None:
        delays = self.lose_attempts(Bench(workers=7), 6, delays=True)
        self.assertEqual(delays, [0, 0, 1, 2, 4, 8])

    def test_losses_in_a_log_of_an_earlier_version_delay_nothing(self) -> None:
        bench = Bench(workers=7)
        delays = self.lose_attempts(bench, 6, delays=False)
        self.assertEqual(delays, [0] * 6)
        # A replica restored from a snapshot of that version counts none, either.
        self.assertEqual(bench.state.tasks[TaskId("j/0")].losses, 0)

    def test_attempts_are_evicted_from_a_shrunk_worker(self) -> None:
        bench = Bench(workers=1)
        bench.accept(tasks=2)
        first = bench.begin("j/0", "w0", cores=3)
        bench.now += MINUTE
        bench.begin("j/1", "w0", cores=3)
        smaller = Resources.of(4, 32_000)
        bench.apply(
            UpdateWorker(at=bench.now, worker=W0, epoch=Epoch(1), capacity=smaller)
        )
        self.assertEqual(bench.state.workers[W0].capacity.millicores, 6000)
        bench.run_round()
        stopped = [
            task.live
            for task in bench.state.tasks.values()
            if task.live and task.live.state is AttemptState.EVICTING
        ]
        self.assertEqual([one.attempt for one in stopped], ["j/1#1"])
        bench.report_state(first, AttemptState.SUCCEEDED)
        self.assertEqual(bench.state.workers[W0].capacity.millicores, 4000)


class DrainingTest(unittest.TestCase):
    def test_standing_work_is_drained_one_task_at_a_time(self) -> None:
        bench = Bench(workers=2, cores=16)
        bench.accept(kind=WorkKind.STANDING, tasks=4, memory_mb=200)
        bench.run_round()
        bench.apply(SetDraining(at=bench.now, worker=W0, draining=True))
        moved = []
        for _ in range(6):
            bench.run_round()
            stop = list_orders(bench.state, W0).stop
            self.assertLessEqual(len(stop), 1)
            for order in stop:
                moved.append(order.attempt)
                bench.report_state(order, AttemptState.EVICTED)
        self.assertEqual(len(moved), 2)
        self.assertFalse(bench.state.workers[W0].live)


class QuarantineTest(unittest.TestCase):
    def test_at_most_a_third_of_workers_are_quarantined(self) -> None:
        bench = Bench(workers=6)
        replies = [quarantine(bench, f"w{number}") for number in range(6)]
        self.assertEqual(replies[:2], [Done(), Done()])
        self.assertTrue(all(isinstance(reply, Refused) for reply in replies[2:]))

    def test_losing_workers_releases_those_longest_quarantined(self) -> None:
        bench = Bench(workers=6)
        quarantine(bench, "w0")
        bench.now += MINUTE
        quarantine(bench, "w1")
        for name in ("w2", "w3", "w4"):
            worker = WorkerId(name)
            bench.apply(
                LoseWorker(at=bench.now, worker=worker, epoch=Epoch(1), reason="x")
            )
        states = [bench.state.workers[WorkerId(w)].quarantine for w in ("w0", "w1")]
        self.assertEqual(states, [QuarantineState.TRUSTED, QuarantineState.QUARANTINED])

    def test_a_quarantined_worker_gets_one_probe_and_is_released_by_success(
        self,
    ) -> None:
        bench = Bench(workers=3)
        bench.accept(tasks=4)
        bench.report_state(bench.begin("j/0", "w1"), AttemptState.SUCCEEDED)
        quarantine(bench, "w0")
        self.assertFalse(bench.start("j/1", "w0").started)  # type: ignore[attr-defined]
        bench.now += MINUTE
        probe = bench.begin("j/1", "w0")
        self.assertFalse(bench.start("j/2", "w0").started)  # type: ignore[attr-defined]
        bench.report_state(probe, AttemptState.FAILED)
        self.assertEqual(bench.state.tasks[TaskId("j/1")].failed_on, [])
        self.assertFalse(bench.start("j/1", "w0").started)  # type: ignore[attr-defined]
        bench.now += MINUTE
        bench.report_state(bench.begin("j/1", "w0"), AttemptState.SUCCEEDED)
        trusted = bench.state.workers[W0].quarantine
        self.assertIs(trusted, QuarantineState.TRUSTED)
