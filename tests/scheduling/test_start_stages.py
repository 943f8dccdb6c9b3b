"""Tests of the log lines that tell the stages of a start apart."""

from __future__ import annotations

import logging
import unittest
from datetime import timedelta
from typing import Any

import trio

from rhubarbfield.clock import ManualClock
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.start_stages import (
    MAX_SAMPLES,
    REPORT_INTERVAL,
    StageTimes,
    StartStage,
)
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment

AREA = "rhubarbfield.scheduling.leader"
MILLISECOND = timedelta(milliseconds=1)


def list_stages(records: list[logging.LogRecord]) -> list[dict[str, Any]]:
    """Return the fields of the lines about stages."""
    return [
        vars(record)["rhubarbfield_ids"]
        for record in records
        if record.getMessage() == "start-stages"
    ]


class StageTimesTest(unittest.TestCase):
    def test_stages_are_reported_once_an_interval_with_their_quantiles(self) -> None:
        clock = ManualClock(timedelta(seconds=100))
        stages = StageTimes(clock)
        for number in range(100):
            stages.record(StartStage.ROUND, number * MILLISECOND)
        with self.assertNoLogs(AREA, "INFO"):
            stages.report_when_due()
        clock.advance(REPORT_INTERVAL)
        with self.assertLogs(AREA, "INFO") as logs:
            stages.report_when_due()
        (stage,) = list_stages(logs.records)
        self.assertEqual(stage["stage"], "round")
        self.assertEqual(stage["count"], 100)
        self.assertEqual(stage["median"], 50 * MILLISECOND)
        self.assertEqual(stage["high"], 95 * MILLISECOND)
        clock.advance(REPORT_INTERVAL)
        with self.assertNoLogs(AREA, "INFO"):
            stages.report_when_due()

    def test_samples_between_two_reports_are_bounded(self) -> None:
        clock = ManualClock(timedelta(seconds=100))
        stages = StageTimes(clock)
        for _ in range(MAX_SAMPLES + 5):
            stages.record(StartStage.ORDER, MILLISECOND)
        clock.advance(REPORT_INTERVAL)
        with self.assertLogs(AREA, "INFO") as logs:
            stages.report_when_due()
        (stage,) = list_stages(logs.records)
        self.assertEqual(stage["count"], MAX_SAMPLES + 5)


class LeaderStagesTest(unittest.TestCase):
    @with_deployment()
    async def test_every_stage_of_a_start_is_measured(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1", duration=timedelta(seconds=1))
        with self.assertLogs(AREA, "INFO") as logs:
            async with deployment.lead():
                await deployment.submit("j1", Step(tasks=2, demand=ONE_CORE))
                await trio.sleep(2 * REPORT_INTERVAL.total_seconds())
        stages = {each["stage"] for each in list_stages(logs.records)}
        self.assertEqual(stages, {stage.value for stage in StartStage})


if __name__ == "__main__":
    unittest.main()
