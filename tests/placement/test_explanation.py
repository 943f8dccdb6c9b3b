"""Tests of explanations of a task's placement."""

from __future__ import annotations

import unittest

from returns.result import Failure

from rhubarbfield.placement import (
    LoseWorker,
    RejectionReason,
    RemoveWorker,
    UnknownTask,
    explain_task,
)
from rhubarbfield.types import AttemptState, Epoch, TaskId, WorkerId
from tests.placement.builders import MINUTE, Bench


class ExplainTaskTest(unittest.TestCase):
    def test_explains_the_placement_and_all_other_workers(self) -> None:
        bench = Bench(workers=3)
        bench.accept("filler", cores=8.0)
        bench.begin("filler/0", "w1", cores=8)
        bench.accept()
        bench.run_round()
        explanation = explain_task(bench.state, TaskId("j/0")).unwrap()
        assert explanation.live is not None
        self.assertEqual(explanation.worker, bench.find_worker("j/0"))
        self.assertEqual(explanation.live.decision.strategy, "harm-aware")
        self.assertIn("placed by harm-aware", explanation.summary)
        reasons = {one.worker: one.reason for one in explanation.other_workers}
        self.assertEqual(len(reasons), 2)
        self.assertIs(reasons.pop("w1"), RejectionReason.CORES)  # type: ignore[call-overload]
        self.assertEqual(list(reasons.values()), [RejectionReason.COSTLIER])
        other = next(one for one in explanation.other_workers if one.worker in reasons)
        self.assertIsNotNone(other.score)

    def test_lists_past_attempts(self) -> None:
        bench = Bench(workers=2)
        bench.accept(max_failures=9)
        bench.report_state(bench.begin("j/0", "w0"), AttemptState.FAILED, "c1")
        bench.now += MINUTE
        bench.report_state(bench.begin("j/0", "w1"), AttemptState.EVICTED, "c2")
        explanation = explain_task(bench.state, TaskId("j/0")).unwrap()
        self.assertEqual(
            [(one.worker, one.state, one.resumed_from) for one in explanation.past],
            [
                ("w0", AttemptState.FAILED, None),
                ("w1", AttemptState.EVICTED, "c1"),
            ],
        )
        self.assertIn("waits since", explanation.summary)
        self.assertIs(explanation.other_workers[0].reason, RejectionReason.FAILED_THERE)

    def test_reports_that_the_only_fitting_worker_was_removed(self) -> None:
        bench = Bench(workers=1)
        bench.add_worker("large", cores=16)
        bench.accept(cores=12.0)
        name = WorkerId("large")
        bench.apply(LoseWorker(at=bench.now, worker=name, epoch=Epoch(1), reason="x"))
        bench.apply(RemoveWorker(at=bench.now, worker=name))
        explanation = explain_task(bench.state, TaskId("j/0")).unwrap()
        self.assertIn("never runs: no worker has 12 cores", explanation.summary)

    def test_an_unknown_task_is_a_failure_value(self) -> None:
        explanation = explain_task(Bench().state, TaskId("none/0"))
        self.assertEqual(explanation, Failure(UnknownTask(TaskId("none/0"))))
